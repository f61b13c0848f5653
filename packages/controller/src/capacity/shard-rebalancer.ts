/**
 * Which machines the leader moves from share to share: free ones, or such as bear lesser work only, go where work has
 * no room.
 */
import type { MachineSummary, ResourceDemand, ShardSummary } from '@archpost/protocol';
import type { CapacityView, ClusterStateView, SettingsView } from '../context/index.js';
import { countThatFit, HIGHEST_PRIORITY, type Machine, type Milliseconds, NEVER, SCARCE_MACHINE_WAIT_S } from '../model/index.js';
import { allocateToDemands, matchesDemand, type PendingDemand } from './demand.js';

/** Work of the highest rank that waited for so many plan waits gets machines that bear firm work elsewhere. */
const PRESSING_AFTER_PLAN_WAITS = 1.5;

/** An ordered move that its holder hasn't taken up after this long was refused or is done. */
const ORDER_VISIBILITY_MS = 3000;

/**
 * A machine that was moved stays for so long, with and without work on it: going to and fro would serve nobody.
 */
const MIN_STAY_BUSY_MS = 30_000;
const MIN_STAY_IDLE_MS = 3000;

/** Services are displaced this often at most, for work that waited this long. */
const MIN_SERVICE_DISPLACEMENT_INTERVAL_MS = 3000;
const SERVICE_DISPLACEMENT_WAIT_S = 3;

/** A share keeps so many idle ordinary machines from work that may use cheap ones. */
const MIN_IDLE_ORDINARY_MACHINES = 3;

/** A rival's work counts once it has waited this long. */
const MIN_COMPETING_WAIT_S = 0.2;

/** Scores: what is displaced, what is stopped, and accelerators that are not needed cost this much each. */
const COST_OF_SERVICE = 200;
const COST_OF_BUSY_MACHINE = 100;
const COST_OF_TASK = 10;
const COST_OF_UNUSED_GPUS = 50;

/** A machine that may be moved, as its owner tells of it. */
interface Movable {
  machine: Machine;
  summary: MachineSummary;
  shard: ShardSummary;
  capacity: NonNullable<Machine['capacity']>;
  zone: string;
}

interface MoveOption {
  movable: Movable;
  score: number;
}

/** What a round knows of the shares beside what they told, worked out when first asked for. */
class RoundView {
  private readonly idleCounts = new Map<number, number>();

  constructor(private readonly context: ClusterStateView) {}

  /** Idle ordinary machines of the share, without accelerators. */
  idleCount(shard: ShardSummary): number {
    const known = this.idleCounts.get(shard.shard);
    if (known !== undefined) return known;
    const { machines } = this.context.clusterState;
    const count = shard.machines.filter((summary) => {
      const machine = machines.get(summary.name);
      return summary.tasks === 0 && machine?.spot === false && machine.capacity?.gpus === 0;
    }).length;
    this.idleCounts.set(shard.shard, count);
    return count;
  }
}

/** What the shard rebalancer needs of its controller. */
type ShardRebalancerContext = SettingsView & ClusterStateView & CapacityView;

export class ShardRebalancer {
  /** moves that were ordered and are not done yet, and when */
  private readonly orderedMoves = new Map<string, Milliseconds>();
  private readonly lastMoveAt = new Map<string, Milliseconds>();
  private servicesDisplacedAt: Milliseconds = NEVER;

  constructor(private readonly context: ShardRebalancerContext) {}

  /** A new lead knows of no orders. */
  leaseAcquired(): void {
    this.orderedMoves.clear();
  }

  machineRemoved(name: string): void {
    this.lastMoveAt.delete(name);
  }

  /** The order could not be written. */
  orderFailed(name: string): void {
    this.orderedMoves.delete(name);
  }

