/** Demand: work that waits for room, which machines would serve it, and how much of it is served already. Owns no state. */
import type { MachineType, ResourceDemand, ShardSummary } from '@archpost/protocol';
import { countThatFit, HIGHEST_PRIORITY, type Resources } from '../model/index.js';
import type { InstanceKind } from './instance-kind.js';

/** The priority below the highest. */
export const URGENT_PRIORITY = HIGHEST_PRIORITY - 1;

/** The priority of best-effort work. */
export const LOWEST_PRIORITY = 0;

/** Work that waited for less than this may find room by itself. */
const MIN_WAIT_S = 0.2;

/** Work of a shard that waits for room, and how many of its tasks are not served yet by what is arriving. */
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

/** What waits for room in these shards: by priority, then what is within its quota, then what has waited longest. */
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

/** Counts the tasks of the shard that a machine of this kind will serve as served, in the order of `pending`. */
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

/** Subtracts the resources of so many tasks from what is free, in one step: repeated subtraction would round otherwise. */
export function subtractTasks(free: Resources, task: Resources, count: number): void {
  free.cpus -= count * task.cpus;
  free.gpus -= count * task.gpus;
  free.memory -= count * task.memory;
}
