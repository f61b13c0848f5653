/**
 * A job and the allocations of its tasks. The fields are grouped by who writes them: the cluster state (what is stored), the
 * holder of the job's shard (what it observed and what it intends), and failure attribution.
 */
import type { JobSpec, TaskStatus } from '@archpost/protocol';
import type { Machine } from './machine.js';
import type { Resources } from './resources.js';
import { type Milliseconds, NEVER } from './time.js';

/** The zone index of a job that may run in any zone. */
export const ANY_ZONE = -1;

/** Stands for a task's index where there is no task. */
export const NO_TASK = -1;

/**
 * How far an allocation is. `planned`: resources are reserved, nothing was sent. `sent`: the start was sent and may have been
 * executed. `reported`: the machine reports the task. `exited`: the task has ended, and the worker has yet to be commanded to
 * forget it.
 */
export type AllocationPhase = 'planned' | 'sent' | 'reported' | 'exited';

/** One task on one machine, from the scheduling decision until the machine has forgotten the task. */
export interface Allocation {
  job: Job;
  taskIndex: number;
  attempt: number;
  machine: Machine;
  phase: AllocationPhase;
  /** as the machine reported it last; null: not reported yet */
  status: TaskStatus | null;
  plannedAt: Milliseconds;
  /** the task is to be stopped with this grace; null: it isn't */
  stopGraceS: number | null;
  /** when the last stop was sent; `NEVER`: none, or it has to be sent again at once */
  stopSentAt: Milliseconds;
  /** when the first stop was sent; null: not yet */
  firstStopSentAt: Milliseconds | null;
  /** when the task was first seen running; null: not yet */
  runningSince: Milliseconds | null;
}

/**
 * What the holder of a job's shard decided about the job. It begins when the shard's lease is acquired, and is made anew then:
 * nothing of an earlier tenure may count.
 */
export class JobTenure {
  /** by task index */
  readonly allocations = new Map<number, Allocation>();
  /** the first task that was never allocated */
  nextUntriedTask = 0;
  /** tasks that were allocated and are to be allocated again; some of them may be done or allocated by now */
  releasedTasks: number[] = [];
  /** of a gang: the attempt that is in use; null: none */
  gangAttempt: number | null = null;
  /** of a gang: the attempt has failed and is to be stopped whole */
  gangFailed = false;
  progressWriteQueued = false;
  /** some tasks are done and not stored as done */
  progressUnstored = true;
  completionWriteQueued = false;
}

/** What a job is made of: its specification, and the indices of the names in it. */
export interface JobIdentity {
  spec: JobSpec;
  teamIndex: number;
  shard: number;
  /** machine types that it may use; null: any */
  typeIndices: number[] | null;
  /** its zone, or `ANY_ZONE` */
  zoneIndex: number;
  imageIndex: number;
}

/** A job: what is stored of it, and what this controller knows and intends. */
export class Job {
  readonly spec: JobSpec;
  readonly teamIndex: number;
  readonly shard: number;
  /** machine types that it may use; null: any */
  typeIndices: number[] | null;
  /** its zone, or `ANY_ZONE` */
  readonly zoneIndex: number;
  readonly imageIndex: number;
  /** what the holder of the job's shard decided, if that is this controller */
  tenure = new JobTenure();

  // ---- stored, or derived from what is stored: written by the cluster state

  state: 'live' | 'done' | 'cancelled' = 'live';
  /** revision of the job's record */
  modRevision = 0;
  /** from when its waiting counts: first seen here, or the end of the last job that it awaited */
  arrivedAt: Milliseconds = 0;
  /** time of day of the submission, ms */
  submittedAt = 0;
  /** when its cancellation was first read here; null: it isn't cancelled */
  cancelledAt: Milliseconds | null = null;
  /** ids of jobs that have to be stored as done before any task starts */
  readonly unfinishedDependencyIds = new Set<string>();
  /** parts of its record that were not read yet; infinite where a list can't be read */
  missingRecordParts = 0;
  /** time of day when the last job that it awaited was done; 0: it awaited none, or the time isn't known */
  dependenciesDoneAt: Milliseconds = 0;
  /** its own priority, or that of its most urgent dependent */
  priority: number;
  /** time of day of its own deadline */
  deadlineAt: Milliseconds = Number.POSITIVE_INFINITY;
  /** from the submission to its own deadline */
  deadlineSpanMs: Milliseconds = 0;
  /** time of day by which it has to be done so that it and all its dependents meet their deadlines */
  effectiveDeadlineAt: Milliseconds = Number.POSITIVE_INFINITY;
  /** from the submission to the deadline that the effective one comes from, of this job or of a dependent */
  effectiveDeadlineSpanMs: Milliseconds = 0;
  /** by task index: not 0 if the task is stored as done */
  storedDone: Uint8Array;