  /** The moves of a round: at most so many, for what is waiting. Calls `order` for each. */
  planMoves(
    shards: Map<number, ShardSummary>,
    waiting: PendingDemand[],
    limit: number,
    order: (machine: Machine, shard: number) => void,
    now: Milliseconds,
  ): void {
    this.forgetCompletedMoves(now);
    const movingMachines = this.allocateOrderedMoves(waiting);
    const movables = this.movables(shards, movingMachines, this.highestPriority(waiting), now);
    const view = new RoundView(this.context);
    let remainingMoves = limit;
    for (const work of waiting) {
      if (remainingMoves <= 0) return;
      for (const { movable } of this.moveOptions(movables, work, movingMachines, view, now)) {
        if (work.remainingTasks <= 0 || remainingMoves <= 0) break;
        const { machine, summary, capacity } = movable;
        movingMachines.add(machine.name);
        remainingMoves--;
        work.remainingTasks -= countThatFit(work.demand, capacity);
        this.lastMoveAt.set(machine.name, now);
        this.orderedMoves.set(machine.name, now);
        order(machine, work.shard);
        if (summary.services === 0) continue;
        this.servicesDisplacedAt = now;
        break;
      }
    }
  }

  private forgetCompletedMoves(now: Milliseconds): void {
    for (const [name, at] of this.orderedMoves) {
      const machine = this.context.clusterState.machines.get(name);
      if (!machine || (machine.moveToShard === null && now - at > ORDER_VISIBILITY_MS)) this.orderedMoves.delete(name);
    }
  }

  /** What is on its way already serves the first who want it. Returns its names. */
  private allocateOrderedMoves(waiting: PendingDemand[]): Set<string> {
    const { clusterState } = this.context;
    const movingMachines = new Set<string>();
    for (const name of this.orderedMoves.keys()) {
      const machine = clusterState.machines.get(name);
      if (!machine || machine.moveToShard === null || !machine.capacity) continue;
      const kind = { type: machine.capacity.name, zone: clusterState.zoneNames.nameOf(machine.zoneIndex), spot: machine.spot };
      allocateToDemands(waiting, machine.moveToShard, kind, machine.capacity);
      movingMachines.add(name);
    }
    return movingMachines;
  }

  private highestPriority(waiting: PendingDemand[]): number {
    return waiting.reduce((highest, { demand }) => Math.max(highest, demand.priority), -1);
  }

  /** Sorted out once a round, whatever waits: going over all machines for each demand was most of a round's cost. */
  private movables(
    shards: Map<number, ShardSummary>,
    movingMachines: Set<string>,
    highestPriority: number,
    now: Milliseconds,
  ): Movable[] {
    const { clusterState } = this.context;
    const movables: Movable[] = [];
    for (const shard of shards.values()) {
      for (const summary of shard.machines) {
        const machine = clusterState.machines.get(summary.name);
        if (!machine?.capacity || machine.shard !== shard.shard || machine.moveToShard !== null || machine.isRetired) continue;
        if (
          movingMachines.has(summary.name) ||
          summary.protectedPriority >= highestPriority ||
          this.isRecentlyMoved(summary, now)
        )
          continue;
        movables.push({
          machine,
          summary,
          shard,
          capacity: machine.capacity,
          zone: clusterState.zoneNames.nameOf(machine.zoneIndex),
        });
      }
    }
    return movables;
  }

  private isRecentlyMoved(summary: MachineSummary, now: Milliseconds): boolean {
    const since = now - (this.lastMoveAt.get(summary.name) ?? NEVER);
    return since < (summary.tasks > 0 ? MIN_STAY_BUSY_MS : MIN_STAY_IDLE_MS);
  }

