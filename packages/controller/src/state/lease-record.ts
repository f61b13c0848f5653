/**
 * The stored records that are attached to a controller's lease on the state service: the holder of a shard lease or of the leader
 * lease, and the presence of a controller. The service removes both when the controller's lease ends.
 *
 * Stored field names are fixed: other versions read and write the same records.
 *
 * | key | field | meaning |
 * | --- | --- | --- |
 * | `a/h/` | `node` | name of the controller that holds the lease |
 * | `a/h/` | `boot` | incarnation of that controller: unique to each start of its process |
 * | `a/n/` | `boot` | incarnation of the controller that is present |
 */
import { UnreadableRecordError } from './unreadable-record-error.js';

/** The holder of a shard lease or of the leader lease. */
export interface LeaseHolder {
  controller: string;
  /** unique to each start of a controller's process, so that an earlier process isn't mistaken for the current one */
  incarnation: string;
}

interface StoredHolder {
  node: string;
  boot: string;
}

interface StoredPresence {
  boot: string;
}

/** Returns the record of a lease holder. */
export function encodeHolder(holder: LeaseHolder): unknown {
  const stored: StoredHolder = { node: holder.controller, boot: holder.incarnation };
  return stored;
}

/** Decodes a lease holder. Throws `UnreadableRecordError` if the controller's name or incarnation is missing. */
export function parseLeaseHolder(value: unknown): LeaseHolder {
  const stored = value as Partial<StoredHolder> | null;
  if (typeof stored?.node !== 'string' || typeof stored.boot !== 'string') throw new UnreadableRecordError('lease holder');
  return { controller: stored.node, incarnation: stored.boot };
}

/** Returns the record that marks a controller as present. */
export function encodePresence(incarnation: string): unknown {
  const stored: StoredPresence = { boot: incarnation };
  return stored;
}

/** Whether the presence record belongs to that incarnation. The value must be a presence record; it isn't validated. */
export function isPresenceOf(value: unknown, incarnation: string): boolean {
  return (value as StoredPresence).boot === incarnation;
}
