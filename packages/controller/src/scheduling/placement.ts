import type { Job, Machine, Need } from '../model/index.js';

export const EPS = 1e-6;

export interface Room extends Need {
  machine: Machine;
}

export function fits(need: Need, room: Need): boolean {
  return need.cpus <= room.cpus + EPS && need.gpus <= room.gpus + EPS && need.memory <= room.memory + EPS;
}

export function take(room: Need, need: Need): void {
  room.cpus -= need.cpus;
  room.gpus -= need.gpus;
  room.memory -= need.memory;
}

export function copies(need: Need, room: Need): number {
  let n = 1e9;
  if (need.cpus > 0) n = Math.min(n, Math.floor((room.cpus + EPS) / need.cpus));
  if (need.gpus > 0) n = Math.min(n, Math.floor((room.gpus + EPS) / need.gpus));
  if (need.memory > 0) n = Math.min(n, Math.floor((room.memory + EPS) / need.memory));
  return Math.max(0, n);
}

export function allowed(job: Job, m: Machine): boolean {
  return (
    (!m.spot || job.spec.spot) && (job.types === null || job.types.includes(m.type)) && (job.zone < 0 || job.zone === m.zone)
  );
}

/** Most tasks of the job in one zone, by its `spread`. */
export function zoneCap(job: Job): number {
  return job.spec.spread ? Math.ceil(job.spec.tasks / 2) : Number.POSITIVE_INFINITY;
}

/** Tasks of the job in each zone: all that are, or may be, on a machine. */
export function zoneCounts(job: Job): Map<number, number> {
  const n = new Map<number, number>();
  for (const p of job.placements.values()) {
    if (p.phase !== 'exited') n.set(p.machine.zone, (n.get(p.machine.zone) ?? 0) + 1);
  }
  return n;
}

export function zoneAllows(job: Job, counts: Map<number, number>, zone: number): boolean {
  if (job.spec.oneZone) {
    for (const [z, c] of counts) if (z !== zone && c > 0) return false;
  }
  return (counts.get(zone) ?? 0) < zoneCap(job);
}

/**
 * The domains of a layer, in the order they are tried. DESIGN: the layers are one machine
 * type within one zone, one zone, all zones; domains go by rising machine count.
 */
export function domains(rooms: Room[], layer: 0 | 1 | 2): Room[][] {
  const by = new Map<number, Room[]>();
  for (const r of rooms) {
    const key = layer === 0 ? r.machine.zone * 4096 + r.machine.type : layer === 1 ? r.machine.zone : 0;
    const list = by.get(key);
    if (list) list.push(r);
    else by.set(key, [r]);
  }
  return [...by.entries()].sort((a, b) => a[1].length - b[1].length || a[0] - b[0]).map((e) => e[1]);
}

/** Puts `count` tasks into one domain, fullest machines first, or fails whole. */
function fill(job: Job, count: number, domain: Room[], prefer: (r: Room) => number): Room[] | null {
  const rooms = domain.map((r) => ({ ...r })).sort((a, b) => prefer(b) - prefer(a) || a.gpus - b.gpus || a.cpus - b.cpus);
  const out: Room[] = [];
  const zones = new Map<number, number>();
  for (const r of rooms) {
    while (out.length < count && fits(job.need, r) && zoneAllows(job, zones, r.machine.zone)) {
      take(r, job.need);
      zones.set(r.machine.zone, (zones.get(r.machine.zone) ?? 0) + 1);
      out.push(r);
    }
    if (out.length === count) return out;
  }
  return null;
}

/** A gang's machines in the finest layer's smallest domain that holds all its tasks. */
export function placeGang(job: Job, count: number, rooms: Room[], prefer: (r: Room) => number): Machine[] | null {
  for (const layer of [0, 1, 2] as const) {
    if (layer === 2 && job.spec.oneZone) continue;
    for (const domain of domains(rooms, layer)) {
      const found = fill(job, count, domain, prefer);
      if (found) return found.map((r) => r.machine);
    }
  }
  return null;
}