  /** The machines that may be moved for the work, the one that costs least first. */
  private moveOptions(
    movables: Movable[],
    work: PendingDemand,
    movingMachines: Set<string>,
    view: RoundView,
    now: Milliseconds,
  ): MoveOption[] {
    const competingDemandByShard = new Map<ShardSummary, boolean>();
    const options: MoveOption[] = [];
    for (const movable of movables) {
      const { shard, machine } = movable;
      if (shard.shard === work.shard || movingMachines.has(machine.name)) continue;
      if (!this.canServe(movable, work.demand, now) || this.isReserved(movable, work, view)) continue;
      const competes = competingDemandByShard.get(shard) ?? this.hasCompetingDemand(shard, work.demand);
      competingDemandByShard.set(shard, competes);
      if (competes && this.servesOwnDemand(movable, work.demand)) continue;
      options.push({ movable, score: this.score(movable, work) });
    }
    return options.sort((a, b) => a.score - b.score);
  }

  private canServe({ summary, capacity, zone, machine }: Movable, demand: ResourceDemand, now: Milliseconds): boolean {
    // A machine that bears services that would have to move stays for a while.
    if (
      summary.services > 0 &&
      (demand.waitS < SERVICE_DISPLACEMENT_WAIT_S || now - this.servicesDisplacedAt < MIN_SERVICE_DISPLACEMENT_INTERVAL_MS)
    )
      return false;
    if (summary.protectedPriority >= demand.priority || countThatFit(demand, capacity) < 1) return false;
    return matchesDemand(demand, capacity.name, zone, machine.spot);
  }

  /** A share in the same need keeps what it has. */
  private hasCompetingDemand(shard: ShardSummary, demand: ResourceDemand): boolean {
    return shard.demands.some(
      (own) =>
        own.priority > demand.priority ||
        (own.priority === demand.priority && (own.withinQuota || !demand.withinQuota) && own.waitS > MIN_COMPETING_WAIT_S),
    );
  }

  private servesOwnDemand({ shard, capacity, zone, machine }: Movable, demand: ResourceDemand): boolean {
    return shard.demands.some(
      (own) =>
        own.priority >= demand.priority &&
        matchesDemand(own, capacity.name, zone, machine.spot) &&
        countThatFit(own, capacity) >= 1,
    );
  }

  /** Is the machine kept for the work that it is made for? */
  private isReserved({ machine, summary, shard, capacity }: Movable, work: PendingDemand, view: RoundView): boolean {
    const { demand } = work;
    // Work on it gives way only to what has pressed for longer than its own share needs to clear one.
    const pressing =
      demand.priority >= HIGHEST_PRIORITY &&
      demand.waitS > PRESSING_AFTER_PLAN_WAITS * this.context.settings.policy.planWaitS &&
      work.remainingTasks * 2 >= countThatFit(demand, capacity);
    if (summary.protectedPriority >= HIGHEST_PRIORITY - 1 && !pressing) return true;
    if (demand.gpus > 0) return false;
    if (this.isScarce(machine, shard, capacity)) {
      // These may not be had again, unless the most urgent work has found nothing else for a while.
      if (demand.priority < HIGHEST_PRIORITY || demand.waitS < SCARCE_MACHINE_WAIT_S || (summary.tasks > 0 && !pressing))
        return true;
    }
    // Ordinary machines stay for what can't use others.
    if (demand.spot && !machine.spot && view.idleCount(shard) <= MIN_IDLE_ORDINARY_MACHINES) return true;
    return capacity.gpus > 0 && demand.priority < 2 && summary.tasks > 0;
  }

  private isScarce(machine: Machine, shard: ShardSummary, capacity: Movable['capacity']): boolean {
    if (capacity.gpus === 0 || machine.spot || this.context.isTypeAvailable(capacity.name)) return false;
    return this.context.clusterState.shardsWithGpuWork.has(shard.shard);
  }

  private score({ summary, capacity }: Movable, { demand, remainingTasks }: PendingDemand): number {
    const busy = summary.tasks > 0 ? COST_OF_BUSY_MACHINE + COST_OF_TASK * summary.tasks : 0;
    const unusedGpus = demand.gpus === 0 && capacity.gpus > 0 ? COST_OF_UNUSED_GPUS : 0;
    return summary.services * COST_OF_SERVICE + busy + unusedGpus - Math.min(countThatFit(demand, capacity), remainingTasks);
  }
}
