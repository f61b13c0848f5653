/**
 * A job and the allocations of its tasks. The fields are grouped by the component that writes them: the cluster state (stored
 * fields), the holder of the job's shard lease (observations and intents), and failure attribution.
 */
import type { JobSpec, TaskStatus } from '@archpost/protocol';
import type { Machine } from './machine.js';
import type { Resources } from './resources.js';
import { type Milliseconds, NEVER } from './time.js';

/** The zone index of a job that may run in any zone. */
export const ANY_ZONE = -1;

/** The task index that denotes the absence of a task. */
export const NO_TASK = -1;

/**
 * The phase of an allocation. `planned`: resources are reserved, no command was sent. `sent`: the start command was sent and may
 * have been executed. `reported`: the machine reports the task. `exited`: the task has ended, and the worker has not forgotten
 * it yet.
 */
export type AllocationPhase = 'planned' | 'sent' | 'reported' | 'exited';

/**
 * The assignment of one task to one machine, from the scheduling decision until the machine has forgotten the task or the task is
 * finished.
 */
export interface Allocation {
  job: Job;
  taskIndex: number;
  attempt: number;
  machine: Machine;
  /**
   * no start of the attempt was sent under a higher fencing token than this: the token of its start or, if another lease holder
   * sent that, of this controller's last start on the machine
   */
  startToken: number;
  phase: AllocationPhase;
  /** the status that the machine reported last; null: not reported yet */
  status: TaskStatus | null;
  plannedAt: Milliseconds;
  /** grace period of the stop that is intended for the task; null: the task is not to be stopped */
  stopGraceS: number | null;
  /** when the last stop command was sent; `NEVER`: none was sent, or it has to be sent again at once */
  stopSentAt: Milliseconds;
  /** when the first stop command was sent; null: not yet */
  firstStopSentAt: Milliseconds | null;
  /** when the task was first reported as running; null: not yet */
  runningSince: Milliseconds | null;
}

/**
 * The decisions of a shard's lease holder about a job, for as long as it holds the lease. A new tenure replaces it when the lease
 * is acquired again: no decision may depend on an earlier tenure.
 */
export class JobTenure {
  /** by task index */
  readonly allocations = new Map<number, Allocation>();
  /** index of the first task that was never allocated */
  nextUntriedTask = 0;
  /** indices of tasks whose allocation was released and that need a new one; some may be done or allocated again by now */
  releasedTasks: number[] = [];
  /** gangs only: the current attempt; null: none */
  gangAttempt: number | null = null;
  /** gangs only: the current attempt has failed, and all of its tasks are to be stopped */
  gangFailed = false;
  progressWriteQueued = false;
  /** some tasks may be done without being stored as done */
  hasUnstoredProgress = true;
  completionWriteQueued = false;
}

/** The parameters for creating a job: its specification, and the indices of the names in it. */
export interface JobIdentity {
  spec: JobSpec;
  teamIndex: number;
  shard: number;
  /** indices of the machine types that the job may use; null: any */
  typeIndices: number[] | null;
  /** index of the job's zone, or `ANY_ZONE` */
  zoneIndex: number;
  imageIndex: number;
}

/** A job: its stored state, and what this controller has observed and intends. */
export class Job {
  readonly spec: JobSpec;
  readonly teamIndex: number;
  readonly shard: number;
  /** indices of the machine types that the job may use; null: any */
  typeIndices: number[] | null;
  /** index of the job's zone, or `ANY_ZONE` */
  readonly zoneIndex: number;
  readonly imageIndex: number;
  /** the decisions of this controller about the job, if it holds the lease of the job's shard */
  tenure = new JobTenure();

  // ---- stored, or derived from what is stored: written by the cluster state

  state: 'live' | 'done' | 'cancelled' = 'live';
  /** revision of the job's record */
  modRevision = 0;
  /** start of the job's waiting time: when this controller first read the job, or when its last dependency was done */
  eligibleAt: Milliseconds = 0;
  /** time of day of the submission, ms */
  submittedAt = 0;
  /** when this controller first read the job's cancellation; null: the job isn't cancelled */
  cancelledAt: Milliseconds | null = null;
  /** ids of the dependencies that are not stored as done yet; no task starts before they are */
  readonly unfinishedDependencyIds = new Set<string>();
  /** number of parts of the job's record that were not read yet; infinite if a list of the record is unreadable */
  missingRecordParts = 0;
  /** time of day when the last dependency was done; 0: the job has no dependencies, or the time isn't known */
  dependenciesDoneAt: Milliseconds = 0;
  /** the higher of its own priority and the highest priority of its dependents */
  priority: number;
  /** time of day of the job's own deadline */
  deadlineAt: Milliseconds = Number.POSITIVE_INFINITY;
  /** time from the submission to the job's own deadline */
  deadlineSpanMs: Milliseconds = 0;
  /** time of day by which the job has to be done so that the job and all its dependents meet their deadlines */
  effectiveDeadlineAt: Milliseconds = Number.POSITIVE_INFINITY;
  /** time from the submission to the deadline, of this job or a dependent, from which the effective deadline is derived */
  effectiveDeadlineSpanMs: Milliseconds = 0;
  /** by task index: not 0 if the task is stored as done */
  storedDone: Uint8Array;

