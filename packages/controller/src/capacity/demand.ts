/** Demand: tasks without a machine, the kinds of machines that could run them, and the tasks served already. Owns no state. */
import type { MachineType, ResourceDemand, ShardSummary } from '@archpost/protocol';
import { countThatFit, HIGHEST_PRIORITY, type Resources } from '../model/index.js';
import type { InstanceKind } from './instance-kind.js';

/** The priority below the highest. */
export const URGENT_PRIORITY = HIGHEST_PRIORITY - 1;

/** The priority of best-effort work. */
export const LOWEST_PRIORITY = 0;

/** Work that has waited for less may yet be scheduled on existing machines. */
const MIN_WAIT_S = 0.2;

/** A demand of a shard, with the number of its tasks that no arriving machine will serve. */
export interface PendingDemand {
  readonly shard: number;
  readonly demand: ResourceDemand;
  remainingTasks: number;
}

/** May the tasks of the demand run on machines of this kind? Whether they fit isn't considered. */
export function matchesDemand(demand: ResourceDemand, type: string, zone: string, spot: boolean): boolean {
  return (
    (demand.types.length === 0 || demand.types.includes(type)) &&
    (demand.zone === '' || demand.zone === zone) &&
    !demand.excludedZones.includes(zone) &&
    (demand.spot || !spot)
  );
}

/** Does a task of the demand fit on an empty machine of this kind, and may it run there? */
export function servesDemand(demand: ResourceDemand, type: MachineType, zone: string, spot: boolean): boolean {
  return countThatFit(demand, type) >= 1 && matchesDemand(demand, type.name, zone, spot);
}

/** The demands of the shards, ordered by priority, then those within their quota, then by waiting time, longest first. */
export function pendingDemands(shards: Iterable<ShardSummary>): PendingDemand[] {
  const pending: PendingDemand[] = [];
  for (const { shard, demands } of shards) {
    for (const demand of demands) if (demand.waitS > MIN_WAIT_S) pending.push({ shard, demand, remainingTasks: demand.count });
  }
  return pending.sort(
    ({ demand }, { demand: other }) =>
      other.priority - demand.priority || Number(other.withinQuota) - Number(demand.withinQuota) || other.waitS - demand.waitS,
  );
}

/** Allocates tasks of the shard to one machine of this kind, in the order of `pending`: they count as served from then on. */
export function allocateToDemands(pending: PendingDemand[], shard: number, kind: InstanceKind, capacity: MachineType): void {
  const free: Resources = { cpus: capacity.cpus, gpus: capacity.gpus, memory: capacity.memory };
  for (const work of pending) {
    const { demand } = work;
    if (work.shard !== shard || work.remainingTasks <= 0) continue;
    if (!matchesDemand(demand, kind.type, kind.zone, kind.spot)) continue;
    const count = Math.min(work.remainingTasks, countThatFit(demand, free));
    work.remainingTasks -= count;
    subtractTasks(free, demand, count);
  }
}

/** Subtracts the resources of `count` tasks in one step: repeated subtraction would round differently. */
export function subtractTasks(free: Resources, task: Resources, count: number): void {
  free.cpus -= count * task.cpus;
  free.gpus -= count * task.gpus;
  free.memory -= count * task.memory;
}
