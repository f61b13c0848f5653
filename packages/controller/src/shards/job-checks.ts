/**
 * Periodic checks of the jobs of the held shards: stores completed tasks that are due, frees planned allocations that waited too
 * long for their start, and ends tasks that exceeded their grace period. Owns no state.
 */
import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, Logger, SettingsView } from '../context/index.js';
import type { Allocation, Job, Milliseconds } from '../model/index.js';
import type { ProgressWriter } from './progress-writer.js';

/** A task that is still saving its state this long after its grace period is stopped without further grace. */
const SAVE_OVERRUN_S = 8;

/** The parts of the controller's context that `JobChecks` uses. */
type JobChecksContext = SettingsView & ClusterStateView & Logger;

/** Whether the grace period for saving, and the permitted overrun, have passed since the first stop of the task was sent. */
function isSaveOverdue({ stopGraceS, firstStopSentAt }: Allocation, now: Milliseconds): boolean {
  return (
    stopGraceS !== null &&
    stopGraceS > 0 &&
    firstStopSentAt !== null &&
    now - firstStopSentAt > (stopGraceS + SAVE_OVERRUN_S) * 1000
  );
}

/** Checks the jobs of the held shards, at intervals that the shard controller sets. */
export class JobChecks {
  constructor(
    private readonly context: JobChecksContext,
    private readonly allocations: TaskAllocations,
    private readonly progressWriter: ProgressWriter,
  ) {}

  /** Checks each job of the held shards once. */
  checkAll(now: Milliseconds): void {
    for (const job of this.context.clusterState.jobs.values()) {
      if (!this.allocations.heldShards.has(job.shard)) continue;
      if (job.state === 'live') this.progressWriter.storeProgress(job);
      else this.context.clusterState.forgetIfFinished(job);
      if (job.spec.shape === 'gang' && job.tenure.gangAttempt !== null && !job.tenure.gangFailed) this.checkGang(job, now);
      this.checkAllocations(job, now);
    }
  }

  /**
   * Releases all planned allocations of a gang if they waited too long, since a gang is planned as a whole. Fails a gang that was
   * found partly started.
   */
  private checkGang(job: Job, now: Milliseconds): void {
    const allocations = [...job.tenure.allocations.values()];
    const planned = allocations.filter((allocation) => allocation.phase === 'planned');
    const [first] = planned;
    if (first !== undefined) {
      if (this.isPlanOverdue(first, now)) this.releasePlan(job, planned);
      return;
    }
    // The gang was found partly started after a takeover, and its missing tasks can't be on a machine that hasn't responded yet.
    if (allocations.length < job.spec.tasks && job.doneCount < job.spec.tasks && !this.allocations.mayRunUnreported(job))
      this.allocations.failGang(job);
  }

  private releasePlan(job: Job, planned: readonly Allocation[]): void {
    this.context.log('info', 'held allocations released', { job: job.spec.id });
    for (const allocation of planned) this.allocations.free(allocation);
  }

  private checkAllocations(job: Job, now: Milliseconds): void {
    for (const allocation of job.tenure.allocations.values()) {
      if (job.spec.shape !== 'gang' && allocation.phase === 'planned' && this.isPlanOverdue(allocation, now))
        this.allocations.free(allocation);
      if (isSaveOverdue(allocation, now)) this.allocations.stop(allocation, 0);
    }
  }

  private isPlanOverdue({ plannedAt }: Allocation, now: Milliseconds): boolean {
    return now - plannedAt > this.context.settings.policy.planWaitS * 1000;
  }
}
