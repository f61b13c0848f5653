/**
 * The running jobs that statuses list, for display by the other controllers: all of them at regular intervals, and only those
 * that changed in between. Entries that don't fit one status are sent in the next ones, so that no status exceeds a frame,
 * however many jobs run.
 *
 * Owns the entries that were sent, and those that are pending.
 */
import type { PeerStatus } from '@archpost/protocol';
import type { RunningTasks } from '../model/index.js';

/** One status in this many lists all running jobs, so that a peer that missed a change receives it within seconds. */
const STATUSES_PER_FULL_LIST = 5;

/** Maximum number of jobs in one status; with the longest names they fill a quarter of a frame. */
const MAX_JOBS_PER_STATUS = 10_000;

const NO_TASKS: RunningTasks = { count: 0, done: 0, failed: 0 };

/** Computes the entries of each status from the jobs that are running at that time. */
export class RunningTaskDeltas {
  /** the running jobs that the peers know once all pending entries have been sent */
  private published: ReadonlyMap<string, RunningTasks> = new Map();
  private readonly pending = new Map<string, RunningTasks>();
  private statusCount = 0;

  constructor(private readonly maxJobsPerStatus = MAX_JOBS_PER_STATUS) {}

  /**
   * Returns the entries of the next status. `running` is kept until the next call and must not be modified until then.
   * `runningJobsComplete`: the receiver discards all earlier entries. An entry without tasks means that the job no longer runs.
   */
  next(running: ReadonlyMap<string, RunningTasks>): Pick<PeerStatus, 'runningJobs' | 'runningJobsComplete'> {
    const isFullListDue = this.statusCount++ % STATUSES_PER_FULL_LIST === 0;
    // While entries are pending, a full list would make the receiver discard jobs whose entries it has already received.
    const runningJobsComplete = isFullListDue && this.pending.size === 0;
    if (runningJobsComplete) for (const [job, tasks] of running) this.pending.set(job, tasks);
    else this.addChanges(running);
    this.published = running;
    return { runningJobs: this.takePending(), runningJobsComplete };
  }

  private addChanges(running: ReadonlyMap<string, RunningTasks>): void {
    for (const [job, tasks] of running) {
      const previous = this.published.get(job);
      if (previous?.count !== tasks.count || previous.done !== tasks.done || previous.failed !== tasks.failed)
        this.pending.set(job, tasks);
    }
    for (const job of this.published.keys()) if (!running.has(job)) this.pending.set(job, NO_TASKS);
  }

  private takePending(): PeerStatus['runningJobs'] {
    const jobs: PeerStatus['runningJobs'] = [];
    for (const [job, tasks] of this.pending) {
      if (jobs.length >= this.maxJobsPerStatus) break;
      jobs.push({ job, ...tasks });
      this.pending.delete(job);
    }
    return jobs;
  }
}
