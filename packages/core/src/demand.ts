import type { MachineType, PeerDemand } from '@archpost/wire';
import type { Context } from './context.js';

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
