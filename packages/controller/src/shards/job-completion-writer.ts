/**
 * Stores that a job is done once all of its tasks are done. Status queries of users, and the jobs that depend on it, rely on the
 * stored record. Owns no state except the flag in the job's tenure that marks a queued write.
 */
import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, InputClock, Logger, StateWriting } from '../context/index.js';
import { type Job, type Milliseconds, toLoggedSeconds } from '../model/index.js';
import { encodeDoneJob, StateKey, type WriteOutcome, WritePriority } from '../state/index.js';

/** The parts of the controller's context that `JobCompletionWriter` uses. */
type JobCompletionWriterContext = InputClock & ClusterStateView & StateWriting & Logger;

/** Writes the records of completed jobs. */
export class JobCompletionWriter {
  constructor(
    private readonly context: JobCompletionWriterContext,
    private readonly allocations: TaskAllocations,
  ) {}

  /** Queues the write of the completion, unless one is queued. All tasks of the job must be done, and its shard held. */
  write(job: Job): void {
    if (job.tenure.completionWriteQueued) return;
    job.tenure.completionWriteQueued = true;
    this.context.writer.add({
      key: StateKey.job(job.spec.id),
      value: (now) => encodeDoneJob(job.submittedAt, job.spec.tasks, now + this.context.clusterState.wallClockOffsetMs),
      expectedRevision: job.modRevision,
      conditions: this.allocations.heldShards.leaseConditions(job.shard),
      priority: WritePriority.assignment,
      onOutcome: (outcome) => this.handleOutcome(job, outcome),
    });
  }

  private handleOutcome(job: Job, outcome: WriteOutcome): void {
    job.tenure.completionWriteQueued = false;
    this.allocations.schedulingRequested = true;
    if (outcome === 'ok') this.logDone(job, this.context.now);
  }

  private logDone(job: Job, now: Milliseconds): void {
    const { wallClockOffsetMs } = this.context.clusterState;
    this.context.log('debug', 'job done', {
      job: job.spec.id,
      jobClass: job.spec.jobClass,
      sinceReady: toLoggedSeconds(now - job.eligibleAt),
      sinceSubmit: toLoggedSeconds(now + wallClockOffsetMs - job.submittedAt),
      // The margin to the job's own deadline, or to an earlier one derived from the jobs that depend on it.
      spare: Number.isFinite(job.effectiveDeadlineAt) ? toLoggedSeconds(job.effectiveDeadlineAt - wallClockOffsetMs - now) : null,
      guess: job.spec.estimatedRunS,
      longestRun: toLoggedSeconds(job.longestRunS * 1000),
    });
  }
}
