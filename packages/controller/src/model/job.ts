/** A job and where its tasks are. */
import type { JobSpec, TaskReport } from '@archpost/protocol';
import type { Machine } from './machine.js';
import type { Ms } from './time.js';

export interface Need {
  cpus: number;
  gpus: number;
  memory: number;
}

/** One task on one machine, from the plan to the end of its report. */
export interface Placement {
  job: Job;
  index: number;
  attempt: number;
  machine: Machine;
  /**
   * planned: room is held, nothing sent; sent: the start may have been executed;
   * there: the worker reports it; exited: it has ended and awaits `forget`
   */
  phase: 'planned' | 'sent' | 'there' | 'exited';
  report: TaskReport | null;
  plannedAt: Ms;
  /** wanted stop: grace in seconds; null: none */
  stop: number | null;
  stopSentAt: Ms;
  /** when the first stop was sent; -1: not yet */
  stopSince: Ms;
  ranSince: Ms;
}

/** A job, what is stored of it and what this controller knows and intends. */
export class Job {
  state: 'live' | 'done' | 'cancelled' = 'live';
  stamp = 0;
  /** first seen here */
  arrivedAt: Ms = 0;
  /** time of day of the submission, ms */
  wall = 0;
  /** ids of jobs that have to be stored as done before any task starts */
  readonly awaited = new Set<string>();
  /** parts of its record that were not read yet; infinite where a list can't be read */
  missingParts = 0;
  /** time of day when the last job that it awaited was done; 0: it awaited none, or the time isn't known */
  readyAt: Ms = 0;
  /** its own rank, or that of the most urgent job that needs it */
  rank: number;
  /** time of day by which it should be done, by its own deadline alone and the time it had from its submission */
  deadlineAt: Ms = Number.POSITIVE_INFINITY;
  deadlineSpan: Ms = 0;
  /** time of day by which it should be done so that all that needs it is in time, and that deadline's time from submission */
  endBy: Ms = Number.POSITIVE_INFINITY;
  endBySpan: Ms = 0;
  doneCount = 0;
  done: Uint8Array;
  stored: Uint8Array;
  placements = new Map<number, Placement>();
  /** first index that was never placed */
  cursor = 0;
  returned: number[] = [];
  notBefore: Ms = 0;
  /** since when some of its tasks have had no room; -1: all have */
  waitsSince: Ms = -1;
  /** machines that it failed on */
  readonly failedOn = new Set<string>();
  failures = 0;
  /** since when it is taken to fail everywhere; -1: it isn't */
  brokenSince: Ms = -1;
  /** how often it was tried since, after each of its tasks had been */
  retries = 0;
  /** some of it ran for a while without failing */
  wentWell = false;
  progressQueued = false;
  /** some of its tasks are done and not stored as such */
  progressDirty = true;
  progressAt: Ms = -1e12;
  finishQueued = false;
  /** gang: attempt in use; 0: none */
  gangAttempt = 0;
  gangFailed = false;
  lastStop: Ms = -1e12;
  /** when one of its tasks was seen stopped that this controller had not told to */
  stoppedElsewhereAt: Ms = -1e12;
  /** when its cancellation was read here */
  cancelledAt: Ms = -1;
  /** longest run of one of its tasks so far, seconds */
  ranS = 0;

  constructor(
    readonly spec: JobSpec,
    readonly team: number,
    readonly share: number,
    public types: number[] | null,
    readonly zone: number,
    readonly image: number,
  ) {
    this.rank = spec.rank;
    this.done = new Uint8Array(spec.tasks);
    this.stored = new Uint8Array(spec.tasks);
  }

  get need(): Need {
    return this.spec;
  }

  /** How long one of its tasks runs: the longest so far, or else its owner's estimate. */
  get runMs(): Ms {
    return (this.ranS > 0 ? this.ranS : this.spec.estimateS) * 1000;
  }

  /** It awaits others, or what it awaits isn't known yet: none of its tasks may start. */
  get waits(): boolean {
    return this.awaited.size > 0 || this.missingParts > 0;
  }

  /** The submission tells by when the job should be done. */
  setSubmitted(at: Ms): void {
    this.wall = at;
    if (this.spec.deadlineS === null) return;
    this.deadlineSpan = this.spec.deadlineS * 1000;
    this.deadlineAt = at + this.deadlineSpan;
    this.endBy = this.deadlineAt;
    this.endBySpan = this.deadlineSpan;
  }

  /** Tasks that are neither done nor anywhere. */
  pendingCount(): number {
    let placedUndone = 0;
    for (const p of this.placements.values()) if (!this.done[p.index]) placedUndone++;
    return this.spec.tasks - this.doneCount - placedUndone;
  }

  /** A task to place: the caller does so at once. */
  nextPending(): number {
    while (this.returned.length > 0) {
      const i = this.returned[this.returned.length - 1] as number;
      if (!this.done[i] && !this.placements.has(i)) return i;
      this.returned.pop();
    }
    while (this.cursor < this.spec.tasks) {
      const i = this.cursor++;
      if (!this.done[i] && !this.placements.has(i)) return i;
    }
    return -1;
  }

  /** What was never placed comes before what was. */
  nextUntried(): number {
    const returned = this.returned;
    this.returned = [];
    const index = this.nextPending();
    this.returned = returned;
    return index >= 0 ? index : this.nextPending();
  }

  allPending(): number[] {
    const out: number[] = [];
    for (let i = 0; i < this.spec.tasks; i++) if (!this.done[i] && !this.placements.has(i)) out.push(i);
    return out;
  }
}
