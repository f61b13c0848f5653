/**
 * The stored records that are attached to a controller's lease on the state service: who holds a shard or the lead, and
 * that a controller is present. Both disappear with the lease.
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

/** Who holds a shard, or the lead. */
export interface LeaseHolder {
  controller: string;
  incarnation: string;
}

interface StoredHolder {
  node: string;
  boot: string;
}

interface StoredPresence {
  boot: string;
}

/** The record of a shard's holder, or of the leader. */
export function encodeHolder(holder: LeaseHolder): unknown {
  const stored: StoredHolder = { node: holder.controller, boot: holder.incarnation };
  return stored;
}

/** Throws on what names no holder. */
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

/** Is this the presence of the controller with that incarnation? */
export function isPresenceOf(value: unknown, incarnation: string): boolean {
  return (value as StoredPresence).boot === incarnation;
}
