import { z } from 'zod';

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

export interface StoredKey {
  key: string;
  value: unknown;
  revision: number;
}
export interface KeyChange {
  key: string;
  /** undefined: removed */
  value: unknown;
  revision: number;
}

const keyPageOnWire = z.object({
  rows: z.array(z.object({ k: z.string(), v: z.unknown().optional(), stamp: z.number() })),
  has_next: z.boolean().nullish(),
  ledger: z.number(),
});
export function parseRows(body: Record<string, unknown>): { rows: StoredKey[]; more: boolean; revision: number } | null {
  const parsed = keyPageOnWire.safeParse(body);
  if (!parsed.success) return null;
  return {
    rows: parsed.data.rows.map((row) => ({ key: row.k, value: row.v, revision: row.stamp })),
    more: parsed.data.has_next ?? false,
    revision: parsed.data.ledger,
  };
}

const changesOnWire = z.object({
  ledger: z.number(),
  log: z.array(
    z.object({ write: z.string().nullish(), remove: z.string().nullish(), v: z.unknown().optional(), stamp: z.number() }),
  ),
});
export function parseChanges(body: Record<string, unknown>): { changes: KeyChange[]; revision: number } | null {
  const parsed = changesOnWire.safeParse(body);
  if (!parsed.success) return null;
  return {
    revision: parsed.data.ledger,
    changes: parsed.data.log.map((entry) =>
      typeof entry.write === 'string'
        ? { key: entry.write, value: entry.v ?? null, revision: entry.stamp }
        : { key: entry.remove ?? '', value: undefined, revision: entry.stamp },
    ),
  };
}

export const encodeLeaseRequest = (ttlMs: number) => ({ ttl_ms: ttlMs });
export const parseLease = (body: Record<string, unknown>) => (typeof body.permit === 'number' ? body.permit : null);
/** A transaction's 400: the lease has ended, or (any other) it can't be taken as it is. */
export const isLeaseNotFound = (body: Record<string, unknown>) => body.error === 'no such lease';
export const parseRevision = (body: Record<string, unknown>) => (typeof body.ledger === 'number' ? body.ledger : null);
export const parseFailedKeys = (body: Record<string, unknown>): string[] =>
  Array.isArray(body.failed) ? body.failed.filter((key): key is string => typeof key === 'string') : [];
