/**
 * Failure attribution: decides whether the machine or the job causes a task failure. A faulty machine fails the tasks of every
 * job, and a faulty job fails on every machine. Failures of a job that ran without error anywhere count against the machine.
 * Failures of a job that fails on several machines count against the job, and are then removed from the records of the machines.
 * Owns the failure records of jobs and machines.
 */
import type { ClusterStateView, Logger } from '../context/index.js';
import type { Allocation, Job, Machine, Milliseconds } from '../model/index.js';

/** A job that failed on this many machines, and has never run without error, counts as crash-looping. */
const CRASH_LOOP_MACHINES = 3;

/** A task that runs for this long counts as running without error, since faults of a job usually show right after the start. */
const ERROR_FREE_RUN_MS = 10_000;

/** A machine is faulty once this many tasks failed on it whose jobs failed nowhere else and have completed tasks. */
const FAULTY_MACHINE_TASKS = 3;

/** A machine is suspected of being faulty once this many jobs failed on it. */
const SUSPICIOUS_MACHINE_JOBS = 2;

/** A suspected machine takes no starts for this long after its last failure, while the attribution is pending. */
const ATTRIBUTION_PENDING_MS = 30_000;

/** Jobs that failed on only one machine count against it this long after its last failure, if no contrary evidence arrived. */
const NO_COUNTEREVIDENCE_MS = ATTRIBUTION_PENDING_MS / 2;

/** Delay before a failed gang is retried. */
const GANG_RETRY_DELAY_MS = 300;

/** Bounds of the retry delay of a crash-looping job, which doubles with each retry. */
const MIN_RETRY_DELAY_MS = 2000;
const MAX_RETRY_DELAY_MS = 60_000;
const MAX_RETRY_DOUBLINGS = 5;

/** Never-started tasks of a crash-looping job that are started per retry; once all were started, a retry starts one task. */
const MAX_UNTRIED_TASKS_AT_ONCE = 8;

/** Records task failures and successes, and derives from them which machines are faulty and which jobs are crash-looping. */
export class FailureAttribution {
  constructor(private readonly context: ClusterStateView & Logger) {}

  /** Whether the job fails on every machine. Only a completed task, or a cancellation by the user, ends this state. */
  isCrashLooping(job: Job): boolean {
    return job.crashLoopingSince !== null;
  }

  /** Whether the machine is the cause of the task failures on it. */
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

  /** Whether several jobs failed on the machine recently, so that it may be faulty. */
  isAttributionPending(machine: Machine, now: Milliseconds): boolean {
    return machine.failedJobs.size >= SUSPICIOUS_MACHINE_JOBS && now - machine.lastErrorAt < ATTRIBUTION_PENDING_MS;
  }

  /** Whether any task of the job was completed or ran without error. The result is stored in the job and outlasts that task. */
  private hasRunWithoutError(job: Job, now: Milliseconds): boolean {
    if (job.doneCount > 0 || job.ranWithoutError) return true;
    for (const { phase, runningSince } of job.tenure.allocations.values()) {
      if (phase !== 'reported' || runningSince === null || now - runningSince < ERROR_FREE_RUN_MS) continue;
      job.ranWithoutError = true;
      return true;
    }
    return false;
  }

  /** Records a task that ended with an error, and marks its job as crash-looping where the limit is reached. */
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

  /**
   * Records a completed task: its job is no longer crash-looping. If the task started after the machine's last failure, the
   * failure record of the machine is cleared.
   */
  recordSuccess({ job, machine, runningSince }: Allocation): void {
    // A task that was never reported as running counts as started before any failure.
    if ((runningSince ?? 0) > machine.lastErrorAt) {
      machine.failedJobs.clear();
      machine.failedTaskCount = 0;
    }
    if (!this.isCrashLooping(job)) return;
    job.crashLoopingSince = null;
    job.retryAt = 0;
    // The job can succeed, so its failures count against the machines.
    for (const name of job.failedOn) this.context.clusterState.machines.get(name)?.failedJobs.add(job.spec.id);
    this.context.log('info', 'job recovered from crash loop', { job: job.spec.id });
  }

  /** Removes failures on a faulty machine, which is being released, from the records of the jobs, and allows their retry now. */
  discardFailuresOn(machine: Machine): void {
    for (const id of machine.failedJobs) {
      const job = this.context.clusterState.jobs.get(id);
      if (!job) continue;
      job.failedOn.delete(machine.name);
      job.retryAt = 0;
    }
  }

  /** Begins a retry of a crash-looping job: sets the time of the next one and returns how many tasks to start now. */
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
