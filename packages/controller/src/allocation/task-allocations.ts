import type {
  ClusterStateView,
  LeaseView,
  Logger,
  PeerDirectory,
  SettingsView,
  ShardOwnership,
  StateFreshness,
} from '../context/index.js';
import {
  type Allocation,
  type FreeResources,
  type Job,
  type Machine,
  type MachineLoad,
  type Milliseconds,
  machineLoadOf,
  NEVER,
} from '../model/index.js';
import { StateKey } from '../state/index.js';
import { FailureAttribution } from './failure-attribution.js';

/** A share that this controller holds. */
interface HeldShard {
  shard: number;
  leaseRevision: number;
}

/** Tasks of a job that found no room. */
export interface UnmetDemand {
  job: Job;
  count: number;
  /** within its team's guarantee */
  withinQuota: boolean;
}

/** The watch brings something, if only that nothing changed, more often than this. */
const WATCH_LATE_MS = 4000;

/** Attempts carry the holding's stamp, so no two holders ever use the same one. */
const ATTEMPTS_PER_LEASE = 1_000_000;

export const taskKey = (job: string, index: number, attempt: number) => `${job}/${index}/${attempt}`;

/** What the task allocations needs of its controller. */
type TaskAllocationsContext = SettingsView &
  ClusterStateView &
  StateFreshness &
  LeaseView &
  ShardOwnership &
  PeerDirectory &
  Logger;

/** What is known of the tasks and machines of the shares held here, and the steps that change it. */
export class TaskAllocations {
  readonly heldShards = new Map<number, HeldShard>();
  private attemptCounter = 1;
  schedulingRequested = true;
  now: Milliseconds = 0;
  /** when a worker last answered a question or command, and who didn't since though it is heard */
  lastAnswerAt: Milliseconds = 0;
  readonly unansweredMachines = new Set<string>();
  /** what is left without room after the last plan */
  unmetDemand: UnmetDemand[] = [];

  readonly failureAttribution: FailureAttribution;

  constructor(private readonly context: TaskAllocationsContext) {
    this.failureAttribution = new FailureAttribution(context);
  }

  /** Its workers' reports are this controller's to take. */
  holdsShard(shard: number, now: Milliseconds): boolean {
    return this.heldShards.has(shard) && this.context.isLeaseValid(now);
  }

  /** The shares held here that commands, plans and returns may leave for. */
  actingShards(): ReadonlySet<number> {
    const shards = new Set<number>();
    for (const shard of this.heldShards.keys()) if (this.context.mayActFor(shard)) shards.add(shard);
    return shards;
  }

  nextAttempt(shard: number): number {
    return (this.heldShards.get(shard)?.leaseRevision ?? 0) * ATTEMPTS_PER_LEASE + this.attemptCounter++;
  }

  allocate(
    job: Job,
    index: number,
    attempt: number,
    machine: Machine,
    phase: Allocation['phase'],
    now: Milliseconds,
  ): Allocation {
    const allocation: Allocation = {
      job,
      taskIndex: index,
      attempt,
      machine,
      phase,
      status: null,
      plannedAt: now,
      stopGraceS: null,
      stopSentAt: NEVER,
      firstStopSentAt: null,
      runningSince: null,
    };
    job.tenure.allocations.set(index, allocation);
    machine.tenure.allocations.set(taskKey(job.spec.id, index, attempt), allocation);
    machine.allocationsChanged();
    return allocation;
  }

  /** The task is surely no longer on the machine. */
  free(allocation: Allocation): void {
    allocation.machine.tenure.allocations.delete(taskKey(allocation.job.spec.id, allocation.taskIndex, allocation.attempt));
    allocation.machine.allocationsChanged();
    if (allocation.job.tenure.allocations.get(allocation.taskIndex) === allocation) {
      allocation.job.tenure.allocations.delete(allocation.taskIndex);
      if (!allocation.job.done[allocation.taskIndex]) allocation.job.tenure.releasedTasks.push(allocation.taskIndex);
    }
    if (allocation.machine.tenure.allocations.size === 0) allocation.machine.idleSince = this.now;
    const job = allocation.job;
    if (job.spec.shape === 'gang' && job.tenure.gangAttempt !== null) {
      if (job.state === 'live' && job.doneCount < job.spec.tasks) this.failGang(job);
      if (job.tenure.allocations.size === 0) {
        job.tenure.gangAttempt = null;
        job.tenure.gangFailed = false;
      }
    }
    this.context.clusterState.forgetIfFinished(job);
    this.schedulingRequested = true;
  }

  /**
   * A start that surely was not carried out: its room is held on, unless the task was told to stop meanwhile or its job
   * is over. Such a start was sent again after the job's cancellation, and a gang that had failed kept its room for ever.
   */
  startNotSent(allocation: Allocation): void {
    if (!this.isStartPending(allocation)) return;
    allocation.phase = 'planned';
    allocation.machine.allocationsChanged();
    if (allocation.stopGraceS !== null || allocation.job.state !== 'live') this.free(allocation);
  }

  /** Its start is under way, or was not heard of since. */
  isStartPending(allocation: Allocation): boolean {
    return (
      allocation.phase === 'sent' &&
      allocation.machine.tenure.allocations.get(taskKey(allocation.job.spec.id, allocation.taskIndex, allocation.attempt)) ===
        allocation
    );
  }

  /** Something on it belongs to a cancelled job: it is attended to first. */
  hasCancelledWork(machine: Machine): boolean {
    for (const allocation of machine.tenure.allocations.values())
      if (allocation.job.state === 'cancelled' && allocation.phase !== 'exited') return true;
    return false;
  }

