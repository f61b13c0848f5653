/**
 * Bin packing of a gang: all its tasks in the finest, smallest topology domain that holds them, or none. Pure functions; what
 * they are given is not changed.
 */
import { appendTo, type FreeResources, fits, type Job, type Machine, subtract } from '../model/index.js';
import { countTaskInZone, zoneAllowsTask } from './placement-constraints.js';

/** How a cluster is divided into domains, from the finest to the coarsest. */
type TopologyLayer = 'machine type within zone' | 'zone' | 'cluster';

const LAYERS: readonly TopologyLayer[] = ['machine type within zone', 'zone', 'cluster'];

/** Type indices are smaller than this, so that zone and type make one number. */
const MAX_MACHINE_TYPES = 4096;

/** The machines of one domain with what is free on them. */
type TopologyDomain = FreeResources[];

/**
 * The domains that may hold the gang, in the order in which they are tried: the finest layer first (DESIGN: one machine type
 * within one zone, one zone, all zones), in a layer by rising machine count, then by key. A layer is divided only once it is
 * reached.
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

/** Puts `count` tasks into one domain, the machines with the highest score and then the fullest first; null: they don't fit. */
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
 * The machine of each of the gang's tasks, in the finest layer's smallest domain that holds all `count` of them; null: none
 * does. `scoreOf`: the machine with the larger score is filled first.
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
