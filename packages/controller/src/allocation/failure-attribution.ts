/**
 * Failure attribution: whose fault is it when a task fails? A faulty machine fails whatever comes to it, a job submitted with a
 * mistake fails wherever it goes. Failures of a job that ran well anywhere count against the machine; those of a job that fails
 * on several machines count against the job, and what it counted against machines before is taken back. Owns the failure
 * records of jobs and machines.
 */
import type { ClusterStateView, Logger } from '../context/index.js';
import type { Allocation, Job, Machine, Milliseconds } from '../model/index.js';

/** A job that failed on this many machines, and never ran well, is taken to crash wherever it runs. */
const CRASH_LOOP_MACHINES = 3;

/** What runs for this long without an error runs well: mistakes show at the start. */
const ERROR_FREE_RUN_MS = 10_000;

/** A machine is faulty once this many tasks failed there of jobs whose other tasks get done elsewhere. */
const FAULTY_MACHINE_TASKS = 3;

/** A machine is doubtful once this many jobs failed there. */
const SUSPICIOUS_MACHINE_JOBS = 2;

/** A machine on which jobs failed that prove nothing yet takes no work meanwhile, for so long at most. */
const ATTRIBUTION_PENDING_MS = 30_000;

/** Jobs that failed on one machine alone count against it after this long: nothing of them has run elsewhere since. */
const NO_COUNTEREVIDENCE_MS = ATTRIBUTION_PENDING_MS / 2;

/** A gang that failed is tried again after this long. */
const GANG_RETRY_DELAY_MS = 300;

/** A crash-looping job is tried again after this long, twice as long each time, up to the maximum. */
const MIN_RETRY_DELAY_MS = 2000;
const MAX_RETRY_DELAY_MS = 60_000;
const MAX_RETRY_DOUBLINGS = 5;

/** Tasks of a crash-looping job that are tried at once: those that never were, one by one afterwards. */
const MAX_UNTRIED_TASKS_AT_ONCE = 8;

/** Records failures and successes, and decides by them which machines are faulty and which jobs crash-loop. */
export class FailureAttribution {
  constructor(private readonly context: ClusterStateView & Logger) {}

  /** Does the job fail wherever it runs? Only a task that is done, or its user, ends that. */
  isCrashLooping(job: Job): boolean {
    return job.crashLoopingSince !== null;
  }

  /** Do tasks fail there by the machine's fault? */
  isFaulty(machine: Machine, now: Milliseconds): boolean {
    if (machine.failedTaskCount >= FAULTY_MACHINE_TASKS) return true;
    if (machine.failedJobs.size < SUSPICIOUS_MACHINE_JOBS) return false;
    let jobsThatFailedOnlyHere = 0;
    for (const id of machine.failedJobs) {
      const job = this.context.clusterState.jobs.get(id);
      if (!job) continue;
      if (this.hasRunWithoutError(job, now)) return true;
      if (job.failedOn.size === 1) jobsThatFailedOnlyHere++;
    }
    return jobsThatFailedOnlyHere >= SUSPICIOUS_MACHINE_JOBS && now - machine.lastErrorAt > NO_COUNTEREVIDENCE_MS;
  }

  /** Did several jobs fail there recently, and isn't it known yet whose fault it is? */
  isAttributionPending(machine: Machine, now: Milliseconds): boolean {
    return machine.failedJobs.size >= SUSPICIOUS_MACHINE_JOBS && now - machine.lastErrorAt < ATTRIBUTION_PENDING_MS;
  }

  /** Has any of the job's tasks run well? It is remembered, also for when that task has ended. */
  private hasRunWithoutError(job: Job, now: Milliseconds): boolean {
    if (job.doneCount > 0 || job.ranWithoutError) return true;
    for (const { phase, runningSince } of job.tenure.allocations.values()) {
      if (phase !== 'reported' || runningSince === null || now - runningSince < ERROR_FREE_RUN_MS) continue;
      job.ranWithoutError = true;
      return true;
    }
    return false;
  }

  /** A task ended with an error. */
  recordFailure({ job, machine, taskIndex }: Allocation, now: Milliseconds): void {
    job.failureCount++;
    job.failedOn.add(machine.name);
    this.context.log('debug', 'task failed', {
      task: `${job.spec.id}/${taskIndex}`,
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
    if (job.spec.shape === 'gang') job.retryAt = now + GANG_RETRY_DELAY_MS;
  }

  private markCrashLooping(job: Job, now: Milliseconds): void {
    job.crashLoopingSince = now;
    job.retries = 0;
    for (const name of job.failedOn) this.context.clusterState.machines.get(name)?.failedJobs.delete(job.spec.id);
    this.context.log('info', 'job crash-looping', { job: job.spec.id, machines: job.failedOn.size });
  }

  /** A task was done: its job runs well after all, and a task that began after a machine's last failure clears the machine. */
  recordSuccess({ job, machine, runningSince }: Allocation): void {
    // One that was never seen running counts as begun before any error.
    if ((runningSince ?? 0) > machine.lastErrorAt) {
      machine.failedJobs.clear();
      machine.failedTaskCount = 0;
    }
    if (!this.isCrashLooping(job)) return;
    job.crashLoopingSince = null;
    job.retryAt = 0;
    // It was the machines' fault, then.
    for (const name of job.failedOn) this.context.clusterState.machines.get(name)?.failedJobs.add(job.spec.id);
    this.context.log('info', 'job recovered from crash loop', { job: job.spec.id });
  }

  /** A faulty machine is released: what failed there says nothing about the jobs. */
  clearJobsOf(machine: Machine): void {
    for (const id of machine.failedJobs) {
      const job = this.context.clusterState.jobs.get(id);
      if (!job) continue;
      job.failedOn.delete(machine.name);
      job.retryAt = 0;
    }
  }

  /** Begins a retry of a crash-looping job: returns how many tasks are tried now, and puts off the next retry. */
  beginRetry(job: Job, now: Milliseconds): number {
    const isGang = job.spec.shape === 'gang';
    const untriedTasks = job.spec.tasks - job.tenure.nextUntriedTask;
    if (untriedTasks > 0 && !isGang) {
      job.retryAt = now + MIN_RETRY_DELAY_MS;
      return Math.min(MAX_UNTRIED_TASKS_AT_ONCE, untriedTasks);
    }
    const doublings = Math.min(MAX_RETRY_DOUBLINGS, job.retries++);
    job.retryAt = now + Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * 2 ** doublings);
    return isGang ? job.spec.tasks : 1;
  }
}
