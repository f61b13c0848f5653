/**
 * The stored grant of a machine to a share. Stored field names are short and fixed: other versions read and write
 * the same records.
 */

/** What is stored of a machine's grant. */
export interface MachineAssignment {
  shard: number;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  /** the share that it is to be handed to; null: it stays */
  moveToShard: number | null;
  /** to be given back */
  isRetired: boolean;
}

interface StoredAssignment {
  s: number;
  a: string;
  t: string;
  z: string;
  sp: boolean;
  mv?: number;
  x?: boolean;
  /** differs from what was stored before, so that the record's stamp rises */
  n?: number;
}

/** `rewriteOf`: the stamp of the same grant that is written again, so that its stamp rises. */
export function encodeAssignment(grant: MachineAssignment, rewriteOf?: number): unknown {
  const stored: StoredAssignment = { s: grant.shard, a: grant.address, t: grant.type, z: grant.zone, sp: grant.spot };
  if (grant.moveToShard !== null) stored.mv = grant.moveToShard;
  if (grant.isRetired) stored.x = true;
  if (rewriteOf !== undefined) stored.n = rewriteOf;
  return stored;
}

/** Throws on what is no grant. */
export function parseAssignment(value: unknown): MachineAssignment {
  const stored = value as Partial<StoredAssignment> | null;
  if (typeof stored?.s !== 'number' || typeof stored.t !== 'string' || typeof stored.z !== 'string')
    throw new Error('not a grant');
  return {
    shard: stored.s,
    address: stored.a ?? '',
    type: stored.t,
    zone: stored.z,
    spot: stored.sp ?? false,
    moveToShard: stored.mv ?? null,
    isRetired: stored.x ?? false,
  };
}
