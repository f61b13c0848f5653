/**
 * Selection of the machines that may be moved to the shard of a demand, and the cost of each move. Based on the shard summaries
 * of one round; owns counts that are cached for the round.
 */
import type { MachineSummary, MachineType, ResourceDemand, ShardSummary } from '@archpost/protocol';
import type { CapacityView, ClusterStateView, SettingsView } from '../context/index.js';
import { countThatFit, HIGHEST_PRIORITY, type Machine, SCARCE_MACHINE_WAIT_S } from '../model/index.js';
import { type PendingDemand, servesDemand, URGENT_PRIORITY } from './demand.js';

/** Work of the highest priority that has waited this multiple of `planWaitS` may displace protected work of other shards. */
const PROTECTED_DISPLACEMENT_PLAN_WAITS = 1.5;

/** Services are displaced only for work that has waited at least this long. */
const SERVICE_DISPLACEMENT_WAIT_S = 3;

/** A shard reserves this many idle on-demand machines for work that can't use spot machines. */
const MIN_IDLE_ON_DEMAND_MACHINES = 3;

/** Work of the source shard competes for the machine once it has waited this long. */
const MIN_COMPETING_WAIT_S = 0.2;

/** The cost of a move: per displaced service, for a busy machine, per stopped task, and for accelerators left unused. */
const COST_OF_SERVICE = 200;
const COST_OF_BUSY_MACHINE = 100;
const COST_OF_TASK = 10;
const COST_OF_UNUSED_GPUS = 50;

/** A machine that may be moved, according to the summary of its shard. */
export interface MovableMachine {
  machine: Machine;
  summary: MachineSummary;
  shard: ShardSummary;
  capacity: MachineType;
  zone: string;
}

/** A machine that may be moved for a demand, and the cost of the move. */
export interface MoveOption {
  movable: MovableMachine;
  cost: number;
}

/** The parts of the controller's context that the selection of moves uses. */
type MoveOptionsContext = SettingsView & ClusterStateView & CapacityView;

/** Selects among the movable machines of one round. */
export class MoveOptions {
  private readonly idleCounts = new Map<number, number>();

  /** `mayDisplaceServices`: the last displacement of services was long enough ago. Evaluated on every use. */
  constructor(
    private readonly context: MoveOptionsContext,
    private readonly movables: readonly MovableMachine[],
    private readonly mayDisplaceServices: () => boolean,
  ) {}

  /** Returns the machines that may be moved for the work, lowest cost first, without machines that are already being moved. */
  optionsFor(work: PendingDemand, movingMachines: ReadonlySet<string>): MoveOption[] {
    const competingDemandByShard = new Map<ShardSummary, boolean>();
    const options: MoveOption[] = [];
    for (const movable of this.movables) {
      const { shard, machine } = movable;
      if (shard.shard === work.shard || movingMachines.has(machine.name)) continue;
      if (!this.canServe(movable, work.demand) || this.isReserved(movable, work)) continue;
      const competes = competingDemandByShard.get(shard) ?? hasCompetingDemand(shard, work.demand);
      competingDemandByShard.set(shard, competes);
      if (competes && servesOwnDemand(movable, work.demand)) continue;
      options.push({ movable, cost: moveCost(movable, work) });
    }
    return options.sort((a, b) => a.cost - b.cost);
  }

  private canServe({ summary, capacity, zone, machine }: MovableMachine, demand: ResourceDemand): boolean {
    // Services are displaced rarely, and only for work that has waited long enough.
    if (summary.services > 0 && (demand.waitS < SERVICE_DISPLACEMENT_WAIT_S || !this.mayDisplaceServices())) return false;
    return summary.protectedPriority < demand.priority && servesDemand(demand, capacity, zone, machine.spot);
  }

