import type { Job, Machine, Resources } from '../model/index.js';

export const RESOURCE_TOLERANCE = 1e-6;

export interface FreeResources extends Resources {
  machine: Machine;
}

export function fits(resources: Resources, free: Resources): boolean {
  return (
    resources.cpus <= free.cpus + RESOURCE_TOLERANCE &&
    resources.gpus <= free.gpus + RESOURCE_TOLERANCE &&
    resources.memory <= free.memory + RESOURCE_TOLERANCE
  );
}

export function subtract(free: Resources, resources: Resources): void {
  free.cpus -= resources.cpus;
  free.gpus -= resources.gpus;
  free.memory -= resources.memory;
}

export function countThatFit(resources: Resources, free: Resources): number {
  let count = 1e9;
  if (resources.cpus > 0) count = Math.min(count, Math.floor((free.cpus + RESOURCE_TOLERANCE) / resources.cpus));
  if (resources.gpus > 0) count = Math.min(count, Math.floor((free.gpus + RESOURCE_TOLERANCE) / resources.gpus));
  if (resources.memory > 0) count = Math.min(count, Math.floor((free.memory + RESOURCE_TOLERANCE) / resources.memory));
  return Math.max(0, count);
}

export function isAllowedOn(job: Job, machine: Machine): boolean {
  return (
    (!machine.spot || job.spec.spot) &&
    (job.typeIndices === null || job.typeIndices.includes(machine.typeIndex)) &&
    (job.zoneIndex < 0 || job.zoneIndex === machine.zoneIndex)
  );
}

/** Most tasks of the job in one zone, by its `spread`. */
export function maxTasksPerZone(job: Job): number {
  return job.spec.spread ? Math.ceil(job.spec.tasks / 2) : Number.POSITIVE_INFINITY;
}

/** Tasks of the job in each zone: all that are, or may be, on a machine. */
export function tasksPerZone(job: Job): Map<number, number> {
  const counts = new Map<number, number>();
  for (const allocation of job.allocations.values()) {
    if (allocation.phase !== 'exited')
      counts.set(allocation.machine.zoneIndex, (counts.get(allocation.machine.zoneIndex) ?? 0) + 1);
  }
  return counts;
}

export function zoneAllowsTask(job: Job, counts: Map<number, number>, zone: number): boolean {
  if (job.spec.oneZone) {
    for (const [otherZone, count] of counts) if (otherZone !== zone && count > 0) return false;
  }
  return (counts.get(zone) ?? 0) < maxTasksPerZone(job);
}

/**
 * The domains of a layer, in the order they are tried. DESIGN: the layers are one machine
 * type within one zone, one zone, all zones; domains go by rising machine count.
 */
export function topologyDomains(candidates: FreeResources[], layer: 0 | 1 | 2): FreeResources[][] {
  const by = new Map<number, FreeResources[]>();
  for (const free of candidates) {
    const key = layer === 0 ? free.machine.zoneIndex * 4096 + free.machine.typeIndex : layer === 1 ? free.machine.zoneIndex : 0;
    const list = by.get(key);
    if (list) list.push(free);
    else by.set(key, [free]);
  }
  return [...by.entries()].sort((a, b) => a[1].length - b[1].length || a[0] - b[0]).map((entry) => entry[1]);
}

/** Puts `count` tasks into one domain, fullest machines first, or fails whole. */
function fillDomain(
  job: Job,
  count: number,
  domain: FreeResources[],
  prefer: (free: FreeResources) => number,
): FreeResources[] | null {
  const rooms = domain.map((free) => ({ ...free })).sort((a, b) => prefer(b) - prefer(a) || a.gpus - b.gpus || a.cpus - b.cpus);
  const result: FreeResources[] = [];
  const zones = new Map<number, number>();
  for (const free of rooms) {
    while (result.length < count && fits(job.resources, free) && zoneAllowsTask(job, zones, free.machine.zoneIndex)) {
      subtract(free, job.resources);
      zones.set(free.machine.zoneIndex, (zones.get(free.machine.zoneIndex) ?? 0) + 1);
      result.push(free);
    }
    if (result.length === count) return result;
  }
  return null;
}

/** A gang's machines in the finest layer's smallest domain that holds all its tasks. */
export function placeGang(
  job: Job,
  count: number,
  candidates: FreeResources[],
  prefer: (free: FreeResources) => number,
): Machine[] | null {
  for (const layer of [0, 1, 2] as const) {
    if (layer === 2 && job.spec.oneZone) continue;
    for (const domain of topologyDomains(candidates, layer)) {
      const found = fillDomain(job, count, domain, prefer);
      if (found) return found.map((free) => free.machine);
    }
  }
  return null;
}