  // ---- observed: written by the cluster state and, from heartbeats, by the shard's holder

  /** by task index: not 0 if the task is done, stored or not */
  done: Uint8Array;
  /** number of tasks that are done */
  doneCount = 0;
  /** longest run of one of its tasks so far; 0: none has ended */
  longestRunS = 0;
  /** when one of its tasks was last seen stopped without a stop from this controller */
  stoppedByOthersAt: Milliseconds = NEVER;

  // ---- intended: written by the shard's holder

  /** not scheduled before this time */
  retryAt: Milliseconds = 0;
  /** since when some of its tasks couldn't be allocated; null: all are */
  waitingSince: Milliseconds | null = null;
  /** when one of its tasks was last to be stopped */
  lastStopAt: Milliseconds = NEVER;
  progressWrittenAt: Milliseconds = NEVER;

  // ---- failure history: written by failure attribution

  /** names of the machines that its tasks failed on */
  readonly failedOn = new Set<string>();
  failureCount = 0;
  /** since when it is taken to fail on every machine; null: it isn't */
  crashLoopingSince: Milliseconds | null = null;
  /** how often it was tried since then, once each of its tasks had been tried */
  retries = 0;
  /** one of its tasks ran for a while without failing */
  ranWithoutError = false;

  constructor({ spec, teamIndex, shard, typeIndices, zoneIndex, imageIndex }: JobIdentity) {
    this.spec = spec;
    this.teamIndex = teamIndex;
    this.shard = shard;
    this.typeIndices = typeIndices;
    this.zoneIndex = zoneIndex;
    this.imageIndex = imageIndex;
    this.priority = spec.priority;
    this.done = new Uint8Array(spec.tasks);
    this.storedDone = new Uint8Array(spec.tasks);
  }

  /** What each of its tasks takes. */
  get resources(): Resources {
    return this.spec;
  }

  /** How long one of its tasks runs: the longest so far, or else its user's estimate. */
  get expectedRunMs(): Milliseconds {
    return (this.longestRunS > 0 ? this.longestRunS : this.spec.estimatedRunS) * 1000;
  }

  /** It awaits others, or what it awaits isn't known yet: none of its tasks may start. */
  get isBlocked(): boolean {
    return this.unfinishedDependencyIds.size > 0 || this.missingRecordParts > 0;
  }

  /** Sets the time of day of the submission, from which its deadline counts. */
  setSubmittedAt(at: Milliseconds): void {
    this.submittedAt = at;
    if (this.spec.deadlineS === null) return;
    this.deadlineSpanMs = this.spec.deadlineS * 1000;
    this.deadlineAt = at + this.deadlineSpanMs;
    this.effectiveDeadlineAt = this.deadlineAt;
    this.effectiveDeadlineSpanMs = this.deadlineSpanMs;
  }

  /** How many tasks run, by their workers' last heartbeats. */
  runningCount(): number {
    let count = 0;
    for (const { phase, status } of this.tenure.allocations.values())
      if (phase === 'reported' && status?.state === 'running') count++;
    return count;
  }

  /** How many tasks are neither done nor allocated. */
  pendingCount(): number {
    let allocatedUndone = 0;
    for (const allocation of this.tenure.allocations.values()) if (!this.done[allocation.taskIndex]) allocatedUndone++;
    return this.spec.tasks - this.doneCount - allocatedUndone;
  }

  /**
   * A task that is neither done nor allocated, one that was allocated before first; `NO_TASK` if there is none. The caller
   * allocates it at once: a task that was never allocated isn't returned a second time.
   */
  nextPendingTask(): number {
    const { tenure } = this;
    let released = tenure.releasedTasks.at(-1);
    while (released !== undefined) {
      if (this.isPending(released)) return released;
      tenure.releasedTasks.pop();
      released = tenure.releasedTasks.at(-1);
    }
    while (tenure.nextUntriedTask < this.spec.tasks) {
      const index = tenure.nextUntriedTask++;
      if (this.isPending(index)) return index;
    }
    return NO_TASK;
  }

  /** As `nextPendingTask`, but one that was never allocated first: of a crash-looping job, one that hasn't failed yet. */
  nextUntriedTaskFirst(): number {
    const releasedTasks = this.tenure.releasedTasks;
    this.tenure.releasedTasks = [];
    const index = this.nextPendingTask();
    this.tenure.releasedTasks = releasedTasks;
    return index === NO_TASK ? this.nextPendingTask() : index;
  }

  /** All tasks that are neither done nor allocated. */
  pendingTasks(): number[] {
    const result: number[] = [];
    for (let index = 0; index < this.spec.tasks; index++) if (this.isPending(index)) result.push(index);
    return result;
  }

  private isPending(taskIndex: number): boolean {
    return !this.done[taskIndex] && !this.tenure.allocations.has(taskIndex);
  }
}
