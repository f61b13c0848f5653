/** Work that waits for room, and what kinds of machines would serve it. */
import type { MachineType, PeerDemand, PeerShare } from '@archpost/protocol';
import type { Context } from '../context/index.js';
import type { Need } from '../model/index.js';
import { copies } from '../scheduling/placement.js';

/** What the cloud sells: a type in a zone, ordinary or cheap. */
export interface Kind {
  type: string;
  zone: string;
  spot: boolean;
}

/** One name for each kind. */
export const kindKey = (k: Kind): string => `${k.type}/${k.zone}/${k.spot}`;

export function typeOf(context: Context, name: string): MachineType | null {
  return context.table.types[context.table.typeNames.find(name)] ?? null;
}

/** May work that waits go to machines of this kind? */
export function suits(d: PeerDemand, type: string, zone: string, spot: boolean): boolean {
  return (
    (d.types.length === 0 || d.types.includes(type)) &&
    (d.zone === '' || d.zone === zone) &&
    !d.notZones.includes(zone) &&
    (d.spot || !spot)
  );
}

/** Work of a share that waits for room, and how many of its tasks are not served yet by what is on its way. */
export interface WaitingWork {
  share: number;
  demand: PeerDemand;
  left: number;
}

/** Work that waited for less than this may find room by itself. */
const BRIEF_WAIT_S = 0.2;

/** What waits for room, the most urgent first. */
export function waitingWork(shares: Iterable<PeerShare>): WaitingWork[] {
  const waiting: WaitingWork[] = [];
  for (const { share, demands } of shares) {
    for (const demand of demands) if (demand.waitS > BRIEF_WAIT_S) waiting.push({ share, demand, left: demand.count });
  }
  return waiting.sort(
    ({ demand: a }, { demand: b }) => b.rank - a.rank || Number(b.within) - Number(a.within) || b.waitS - a.waitS,
  );
}

/** Takes off what a machine of this kind will serve of a share's waiting work. */
export function serve(waiting: WaitingWork[], share: number, kind: Kind, capacity: MachineType): void {
  const free: Need = { cpus: capacity.cpus, gpus: capacity.gpus, memory: capacity.memory };
  for (const work of waiting) {
    const { demand } = work;
    if (work.share !== share || work.left <= 0) continue;
    if (!suits(demand, kind.type, kind.zone, kind.spot)) continue;
    const count = Math.min(work.left, copies(demand, free));
    work.left -= count;
    free.cpus -= count * demand.cpus;
    free.gpus -= count * demand.gpus;
    free.memory -= count * demand.memory;
  }
}
