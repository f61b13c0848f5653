/**
 * What a heartbeat says of single tasks, brought together with what is stored and intended: tasks of an earlier holder of the
 * shard are adopted, running and exited tasks are taken note of. Owns no state.
 */
import type { TaskStatus } from '@archpost/protocol';
import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, Logger, ReplicaView } from '../context/index.js';
import { type Allocation, type Job, type Machine, type Milliseconds, toLoggedSeconds } from '../model/index.js';
import type { ImageCacheWriter, ProgressWriter } from '../shards/index.js';
import { StateKey } from '../state/index.js';
import { recordImageUse } from './machine-images.js';

/** A task that ended for a reason that the worker does not know is tried again after this long. */
const UNKNOWN_EXIT_RETRY_MS = 1000;

/** A machine without enough free resources for a task is commanded again after this long: its next heartbeat shows why. */
const NO_ROOM_RETRY_MS = 500;

/** Why a task exited that is not done; null: the worker does not say. */
type UnsuccessfulExit = Exclude<TaskStatus['exitReason'], 'done'>;

/** What the task reconciler needs of its controller. */
type TaskReconcilerContext = ClusterStateView & ReplicaView & Logger;

/** Takes reported tasks of machines whose shards are held here. */
export class TaskReconciler {
  constructor(
    private readonly context: TaskReconcilerContext,
    private readonly allocations: TaskAllocations,
    private readonly progressWriter: ProgressWriter,
    private readonly imageCacheWriter: ImageCacheWriter,
  ) {}

  /**
   * Allocates a task found on a machine that isn't allocated there: an earlier holder of the shard started it. Null: the task
   * is orphaned, since its job is not known, is of another shard, or has the task elsewhere.
   */
  adopt(machine: Machine, task: TaskStatus, now: Milliseconds): Allocation | null {
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

  /** Takes the reported state of an allocated task. What it repeats of an exited task has been dealt with. */
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

  /** All tasks of a gang run in one attempt: where two attempts are found, neither can become whole. */
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
