/**
 * The stored grant of a machine to a share. Stored field names are short and fixed: other versions read and write
 * the same records.
 */

import { UnreadableRecordError } from './unreadable-record-error.js';

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
export function encodeAssignment(assignment: MachineAssignment, rewriteOf?: number): unknown {
  const stored: StoredAssignment = {
    s: assignment.shard,
    a: assignment.address,
    t: assignment.type,
    z: assignment.zone,
    sp: assignment.spot,
  };
  if (assignment.moveToShard !== null) stored.mv = assignment.moveToShard;
  if (assignment.isRetired) stored.x = true;
  if (rewriteOf !== undefined) stored.n = rewriteOf;
  return stored;
}

/** Throws on what is no grant. */
export function parseAssignment(value: unknown): MachineAssignment {
  const stored = value as Partial<StoredAssignment> | null;
  if (typeof stored?.s !== 'number' || typeof stored.t !== 'string' || typeof stored.z !== 'string')
    throw new UnreadableRecordError('machine assignment');
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
