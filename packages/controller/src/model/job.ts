/** A job and where its tasks are. */
import type { JobSpec, TaskStatus } from '@archpost/protocol';
import type { Machine } from './machine.js';
import type { Resources } from './resources.js';
import { type Milliseconds, NEVER } from './time.js';

/** One task on one machine, from the plan to the end of its report. */
export interface Allocation {
  job: Job;
  taskIndex: number;
  attempt: number;
  machine: Machine;
  /**
   * planned: room is held, nothing sent; sent: the start may have been executed;
   * there: the worker reports it; exited: it has ended and awaits `forget`
   */
  phase: 'planned' | 'sent' | 'there' | 'exited';
  status: TaskStatus | null;
  plannedAt: Milliseconds;
  /** wanted stop: grace in seconds; null: none */
  stopGraceS: number | null;
  stopSentAt: Milliseconds;
  /** when the first stop was sent; -1: not yet */
  firstStopSentAt: Milliseconds | null;
  runningSince: Milliseconds | null;
}

/** What the holder of a job's shard decided about the job. It begins with the lease on the shard, and is made anew then. */
export class JobTenure {
  readonly allocations = new Map<number, Allocation>();
  /** first index that was never placed */
  nextUntriedTask = 0;
  releasedTasks: number[] = [];
  /** gang: attempt in use; 0: none */
  gangAttempt: number | null = null;
  gangFailed = false;
  progressWriteQueued = false;
  /** some of its tasks are done and not stored as such */
  progressUnstored = true;
  completionWriteQueued = false;
}

/** A job, what is stored of it and what this controller knows and intends. */
export class Job {
  tenure = new JobTenure();
  state: 'live' | 'done' | 'cancelled' = 'live';
  modRevision = 0;
  /** first seen here */
  arrivedAt: Milliseconds = 0;
  /** time of day of the submission, ms */
  submittedAt = 0;
  /** ids of jobs that have to be stored as done before any task starts */
  readonly awaitedJobs = new Set<string>();
  /** parts of its record that were not read yet; infinite where a list can't be read */
  missingRecordParts = 0;
  /** time of day when the last job that it awaited was done; 0: it awaited none, or the time isn't known */
  dependenciesDoneAt: Milliseconds = 0;
  /** its own rank, or that of the most urgent job that needs it */
  priority: number;
  /** time of day by which it should be done, by its own deadline alone and the time it had from its submission */
  deadlineAt: Milliseconds = Number.POSITIVE_INFINITY;
  deadlineSpanMs: Milliseconds = 0;
  /** time of day by which it should be done so that all that needs it is in time, and that deadline's time from submission */
  effectiveDeadlineAt: Milliseconds = Number.POSITIVE_INFINITY;
  effectiveDeadlineSpanMs: Milliseconds = 0;
  doneCount = 0;
  done: Uint8Array;
  storedDone: Uint8Array;
  retryAt: Milliseconds = 0;
  /** since when some of its tasks have had no room; -1: all have */
  waitingSince: Milliseconds | null = null;
  /** machines that it failed on */
  readonly failedOn = new Set<string>();
  failureCount = 0;
  /** since when it is taken to fail everywhere; -1: it isn't */
  crashLoopingSince: Milliseconds | null = null;
  /** how often it was tried since, after each of its tasks had been */
  retries = 0;
  /** some of it ran for a while without failing */
  ranWithoutError = false;
  progressWrittenAt: Milliseconds = NEVER;
  lastStopAt: Milliseconds = NEVER;
  /** when one of its tasks was seen stopped that this controller had not told to */
  stoppedByOthersAt: Milliseconds = NEVER;
  /** when its cancellation was read here */
  cancelledAt: Milliseconds | null = null;
  /** longest run of one of its tasks so far, seconds */
  longestRunS = 0;

  constructor(
    readonly spec: JobSpec,
    readonly teamIndex: number,
    readonly shard: number,
    public typeIndices: number[] | null,
    readonly zoneIndex: number,
    readonly imageIndex: number,
  ) {
    this.priority = spec.rank;
    this.done = new Uint8Array(spec.tasks);
    this.storedDone = new Uint8Array(spec.tasks);
  }

  get resources(): Resources {
    return this.spec;
  }

  /** How long one of its tasks runs: the longest so far, or else its owner's estimate. */
  get expectedRunMs(): Milliseconds {
    return (this.longestRunS > 0 ? this.longestRunS : this.spec.estimateS) * 1000;
  }

  /** It awaits others, or what it awaits isn't known yet: none of its tasks may start. */
  get isBlocked(): boolean {
    return this.awaitedJobs.size > 0 || this.missingRecordParts > 0;
  }

  /** The submission tells by when the job should be done. */
  setSubmittedAt(at: Milliseconds): void {
    this.submittedAt = at;
    if (this.spec.deadlineS === null) return;
    this.deadlineSpanMs = this.spec.deadlineS * 1000;
    this.deadlineAt = at + this.deadlineSpanMs;
    this.effectiveDeadlineAt = this.deadlineAt;
    this.effectiveDeadlineSpanMs = this.deadlineSpanMs;
  }

  /** Tasks that are neither done nor anywhere. */
  pendingCount(): number {
    let placedUndone = 0;
    for (const allocation of this.tenure.allocations.values()) if (!this.done[allocation.taskIndex]) placedUndone++;
    return this.spec.tasks - this.doneCount - placedUndone;
  }

  /** A task to place: the caller does so at once. */
  nextPendingTask(): number {
    while (this.tenure.releasedTasks.length > 0) {
      const index = this.tenure.releasedTasks[this.tenure.releasedTasks.length - 1] as number;
      if (!this.done[index] && !this.tenure.allocations.has(index)) return index;
      this.tenure.releasedTasks.pop();
    }
    while (this.tenure.nextUntriedTask < this.spec.tasks) {
      const index = this.tenure.nextUntriedTask++;
      if (!this.done[index] && !this.tenure.allocations.has(index)) return index;
    }
    return -1;
  }

  /** What was never placed comes before what was. */
  nextUntriedTaskFirst(): number {
    const returned = this.tenure.releasedTasks;
    this.tenure.releasedTasks = [];
    const index = this.nextPendingTask();
    this.tenure.releasedTasks = returned;
    return index >= 0 ? index : this.nextPendingTask();
  }

  pendingTasks(): number[] {
    const result: number[] = [];
    for (let index = 0; index < this.spec.tasks; index++)
      if (!this.done[index] && !this.tenure.allocations.has(index)) result.push(index);
    return result;
  }
}
