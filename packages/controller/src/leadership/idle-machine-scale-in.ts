/**
 * Scale-in of idle machines: the leader retires machines that have been idle for too long and that no pending task could use.
 * The holder of a retired machine's shard then releases it.
 *
 * Owns no state: each round decides from the current shard summaries.
 */
import type { MachineSummary, MachineType, ResourceDemand, ShardSummary } from '@archpost/protocol';
import { servesDemand } from '../capacity/index.js';
import type { ClusterStateView, Logger, SettingsView, StateWriting } from '../context/index.js';
import type { Machine, Milliseconds } from '../model/index.js';
import { WritePriority } from '../state/index.js';
import { writeAssignmentOrder } from './assignment-orders.js';

/** A cheap machine may stay idle for at most this many times as long as the most expensive one. */
const MAX_IDLE_FACTOR = 8;

/** Lower prices are raised to this value, in the currency of the prices, so that the quotient of two prices stays finite. */
const MIN_PRICE = 1e-6;

/** Tasks up to this priority that need no accelerators don't prevent the retirement of on-demand machines with accelerators. */
const MAX_LOW_PRIORITY = 1;

/** The inputs of one scale-in round. */
export interface ScaleInRound {
  shards: ReadonlyMap<number, ShardSummary>;
  /** on-demand price per hour of the most expensive machine type */
  highestPrice: number;
  /** maximum number of machines to retire in this round */
  maxMachines: number;
  /** whether a machine that tasks wait for can't be provisioned because of the fleet's limit */
  isBlockedByFleetLimit: boolean;
  /** revision of the leader lease */
  leaseRevision: number;
  now: Milliseconds;
}

type ScaleInContext = SettingsView & ClusterStateView & StateWriting & Logger;

/** Retires idle machines, one shard after another. */
export class IdleMachineScaleIn {
  constructor(private readonly context: ScaleInContext) {}

  /** Orders the retirement of idle machines, at most `round.maxMachines`. */
  retireIdleMachines(round: ScaleInRound): void {
    const demands = [...round.shards.values()].flatMap((shard) => shard.demands);
    let remaining = round.maxMachines;
    let mustMakeRoom = round.isBlockedByFleetLimit && !this.isRetirementPending();
    for (const shard of round.shards.values()) {
      for (const summary of shard.machines) {
        if (remaining <= 0) return;
        // One machine at a time makes room, however cheap it is to keep.
        const machine = this.retirableMachine(summary, mustMakeRoom ? null : round.highestPrice, demands);
        if (machine === null) continue;
        mustMakeRoom = false;
        remaining--;
        this.retire(machine, summary.idleS, round);
      }
    }
  }

  /** Returns the machine if it has been idle for long enough and no pending task could use it; null otherwise. */
  private retirableMachine(
    summary: MachineSummary,
    highestPrice: number | null,
    demands: readonly ResourceDemand[],
  ): Machine | null {
    const machine = this.context.clusterState.machines.get(summary.name);
    if (!machine || !this.isRetirable(machine, summary, highestPrice)) return null;
    return this.hasPendingDemand(machine, demands) ? null : machine;
  }

  /** Whether a retired machine is not released yet. */
  private isRetirementPending(): boolean {
    for (const machine of this.context.clusterState.machines.values()) if (machine.isRetired) return true;
    return false;
  }

  /**
   * Whether the machine has been idle for long enough, and has no tasks, pending move, retirement or protected priority.
   * `highestPrice`: null if cheap machines may not stay idle for longer than others.
   */
  private isRetirable(machine: Machine, summary: MachineSummary, highestPrice: number | null): boolean {
    if (summary.tasks > 0 || machine.moveToShard !== null || machine.isRetired || summary.protectedPriority > 0) return false;
    const factor = highestPrice === null ? 1 : idleFactor(machine.capacity, machine.spot, highestPrice);
    const idleLimitS = this.context.settings.policy.idleS * factor;
    // Not `>=`: without any known price the limit is NaN, and the machine is retirable.
    return !(summary.idleS < idleLimitS);
  }

  /**
   * Whether pending tasks could use the machine. It has stayed idle so far, so low-priority tasks don't prevent the retirement of
   * an expensive machine.
   */
  private hasPendingDemand(machine: Machine, demands: readonly ResourceDemand[]): boolean {
    const { capacity, spot } = machine;
    if (!capacity) return false;
    const zone = this.context.clusterState.zoneNames.nameOf(machine.zoneIndex);
    const isExpensive = capacity.gpus > 0 && !spot;
    return demands.some(
      (demand) =>
        servesDemand(demand, capacity, zone, spot) && (!isExpensive || demand.gpus > 0 || demand.priority > MAX_LOW_PRIORITY),
    );
  }

  private retire(machine: Machine, idleS: number, { leaseRevision, now }: ScaleInRound): void {
    this.context.log('info', 'retiring idle machine', { machine: machine.name, idleS: Math.round(idleS) });
    writeAssignmentOrder(
      this.context,
      machine,
      { isRetired: true },
      { leaseRevision, priority: WritePriority.progress, now, onOutcome: () => {} },
    );
  }
}

/**
 * Returns the multiple of the configured idle time for which a machine may stay idle. It is higher for cheap machines: they cost
 * little, and a replacement takes its boot time, which has to be paid and waited for.
 */
function idleFactor(type: MachineType | null, spot: boolean, highestPrice: number): number {
  if (!type) return 1;
  const price = Math.max(MIN_PRICE, spot ? type.spotPrice : type.price);
  return Math.min(MAX_IDLE_FACTOR, Math.sqrt(highestPrice / price));
}
