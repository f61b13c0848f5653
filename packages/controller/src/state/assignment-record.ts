/**
 * The stored assignment of a machine to a shard, under `a/g/`. Stored field names are short and fixed: other versions read
 * and write the same records.
 *
 * | field | meaning |
 * | --- | --- |
 * | `s` | shard |
 * | `a` | address of the machine's agent |
 * | `t`, `z`, `sp` | machine type, zone, and whether it is a spot machine |
 * | `mv` | shard that the machine is to move to |
 * | `x` | the machine is to be released to the cloud |
 * | `n` | in a rewrite of an unchanged assignment, its previous revision: the value differs, so the key gets a new revision |
 */
import { UnreadableRecordError } from './unreadable-record-error.js';

/** The stored assignment of a machine. */
export interface MachineAssignment {
  shard: number;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  /** the shard that the machine is to move to; null: it stays in its shard */
  moveToShard: number | null;
  /** whether the machine is to be released to the cloud */
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
  n?: number;
}

/**
 * Returns the record of an assignment. `rewriteOf`: the stored revision, if an unchanged assignment is rewritten only to get a
 * higher revision.
 */
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

/**
 * Decodes an assignment. Throws `UnreadableRecordError` if the shard, type or zone is missing. The other fields aren't validated.
 */
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
