/** Transactions of the state service: all writes are applied atomically, or none if a condition does not hold. */
import type { MessagePackMap } from '../message-pack.js';

/** Requires that the key was last changed at this revision; 0: that the key does not exist. */
export interface RevisionCondition {
  key: string;
  revision: number;
}

/** Sets a key, attached to `lease` or, without `lease`, detached from any lease; or removes a key. */
export type KeyWrite = { put: string; value: unknown; lease?: number } | { del: string };

/** The outcome of a transaction. */
export type CompareAndSwapOutcome =
  | { kind: 'ok'; revision: number }
  /** not applied: the conditions on these keys did not hold */
  | { kind: 'failed'; keys: string[] }
  /** not applied: the service is unavailable to this controller, or could not be reached */
  | { kind: 'refused' }
  /** not applied: the rate of requests or writes exceeds the limit of the service */
  | { kind: 'limited' }
  /** not applied: the lease of a write has ended */
  | { kind: 'noLease' }
  /** not applied, and a retry would fail as well: the transaction is too large, for example */
  | { kind: 'invalid' }
  /** no usable response: the transaction may have been applied, or may still be applied */
  | { kind: 'unknown' };

interface ConditionOnWire {
  k: string;
  stamp: number;
}

type WriteOnWire = { write: string; v: unknown; permit?: number } | { remove: string };

interface CompareAndSwapOnWire {
  guards: ConditionOnWire[];
  writes: WriteOnWire[];
}

/** The error of a 400 response to a transaction whose lease has ended. */
const LEASE_NOT_FOUND_ON_WIRE = 'no such lease';

/** Encodes a transaction. Without writes, it only checks its conditions. */
export function encodeCompareAndSwap(conditions: RevisionCondition[], writes: KeyWrite[]): CompareAndSwapOnWire {
  return { guards: conditions.map(encodeCondition), writes: writes.map(encodeWrite) };
}

function encodeCondition(condition: RevisionCondition): ConditionOnWire {
  return { k: condition.key, stamp: condition.revision };
}

function encodeWrite(write: KeyWrite): WriteOnWire {
  if ('del' in write) return { remove: write.del };
  if (write.lease === undefined) return { write: write.put, v: write.value };
  return { write: write.put, v: write.value, permit: write.lease };
}

/** Whether a 400 response means that the lease has ended. Any other 400 response means that the transaction is invalid. */
export function isLeaseNotFound(body: MessagePackMap): boolean {
  return body.error === LEASE_NOT_FOUND_ON_WIRE;
}

/** Parses the revision of an applied transaction. Returns null if it is missing or invalid. */
export function parseRevision(body: MessagePackMap): number | null {
  return typeof body.ledger === 'number' ? body.ledger : null;
}

/** Parses the keys whose conditions did not hold. */
export function parseFailedKeys(body: MessagePackMap): string[] {
  return Array.isArray(body.failed) ? body.failed.filter((key): key is string => typeof key === 'string') : [];
}
