import type { MachineType, ShardSummary } from '@archpost/protocol';
import {
  Autoscaler,
  MachineAssigner,
  matchesDemand,
  pendingDemands,
  ShardRebalancer,
  type UnassignedMachine,
} from '../capacity/index.js';
import type {
  CapacityView,
  ClusterStateView,
  EffectSink,
  LeaseView,
  Logger,
  PeerDirectory,
  SettingsView,
  StateFreshness,
  StateWriting,
} from '../context/index.js';
import { countThatFit, type Machine, type Milliseconds, NEVER } from '../model/index.js';
import type { ShardController } from '../shards/index.js';
import { encodeAssignment, StateKey, WritePriority } from '../state/index.js';

/** A round weighs all machines: with many of them rounds are rarer, though work that waits is never left for longer. */
const ROUND_MS = 500;
const ROUND_MS_PER_MACHINE = 1;
const LONGEST_ROUND_MS = 1500;

/** Moves in one round: so many in any case, or this part of what the state service takes in the time of a round. */
const MOVES_A_ROUND = 6;
const MOVES_SHARE_OF_CHANGES = 0.03;

/** Idle machines let go in one round, for each move that it may order. */
const LET_GO_PER_MOVE = 0.5;

/** What the leader needs of its controller. */
type LeaderContext = SettingsView &
  ClusterStateView &
  StateWriting &
  StateFreshness &
  CapacityView &
  LeaseView &
  PeerDirectory &
  EffectSink &
  Logger;

/** The elected leader: grants machines to shares, moves them, and lets go what is idle. */
export class Leader {
  private leadingSince: Milliseconds | null = null;
  private leaseRevision = 0;
  private lastRoundAt: Milliseconds = NEVER;
  private readonly machineAssigner: MachineAssigner;
  readonly autoscaler: Autoscaler;
  private readonly shardRebalancer: ShardRebalancer;

  constructor(
    private readonly context: LeaderContext,
    private readonly shardController: ShardController,
  ) {
    this.autoscaler = new Autoscaler(context, {
      isAssignmentPending: (machine) => this.machineAssigner.isAssignmentPending(machine),
      recentlyAssigned: (now) => this.machineAssigner.recentlyAssigned(now),
      isZoneCut: (zone) => shardController.machineLifecycle.failureDetector.isZoneNameCut(zone),
    });
    this.machineAssigner = new MachineAssigner(context, this.autoscaler);
    this.shardRebalancer = new ShardRebalancer(context);
  }

  leaseAcquired(revision: number, now: Milliseconds): void {
    this.leadingSince = now;
    this.leaseRevision = revision;
    this.shardRebalancer.leaseAcquired();
    this.autoscaler.leaseAcquired(revision, now);
  }

  machineRemoved(name: string, now: Milliseconds): void {
    this.shardRebalancer.machineRemoved(name);
    this.autoscaler.machineReleased(name, now);
  }

  leaseLost(): void {
    this.leadingSince = null;
  }

  get isLeading(): boolean {
    return this.leadingSince !== null;
  }

  unassignedMachineReported(unassigned: UnassignedMachine, now: Milliseconds): void {
    this.machineAssigner.machineReported(unassigned, now);
  }

  unassignedMachines(now: Milliseconds): UnassignedMachine[] {
    return this.machineAssigner.recentlyReported(now);
  }

  tick(now: Milliseconds): void {
    if (this.leadingSince === null || !this.context.isLeaseValid(now)) return;
    this.autoscaler.requestMachineList(now);
    this.machineAssigner.assignAll(() => this.shardSummaries(now), this.leaseRevision, now);
    // A round weighs all machines: with many of them, rounds are rarer.
    if (now - this.lastRoundAt < this.roundMs || now - this.context.replicaFreshAt > 4000 || this.context.isCatchingUp()) return;
    this.lastRoundAt = now;
    const shards = this.shardSummaries(now);
    this.rebalance(shards, now);
    if (this.context.clusterState.machineTypesKnown && this.autoscaler.isListKnown) {
      this.autoscaler.scaleOut(shards, now);
      this.autoscaler.releaseOverdue(now);
      if (!this.context.settings.policy.holdSpareCapacity) this.retireIdleMachines(shards, now);
    }
  }

  private get roundMs(): Milliseconds {
    return Math.min(LONGEST_ROUND_MS, ROUND_MS + ROUND_MS_PER_MACHINE * this.context.clusterState.machines.size);
  }

