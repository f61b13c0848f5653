/**
 * Postponement of large arrays. When more arrays wait than can be started in time, going by their start deadlines makes
 * nearly all of them late. The largest are put off to their next deadline until the rest can be met. Tried on days when three
 * times as many jobs came as usual: a fifth of the arrays missed their times, and less was in the way than that.
 */
import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView } from '../context/index.js';
import { appendTo, type Job, type Milliseconds } from '../model/index.js';
import { attainableDeadlines, type DeadlineJob } from './moore-hodgson.js';
import type { QueuedJob } from './queued-job.js';
import type { StartDeadlines } from './start-deadlines.js';

/** An array of which nothing has begun for this long comes before others: users wait four minutes at most. */
const MAX_ARRAY_WAIT_MS = 180_000;

/** An array that can meet none of its deadlines is due so long after now, and the longer its tasks take the later. */
const MISSED_ALL_DEADLINES_MS = 1e7;

/** Sets the start deadlines of waiting arrays to those that can be met together. */
export class ArrayPostponement {
  constructor(
    private readonly context: ClusterStateView,
    private readonly allocations: TaskAllocations,
    private readonly startDeadlines: StartDeadlines,
  ) {}

  /** Changes `startDeadline` of the arrays in the queue, and nothing else. */
  apply(queue: readonly QueuedJob[], now: Milliseconds): void {
    for (const arrays of this.competingArrays(queue)) {
      const [first] = arrays;
      if (!first || arrays.length < 2) continue;
      const cpusInUse = this.cpusInUseByPeers(first.job);
      if (cpusInUse > 0) this.postpone(arrays, cpusInUse, now);
    }
  }

  /** Arrays that wait for the same machines: of one shard and priority, and all within quota or all beyond it. */
  private competingArrays(queue: readonly QueuedJob[]): Iterable<QueuedJob[]> {
    const groups = new Map<string, QueuedJob[]>();
    for (const queued of queue) {
      if (!this.mayBePostponed(queued.job)) continue;
      appendTo(groups, `${queued.job.shard}/${queued.job.priority}/${queued.quota.withinQuota}`, queued);
    }
    return groups.values();
  }

  /** Of the lowest priority there may be hundreds, and they wait for what others leave free: first come, first served. */
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
      // What can meet none of its deadlines comes last, the shortest first. Last must not mean never, though.
      const startDeadline = deadlines[index] ?? now + MISSED_ALL_DEADLINES_MS + durationMs;
      queued.startDeadline = hasWaitedTooLong(queued.job, now) ? queued.job.arrivedAt : startDeadline;
    });
  }

  /** Processor cores that arrays of the job's shard and priority use: about what comes free for more of them. */
  private cpusInUseByPeers(job: Job): number {
    let cpus = 0;
    for (const other of this.context.clusterState.jobs.values()) {
      const isPeer = other.shard === job.shard && other.priority === job.priority;
      if (!isPeer || other.spec.shape !== 'array' || other.spec.gpus > 0) continue;
      cpus += other.tenure.allocations.size * other.spec.cpus;
    }
    return cpus;
  }
}

function hasWaitedTooLong(job: Job, now: Milliseconds): boolean {
  return job.doneCount === 0 && job.tenure.allocations.size === 0 && now - job.arrivedAt > MAX_ARRAY_WAIT_MS;
}
