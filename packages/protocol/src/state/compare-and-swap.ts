/** Transactions of the state service: changes that are made together, or not at all if a condition does not hold. */
import type { MessagePackMap } from '../message-pack.js';

/** The key must have been changed last at this revision; 0: it must not exist. */
export interface RevisionCondition {
  key: string;
  revision: number;
}

/** Sets a key, attached to a lease or (without one) detached from any, or removes it. */
export type KeyWrite = { put: string; value: unknown; lease?: number } | { del: string };

/** The result of a transaction. */
export type CompareAndSwapOutcome =
  | { kind: 'ok'; revision: number }
  /** not carried out: its conditions on these keys did not hold */
  | { kind: 'failed'; keys: string[] }
  /** not carried out: the service is unavailable to this controller, or was not reached */
  | { kind: 'refused' }
  /** not carried out: more requests or changes than the service takes */
  | { kind: 'limited' }
  /** not carried out: the lease that it names has ended */
  | { kind: 'noLease' }
  /** not carried out, and never will be as it is: it is too large, for example */
  | { kind: 'invalid' }
  /** no response: it may have been carried out, or may be carried out later */
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

/** The error of a 400 to a transaction whose lease has ended. */
const LEASE_NOT_FOUND_ON_WIRE = 'no such lease';

/** Without writes, a transaction only checks its conditions. */
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

/** Whether a 400 says that the lease has ended; any other says that the transaction is invalid. */
export function isLeaseNotFound(body: MessagePackMap): boolean {
  return body.error === LEASE_NOT_FOUND_ON_WIRE;
}

/** The revision that a transaction made; null if it can not be read. */
export function parseRevision(body: MessagePackMap): number | null {
  return typeof body.ledger === 'number' ? body.ledger : null;
}

/** The keys whose conditions did not hold. */
export function parseFailedKeys(body: MessagePackMap): string[] {
  return Array.isArray(body.failed) ? body.failed.filter((key): key is string => typeof key === 'string') : [];
}
