/** Bin packing of a gang: all its tasks in the finest, smallest topology domain that holds them, or none. */
import { type FreeResources, fits, type Job, type Machine, subtract } from '../model/index.js';
import { zoneAllowsTask } from './placement-constraints.js';

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
