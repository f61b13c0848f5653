/**
 * The elected leader: assigns machines to shards, moves machines between shards, and scales out and in.
 *
 * Owns the tenure of the leader lease and the parts that only the leader uses. Every controller records the machines without a
 * shard that send it heartbeats, and reports them to the leader in its status.
 */
import type { ShardSummary } from '@archpost/protocol';
import { Autoscaler, MachineAssigner, pendingDemands, ShardRebalancer, type UnassignedMachine } from '../capacity/index.js';
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
import { type Machine, type Milliseconds, NEVER } from '../model/index.js';
import type { ShardController } from '../shards/index.js';
import { WritePriority } from '../state/index.js';
import { writeAssignmentOrder } from './assignment-orders.js';
import { IdleMachineScaleIn } from './idle-machine-scale-in.js';

/** A round considers all machines, so the interval grows with their number. The maximum bounds how long pending tasks wait. */
const MIN_ROUND_INTERVAL_MS = 500;
const ROUND_INTERVAL_MS_PER_MACHINE = 1;
const MAX_ROUND_INTERVAL_MS = 1500;

/**
 * No round runs while the replica is older than this: other controllers may have changed the state that the round decides about.
 */
const MAX_REPLICA_AGE_MS = 4000;

/** A peer's shard summary is used up to this age, so that the loss of a few statuses has no effect. */
const MAX_SUMMARY_AGE_MS = 5000;

/** Moves per round: at least this many, or this fraction of the writes that the state service accepts in one round interval. */
const MIN_MOVES_PER_ROUND = 6;
const MOVES_FRACTION_OF_WRITES = 0.03;

/** Number of idle machines that a round may retire, per move that it may order. */
const RETIREMENTS_PER_MOVE = 0.5;

type LeaderContext = SettingsView &
  ClusterStateView &
  StateWriting &
  StateFreshness &
  CapacityView &
  LeaseView &
  PeerDirectory &
  EffectSink &
  Logger;

/** Acts while this controller holds the leader lease. */
export class Leader {
  readonly autoscaler: Autoscaler;
  private readonly machineAssigner: MachineAssigner;
  private readonly shardRebalancer: ShardRebalancer;
  private readonly idleMachineScaleIn: IdleMachineScaleIn;
  /** the revision at which this controller acquired the leader lease; null: another controller leads, or none does */
  private leaseRevision: number | null = null;
  private lastRoundAt: Milliseconds = NEVER;

  constructor(
    private readonly context: LeaderContext,
    private readonly shardController: ShardController,
  ) {
    this.autoscaler = new Autoscaler(context, {
      isAssignmentPending: (machine) => this.machineAssigner.isAssignmentPending(machine),
      recentlyAssigned: (now) => this.machineAssigner.recentlyAssigned(now),
      isZoneCut: (zone) => shardController.isZoneCut(zone),
    });
    this.machineAssigner = new MachineAssigner(context, this.autoscaler);
    this.shardRebalancer = new ShardRebalancer(context);
    this.idleMachineScaleIn = new IdleMachineScaleIn(context);
  }

  /** Whether this controller holds the leader lease. It may act under the lease only while its state lease is valid, too. */
  get isLeading(): boolean {
    return this.leaseRevision !== null;
  }

  /** Begins a tenure and discards the plans of an earlier one. `revision`: the fencing token of the tenure. */
  onLeaseAcquired(revision: number, now: Milliseconds): void {
    this.leaseRevision = revision;
    this.shardRebalancer.onLeaseAcquired();
    this.autoscaler.onLeaseAcquired(revision, now);
  }

  /** Ends the tenure. */
  onLeaseLost(): void {
    this.leaseRevision = null;
  }

  /** Handles the removal of a machine's assignment: the machine was released or lost. */
  onMachineRemoved(name: string, now: Milliseconds): void {
    this.shardRebalancer.onMachineRemoved(name);
    this.autoscaler.onMachineReleased(name, now);
  }

  /** Records a machine without a shard that sent a heartbeat to this controller. */
  onUnassignedMachineReported(unassigned: UnassignedMachine, now: Milliseconds): void {
    this.machineAssigner.recordHeartbeat(unassigned, now);
  }

  /** Returns the machines without a shard that recently sent heartbeats to this controller, for the status to the leader. */
  unassignedMachines(now: Milliseconds): UnassignedMachine[] {
    return this.machineAssigner.recentlyReported(now);
  }