  /** Whether the machine is reserved for other work: for what runs on it, or for work that can use no other kind. */
  private isReserved({ machine, summary, shard, capacity }: MovableMachine, work: PendingDemand): boolean {
    const { demand } = work;
    const mayDisplaceProtectedWork = this.mayDisplaceProtectedWork(work, capacity);
    if (summary.protectedPriority >= URGENT_PRIORITY && !mayDisplaceProtectedWork) return true;
    if (demand.gpus > 0) return false;
    if (this.isScarce(machine, shard, capacity)) {
      // No more machines of this type can be provisioned: only urgent work that has waited for another machine may get this one.
      if (demand.priority < HIGHEST_PRIORITY || demand.waitS < SCARCE_MACHINE_WAIT_S) return true;
      if (summary.tasks > 0 && !mayDisplaceProtectedWork) return true;
    }
    // On-demand machines are kept for work that can't use spot machines.
    if (demand.spot && !machine.spot && this.idleCount(shard) <= MIN_IDLE_ON_DEMAND_MACHINES) return true;
    return capacity.gpus > 0 && demand.priority < URGENT_PRIORITY && summary.tasks > 0;
  }

  /**
   * Whether the work may displace protected work: it has the highest priority, has waited longer than its own shard takes to
   * clear a machine, and would use at least half of the machine.
   */
  private mayDisplaceProtectedWork({ demand, remainingTasks }: PendingDemand, capacity: MachineType): boolean {
    return (
      demand.priority >= HIGHEST_PRIORITY &&
      demand.waitS > PROTECTED_DISPLACEMENT_PLAN_WAITS * this.context.settings.policy.planWaitS &&
      remainingTasks * 2 >= countThatFit(demand, capacity)
    );
  }

  /** Whether the shard has work for the machine's accelerators, and no more machines of its type can be provisioned. */
  private isScarce(machine: Machine, shard: ShardSummary, capacity: MachineType): boolean {
    if (capacity.gpus === 0 || machine.spot || this.context.isTypeAvailable(capacity.name)) return false;
    return this.context.clusterState.shardsWithGpuWork.has(shard.shard);
  }

  /** Returns the number of idle on-demand machines without accelerators in the shard; computed on first use. */
  private idleCount(shard: ShardSummary): number {
    const cached = this.idleCounts.get(shard.shard);
    if (cached !== undefined) return cached;
    const { machines } = this.context.clusterState;
    const count = shard.machines.filter((summary) => {
      const machine = machines.get(summary.name);
      return summary.tasks === 0 && machine?.spot === false && machine.capacity?.gpus === 0;
    }).length;
    this.idleCounts.set(shard.shard, count);
    return count;
  }
}

/** Whether the shard has pending work of its own that is at least as important as the demand. */
function hasCompetingDemand(shard: ShardSummary, demand: ResourceDemand): boolean {
  return shard.demands.some(
    (own) =>
      own.priority > demand.priority ||
      (own.priority === demand.priority && (own.withinQuota || !demand.withinQuota) && own.waitS > MIN_COMPETING_WAIT_S),
  );
}

/** Whether the machine would serve pending work of its own shard, of at least the priority of the demand. */
function servesOwnDemand({ shard, capacity, zone, machine }: MovableMachine, demand: ResourceDemand): boolean {
  return shard.demands.some((own) => own.priority >= demand.priority && servesDemand(own, capacity, zone, machine.spot));
}

/** Returns the cost of stopped tasks and unused accelerators, less the number of tasks that the machine would serve. */
function moveCost({ summary, capacity }: MovableMachine, { demand, remainingTasks }: PendingDemand): number {
  const busy = summary.tasks > 0 ? COST_OF_BUSY_MACHINE + COST_OF_TASK * summary.tasks : 0;
  const unusedGpus = demand.gpus === 0 && capacity.gpus > 0 ? COST_OF_UNUSED_GPUS : 0;
  return summary.services * COST_OF_SERVICE + busy + unusedGpus - Math.min(countThatFit(demand, capacity), remainingTasks);
}