  // ---- observed: written by the cluster state and, from heartbeats, by the holder of the shard lease

  /** by task index: not 0 if the task is done, stored or not */
  done: Uint8Array;
  /** number of tasks that are done */
  doneCount = 0;
  /** longest measured run time of a task that is done; 0: none was measured */
  longestRunS = 0;
  /** when a task was last reported as stopped although this controller had not decided to stop it */
  lastExternalStopAt: Milliseconds = NEVER;

  // ---- intended: written by the holder of the shard lease

  /** the job isn't scheduled before this time */
  retryAt: Milliseconds = 0;
  /** since when some of its tasks can't be allocated; null: all tasks are allocated */
  waitingSince: Milliseconds | null = null;
  /** when a stop of one of its tasks was last decided */
  lastStopAt: Milliseconds = NEVER;
  progressWrittenAt: Milliseconds = NEVER;

  // ---- failure history: written by failure attribution

  /** names of the machines on which its tasks failed */
  readonly failedOn = new Set<string>();
  failureCount = 0;
  /** since when the job is considered crash-looping, that is, failing on every machine; null: it isn't */
  crashLoopingSince: Milliseconds | null = null;
  /** number of retries since then, counted after each of its tasks was tried once */
  retries = 0;
  /** a task ran for some time without failing */
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

  /** The resources that each task requires. */
  get resources(): Resources {
    return this.spec;
  }

  /** The expected run time of a task: the longest measured one, or the user's estimate if none was measured. */
  get expectedRunMs(): Milliseconds {
    return (this.longestRunS > 0 ? this.longestRunS : this.spec.estimatedRunS) * 1000;
  }

  /** Whether no task may start yet: a dependency isn't done, or the job's record isn't completely read. */
  get isBlocked(): boolean {
    return this.unfinishedDependencyIds.size > 0 || this.missingRecordParts > 0;
  }

  /** Sets the time of day of the submission, and computes the deadline from it. */
  setSubmittedAt(at: Milliseconds): void {
    this.submittedAt = at;
    if (this.spec.deadlineS === null) return;
    this.deadlineSpanMs = this.spec.deadlineS * 1000;
    this.deadlineAt = at + this.deadlineSpanMs;
    this.effectiveDeadlineAt = this.deadlineAt;
    this.effectiveDeadlineSpanMs = this.deadlineSpanMs;
  }

  /** Returns the number of running tasks, according to the last heartbeats of their workers. */
  runningCount(): number {
    let count = 0;
    for (const { phase, status } of this.tenure.allocations.values())
      if (phase === 'reported' && status?.state === 'running') count++;
    return count;
  }

  /** Returns the number of tasks that are neither done nor allocated. */
  pendingCount(): number {
    let allocatedUndone = 0;
    for (const allocation of this.tenure.allocations.values()) if (!this.done[allocation.taskIndex]) allocatedUndone++;
    return this.spec.tasks - this.doneCount - allocatedUndone;
  }

  /**
   * Returns the index of a task that is neither done nor allocated; `NO_TASK` if there is none. Tasks whose allocation was
   * released come first. The caller must allocate the task at once: a task that was never allocated isn't returned a second time.
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

  /** Like `nextPendingTask`, but tasks that were never allocated come first: in a crash-looping job these have not failed yet. */
  nextPendingTaskUntriedFirst(): number {
    const releasedTasks = this.tenure.releasedTasks;
    this.tenure.releasedTasks = [];
    const index = this.nextPendingTask();
    this.tenure.releasedTasks = releasedTasks;
    return index === NO_TASK ? this.nextPendingTask() : index;
  }

  /** Returns the indices of all tasks that are neither done nor allocated. */
  pendingTasks(): number[] {
    const result: number[] = [];
    for (let index = 0; index < this.spec.tasks; index++) if (this.isPending(index)) result.push(index);
    return result;
  }

  private isPending(taskIndex: number): boolean {
    return !this.done[taskIndex] && !this.tenure.allocations.has(taskIndex);
  }
}
