/**
 * Bin packing of a gang: all of its tasks in the smallest topology domain of the finest layer that holds them, or none of
 * them. Pure functions, which don't modify their arguments.
 */
import { appendTo, type FreeResources, fits, type Job, type Machine, subtract } from '../model/index.js';
import { countTaskInZone, zoneAllowsTask } from './placement-constraints.js';

/** How the cluster is divided into topology domains, from the finest layer to the coarsest. */
type TopologyLayer = 'machine type within zone' | 'zone' | 'cluster';

const LAYERS: readonly TopologyLayer[] = ['machine type within zone', 'zone', 'cluster'];

/** Exclusive upper bound of type indices, so that zone index and type index combine into one number. */
const MAX_MACHINE_TYPES = 4096;

/** The machines of one domain, with their free resources. */
type TopologyDomain = FreeResources[];

/**
 * Yields the domains that may hold the gang, in the order in which they are tried: the finest layer first (DESIGN: one machine
 * type within one zone, one zone, all zones), and within a layer by ascending machine count, then by key. A layer is divided
 * into domains only once it is reached.
 */
export function* domainsFor(job: Job, candidates: readonly FreeResources[]): Generator<TopologyDomain> {
  for (const layer of LAYERS) if (layer !== 'cluster' || !job.spec.oneZone) yield* domainsOfLayer(candidates, layer);
}

function domainsOfLayer(candidates: readonly FreeResources[], layer: TopologyLayer): TopologyDomain[] {
  const domains = new Map<number, TopologyDomain>();
  for (const free of candidates) appendTo(domains, domainKey(free.machine, layer), free);
  const byMachineCount = [...domains].sort(([keyA, a], [keyB, b]) => a.length - b.length || keyA - keyB);
  return byMachineCount.map(([, domain]) => domain);
}

function domainKey(machine: Machine, layer: TopologyLayer): number {
  switch (layer) {
    case 'machine type within zone':
      return machine.zoneIndex * MAX_MACHINE_TYPES + machine.typeIndex;
    case 'zone':
      return machine.zoneIndex;
    case 'cluster':
      return 0;
    default:
      return layer satisfies never;
  }
}

/**
 * Assigns `count` tasks to machines of the domain: by descending score, then by ascending free accelerators and processor
 * cores. Returns the machine of each task; null if the tasks don't all fit.
 */
function fillDomain(job: Job, count: number, domain: TopologyDomain, scoreOf: (free: FreeResources) => number): Machine[] | null {
  const candidates = domain
    .map((free) => ({ free: { ...free }, score: scoreOf(free) }))
    .sort((a, b) => b.score - a.score || a.free.gpus - b.free.gpus || a.free.cpus - b.free.cpus);
  const result: Machine[] = [];
  const tasksInZones = new Map<number, number>();
  for (const { free } of candidates) {
    const { machine } = free;
    while (result.length < count && fits(job.resources, free) && zoneAllowsTask(job, tasksInZones, machine.zoneIndex)) {
      subtract(free, job.resources);
      countTaskInZone(tasksInZones, machine.zoneIndex);
      result.push(machine);
    }
    if (result.length === count) return result;
  }
  return null;
}

/**
 * Returns the machine of each of the gang's tasks, in the smallest domain of the finest layer that holds all `count` of them;
 * null if no domain does. `scoreOf`: machines with a higher score are filled first.
 */
export function placeGang(
  job: Job,
  count: number,
  candidates: readonly FreeResources[],
  scoreOf: (free: FreeResources) => number,
): Machine[] | null {
  for (const domain of domainsFor(job, candidates)) {
    const machines = fillDomain(job, count, domain, scoreOf);
    if (machines) return machines;
  }
  return null;
}
