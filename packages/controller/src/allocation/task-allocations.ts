/**
 * The allocations of tasks to machines in the held shards: their phases, requested stops, and the failure of a gang that loses a
 * task. Owns the allocations, the set of held shards, and the unmet demand of the last scheduling run.
 */
import type {
  ClusterStateView,
  LeaseView,
  Logger,
  PeerDirectory,
  SettingsView,
  ShardOwnership,
  StateFreshness,
} from '../context/index.js';
import { type Allocation, type Job, type Machine, type Milliseconds, NEVER } from '../model/index.js';
import { isFinished } from './exited-tasks.js';
import { FailureAttribution } from './failure-attribution.js';
import { HeldShards } from './held-shards.js';
import { MachineSchedulability } from './machine-schedulability.js';
import { StartFreshness } from './start-freshness.js';
import { mayRunUnreported } from './unverified-takeovers.js';

/** Tasks of a job for which the last scheduling run found no machine. */
export interface UnmetDemand {
  readonly job: Job;
  readonly count: number;
  /** whether the job is within its team's guaranteed quota */
  readonly withinQuota: boolean;
}

/** The fields that the caller sets in a new allocation. */
type NewAllocation = Pick<Allocation, 'job' | 'taskIndex' | 'attempt' | 'machine' | 'phase' | 'plannedAt'>;

/** Returns the key of one attempt of a task, which is unique among the allocations of a machine. */
export function taskKey(job: string, taskIndex: number, attempt: number): string {
  return `${job}/${taskIndex}/${attempt}`;
}

function taskKeyOf({ job, taskIndex, attempt }: Allocation): string {
  return taskKey(job.spec.id, taskIndex, attempt);
}

/** The parts of the controller's context that `TaskAllocations` uses. */
type TaskAllocationsContext = SettingsView &
  ClusterStateView &
  StateFreshness &
  LeaseView &
  ShardOwnership &
  PeerDirectory &
  Logger;

/** Holds the allocations of the held shards, and changes them. */
export class TaskAllocations {
  readonly heldShards = new HeldShards();
  /** whether a scheduling run is due because something changed that may let it allocate more tasks */
  schedulingRequested = true;
  readonly failureAttribution: FailureAttribution;
  readonly startFreshness: StartFreshness;
  private readonly machineSchedulability: MachineSchedulability;
  private currentTime: Milliseconds = 0;
  private lastUnmetDemand: readonly UnmetDemand[] = [];

  constructor(private readonly context: TaskAllocationsContext) {
    this.failureAttribution = new FailureAttribution(context);
    this.startFreshness = new StartFreshness(context);
    this.machineSchedulability = new MachineSchedulability(context, this.failureAttribution);
  }

  /** Time of the last processed tick, heartbeat or pause. Other inputs don't advance it, so it lags by at most one tick. */
  get now(): Milliseconds {
    return this.currentTime;
  }

  /** The tasks for which the last scheduling run found no machine. */
  get unmetDemand(): readonly UnmetDemand[] {
    return this.lastUnmetDemand;
  }

  /** Sets the time at which a tick, heartbeat or pause is processed. */
  advanceTo(now: Milliseconds): void {
    this.currentTime = now;
  }

  /** Records the tasks for which the scheduling run that just ended found no machine. */
  recordUnmetDemand(unmetDemand: readonly UnmetDemand[]): void {
    this.lastUnmetDemand = unmetDemand;
  }

  /** Whether this controller processes the heartbeats of the shard's workers: it holds the shard under a valid lease. */
  holdsShard(shard: number, now: Milliseconds): boolean {
    return this.heldShards.has(shard) && this.context.isLeaseValid(now);
  }

  /** Returns the held shards for which this controller may send commands, allocate tasks and release machines. */
  actingShards(): ReadonlySet<number> {
    const shards = new Set<number>();
    for (const shard of this.heldShards.keys()) if (this.context.mayActFor(shard)) shards.add(shard);
    return shards;
  }

  /** Allocates the machine to the task. The task must have no other allocation: the caller frees an earlier one first. */
  allocate({ job, taskIndex, attempt, machine, phase, plannedAt }: NewAllocation): Allocation {
    const allocation: Allocation = {
      job,
      taskIndex,
      attempt,
      machine,
      startToken: machine.lastStartToken,
      phase,
      status: null,
      plannedAt,
      stopGraceS: null,
      stopSentAt: NEVER,
      firstStopSentAt: null,
      runningSince: null,
    };
    job.tenure.allocations.set(taskIndex, allocation);
    machine.tenure.allocations.set(taskKeyOf(allocation), allocation);
    machine.allocationsChanged();
    return allocation;
  }

  /** Removes an allocation whose task is known to be gone from the machine, or was never sent to it. */
  free(allocation: Allocation): void {
    const { job, machine } = allocation;
    this.removeFromMachine(allocation);
    this.removeFromJob(allocation);
    if (machine.tenure.allocations.size === 0) machine.idleSince = this.now;
    if (job.spec.shape === 'gang' && job.tenure.gangAttempt !== null) this.handleLostGangTask(job);
    this.context.clusterState.forgetIfFinished(job);
    this.schedulingRequested = true;
  }

