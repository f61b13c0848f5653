/**
 * The stored records that are attached to a controller's lease on the state service: who holds a shard's lease or the
 * leader's, and that a controller is present. The service removes both when that lease ends.
 *
 * Stored field names are fixed: other versions read and write the same records.
 *
 * | key | field | meaning |
 * | --- | --- | --- |
 * | `a/h/` | `node` | name of the controller that holds the lease |
 * | `a/h/` | `boot` | incarnation of that controller: each start of its process has another |
 * | `a/n/` | `boot` | incarnation of the controller that is present |
 */
import { UnreadableRecordError } from './unreadable-record-error.js';

/** The holder of a shard's lease, or of the leader's. */
export interface LeaseHolder {
  controller: string;
  /** each start of a controller's process has another, so an earlier process isn't taken for the present one */
  incarnation: string;
}

interface StoredHolder {
  node: string;
  boot: string;
}

interface StoredPresence {
  boot: string;
}

/** The record of a lease's holder. */
export function encodeHolder(holder: LeaseHolder): unknown {
  const stored: StoredHolder = { node: holder.controller, boot: holder.incarnation };
  return stored;
}

/** Throws `UnreadableRecordError` on what names no holder. */
export function parseLeaseHolder(value: unknown): LeaseHolder {
  const stored = value as Partial<StoredHolder> | null;
  if (typeof stored?.node !== 'string' || typeof stored.boot !== 'string') throw new UnreadableRecordError('lease holder');
  return { controller: stored.node, incarnation: stored.boot };
}

/** The record that says that a controller is present. */
export function encodePresence(incarnation: string): unknown {
  const stored: StoredPresence = { boot: incarnation };
  return stored;
}

/** Is this the presence of the controller with that incarnation? The value must be a stored presence: it isn't checked. */
export function isPresenceOf(value: unknown, incarnation: string): boolean {
  return (value as StoredPresence).boot === incarnation;
}
