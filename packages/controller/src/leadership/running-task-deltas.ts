/**
 * What the other controllers are told of running tasks, for display: all jobs now and then, and what changed in
 * between. What doesn't fit one status goes with the next ones, so that none outgrows a frame, however many jobs run.
 */
import type { PeerStatus } from '@archpost/protocol';
import type { RunningTasks } from '../model/index.js';

/** Each so many statuses tell of all jobs that run; a peer that missed a change has it within seconds. */
const ALL_EACH = 5;

/** Jobs in one status; with the longest names they fill a quarter of a frame. */
const MOST_JOBS = 10_000;

const NONE: RunningTasks = { count: 0, done: 0, failed: 0 };

export class RunningTaskDeltas {
  /** what the others have been told, or will be by what is still to be told */
  private lastTold: ReadonlyMap<string, RunningTasks> = new Map();
  private readonly pending = new Map<string, RunningTasks>();
  private statusCount = 0;

  constructor(private readonly maxJobs = MOST_JOBS) {}

  /** What the next status says; `runningAll`: what was told before is to be forgotten. */
  next(running: ReadonlyMap<string, RunningTasks>): Pick<PeerStatus, 'runningJobs' | 'runningJobsComplete'> {
    const runningAll = this.statusCount++ % ALL_EACH === 0 && this.pending.size === 0;
    if (runningAll) for (const [job, tasks] of running) this.pending.set(job, tasks);
    else this.noteChanges(running);
    this.lastTold = running;
    return { runningJobs: this.takeSome(), runningJobsComplete: runningAll };
  }

  private noteChanges(running: ReadonlyMap<string, RunningTasks>): void {
    for (const [job, tasks] of running) {
      const known = this.lastTold.get(job);
      if (known?.count !== tasks.count || known.done !== tasks.done || known.failed !== tasks.failed)
        this.pending.set(job, tasks);
    }
    for (const job of this.lastTold.keys()) if (!running.has(job)) this.pending.set(job, NONE);
  }

  private takeSome(): PeerStatus['runningJobs'] {
    const some: PeerStatus['runningJobs'] = [];
    for (const [job, tasks] of this.pending) {
      if (some.length >= this.maxJobs) break;
      some.push({ job, ...tasks });
      this.pending.delete(job);
    }
    return some;
  }
}
