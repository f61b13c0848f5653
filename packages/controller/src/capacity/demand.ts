/** Demand: unallocated tasks, the kinds of machines that can run them, and the tasks already served. Owns no state. */
import type { MachineType, ResourceDemand, ShardSummary } from '@archpost/protocol';
import { countThatFit, HIGHEST_PRIORITY, type Resources } from '../model/index.js';
import type { InstanceKind } from './instance-kind.js';

/** The second-highest priority. */
export const URGENT_PRIORITY = HIGHEST_PRIORITY - 1;

/** The priority of best-effort work. */
export const LOWEST_PRIORITY = 0;

/** Work that has waited for less time may still be scheduled on existing machines. */
const MIN_WAIT_S = 0.2;

/** A demand of a shard, with the number of its tasks that have not been allocated to a machine in this round. */
export interface PendingDemand {
  readonly shard: number;
  readonly demand: ResourceDemand;
  remainingTasks: number;
}

/** Whether the tasks of the demand may run on machines of this kind, regardless of whether they fit. */
export function matchesDemand(demand: ResourceDemand, type: string, zone: string, spot: boolean): boolean {
  return (
    (demand.types.length === 0 || demand.types.includes(type)) &&
    (demand.zone === '' || demand.zone === zone) &&
    !demand.excludedZones.includes(zone) &&
    (demand.spot || !spot)
  );
}

/** Whether a task of the demand may run on a machine of this kind, and fits on it when it is empty. */
export function servesDemand(demand: ResourceDemand, type: MachineType, zone: string, spot: boolean): boolean {
  return countThatFit(demand, type) >= 1 && matchesDemand(demand, type.name, zone, spot);
}

/** Returns the demands of the shards by priority, then those within their quota first, then the longest waiting time first. */
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

/** Allocates pending tasks of the shard to one machine of this kind, in the order of `pending`, and counts them as served. */
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

/** Subtracts the resources of `count` tasks in one step, since repeated subtraction would round differently. */
export function subtractTasks(free: Resources, task: Resources, count: number): void {
  free.cpus -= count * task.cpus;
  free.gpus -= count * task.gpus;
  free.memory -= count * task.memory;
}