  /** A gang that lost a task is stopped whole and queued again. */
  failGang(job: Job): void {
    if (job.tenure.gangFailed) return;
    job.tenure.gangFailed = true;
    for (const allocation of [...job.tenure.allocations.values()]) if (allocation.phase !== 'exited') this.stop(allocation, 0);
  }

  stop(allocation: Allocation, graceS: number): void {
    if (allocation.phase === 'planned') {
      this.free(allocation);
      return;
    }
    if (allocation.phase === 'exited') return;
    if (allocation.stopGraceS === null || graceS < allocation.stopGraceS) {
      allocation.stopGraceS = graceS;
      allocation.machine.allocationsChanged();
      allocation.stopSentAt = NEVER;
      allocation.job.lastStopAt = this.now;
    }
  }

  /** A checkpointing task gets time to save; others lose nothing by going at once. */
  stopGraceS(job: Job): number {
    return job.spec.checkpointS > 0 ? job.spec.saveS + this.context.settings.workers.gangPeerS : 0;
  }

  stopJob(job: Job): void {
    for (const allocation of [...job.tenure.allocations.values()]) this.stop(allocation, this.stopGraceS(job));
  }

  /** Stops the allocation, and with one task of a gang the whole gang. */
  stopWithGang(allocation: Allocation): void {
    if (allocation.job.spec.shape === 'gang') this.stopJob(allocation.job);
    else this.stop(allocation, this.stopGraceS(allocation.job));
  }

  /** Its reports come, here or to another controller. */
  isHeardRecently(machine: Machine, now: Milliseconds): boolean {
    return now - machine.tenure.lastHeartbeatAt < 4000 || now - machine.heardByPeerAt < 5000;
  }

  isSchedulable(machine: Machine, now: Milliseconds): boolean {
    return (
      machine.tenure.isVerified &&
      !machine.tenure.hasUncertainCommand &&
      machine.capacity !== null &&
      machine.moveToShard === null &&
      !machine.isRetired &&
      machine.tenure.releaseReason === null &&
      machine.tenure.preemptionNoticeUntil === null &&
      !this.failureAttribution.isFaulty(machine, now) &&
      !this.failureAttribution.isDoubtful(machine, now) &&
      machine.tenure.unansweredCommands === 0 &&
      // What runs there without a place here takes room that isn't known.
      !machine.tenure.orphanedTasks.some((task) => task.state !== 'exited') &&
      now - machine.tenure.lastHeartbeatAt < this.context.settings.workers.heartbeatIntervalS * 2500
    );
  }

  freeResourcesOf(machine: Machine): FreeResources {
    return { machine, ...machineLoadOf(machine).free };
  }

  /** Shares with machines that may bear what nobody has reported. */
  shardsAwaitingVerification(): Set<number> {
    const shards = new Set<number>();
    for (const machine of this.context.clusterState.machines.values())
      if (machine.tenure.isUnverifiedTakeover) shards.add(machine.shard);
    return shards;
  }

  /** Where could a task of this job be, of those that nobody has reported? */
  mayRunUnseen(job: Job): boolean {
    const held = this.heldShards.get(job.shard);
    if (!held || job.modRevision > held.leaseRevision) return false;
    for (const machine of this.context.clusterState.machines.values())
      if (machine.shard === job.shard && machine.tenure.isUnverifiedTakeover) return true;
    return false;
  }

  /**
   * No starts of jobs whose state wasn't confirmed lately: their users may have called them off. In an
   * outage of all nobody can confirm that, so a while more is allowed; while another controller is
   * answered by the state service and this one isn't, no longer than the watch takes.
   */
  mayStart(now: Milliseconds): boolean {
    if (this.context.isCatchingUp()) return false;
    const age = now - this.context.replicaFreshAt;
    if (age < WATCH_LATE_MS) return true;
    if (age >= this.context.settings.workers.cancelS * 1000 * 0.25) return false;
    for (const [controller, peer] of this.context.peers)
      if (peer.status.stateServiceAnswers && this.context.isPeerAlive(controller, now)) return false;
    return true;
  }

  /** Somebody else stopped one of its tasks: called off perhaps, which only a newer reading can tell. */
  isStateUnconfirmed(job: Job): boolean {
    return this.context.replicaFreshAt < job.stoppedByOthersAt;
  }

  leaseConditions(shard: number) {
    return [{ key: StateKey.shardLease(shard), revision: this.heldShards.get(shard)?.leaseRevision ?? -1 }];
  }

  isEmpty(machine: Machine): boolean {
    return (
      machine.tenure.allocations.size === 0 &&
      machine.tenure.orphanedTasks.length === 0 &&
      machine.tenure.pendingCommandId === null
    );
  }

  drain(machine: Machine): void {
    for (const allocation of [...machine.tenure.allocations.values()]) {
      if (allocation.phase === 'exited' || allocation.stopGraceS !== null) continue;
      // Independent tasks may finish in the time of a notice; what has to move, moves now.
      if (
        machine.tenure.preemptionNoticeUntil !== null &&
        allocation.job.spec.shape === 'array' &&
        allocation.phase !== 'planned'
      )
        continue;
      this.stopWithGang(allocation);
    }
  }

  servicesOn(machine: Machine): readonly Allocation[] {
    return machineLoadOf(machine).services;
  }

  /** What services without accelerators take on the machine. */
  serviceUsage(machine: Machine): MachineLoad['serviceUsage'] {
    return machineLoadOf(machine).serviceUsage;
  }
}