  /**
   * Frees the exited tasks on the machine that never start again. Their worker may report them until it has a higher fencing
   * token.
   */
  freeFinished(machine: Machine): void {
    for (const allocation of [...machine.tenure.allocations.values()])
      if (allocation.phase === 'exited' && isFinished(allocation)) this.free(allocation);
  }

  /**
   * Keeps an allocation whose task is missing on its machine although it was not forgotten. A repeat of its start could run it
   * again, so it is freed only once the machine has responded under a higher fencing token.
   */
  keepUntilTokenRaised(allocation: Allocation): void {
    allocation.phase = 'sent';
    allocation.machine.tenure.hasUncertainCommand = true;
    allocation.machine.allocationsChanged();
  }

  private removeFromMachine(allocation: Allocation): void {
    const { machine } = allocation;
    machine.tenure.allocations.delete(taskKeyOf(allocation));
    machine.allocationsChanged();
  }

  /** Removes the allocation from its job, unless the task already has another allocation. */
  private removeFromJob(allocation: Allocation): void {
    const { job, taskIndex } = allocation;
    if (job.tenure.allocations.get(taskIndex) !== allocation) return;
    job.tenure.allocations.delete(taskIndex);
    if (!job.done[taskIndex]) job.tenure.releasedTasks.push(taskIndex);
  }

  /** Fails the gang unless it is finished. When its last allocation is gone, its attempt ends. */
  private handleLostGangTask(gang: Job): void {
    if (gang.state === 'live' && gang.doneCount < gang.spec.tasks) this.failGang(gang);
    if (gang.tenure.allocations.size > 0) return;
    gang.tenure.gangAttempt = null;
    gang.tenure.gangFailed = false;
  }

  /**
   * Returns an allocation whose start was certainly not executed to the phase `planned`. It is freed instead if its stop was
   * requested or its job is finished; otherwise the start would be sent again after the job's cancellation, and a failed gang
   * would keep its machines forever.
   */
  revertStart(allocation: Allocation): void {
    if (!this.isStartPending(allocation)) return;
    allocation.phase = 'planned';
    allocation.machine.allocationsChanged();
    if (allocation.stopGraceS !== null || allocation.job.state !== 'live') this.free(allocation);
  }

  /** Whether the start was sent and the task neither reported nor freed since. */
  isStartPending(allocation: Allocation): boolean {
    return allocation.phase === 'sent' && allocation.machine.tenure.allocations.get(taskKeyOf(allocation)) === allocation;
  }

  /** Stops all tasks of a gang that lost one of them, so that the gang is queued again as a whole. */
  failGang(job: Job): void {
    if (job.tenure.gangFailed) return;
    job.tenure.gangFailed = true;
    for (const allocation of [...job.tenure.allocations.values()]) if (allocation.phase !== 'exited') this.stop(allocation, 0);
  }

  /**
   * Requests a stop of the task with a grace period of `graceS` seconds. A later request can only shorten the grace period. An
   * allocation whose start was not sent yet is freed at once.
   */
  stop(allocation: Allocation, graceS: number): void {
    if (allocation.phase === 'planned') {
      this.free(allocation);
      return;
    }
    if (allocation.phase === 'exited') return;
    if (allocation.stopGraceS !== null && graceS >= allocation.stopGraceS) return;
    allocation.stopGraceS = graceS;
    allocation.machine.allocationsChanged();
    allocation.stopSentAt = NEVER;
    allocation.job.lastStopAt = this.now;
  }

  /**
   * Returns the grace period of stops of the job's tasks: time to save for checkpointing tasks, 0 for others, which can't save.
   */
  stopGraceS(job: Job): number {
    return job.spec.checkpointIntervalS > 0 ? job.spec.checkpointSaveS + this.context.settings.workers.gangPeerS : 0;
  }

  /** Stops all of the job's tasks, with the grace period for saving. */
  stopJob(job: Job): void {
    for (const allocation of [...job.tenure.allocations.values()]) this.stop(allocation, this.stopGraceS(job));
  }

  /** Stops the task or, if it belongs to a gang, all tasks of the gang. */
  stopWithGang(allocation: Allocation): void {
    if (allocation.job.spec.shape === 'gang') this.stopJob(allocation.job);
    else this.stop(allocation, this.stopGraceS(allocation.job));
  }

  /** Stops the tasks on a machine that is to become empty. */
  drain(machine: Machine): void {
    const isPreemptionNoticed = machine.tenure.preemptionNoticeUntil !== null;
    for (const allocation of [...machine.tenure.allocations.values()]) {
      if (allocation.phase === 'exited' || allocation.stopGraceS !== null) continue;
      // Array tasks are independent and may finish within the notice period; other tasks are stopped now so that they can move.
      const mayFinish = isPreemptionNoticed && allocation.job.spec.shape === 'array' && allocation.phase !== 'planned';
      if (!mayFinish) this.stopWithGang(allocation);
    }
  }

  /** Whether the machine accepts starts now. */
  isSchedulable(machine: Machine, now: Milliseconds): boolean {
    return this.machineSchedulability.isSchedulable(machine, now);
  }

  /** Whether a task of the job may run on a machine that has not reported its tasks since the shard was taken over. */
  mayRunUnreported(job: Job): boolean {
    return mayRunUnreported(job, this.heldShards.leaseRevisionOf(job.shard), this.context.clusterState.machines);
  }
}
