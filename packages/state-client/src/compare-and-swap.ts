/** Transactions of the state service. */
import {
  type CompareAndSwapOutcome,
  encodeCompareAndSwap,
  isLeaseNotFound,
  type KeyWrite,
  PATHS,
  pack,
  parseFailedKeys,
  parseRevision,
  type RevisionCondition,
  unpackResponse,
} from '@archpost/protocol';
import type { StateServiceConnection } from './state-service-connection.js';

const TIMEOUT_MS = 1500;

/** Applies all writes if all conditions hold, and none otherwise. A failed call is an outcome; the promise does not reject. */
export async function compareAndSwap(
  connection: StateServiceConnection,
  conditions: RevisionCondition[],
  writes: KeyWrite[],
): Promise<CompareAndSwapOutcome> {
  await connection.budget.take();
  const outcome = await connection.post(PATHS.compareAndSwap, pack(encodeCompareAndSwap(conditions, writes)), TIMEOUT_MS);
  if (outcome.kind === 'notSent') return { kind: 'refused' };
  if (outcome.kind === 'unknown') return { kind: 'unknown' };
  return outcomeOfResponse(outcome.status, outcome.body);
}

function outcomeOfResponse(status: number, bytes: Buffer | null): CompareAndSwapOutcome {
  const body = unpackResponse(bytes) ?? {};
  switch (status) {
    case 200: {
      const revision = parseRevision(body);
      return revision === null ? { kind: 'unknown' } : { kind: 'ok', revision };
    }
    case 409:
      return { kind: 'failed', keys: parseFailedKeys(body) };
    case 400:
      return { kind: isLeaseNotFound(body) ? 'noLease' : 'invalid' };
    case 429:
      return { kind: 'limited' };
    case 503:
      return { kind: 'refused' };
    default:
      return { kind: 'unknown' };
  }
}
