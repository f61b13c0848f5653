/**
 * The choice of machines to move to the shard of a demand, and the cost of each move. Decides from the summaries of one round;
 * owns counts that are cached for the round.
 */
import type { MachineSummary, MachineType, ResourceDemand, ShardSummary } from '@archpost/protocol';
import type { CapacityView, ClusterStateView, SettingsView } from '../context/index.js';
import { countThatFit, HIGHEST_PRIORITY, type Machine, SCARCE_MACHINE_WAIT_S } from '../model/index.js';
import { type PendingDemand, servesDemand, URGENT_PRIORITY } from './demand.js';

/** Work of the highest priority that waited for this multiple of `planWaitS` gets machines that run protected work elsewhere. */
const PRESSING_AFTER_PLAN_WAITS = 1.5;

/** Services are displaced only for work that has waited this long. */
const SERVICE_DISPLACEMENT_WAIT_S = 3;

/** A shard keeps this many idle ordinary machines from work that may use spot machines. */
const MIN_IDLE_ORDINARY_MACHINES = 3;

/** Work of the shard that the machine would leave competes once it has waited this long. */
const MIN_COMPETING_WAIT_S = 0.2;

/** The cost of a move: of each displaced service, of a busy machine, of each stopped task, of accelerators left unused. */
const COST_OF_SERVICE = 200;
const COST_OF_BUSY_MACHINE = 100;
const COST_OF_TASK = 10;
const COST_OF_UNUSED_GPUS = 50;

/** A machine that may be moved, by the summary of its shard. */
export interface MovableMachine {
  machine: Machine;
  summary: MachineSummary;
  shard: ShardSummary;
  capacity: MachineType;
  zone: string;
}

/** A machine that may be moved for a demand, and the cost of that. */
export interface MoveOption {
  movable: MovableMachine;
  cost: number;
}

/** What the choice of moves needs of the controller. */
type MoveOptionsContext = SettingsView & ClusterStateView & CapacityView;

/** The choice among the movable machines of one round. */
export class MoveOptions {
  private readonly idleCounts = new Map<number, number>();

  /** `mayDisplaceServices`: services were displaced long enough ago. Evaluated anew each time. */
  constructor(
    private readonly context: MoveOptionsContext,
    private readonly movables: readonly MovableMachine[],
    private readonly mayDisplaceServices: () => boolean,
  ) {}

  /** The machines that may be moved for the work, without those that are moving already, by cost. */
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
    // Services are displaced rarely, and only for work that has waited.
    if (summary.services > 0 && (demand.waitS < SERVICE_DISPLACEMENT_WAIT_S || !this.mayDisplaceServices())) return false;
    return summary.protectedPriority < demand.priority && servesDemand(demand, capacity, zone, machine.spot);
  }

  /** Is the machine reserved for other work: what runs on it, or what can use no other kind? */
  private isReserved({ machine, summary, shard, capacity }: MovableMachine, work: PendingDemand): boolean {
    const { demand } = work;
    const isPressing = this.isPressing(work, capacity);
    if (summary.protectedPriority >= URGENT_PRIORITY && !isPressing) return true;
    if (demand.gpus > 0) return false;
    if (this.isScarce(machine, shard, capacity)) {
      // No other of its type could be provisioned: it is left only to urgent work that has found nothing else for a while.
      if (demand.priority < HIGHEST_PRIORITY || demand.waitS < SCARCE_MACHINE_WAIT_S) return true;
      if (summary.tasks > 0 && !isPressing) return true;
    }
    // Ordinary machines stay for what can't use others.
    if (demand.spot && !machine.spot && this.idleCount(shard) <= MIN_IDLE_ORDINARY_MACHINES) return true;
    return capacity.gpus > 0 && demand.priority < URGENT_PRIORITY && summary.tasks > 0;
  }

  /** Protected work is displaced only for work that has waited longer than its own shard takes to clear a machine. */
  private isPressing({ demand, remainingTasks }: PendingDemand, capacity: MachineType): boolean {
    return (
      demand.priority >= HIGHEST_PRIORITY &&
      demand.waitS > PRESSING_AFTER_PLAN_WAITS * this.context.settings.policy.planWaitS &&
      remainingTasks * 2 >= countThatFit(demand, capacity)
    );
  }

  /** Has it accelerators that the shard has work for, and of which no more can be had? */
  private isScarce(machine: Machine, shard: ShardSummary, capacity: MachineType): boolean {
    if (capacity.gpus === 0 || machine.spot || this.context.isTypeAvailable(capacity.name)) return false;
    return this.context.clusterState.shardsWithGpuWork.has(shard.shard);
  }

  /** Idle ordinary machines of the shard, without accelerators: counted when first needed. */
  private idleCount(shard: ShardSummary): number {
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

/** Does the shard need machines as much itself? */
function hasCompetingDemand(shard: ShardSummary, demand: ResourceDemand): boolean {
  return shard.demands.some(
    (own) =>
      own.priority > demand.priority ||
      (own.priority === demand.priority && (own.withinQuota || !demand.withinQuota) && own.waitS > MIN_COMPETING_WAIT_S),
  );
}

/** Would the machine serve what its own shard waits for? */
function servesOwnDemand({ shard, capacity, zone, machine }: MovableMachine, demand: ResourceDemand): boolean {
  return shard.demands.some((own) => own.priority >= demand.priority && servesDemand(own, capacity, zone, machine.spot));
}

/** What the move stops, and what it leaves unused, less the tasks that it serves. */
function moveCost({ summary, capacity }: MovableMachine, { demand, remainingTasks }: PendingDemand): number {
  const busy = summary.tasks > 0 ? COST_OF_BUSY_MACHINE + COST_OF_TASK * summary.tasks : 0;
  const unusedGpus = demand.gpus === 0 && capacity.gpus > 0 ? COST_OF_UNUSED_GPUS : 0;
  return summary.services * COST_OF_SERVICE + busy + unusedGpus - Math.min(countThatFit(demand, capacity), remainingTasks);
}
