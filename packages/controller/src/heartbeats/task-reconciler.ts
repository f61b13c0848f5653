/**
 * Reconciliation of single reported tasks with stored and intended state: tasks that an earlier holder of the shard started are
 * adopted, and running and exited tasks are recorded. Owns no state.
 */
import type { TaskStatus } from '@archpost/protocol';
import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, Logger, ReplicaView } from '../context/index.js';
import { type Allocation, type Job, type Machine, type Milliseconds, toLoggedSeconds } from '../model/index.js';
import type { ImageCacheWriter, ProgressWriter } from '../shards/index.js';
import { StateKey } from '../state/index.js';
import { recordImageUse } from './machine-images.js';

/** Delay before a job is tried again after a worker refused to start its task because it doesn't know the job. */
const UNKNOWN_EXIT_RETRY_MS = 1000;

/** Delay before a machine that lacked free resources for a task is commanded again. Its next heartbeat shows what uses them. */
const NO_ROOM_RETRY_MS = 500;

/** The exit reason of a task that is not done; null: the worker reported none. */
type UnsuccessfulExit = Exclude<TaskStatus['exitReason'], 'done'>;

type TaskReconcilerContext = ClusterStateView & ReplicaView & Logger;

/** Reconciles reported tasks of machines whose shards this controller holds. */
export class TaskReconciler {
  constructor(
    private readonly context: TaskReconcilerContext,
    private readonly allocations: TaskAllocations,
    private readonly progressWriter: ProgressWriter,
    private readonly imageCacheWriter: ImageCacheWriter,
  ) {}

  /**
   * Allocates a reported task that has no allocation on the machine: an earlier holder of the shard started it. Null: the task is
   * orphaned, since it has exited and never starts again, its job is unknown, belongs to another shard, has fewer tasks, or has the
   * task allocated elsewhere.
   */
  adopt(machine: Machine, task: TaskStatus, now: Milliseconds): Allocation | null {
    if (task.state === 'exited' && this.context.clusterState.isTaskFinished(task.job, task.index)) return null;
    const job = this.context.clusterState.restoreJob(task.job, this.context.replica.get(StateKey.job(task.job)), now);
    if (!job || job.shard !== machine.shard || task.index >= job.spec.tasks) return null;
    const allocated = job.tenure.allocations.get(task.index);
    if (allocated) {
      if (allocated.phase !== 'planned') return null;
      this.allocations.free(allocated);
    }
    const allocation = this.allocations.allocate({
      job,
      taskIndex: task.index,
      attempt: task.attempt,
      machine,
      phase: 'reported',
      plannedAt: now,
    });
    if (job.spec.shape === 'gang') this.adoptIntoGang(job, allocation);
    if (job.state === 'cancelled') this.allocations.stop(allocation, 0);
    return allocation;
  }

  /** Records the reported state of an allocated task. Repeated reports of an exited task have no further effect. */
  reconcile(allocation: Allocation, task: TaskStatus, now: Milliseconds): void {
    const previousState = allocation.status?.state;
    allocation.status = task;
    if (task.state === 'exited') {
      if (allocation.phase !== 'exited') this.recordExited(allocation, task, now);
      return;
    }
    allocation.phase = 'reported';
    if (task.state === 'running' && previousState !== 'running') this.recordRunning(allocation, now);
  }

  /** Adds an adopted task to its gang. All tasks of a gang run in one attempt: if two are found, neither can be completed. */
  private adoptIntoGang(job: Job, allocation: Allocation): void {
    const { tenure } = job;
    if (tenure.gangAttempt === null) tenure.gangAttempt = allocation.attempt;
    if (tenure.gangAttempt !== allocation.attempt) this.allocations.failGang(job);
    if (tenure.gangFailed) this.allocations.stop(allocation, 0);
  }

  private recordRunning(allocation: Allocation, now: Milliseconds): void {
    const { job, machine } = allocation;
    allocation.runningSince = now;
    this.context.log('debug', 'task running', {
      task: `${job.spec.id}/${allocation.taskIndex}`,
      jobClass: job.spec.jobClass,
      machine: machine.name,
      type: machine.capacity?.name,
      sinceSubmit: toLoggedSeconds(now - job.eligibleAt),
      sincePlan: toLoggedSeconds(now - allocation.plannedAt),
      gb: job.spec.imageSizeGb,
      cached: machine.images.has(job.imageIndex),
    });
    if (recordImageUse(machine, job.imageIndex, job.spec.imageSizeGb)) this.imageCacheWriter.schedule(machine);
  }

  private recordExited(allocation: Allocation, task: TaskStatus, now: Milliseconds): void {
    allocation.phase = 'exited';
    allocation.machine.allocationsChanged();
    this.allocations.schedulingRequested = true;
    if (task.exitReason === 'done') this.recordDone(allocation, now);
    else this.recordUnsuccessfulExit(allocation, task.exitReason, now);
  }

  private recordDone(allocation: Allocation, now: Milliseconds): void {
    const { job, runningSince } = allocation;
    if (runningSince !== null) job.longestRunS = Math.max(job.longestRunS, (now - runningSince) / 1000);
    this.allocations.failureAttribution.recordSuccess(allocation);
    this.progressWriter.markDone(job, allocation.taskIndex);
  }

  private recordUnsuccessfulExit(allocation: Allocation, exitReason: UnsuccessfulExit, now: Milliseconds): void {
    const { job } = allocation;
    this.applyExitReason(allocation, exitReason, now);
    if (exitReason !== 'stopped') this.logUnsuccessfulExit(allocation, exitReason);
    if (job.spec.shape === 'gang' && job.state === 'live' && job.doneCount < job.spec.tasks) this.allocations.failGang(job);
  }

  private applyExitReason(allocation: Allocation, exitReason: UnsuccessfulExit, now: Milliseconds): void {
    const { job, machine } = allocation;
    switch (exitReason) {
      case 'stopped':
        if (allocation.stopGraceS === null) job.lastExternalStopAt = now;
        return;
      case 'error':
        return this.allocations.failureAttribution.recordFailure(allocation, now);
      case 'unknown':
        job.retryAt = now + UNKNOWN_EXIT_RETRY_MS;
        return;
      case 'no_room':
        machine.tenure.retryAt = Math.max(machine.tenure.retryAt, now + NO_ROOM_RETRY_MS);
        return;
      case 'peers':
      case 'alone':
      case 'busy':
      case null:
        return;
      default:
        return exitReason satisfies never;
    }
  }

  private logUnsuccessfulExit({ job, taskIndex, machine }: Allocation, reason: UnsuccessfulExit): void {
    this.context.log('debug', 'task ended', { task: `${job.spec.id}/${taskIndex}`, machine: machine.name, reason });
  }
}
