/**
 * The stored grant of a machine to a share. Stored field names are short and fixed: other versions read and write
 * the same records.
 */

/** What is stored of a machine's grant. */
export interface Grant {
  share: number;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  /** the share that it is to be handed to; null: it stays */
  moveTo: number | null;
  /** to be given back */
  retire: boolean;
}

interface StoredGrant {
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
export function encodeGrant(grant: Grant, rewriteOf?: number): unknown {
  const stored: StoredGrant = { s: grant.share, a: grant.address, t: grant.type, z: grant.zone, sp: grant.spot };
  if (grant.moveTo !== null) stored.mv = grant.moveTo;
  if (grant.retire) stored.x = true;
  if (rewriteOf !== undefined) stored.n = rewriteOf;
  return stored;
}

/** Throws on what is no grant. */
export function parseGrant(value: unknown): Grant {
  const stored = value as Partial<StoredGrant> | null;
  if (typeof stored?.s !== 'number' || typeof stored.t !== 'string' || typeof stored.z !== 'string')
    throw new Error('not a grant');
  return {
    share: stored.s,
    address: stored.a ?? '',
    type: stored.t,
    zone: stored.z,
    spot: stored.sp ?? false,
    moveTo: stored.mv ?? null,
    retire: stored.x ?? false,
  };
}
