/**
 * The queue: which jobs wait for machines, and the order in which they are placed: by priority, then aged gangs, then work
 * within its team's quota, then by start deadline. Owns no state; the objectives are those of the settings.
 */
import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, SettingsView } from '../context/index.js';
import type { Job, Milliseconds } from '../model/index.js';
import { ArrayPostponement } from './array-postponement.js';
import type { QueuedJob } from './queued-job.js';
import { type QuotaStatuses, quotaStatusesOf, WITHOUT_QUOTA } from './quota-status.js';
import { StartDeadlines } from './start-deadlines.js';

/** A gang that has waited for more than this many plan waits is aged. */
const AGED_GANG_PLAN_WAITS = 6;

/** Orders the waiting jobs of the shards held by this controller. */
export class QueueOrder {
  private readonly startDeadlines: StartDeadlines;
  private readonly arrayPostponement: ArrayPostponement;

  constructor(
    private readonly context: SettingsView & ClusterStateView,
    private readonly allocations: TaskAllocations,
  ) {
    this.startDeadlines = new StartDeadlines(context);
    this.arrayPostponement = new ArrayPostponement(context, allocations, this.startDeadlines);
  }

  /** Returns which jobs are within their team's guarantee, and which are protected by it. */
  quotaStatuses(): QuotaStatuses {
    return quotaStatusesOf(this.context, this.allocations.heldShards);
  }

  /** Returns the time by which the job should start to meet the first of its objectives that can still be met. */
  startDeadlineOf(job: Job, now: Milliseconds): Milliseconds {
    return this.startDeadlines.startDeadlineOf(job, now);
  }

  /**
   * Returns the jobs of the shards held by this controller that have unallocated tasks and may start, in the order in which
   * they are placed.
   */
  queue(quotaStatuses: QuotaStatuses, now: Milliseconds): QueuedJob[] {
    const result: QueuedJob[] = [];
    for (const job of this.context.clusterState.jobs.values()) {
      if (!this.isWaiting(job)) continue;
      result.push({
        job,
        quota: quotaStatuses.get(job) ?? WITHOUT_QUOTA,
        startDeadline: this.startDeadlineOf(job, now),
        isAged: this.isAged(job, now),
      });
    }
    this.arrayPostponement.apply(result, now);
    return result.sort(compareQueuedJobs);
  }

  private isWaiting(job: Job): boolean {
    return !job.isBlocked && this.allocations.heldShards.has(job.shard) && job.state === 'live' && job.pendingCount() !== 0;
  }

  private isAged(job: Job, now: Milliseconds): boolean {
    const agedAfterMs = AGED_GANG_PLAN_WAITS * this.context.settings.policy.planWaitS * 1000;
    return job.spec.shape === 'gang' && now - job.eligibleAt > agedAfterMs;
  }
}

/** Aged gangs are ordered by age alone, so that one that can't be placed yet keeps its position. */
function compareQueuedJobs(a: QueuedJob, b: QueuedJob): number {
  return (
    b.job.priority - a.job.priority ||
    Number(b.isAged) - Number(a.isAged) ||
    (a.isAged ? a.job.modRevision - b.job.modRevision : 0) ||
    Number(b.quota.withinQuota) - Number(a.quota.withinQuota) ||
    a.startDeadline - b.startDeadline ||
    a.job.modRevision - b.job.modRevision
  );
}
