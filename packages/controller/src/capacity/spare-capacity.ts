/** Scaling out where price is not an objective: holds spare capacity of each machine type. Pure functions of a snapshot. */
import type { ClusterStateView } from '../context/index.js';
import { servesDemand } from './demand.js';
import type { InstanceOption } from './instance-kind.js';
import type { ScaleOutRequest, ScaleOutSnapshot } from './scale-out.js';

/** No machine of a type is requested while a larger fraction of the type's capacity is free and the type serves no demand. */
const MAX_SPARE_FRACTION = 0.4;

/** The number of machines in one request. */
const MACHINES_PER_REQUEST = 4;

/** The score of each demand that an option serves; each existing machine of the type in the zone subtracts 1. */
const SCORE_PER_DEMAND = 10;

/** The processor cores of a machine type in the cluster. */
interface TypeCapacity {
  totalCpus: number;
  /** free processor cores; on machines with accelerators, in proportion to the free accelerators */
  freeCpus: number;
}

const NO_CAPACITY: Readonly<TypeCapacity> = { totalCpus: 0, freeCpus: 0 };

/** Returns at most one request: for the option with the most served demands and the fewest machines of its type in the zone. */
export function requestsToHoldSpare(snapshot: ScaleOutSnapshot): ScaleOutRequest[] {
  const capacities = capacityByType(snapshot);
  const demands = [...snapshot.shards.values()].flatMap((summary) => summary.demands);
  let best: InstanceOption | null = null;
  let bestScore = Number.NEGATIVE_INFINITY;
  for (const option of snapshot.options) {
    const { kind, type } = option;
    if (!snapshot.isRequestDue(kind)) continue;
    const servedDemands = demands.filter((demand) => servesDemand(demand, type, kind.zone, kind.spot));
    const spare = spareFraction(option, capacities.get(kind.type) ?? NO_CAPACITY, snapshot);
    if (servedDemands.length === 0 && spare > MAX_SPARE_FRACTION) continue;
    const score = servedDemands.length * SCORE_PER_DEMAND - machinesInZone(option, snapshot) - (kind.spot ? 1 : 0);
    if (!best || score > bestScore) {
      best = option;
      bestScore = score;
    }
  }
  return best ? [{ ...best.kind, count: MACHINES_PER_REQUEST, urgent: false }] : [];
}

function capacityByType({ shards, clusterState }: ScaleOutSnapshot): Map<string, TypeCapacity> {
  const capacities = new Map<string, TypeCapacity>();
  for (const shard of shards.values()) {
    for (const summary of shard.machines) {
      const capacity = clusterState.machines.get(summary.name)?.capacity;
      if (!capacity) continue;
      const sum = capacities.get(capacity.name) ?? { totalCpus: 0, freeCpus: 0 };
      sum.totalCpus += capacity.cpus;
      sum.freeCpus += capacity.gpus > 0 ? (capacity.cpus * summary.freeGpus) / capacity.gpus : summary.freeCpus;
      capacities.set(capacity.name, sum);
    }
  }
  return capacities;
}

/** Returns the free fraction of the type's capacity, including arriving machines. */
function spareFraction({ type }: InstanceOption, { totalCpus, freeCpus }: TypeCapacity, { arriving }: ScaleOutSnapshot): number {
  const arrivingCpus = arriving.filter((kind) => kind.type === type.name).length * type.cpus;
  return (freeCpus + arrivingCpus) / Math.max(1, totalCpus + arrivingCpus);
}

function machinesInZone({ kind }: InstanceOption, { clusterState }: ClusterStateView): number {
  let count = 0;
  for (const machine of clusterState.machines.values())
    if (machine.capacity?.name === kind.type && clusterState.zoneNames.nameOf(machine.zoneIndex) === kind.zone) count++;
  return count;
}
