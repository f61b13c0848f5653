/**
 * Rebalancing: moves machines that are idle, or run only work of lower priority, to shards with pending work. Owns the ordered
 * moves that are in progress, and the time of each machine's last move.
 */
import type { MachineSummary, ShardSummary } from '@archpost/protocol';
import type { CapacityView, ClusterStateView, SettingsView } from '../context/index.js';
import { countThatFit, type Machine, type Milliseconds, NEVER } from '../model/index.js';
import { allocateToDemands, type PendingDemand } from './demand.js';
import { instanceKindOf } from './instance-kind.js';
import { type MovableMachine, MoveOptions } from './move-options.js';

/** An order that is not in the cluster state after this time was refused or has been completed. */
const ORDER_VISIBILITY_MS = 3000;

/** The minimum interval between two moves of a busy or idle machine, so that it isn't moved back and forth. */
const MIN_BUSY_MOVE_INTERVAL_MS = 30_000;
const MIN_IDLE_MOVE_INTERVAL_MS = 3000;

/** The minimum interval between two displacements of services. */
const MIN_SERVICE_DISPLACEMENT_INTERVAL_MS = 3000;

/** Below every priority: no demand is pending. */
const NO_PRIORITY = -1;

/** The parts of the controller's context that the shard rebalancer uses. */
type ShardRebalancerContext = SettingsView & ClusterStateView & CapacityView;

/** Orders the move of a machine to a shard. If the order can't be written, `onOrderFailed` is called later. */
type OrderMove = (machine: Machine, shard: number) => void;

/** The inputs for planning the moves of a round. */
interface MoveRound {
  shards: Map<number, ShardSummary>;
  pending: PendingDemand[];
  /** maximum number of moves */
  limit: number;
  orderMove: OrderMove;
}

/** Plans the moves of each round. The leader writes the orders. */
export class ShardRebalancer {
  /** when each move that isn't completed yet was ordered, by machine name */
  private readonly orderedMoves = new Map<string, Milliseconds>();
  private readonly lastMoveAt = new Map<string, Milliseconds>();
  private servicesDisplacedAt: Milliseconds = NEVER;

  constructor(private readonly context: ShardRebalancerContext) {}

  /** Called when a leadership begins: discards the orders of an earlier one. */
  onLeaseAcquired(): void {
    this.orderedMoves.clear();
  }

  /** Called when the machine was removed from the cluster. */
  onMachineRemoved(name: string): void {
    this.lastMoveAt.delete(name);
  }

  /** Called when the order for the machine could not be written. */
  onOrderFailed(name: string): void {
    this.orderedMoves.delete(name);
  }

  /** Orders at most `limit` moves for the pending demands, and allocates pending tasks to the moved machines. */
  planMoves({ shards, pending, limit, orderMove }: MoveRound, now: Milliseconds): void {
    this.forgetCompletedMoves(now);
    const movingMachines = this.allocateOrderedMoves(pending);
    const movables = this.movableMachines(shards, movingMachines, highestPriority(pending), now);
    const moveOptions = new MoveOptions(this.context, movables, () => this.mayDisplaceServices(now));
    let remainingMoves = limit;
    for (const work of pending) {
      if (remainingMoves <= 0) return;
      for (const { movable } of moveOptions.optionsFor(work, movingMachines)) {
        if (work.remainingTasks <= 0 || remainingMoves <= 0) break;
        const { machine, summary, capacity } = movable;
        movingMachines.add(machine.name);
        remainingMoves--;
        work.remainingTasks -= countThatFit(work.demand, capacity);
        this.lastMoveAt.set(machine.name, now);
        this.orderedMoves.set(machine.name, now);
        orderMove(machine, work.shard);
        if (summary.services === 0) continue;
        this.servicesDisplacedAt = now;
        break;
      }
    }
  }

  private mayDisplaceServices(now: Milliseconds): boolean {
    return now - this.servicesDisplacedAt >= MIN_SERVICE_DISPLACEMENT_INTERVAL_MS;
  }

  private forgetCompletedMoves(now: Milliseconds): void {
    for (const [name, at] of this.orderedMoves) {
      const machine = this.context.clusterState.machines.get(name);
      if (!machine || (machine.moveToShard === null && now - at > ORDER_VISIBILITY_MS)) this.orderedMoves.delete(name);
    }
  }

  /** Allocates pending tasks to the machines that are being moved, and returns the names of these machines. */
  private allocateOrderedMoves(pending: PendingDemand[]): Set<string> {
    const { clusterState } = this.context;
    const movingMachines = new Set<string>();
    for (const name of this.orderedMoves.keys()) {
      const machine = clusterState.machines.get(name);
      if (!machine || machine.moveToShard === null || !machine.capacity) continue;
      allocateToDemands(pending, machine.moveToShard, instanceKindOf(this.context, machine), machine.capacity);
      movingMachines.add(name);
    }
    return movingMachines;
  }

  /** Collects the movable machines once per round for all demands: one pass per demand took up most of the cost of a round. */
  private movableMachines(
    shards: Map<number, ShardSummary>,
    movingMachines: ReadonlySet<string>,
    maxPriority: number,
    now: Milliseconds,
  ): MovableMachine[] {
    const { machines, zoneNames } = this.context.clusterState;
    const movables: MovableMachine[] = [];
    for (const shard of shards.values()) {
      for (const summary of shard.machines) {
        const machine = machines.get(summary.name);
        if (!machine?.capacity || machine.shard !== shard.shard || machine.moveToShard !== null || machine.isRetired) continue;
        if (movingMachines.has(summary.name) || summary.protectedPriority >= maxPriority) continue;
        if (this.isRecentlyMoved(summary, now)) continue;
        const zone = zoneNames.nameOf(machine.zoneIndex);
        movables.push({ machine, summary, shard, capacity: machine.capacity, zone });
      }
    }
    return movables;
  }

  private isRecentlyMoved(summary: MachineSummary, now: Milliseconds): boolean {
    const sinceMs = now - (this.lastMoveAt.get(summary.name) ?? NEVER);
    return sinceMs < (summary.tasks > 0 ? MIN_BUSY_MOVE_INTERVAL_MS : MIN_IDLE_MOVE_INTERVAL_MS);
  }
}

function highestPriority(pending: PendingDemand[]): number {
  return pending.reduce((highest, { demand }) => Math.max(highest, demand.priority), NO_PRIORITY);
}
