import type { ControllerContext } from '../context/index.js';
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
  constructor(private readonly context: ControllerContext) {}

  /** Has any of it gone well? */
  private hasRunWithoutError(j: Job, now: Milliseconds): boolean {
    if (j.doneCount > 0 || j.ranWithoutError) return true;
    for (const p of j.allocations.values()) {
      if (p.phase === 'there' && p.runningSince >= 0 && now - p.runningSince >= ERROR_FREE_RUN_MS) {
        j.ranWithoutError = true;
        return true;
      }
    }
    return false;
  }

  /** It fails wherever it goes, until its user cancels it. */
  isCrashLooping(j: Job): boolean {
    return j.crashLoopingSince >= 0;
  }

  isFaulty(m: Machine, now: Milliseconds): boolean {
    if (m.failedTaskCount >= 3) return true;
    if (m.failedJobs.size < 2) return false;
    let onlyHere = 0;
    for (const id of m.failedJobs) {
      const j = this.context.clusterState.jobs.get(id);
      if (!j) continue;
      if (this.hasRunWithoutError(j, now)) return true;
      if (j.failedOn.size === 1) onlyHere++;
    }
    // Nothing of them has run elsewhere since, well or not.
    return onlyHere >= 2 && now - m.lastErrorAt > DOUBT_MS / 2;
  }

  /** Two jobs failed there, and it isn't known yet whose fault it is. */
  isDoubtful(m: Machine, now: Milliseconds): boolean {
    return m.failedJobs.size >= 2 && now - m.lastErrorAt < DOUBT_MS;
  }

  recordFailure(p: Allocation, now: Milliseconds): void {
    const { job: j, machine: m } = p;
    j.failureCount++;
    j.failedOn.add(m.name);
    this.context.log('debug', 'task failed', {
      task: `${j.spec.id}/${p.taskIndex}`,
      machine: m.name,
      jobMachines: j.failedOn.size,
      machineJobs: m.failedJobs.size,
    });
    if (!this.isCrashLooping(j) && j.failedOn.size >= CRASH_LOOP_MACHINES && !this.hasRunWithoutError(j, now))
      this.markCrashLooping(j, now);
    if (this.isCrashLooping(j)) return;
    m.failedJobs.add(j.spec.id);
    m.lastErrorAt = now;
    if (j.doneCount > 0 && j.failedOn.size === 1) m.failedTaskCount++;
    if (j.spec.shape === 'gang') j.retryAt = now + 300;
  }

  private markCrashLooping(j: Job, now: Milliseconds): void {
    j.crashLoopingSince = now;
    j.retries = 0;
    for (const name of j.failedOn) this.context.clusterState.machines.get(name)?.failedJobs.delete(j.spec.id);
    this.context.log('info', 'a job fails on every machine', { job: j.spec.id, machines: j.failedOn.size });
  }

  /** A task was done: its job is well after all, and what began after a machine's last failure clears the machine. */
  recordSuccess(p: Allocation): void {
    const { job: j, machine: m } = p;
    if (p.runningSince > m.lastErrorAt) {
      m.failedJobs.clear();
      m.failedTaskCount = 0;
    }
    if (!this.isCrashLooping(j)) return;
    j.crashLoopingSince = -1;
    j.retryAt = 0;
    // It was the machines, then.
    for (const name of j.failedOn) this.context.clusterState.machines.get(name)?.failedJobs.add(j.spec.id);
    this.context.log('info', 'a job that failed goes well', { job: j.spec.id });
  }

  /** A faulty machine goes: what failed there says nothing about the jobs. */
  clearJobsOf(m: Machine): void {
    for (const id of m.failedJobs) {
      const j = this.context.clusterState.jobs.get(id);
      if (!j) continue;
      j.failedOn.delete(m.name);
      j.retryAt = 0;
    }
  }

  /** How many tasks of a broken job are tried now; the next time is put off. */
  nextRetryCount(j: Job, now: Milliseconds): number {
    const fresh = j.spec.tasks - j.nextUntriedTask;
    if (fresh > 0 && j.spec.shape !== 'gang') {
      j.retryAt = now + RETRY_MS;
      return Math.min(TRIES, fresh);
    }
    j.retryAt = now + Math.min(LONGEST_RETRY_MS, RETRY_MS * 2 ** Math.min(5, j.retries++));
    return j.spec.shape === 'gang' ? j.spec.tasks : 1;
  }
}