  /**
   * Assigns machines without a shard immediately, and runs a round when one is due. Does nothing while this controller doesn't
   * lead or its state lease isn't valid.
   */
  tick(now: Milliseconds): void {
    const { leaseRevision } = this;
    if (leaseRevision === null || !this.context.isLeaseValid(now)) return;
    this.autoscaler.requestMachineList(now);
    this.machineAssigner.assignAll(() => this.shardSummaries(now), leaseRevision, now);
    if (!this.isRoundDue(now)) return;
    this.lastRoundAt = now;
    this.runRound(leaseRevision, now);
  }

  private isRoundDue(now: Milliseconds): boolean {
    return (
      now - this.lastRoundAt >= this.roundIntervalMs &&
      now - this.context.replicaFreshAt <= MAX_REPLICA_AGE_MS &&
      !this.context.isCatchingUp()
    );
  }

  private runRound(leaseRevision: number, now: Milliseconds): void {
    const shards = this.shardSummaries(now);
    this.rebalance(shards, leaseRevision, now);
    // Scaling depends on the value of each machine (from the machine types) and on which machines the cloud is provisioning.
    if (!this.context.clusterState.areMachineTypesKnown || !this.autoscaler.isListKnown) return;
    this.autoscaler.scaleOut(shards, now);
    this.autoscaler.releaseUnbootedMachines(now);
    if (!this.context.settings.policy.holdSpareCapacity) this.retireIdleMachines(shards, leaseRevision, now);
  }

  private get roundIntervalMs(): Milliseconds {
    return Math.min(
      MAX_ROUND_INTERVAL_MS,
      MIN_ROUND_INTERVAL_MS + ROUND_INTERVAL_MS_PER_MACHINE * this.context.clusterState.machines.size,
    );
  }

  private get movesPerRound(): number {
    const writes = (this.context.settings.state.writesPerS * this.roundIntervalMs) / 1000;
    return Math.max(MIN_MOVES_PER_ROUND, Math.floor(MOVES_FRACTION_OF_WRITES * writes));
  }

  /**
   * Returns the summary of each shard, as its lease holder reports it. A shard whose lease holder sent no recent status has none.
   */
  private shardSummaries(now: Milliseconds): Map<number, ShardSummary> {
    const { clusterState, peers } = this.context;
    const summaries = new Map<number, ShardSummary>();
    for (const { status, lastStatusAt } of peers.values()) {
      if (now - lastStatusAt > MAX_SUMMARY_AGE_MS) continue;
      for (const summary of status.shards)
        if (clusterState.leaseOf(summary.shard)?.holder.controller === status.node) summaries.set(summary.shard, summary);
    }
    for (const shard of this.shardController.heldShards.keys())
      summaries.set(shard, this.shardController.shardSummary(shard, now));
    return summaries;
  }

  private rebalance(shards: Map<number, ShardSummary>, leaseRevision: number, now: Milliseconds): void {
    const demands = pendingDemands(shards.values());
    this.machineAssigner.allocateRecentAssignments(demands, now);
    const orderMove = (machine: Machine, shard: number) => this.orderMove(machine, shard, leaseRevision, now);
    this.shardRebalancer.planMoves({ shards, pending: demands, limit: this.movesPerRound, orderMove }, now);
  }

  private orderMove(machine: Machine, shard: number, leaseRevision: number, now: Milliseconds): void {
    this.context.log('debug', 'moving machine to another shard', { machine: machine.name, from: machine.shard, to: shard });
    writeAssignmentOrder(
      this.context,
      machine,
      { moveToShard: shard },
      {
        leaseRevision,
        priority: WritePriority.assignment,
        now,
        onOutcome: (outcome) => {
          if (outcome !== 'ok') this.shardRebalancer.onOrderFailed(machine.name);
        },
      },
    );
  }

  private retireIdleMachines(shards: Map<number, ShardSummary>, leaseRevision: number, now: Milliseconds): void {
    this.idleMachineScaleIn.retireIdleMachines({
      shards,
      highestPrice: Math.max(...this.autoscaler.instanceOptions().map((option) => option.type.price)),
      maxMachines: Math.floor(this.movesPerRound * RETIREMENTS_PER_MOVE),
      isBlockedByFleetLimit: this.autoscaler.isBlockedByFleetLimit,
      leaseRevision,
      now,
    });
  }
}
