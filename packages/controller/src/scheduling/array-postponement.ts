/**
 * Postponement of large arrays. When more arrays wait than can start in time, scheduling them by start deadline makes nearly
 * all of them late. Instead, the largest arrays are postponed to their next deadline until the others can meet theirs. On days
 * with three times the usual number of jobs, a fifth of the arrays missed their deadlines, although fewer arrays than that
 * blocked the rest.
 */
import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView } from '../context/index.js';
import { appendTo, type Job, type Milliseconds } from '../model/index.js';
import { attainableDeadlines, type DeadlineJob } from './moore-hodgson.js';
import type { QueuedJob } from './queued-job.js';
import type { StartDeadlines } from './start-deadlines.js';

/**
 * An array none of whose tasks has started for this long is scheduled before other arrays: users wait four minutes at most.
 */
const MAX_ARRAY_WAIT_MS = 180_000;

/**
 * An array that can meet none of its deadlines is due after this time, counted from now, plus the expected time for its tasks.
 */
const MISSED_ALL_DEADLINES_DELAY_MS = 1e7;

/** Sets the start deadlines of waiting arrays to deadlines that they can meet together. */
export class ArrayPostponement {
  constructor(
    private readonly context: ClusterStateView,
    private readonly allocations: TaskAllocations,
    private readonly startDeadlines: StartDeadlines,
  ) {}

  /** Sets `startDeadline` of the arrays in the queue. Changes nothing else. */
  apply(queue: readonly QueuedJob[], now: Milliseconds): void {
    for (const arrays of this.competingArrays(queue)) {
      const [first] = arrays;
      if (!first || arrays.length < 2) continue;
      const cpusInUse = this.cpusInUseByArrays(first.job);
      if (cpusInUse > 0) this.postpone(arrays, cpusInUse, now);
    }
  }

  /**
   * Groups the arrays that compete for the same machines: those of one shard and priority that are all within quota or all
   * beyond it.
   */
  private competingArrays(queue: readonly QueuedJob[]): Iterable<QueuedJob[]> {
    const groups = new Map<string, QueuedJob[]>();
    for (const queued of queue) {
      if (!this.mayBePostponed(queued.job)) continue;
      appendTo(groups, `${queued.job.shard}/${queued.job.priority}/${queued.quota.withinQuota}`, queued);
    }
    return groups.values();
  }

  /**
   * Whether postponement applies to the job. Arrays of the lowest priority are exempt: there may be hundreds of them, they use
   * only the capacity that other jobs leave free, and they are scheduled first come, first served.
   */
  private mayBePostponed(job: Job): boolean {
    const { shape, gpus } = job.spec;
    const isCpuArray = shape === 'array' && gpus <= 0;
    return job.priority !== 0 && isCpuArray && !this.allocations.failureAttribution.isCrashLooping(job);
  }

  private postpone(arrays: readonly QueuedJob[], cpusInUse: number, now: Milliseconds): void {
    const jobs: DeadlineJob[] = arrays.map(({ job }) => ({
      deadlines: this.startDeadlines.attainableStartDeadlines(job, now),
      durationMs: (job.pendingCount() * job.expectedRunMs * job.spec.cpus) / cpusInUse,
    }));
    const deadlines = attainableDeadlines(jobs, now);
    arrays.forEach((queued, index) => {
      const { durationMs } = jobs[index] as DeadlineJob;
      // An array that can meet none of its deadlines is scheduled last, the shortest first. An array that has waited too long
      // is scheduled first, so that none waits forever.
      const startDeadline = deadlines[index] ?? now + MISSED_ALL_DEADLINES_DELAY_MS + durationMs;
      queued.startDeadline = hasWaitedTooLong(queued.job, now) ? queued.job.eligibleAt : startDeadline;
    });
  }

  /**
   * Returns the number of processor cores that CPU arrays of the job's shard and priority use. About as many become free for
   * waiting arrays.
   */
  private cpusInUseByArrays(job: Job): number {
    let cpus = 0;
    for (const other of this.context.clusterState.jobs.values()) {
      const isCompeting = other.shard === job.shard && other.priority === job.priority;
      if (!isCompeting || other.spec.shape !== 'array' || other.spec.gpus > 0) continue;
      cpus += other.tenure.allocations.size * other.spec.cpus;
    }
    return cpus;
  }
}

function hasWaitedTooLong(job: Job, now: Milliseconds): boolean {
  return job.doneCount === 0 && job.tenure.allocations.size === 0 && now - job.eligibleAt > MAX_ARRAY_WAIT_MS;
}
