export interface RevisionCondition {
  key: string;
  revision: number;
}
export type KeyWrite = { put: string; value: unknown; lease?: number } | { del: string };

/** What became of a transaction. */
export type CompareAndSwapOutcome =
  | { kind: 'ok'; revision: number }
  /** its conditions on these keys did not hold */
  | { kind: 'failed'; keys: string[] }
  /** not carried out: the service does not serve this controller now */
  | { kind: 'refused' }
  /** not carried out: more requests or changes than the service takes */
  | { kind: 'limited' }
  /** the lease that it names has ended */
  | { kind: 'noLease' }
  /** it can't be taken as it is: too large, say */
  | { kind: 'invalid' }
  /** no answer: it may have been carried out, or be carried out yet */
  | { kind: 'unknown' };

export const encodeCompareAndSwap = (conditions: RevisionCondition[], writes: KeyWrite[]) => ({
  guards: conditions.map((condition) => ({ k: condition.key, stamp: condition.revision })),
  writes: writes.map((write) =>
    'del' in write
      ? { remove: write.del }
      : write.lease === undefined
        ? { write: write.put, v: write.value }
        : { write: write.put, v: write.value, permit: write.lease },
  ),
});

/** A transaction's 400: the lease has ended, or (any other) it can't be taken as it is. */
export const isLeaseNotFound = (body: Record<string, unknown>) => body.error === 'no such lease';
export const parseRevision = (body: Record<string, unknown>) => (typeof body.ledger === 'number' ? body.ledger : null);
export const parseFailedKeys = (body: Record<string, unknown>): string[] =>
  Array.isArray(body.failed) ? body.failed.filter((key): key is string => typeof key === 'string') : [];
