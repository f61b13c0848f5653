import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, SettingsView } from '../context/index.js';
import type { Job, Milliseconds } from '../model/index.js';
import { expectedDurationMs } from '../state/index.js';
import { type QuotaStatus, type QuotaStatuses, quotaStatusesOf, WITHOUT_QUOTA } from './quota-status.js';

/** A gang that has waited for this many plan waits is aged. */
const AGED_GANG_PLAN_WAITS = 6;

/** An array of which nothing has begun for this long comes before others: users wait four minutes at most. */
const MAX_ARRAY_WAIT_MS = 180_000;

/** A job that waits for room, where it stands in the queue. */
export interface QueuedJob {
  readonly job: Job;
  readonly quota: QuotaStatus;
  startDeadline: Milliseconds;
  isAged: boolean;
}

/** Who comes first: ranks, guarantees, and the objectives that can still be kept. */
export class QueueOrder {
  private readonly objectives = new Map<string, { wait: boolean; withinMs: Milliseconds }[]>();
  /** how many times their deadlines' time jobs of a class may take, for each objective about deadlines */
  private readonly deadlineTimes = new Map<string, number[]>();
  /** those of all classes: which class a deadline came from isn't inherited */
  private readonly inheritedTimes: number[];

  constructor(
    private readonly context: SettingsView & ClusterStateView,
    private readonly allocations: TaskAllocations,
  ) {
    for (const objective of context.settings.objectives) {
      if (objective.jobClass !== null && objective.kind === 'deadline')
        this.deadlineTimes.set(objective.jobClass, [
          ...(this.deadlineTimes.get(objective.jobClass) ?? []),
          objective.deadlineMultiple ?? 1,
        ]);
      if (
        objective.jobClass === null ||
        objective.withinS === null ||
        (objective.kind !== 'wait' && objective.kind !== 'finished')
      )
        continue;
      const list = this.objectives.get(objective.jobClass) ?? [];
      list.push({ wait: objective.kind === 'wait', withinMs: objective.withinS * 1000 });
      this.objectives.set(objective.jobClass, list);
    }
    const times = new Set([...this.deadlineTimes.values()].flat());
    this.inheritedTimes = times.size > 0 ? [...times] : [1];
  }

  /** Which jobs are within their team's guarantee, and which are protected by it. */
  quotaStatuses(): QuotaStatuses {
    return quotaStatusesOf(this.context, this.allocations.heldShards);
  }

  /**
   * When the job should start: the next of its class's objectives that can still be kept.
   * Work that has missed them all comes after what hasn't.
   */
  startDeadlineOf(job: Job, now: Milliseconds): Milliseconds {
    return this.startDeadlines(job, now)[0] ?? this.startDeadlineWithoutObjective(job);
  }

  /** By when the job's last task should start, for each objective that can still be kept, soonest first. */
  private startDeadlines(job: Job, now: Milliseconds): Milliseconds[] {
    const imageFetchMs = job.spec.imageGb * 1000;
    const runMs = job.expectedRunMs;
    const result: Milliseconds[] = [];
    for (const objective of this.objectives.get(job.spec.cls) ?? []) {
      const at = job.arrivedAt + objective.withinMs - (objective.wait ? imageFetchMs : runMs + imageFetchMs);
      if (at > now - 1000) result.push(at);
    }
    for (const at of this.latestStarts(job)) if (at > now - 1000) result.push(at);
    return result.sort((a, b) => a - b);
  }

  /**
   * By when the job should start for its own deadline, if its class has objectives about them, or for those of the
   * jobs that need it. Stored times are of the time of day.
   */
  private latestStarts(job: Job): Milliseconds[] {
    const own = this.deadlineTimes.get(job.spec.cls);
    const inherited = job.effectiveDeadlineAt < job.deadlineAt;
    if (own === undefined && !inherited) return [];
    const startBy = job.effectiveDeadlineAt - this.context.clusterState.wallClockOffsetMs - expectedDurationMs(job);
    const times = inherited ? this.inheritedTimes : (own ?? [1]);
    return times.map((factor) => startBy + (factor - 1) * job.effectiveDeadlineSpanMs);
  }

  private startDeadlineWithoutObjective(job: Job): Milliseconds {
    return job.arrivedAt + (this.objectives.has(job.spec.cls) ? 1e7 : (job.spec.deadlineS ?? 600) * 1000);
  }

  /** A gang that has waited for so long goes before all others of its rank. */
  private isAged(job: Job, now: Milliseconds): boolean {
    return (
      job.spec.shape === 'gang' && now - job.arrivedAt > AGED_GANG_PLAN_WAITS * this.context.settings.policy.planWaitS * 1000
    );
  }

