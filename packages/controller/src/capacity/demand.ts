/** Work that waits for room, and what kinds of machines would serve it. */
import type { MachineType, ResourceDemand, ShardSummary } from '@archpost/protocol';
import type { ClusterStateView } from '../context/index.js';
import { countThatFit, type Resources } from '../model/index.js';

/** What the cloud sells: a type in a zone, ordinary or cheap. */
export interface InstanceKind {
  type: string;
  zone: string;
  spot: boolean;
}

/** One name for each kind. */
export const instanceKindKey = (kind: InstanceKind): string => `${kind.type}/${kind.zone}/${kind.spot}`;

export function machineTypeNamed(context: ClusterStateView, name: string): MachineType | null {
  return context.clusterState.machineTypes[context.clusterState.typeNames.indexOf(name)] ?? null;
}

/** May work that waits go to machines of this kind? */
export function matchesDemand(demand: ResourceDemand, type: string, zone: string, spot: boolean): boolean {
  return (
    (demand.types.length === 0 || demand.types.includes(type)) &&
    (demand.zone === '' || demand.zone === zone) &&
    !demand.excludedZones.includes(zone) &&
    (demand.spot || !spot)
  );
}

/** Work of a share that waits for room, and how many of its tasks are not served yet by what is on its way. */
export interface PendingDemand {
  shard: number;
  demand: ResourceDemand;
  remainingTasks: number;
}

/** Work that waited for less than this may find room by itself. */
const BRIEF_WAIT_S = 0.2;

/** What waits for room, the most urgent first. */
export function pendingDemands(shards: Iterable<ShardSummary>): PendingDemand[] {
  const waiting: PendingDemand[] = [];
  for (const { shard, demands } of shards) {
    for (const demand of demands) if (demand.waitS > BRIEF_WAIT_S) waiting.push({ shard, demand, remainingTasks: demand.count });
  }
  return waiting.sort(
    ({ demand }, { demand: other }) =>
      other.priority - demand.priority || Number(other.withinQuota) - Number(demand.withinQuota) || other.waitS - demand.waitS,
  );
}

/** Takes off what a machine of this kind will serve of a share's waiting work. */
export function allocateToDemands(waiting: PendingDemand[], shard: number, kind: InstanceKind, capacity: MachineType): void {
  const free: Resources = { cpus: capacity.cpus, gpus: capacity.gpus, memory: capacity.memory };
  for (const work of waiting) {
    const { demand } = work;
    if (work.shard !== shard || work.remainingTasks <= 0) continue;
    if (!matchesDemand(demand, kind.type, kind.zone, kind.spot)) continue;
    const count = Math.min(work.remainingTasks, countThatFit(demand, free));
    work.remainingTasks -= count;
    free.cpus -= count * demand.cpus;
    free.gpus -= count * demand.gpus;
    free.memory -= count * demand.memory;
  }
}