  private get movesPerRound(): number {
    const changes = (this.context.settings.state.writesPerS * this.roundMs) / 1000;
    return Math.max(MOVES_A_ROUND, Math.floor(MOVES_SHARE_OF_CHANGES * changes));
  }

  private shardSummaries(now: Milliseconds): Map<number, ShardSummary> {
    const result = new Map<number, ShardSummary>();
    for (const peer of this.context.peers.values()) {
      if (now - peer.heardAt > 5000) continue;
      for (const summary of peer.status.shards)
        if (this.context.clusterState.leaseOf(summary.shard)?.holder.controller === peer.status.node)
          result.set(summary.shard, summary);
    }
    for (const shard of this.shardController.heldShards.keys()) result.set(shard, this.shardController.shardSummary(shard, now));
    return result;
  }

  private rebalance(shards: Map<number, ShardSummary>, now: Milliseconds): void {
    const waiting = pendingDemands(shards.values());
    this.machineAssigner.allocateRecentAssignments(waiting, now);
    this.shardRebalancer.planMoves(
      shards,
      waiting,
      this.movesPerRound,
      (machine, shard) => this.orderMove(machine, shard, now),
      now,
    );
  }

  private orderMove(machine: Machine, shard: number, now: Milliseconds): void {
    this.context.log('debug', 'moving machine to another shard', { machine: machine.name, from: machine.shard, to: shard });
    this.context.writer.add({
      key: StateKey.assignment(machine.name),
      value: () => encodeAssignment({ ...this.context.clusterState.assignmentOf(machine), moveToShard: shard }),
      expectedRevision: machine.assignmentRevision,
      conditions: [{ key: StateKey.shardLease('lead'), revision: this.leaseRevision }],
      priority: WritePriority.assignment,
      expiresAt: now + 4000,
      onOutcome: (outcome) => {
        if (outcome !== 'ok') this.shardRebalancer.orderFailed(machine.name);
      },
    });
  }

  /**
   * What costs little may stay idle for longer: it saves little, and to have it again takes
   * its boot time, paid and waited for. The dearest kind goes back first.
   */
  private idlePatience(capacity: MachineType | null, spot: boolean, dearest: number): number {
    if (!capacity) return 1;
    return Math.min(8, Math.sqrt(dearest / Math.max(1e-6, spot ? capacity.spotPrice : capacity.price)));
  }

  private retireIdleMachines(shards: Map<number, ShardSummary>, now: Milliseconds): void {
    const demands = [...shards.values()].flatMap((summary) => summary.demands);
    const dearest = Math.max(...this.autoscaler.instanceOptions().map((option) => option.type.price));
    let budget = Math.floor(this.movesPerRound * LET_GO_PER_MOVE);
    for (const summary of shards.values()) {
      for (const machineSummary of summary.machines) {
        const machine = this.context.clusterState.machines.get(machineSummary.name);
        if (
          !machine ||
          budget <= 0 ||
          machineSummary.tasks > 0 ||
          machine.moveToShard !== null ||
          machine.isRetired ||
          machineSummary.protectedPriority > 0
        )
          continue;
        const capacity = machine.capacity;
        if (machineSummary.idleS < this.context.settings.policy.idleS * this.idlePatience(capacity, machine.spot, dearest))
          continue;
        if (
          capacity &&
          demands.some(
            (demand) =>
              countThatFit(demand, capacity) >= 1 &&
              matchesDemand(demand, capacity.name, this.context.clusterState.zoneNames.nameOf(machine.zoneIndex), machine.spot) &&
              // It has been idle all the while: lesser work doesn't take a dear machine for itself.
              (demand.gpus > 0 || demand.priority > 1 || capacity.gpus === 0 || machine.spot),
          )
        )
          continue;
        budget--;
        this.context.log('info', 'retiring idle machine', { machine: machine.name, idleS: Math.round(machineSummary.idleS) });
        this.context.writer.add({
          key: StateKey.assignment(machine.name),
          value: () => encodeAssignment({ ...this.context.clusterState.assignmentOf(machine), isRetired: true }),
          expectedRevision: machine.assignmentRevision,
          conditions: [{ key: StateKey.shardLease('lead'), revision: this.leaseRevision }],
          priority: WritePriority.progress,
          expiresAt: now + 4000,
          onOutcome: () => {},
        });
      }
    }
  }
}