  /** All jobs held here that have tasks without a place, in the order they are planned for. */
  queue(quotaStatuses: QuotaStatuses, now: Milliseconds): QueuedJob[] {
    const result: QueuedJob[] = [];
    for (const job of this.context.clusterState.jobs.values()) {
      if (job.isBlocked || !this.allocations.heldShards.has(job.shard) || job.state !== 'live' || job.pendingCount() === 0)
        continue;
      result.push({
        job,
        quota: quotaStatuses.get(job) ?? WITHOUT_QUOTA,
        startDeadline: this.startDeadlineOf(job, now),
        isAged: this.isAged(job, now),
      });
    }
    this.postponeLargest(result, now);
    return result.sort(
      (a, b) =>
        b.job.priority - a.job.priority ||
        Number(b.isAged) - Number(a.isAged) ||
        (a.isAged ? a.job.modRevision - b.job.modRevision : 0) ||
        Number(b.quota.withinQuota) - Number(a.quota.withinQuota) ||
        a.startDeadline - b.startDeadline ||
        a.job.modRevision - b.job.modRevision,
    );
  }

  /**
   * When more arrays wait than can be started in time, going by their due times makes nearly
   * all of them late. The largest of those due so far are put off to their next objective
   * until the rest can be kept (Moore and Hodgson's rule: the fewest late). Tried on days
   * when three times as many came: a fifth of the arrays missed their times, and less was
   * in the way than that.
   */
  private postponeLargest(queue: QueuedJob[], now: Milliseconds): void {
    const shards = new Map<string, QueuedJob[]>();
    for (const queued of queue) {
      // Of the lowest rank there may be hundreds, and others' room to wait for: they go as they came.
      if (
        queued.job.priority === 0 ||
        queued.job.spec.shape !== 'array' ||
        queued.job.spec.gpus > 0 ||
        this.allocations.failureAttribution.isCrashLooping(queued.job)
      )
        continue;
      const key = `${queued.job.shard}/${queued.job.priority}/${queued.quota.withinQuota}`;
      const list = shards.get(key);
      if (list) list.push(queued);
      else shards.set(key, [queued]);
    }
    for (const list of shards.values()) {
      if (list.length < 2) continue;
      const cpusInUse = this.cpusInUseByPeers((list[0] as QueuedJob).job);
      if (cpusInUse <= 0) continue;
      const open = list.map((queued) => ({
        queued,
        deadlines: this.startDeadlines(queued.job, now),
        durationMs: (queued.job.pendingCount() * queued.job.expectedRunMs * queued.job.spec.cpus) / cpusInUse,
      }));
      for (let again = true; again; ) {
        again = false;
        const timed = open
          .filter((entry) => entry.deadlines.length > 0)
          .sort((a, b) => (a.deadlines[0] as Milliseconds) - (b.deadlines[0] as Milliseconds));
        const kept: typeof open = [];
        let end = now;
        for (const entry of timed) {
          kept.push(entry);
          end += entry.durationMs;
          if (end <= (entry.deadlines[0] as Milliseconds)) continue;
          let largest = 0;
          for (let index = 1; index < kept.length; index++)
            if ((kept[index] as typeof entry).durationMs > (kept[largest] as typeof entry).durationMs) largest = index;
          const postponed = kept.splice(largest, 1)[0] as typeof entry;
          postponed.deadlines.shift();
          end -= postponed.durationMs;
          again = true;
        }
      }
      // What can keep none of its times any more comes last, the shortest first; what hasn't
      // begun for too long comes before all: being last must not mean never.
      for (const entry of open) {
        const late =
          entry.queued.job.doneCount === 0 &&
          entry.queued.job.tenure.allocations.size === 0 &&
          now - entry.queued.job.arrivedAt > MAX_ARRAY_WAIT_MS;
        entry.queued.startDeadline = late ? entry.queued.job.arrivedAt : (entry.deadlines[0] ?? now + 1e7 + entry.durationMs);
      }
    }
  }

  /** CPUs that independent tasks of the job's rank have in its share, about what comes free for more. */
  private cpusInUseByPeers(job: Job): number {
    let cpus = 0;
    for (const other of this.context.clusterState.jobs.values()) {
      if (other.shard !== job.shard || other.spec.shape !== 'array' || other.spec.gpus > 0 || other.priority !== job.priority)
        continue;
      cpus += other.tenure.allocations.size * other.spec.cpus;
    }
    return cpus;
  }
}
