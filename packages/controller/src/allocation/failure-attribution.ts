import type { ClusterStateView, Logger } from '../context/index.js';
import type { Allocation, Job, Machine, Milliseconds } from '../model/index.js';

/** A job that failed on so many machines, and never went well, is taken for broken. */
const CRASH_LOOP_MACHINES = 3;

/** What runs for this long without an error goes well: mistakes show at the start. */
const ERROR_FREE_RUN_MS = 10_000;

/** A machine on which two jobs failed that prove nothing yet takes no work meanwhile, for so long at most. */
const DOUBT_MS = 30_000;

/** A broken job is tried again after this long, twice as long each time, up to a minute. */
const RETRY_MS = 2000;
const LONGEST_RETRY_MS = 60_000;

/** Tasks of a broken job that are tried at once: those that never were, one by one afterwards. */
const TRIES = 8;

/**
 * Whose fault is it when a task fails? A faulty machine fails whatever comes to it, a job
 * submitted with a mistake fails wherever it goes. Failures of a job that went well anywhere
 * tell against the machine; those of a job that fails on several machines tell against the
 * job, and what it cast on machines before is taken back.
 */
export class FailureAttribution {
  constructor(private readonly context: ClusterStateView & Logger) {}

  /** Has any of it gone well? */
  private hasRunWithoutError(job: Job, now: Milliseconds): boolean {
    if (job.doneCount > 0 || job.ranWithoutError) return true;
    for (const allocation of job.tenure.allocations.values()) {
      if (
        allocation.phase === 'there' &&
        allocation.runningSince !== null &&
        now - allocation.runningSince >= ERROR_FREE_RUN_MS
      ) {
        job.ranWithoutError = true;
        return true;
      }
    }
    return false;
  }

  /** It fails wherever it goes, until its user cancels it. */
  isCrashLooping(job: Job): boolean {
    return job.crashLoopingSince !== null;
  }

  isFaulty(machine: Machine, now: Milliseconds): boolean {
    if (machine.failedTaskCount >= 3) return true;
    if (machine.failedJobs.size < 2) return false;
    let onlyHere = 0;
    for (const id of machine.failedJobs) {
      const job = this.context.clusterState.jobs.get(id);
      if (!job) continue;
      if (this.hasRunWithoutError(job, now)) return true;
      if (job.failedOn.size === 1) onlyHere++;
    }
    // Nothing of them has run elsewhere since, well or not.
    return onlyHere >= 2 && now - machine.lastErrorAt > DOUBT_MS / 2;
  }

  /** Two jobs failed there, and it isn't known yet whose fault it is. */
  isDoubtful(machine: Machine, now: Milliseconds): boolean {
    return machine.failedJobs.size >= 2 && now - machine.lastErrorAt < DOUBT_MS;
  }

  recordFailure(allocation: Allocation, now: Milliseconds): void {
    const { job, machine } = allocation;
    job.failureCount++;
    job.failedOn.add(machine.name);
    this.context.log('debug', 'task failed', {
      task: `${job.spec.id}/${allocation.taskIndex}`,
      machine: machine.name,
      jobMachines: job.failedOn.size,
      machineJobs: machine.failedJobs.size,
    });
    if (!this.isCrashLooping(job) && job.failedOn.size >= CRASH_LOOP_MACHINES && !this.hasRunWithoutError(job, now))
      this.markCrashLooping(job, now);
    if (this.isCrashLooping(job)) return;
    machine.failedJobs.add(job.spec.id);
    machine.lastErrorAt = now;
    if (job.doneCount > 0 && job.failedOn.size === 1) machine.failedTaskCount++;
    if (job.spec.shape === 'gang') job.retryAt = now + 300;
  }

  private markCrashLooping(job: Job, now: Milliseconds): void {
    job.crashLoopingSince = now;
    job.retries = 0;
    for (const name of job.failedOn) this.context.clusterState.machines.get(name)?.failedJobs.delete(job.spec.id);
    this.context.log('info', 'job crash-looping', { job: job.spec.id, machines: job.failedOn.size });
  }

  /** A task was done: its job is well after all, and what began after a machine's last failure clears the machine. */
  recordSuccess(allocation: Allocation): void {
    const { job, machine } = allocation;
    // One that was never seen running counts as begun before any error.
    if ((allocation.runningSince ?? 0) > machine.lastErrorAt) {
      machine.failedJobs.clear();
      machine.failedTaskCount = 0;
    }
    if (!this.isCrashLooping(job)) return;
    job.crashLoopingSince = null;
    job.retryAt = 0;
    // It was the machines, then.
    for (const name of job.failedOn) this.context.clusterState.machines.get(name)?.failedJobs.add(job.spec.id);
    this.context.log('info', 'job recovered from crash loop', { job: job.spec.id });
  }

  /** A faulty machine goes: what failed there says nothing about the jobs. */
  clearJobsOf(machine: Machine): void {
    for (const id of machine.failedJobs) {
      const job = this.context.clusterState.jobs.get(id);
      if (!job) continue;
      job.failedOn.delete(machine.name);
      job.retryAt = 0;
    }
  }

  /** How many tasks of a broken job are tried now; the next time is put off. */
  nextRetryCount(job: Job, now: Milliseconds): number {
    const fresh = job.spec.tasks - job.tenure.nextUntriedTask;
    if (fresh > 0 && job.spec.shape !== 'gang') {
      job.retryAt = now + RETRY_MS;
      return Math.min(TRIES, fresh);
    }
    job.retryAt = now + Math.min(LONGEST_RETRY_MS, RETRY_MS * 2 ** Math.min(5, job.retries++));
    return job.spec.shape === 'gang' ? job.spec.tasks : 1;
  }
}
