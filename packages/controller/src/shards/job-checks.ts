/**
 * What time alone brings to the jobs of the shards held here: completed tasks that are due to be stored, planned tasks that
 * waited for too long, and stops whose grace is over. Owns no state.
 */
import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, Logger, SettingsView } from '../context/index.js';
import type { Allocation, Job, Milliseconds } from '../model/index.js';
import type { ProgressWriter } from './progress-writer.js';

/** A task that still saves its state this long after its grace is ended at once. */
const SAVE_OVERRUN_S = 8;

/** What the checks of jobs need of their controller. */
type JobChecksContext = SettingsView & ClusterStateView & Logger;

/** Has the task had its grace for saving, and more, since its first stop was sent? */
function isSaveOverdue({ stopGraceS, firstStopSentAt }: Allocation, now: Milliseconds): boolean {
  return (
    stopGraceS !== null &&
    stopGraceS > 0 &&
    firstStopSentAt !== null &&
    now - firstStopSentAt > (stopGraceS + SAVE_OVERRUN_S) * 1000
  );
}

/** Checks all jobs of the shards held here; the shard controller says when. */
export class JobChecks {
  constructor(
    private readonly context: JobChecksContext,
    private readonly allocations: TaskAllocations,
    private readonly progressWriter: ProgressWriter,
  ) {}

  /** One round over all jobs. */
  checkAll(now: Milliseconds): void {
    for (const job of this.context.clusterState.jobs.values()) {
      if (!this.allocations.heldShards.has(job.shard)) continue;
      if (job.state === 'live') this.progressWriter.storeProgress(job);
      else this.context.clusterState.forgetIfFinished(job);
      if (job.spec.shape === 'gang' && job.tenure.gangAttempt !== null && !job.tenure.gangFailed) this.checkGang(job, now);
      this.checkAllocations(job, now);
    }
  }

  /** A gang is planned as a whole, so its plan is released as a whole. */
  private checkGang(job: Job, now: Milliseconds): void {
    const allocations = [...job.tenure.allocations.values()];
    const planned = allocations.filter((allocation) => allocation.phase === 'planned');
    const [first] = planned;
    if (first !== undefined) {
      if (this.isPlanOverdue(first, now)) this.releasePlan(job, planned);
      return;
    }
    // Found partly started after a takeover, and the rest of it can't be on a machine that hasn't answered yet.
    if (allocations.length < job.spec.tasks && job.doneCount < job.spec.tasks && !this.allocations.mayRunUnseen(job))
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
