/**
 * Which task has which machine, in the shards held here: the allocations of jobs and machines with their phases, their stops,
 * and what happens to a gang that loses one of them. Owns the allocations, the set of shards held here, and what a scheduling
 * run found no machine for.
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
import { FailureAttribution } from './failure-attribution.js';
import { HeldShards } from './held-shards.js';
import { MachineSchedulability } from './machine-schedulability.js';
import { StartFreshness } from './start-freshness.js';
import { mayRunUnseen } from './unverified-takeovers.js';

/** Tasks of a job that found no machine in the last scheduling run. */
export interface UnmetDemand {
  readonly job: Job;
  readonly count: number;
  /** whether the job is within its team's guarantee */
  readonly withinQuota: boolean;
}

/** What is said of an allocation when it is made. */
type NewAllocation = Pick<Allocation, 'job' | 'taskIndex' | 'attempt' | 'machine' | 'phase' | 'plannedAt'>;

/** Names one attempt of one task among all that a machine may have. */
export function taskKey(job: string, taskIndex: number, attempt: number): string {
  return `${job}/${taskIndex}/${attempt}`;
}

function taskKeyOf({ job, taskIndex, attempt }: Allocation): string {
  return taskKey(job.spec.id, taskIndex, attempt);
}

/** What the allocations need of their controller. */
type TaskAllocationsContext = SettingsView &
  ClusterStateView &
  StateFreshness &
  LeaseView &
  ShardOwnership &
  PeerDirectory &
  Logger;

/** The allocations of the shards held here, and the steps that change them. */
export class TaskAllocations {
  readonly heldShards = new HeldShards();
  /** something happened that a scheduling run may make use of */
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

  /** The time of the last tick, heartbeat or pause. Other inputs leave it as it is: at most a tick behind. */
  get now(): Milliseconds {
    return this.currentTime;
  }

  /** What the last scheduling run found no machine for. */
  get unmetDemand(): readonly UnmetDemand[] {
    return this.lastUnmetDemand;
  }

  /** A tick, heartbeat or pause is taken at this time. */
  advanceTo(now: Milliseconds): void {
    this.currentTime = now;
  }

  /** A scheduling run has ended, and found no machine for this. */
  recordUnmetDemand(unmetDemand: readonly UnmetDemand[]): void {
    this.lastUnmetDemand = unmetDemand;
  }

  /** Are the heartbeats of the shard's workers this controller's to take? */
  holdsShard(shard: number, now: Milliseconds): boolean {
    return this.heldShards.has(shard) && this.context.isLeaseValid(now);
  }

  /** The shards held here for which commands, allocations and releases may leave. */
  actingShards(): ReadonlySet<number> {
    const shards = new Set<number>();
    for (const shard of this.heldShards.keys()) if (this.context.mayActFor(shard)) shards.add(shard);
    return shards;
  }

  /** Gives the machine to the task, which must have no other allocation: an earlier one is freed first. */
  allocate({ job, taskIndex, attempt, machine, phase, plannedAt }: NewAllocation): Allocation {
    const allocation: Allocation = {
      job,
      taskIndex,
      attempt,
      machine,
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

  /** The task is surely no longer on the machine, or was never sent there. */
  free(allocation: Allocation): void {
    const { job, machine } = allocation;
    this.removeFromMachine(allocation);
    this.removeFromJob(allocation);
    if (machine.tenure.allocations.size === 0) machine.idleSince = this.now;
    if (job.spec.shape === 'gang' && job.tenure.gangAttempt !== null) this.gangLostTask(job);
    this.context.clusterState.forgetIfFinished(job);
    this.schedulingRequested = true;
  }

  private removeFromMachine(allocation: Allocation): void {
    const { machine } = allocation;
    machine.tenure.allocations.delete(taskKeyOf(allocation));
    machine.allocationsChanged();
  }

  /** Leaves the job alone if another allocation has taken the place of this one. */
  private removeFromJob(allocation: Allocation): void {
    const { job, taskIndex } = allocation;
    if (job.tenure.allocations.get(taskIndex) !== allocation) return;
    job.tenure.allocations.delete(taskIndex);
    if (!job.done[taskIndex]) job.tenure.releasedTasks.push(taskIndex);
  }

  /** The gang fails, unless it is over; with its last task its attempt ends. */
  private gangLostTask(gang: Job): void {
    if (gang.state === 'live' && gang.doneCount < gang.spec.tasks) this.failGang(gang);
    if (gang.tenure.allocations.size > 0) return;
    gang.tenure.gangAttempt = null;
    gang.tenure.gangFailed = false;
  }

  /**
   * A start that surely was not carried out: its machine is held on, unless the task is to stop meanwhile or its job is over.
   * Such a start was sent again after the job's cancellation, and a gang that had failed kept its machines for good.
   */
  startNotSent(allocation: Allocation): void {
    if (!this.isStartPending(allocation)) return;
    allocation.phase = 'planned';
    allocation.machine.allocationsChanged();
    if (allocation.stopGraceS !== null || allocation.job.state !== 'live') this.free(allocation);
  }

  /** Was its start sent, and neither answered nor reported since? */
  isStartPending(allocation: Allocation): boolean {
    return allocation.phase === 'sent' && allocation.machine.tenure.allocations.get(taskKeyOf(allocation)) === allocation;
  }

  /** A gang that lost a task is stopped whole and queued again. */
  failGang(job: Job): void {
    if (job.tenure.gangFailed) return;
    job.tenure.gangFailed = true;
    for (const allocation of [...job.tenure.allocations.values()]) if (allocation.phase !== 'exited') this.stop(allocation, 0);
  }

  /**
   * Wants the task stopped within the grace, in seconds; a stop that is wanted already is only ever made sooner. What was not
   * sent yet is freed at once.
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

  /** A checkpointing task gets time to save; others lose nothing by going at once. */
  stopGraceS(job: Job): number {
    return job.spec.checkpointIntervalS > 0 ? job.spec.checkpointSaveS + this.context.settings.workers.gangPeerS : 0;
  }

  /** Stops all of the job's tasks, with time to save. */
  stopJob(job: Job): void {
    for (const allocation of [...job.tenure.allocations.values()]) this.stop(allocation, this.stopGraceS(job));
  }

  /** Stops the allocation, and with one task of a gang the whole gang. */
  stopWithGang(allocation: Allocation): void {
    if (allocation.job.spec.shape === 'gang') this.stopJob(allocation.job);
    else this.stop(allocation, this.stopGraceS(allocation.job));
  }

  /** Stops what is on a machine that is to be cleared. */
  drain(machine: Machine): void {
    const isPreemptionNoticed = machine.tenure.preemptionNoticeUntil !== null;
    for (const allocation of [...machine.tenure.allocations.values()]) {
      if (allocation.phase === 'exited' || allocation.stopGraceS !== null) continue;
      // Independent tasks may finish in the time of a notice; what has to move, moves now.
      const mayFinish = isPreemptionNoticed && allocation.job.spec.shape === 'array' && allocation.phase !== 'planned';
      if (!mayFinish) this.stopWithGang(allocation);
    }
  }

  /** Does it take starts? */
  isSchedulable(machine: Machine, now: Milliseconds): boolean {
    return this.machineSchedulability.isSchedulable(machine, now);
  }

  /** Could a task of this job be among those that nobody has reported? */
  mayRunUnseen(job: Job): boolean {
    return mayRunUnseen(job, this.heldShards.leaseRevisionOf(job.shard), this.context.clusterState.machines);
  }
}
