/** A simulated state service that follows PROTOCOL. */
import type { Controller, Effect } from '@archpost/controller';
import type { KeyChange, StoredKey } from '@archpost/protocol';

interface Key {
  value: unknown;
  /** revision of the last write */
  revision: number;
  lease: number | null;
}

/** Limits of the state service. Tests lower them, as the real service may without notice. */
export interface StateServiceLimits {
  valueBytes: number;
  writesPerTransaction: number;
  writesPerS: number;
}

/** Keys that the service takes are of at most this size, in bytes. */
const MAX_KEY_BYTES = 200;

function isStorableKey(key: string): boolean {
  return key.isWellFormed() && key.length > 0 && Buffer.byteLength(key) <= MAX_KEY_BYTES && !/\s/.test(key);
}

/** Whether the service takes a value: maps with text keys, lists, text (as UTF-8), numbers, booleans and null, nothing binary. */
function isStorableValue(value: unknown): boolean {
  if (typeof value === 'string') return value.isWellFormed();
  if (typeof value !== 'object' || value === null) return true;
  if (ArrayBuffer.isView(value)) return false;
  if (Array.isArray(value)) return value.every(isStorableValue);
  return Object.entries(value).every(([key, field]) => key.isWellFormed() && isStorableValue(field));
}

/** A strongly consistent key-value store with leases and a change log. */
export class SimulatedStateService {
  revision = 1;
  limits: StateServiceLimits | null = null;
  /** writes that the rate limit allows at `allowanceUpdatedAt`; a token bucket with a capacity of one second */
  private writeAllowance = 0;
  private allowanceUpdatedAt = 0;
  /** number of transactions rejected by the rate limit, and of those rejected as too large */
  rateLimitedCount = 0;
  tooLargeCount = 0;
  /** keys of the writes that the service can't take as they are */
  readonly malformedKeys: string[] = [];
  /** length of the change log that a watch can resume from; a watch that is further behind requires a new snapshot */
  changesKept = Number.POSITIVE_INFINITY;
  /** number of pages of a snapshot; each page is read in a step of its own */
  pages = 1;
  readonly keys = new Map<string, Key>();
  readonly log: KeyChange[] = [];
  readonly leases = new Map<number, { until: number; ttl: number }>();
  private nextLease = 1;

  lease(ttl: number, now: number): number {
    const id = this.nextLease++;
    this.leases.set(id, { until: now + ttl, ttl });
    return id;
  }

  extend(id: number, now: number): boolean {
    const lease = this.leases.get(id);
    if (!lease) return false;
    lease.until = now + lease.ttl;
    return true;
  }

  expire(now: number): void {
    for (const [id, lease] of this.leases) {
      if (now < lease.until) continue;
      this.leases.delete(id);
      const gone = [...this.keys].filter(([, key]) => key.lease === id);
      if (gone.length > 0) this.revision++;
      for (const [key] of gone) {
        this.keys.delete(key);
        this.log.push({ key, value: undefined, revision: this.revision });
      }
    }
  }

  /** Returns the error outcome of a transaction that exceeds a limit; null: it exceeds none. */
  private refusalOf(
    transaction: Extract<Effect, { type: 'compareAndSwap' }>,
    now: number,
  ): { kind: 'invalid' } | { kind: 'limited' } | null {
    const malformed = transaction.writes.filter(
      (write) => 'put' in write && !(isStorableKey(write.put) && isStorableValue(write.value)),
    );
    this.malformedKeys.push(...malformed.map((write) => ('put' in write ? write.put : write.del)));
    if (malformed.length > 0) return { kind: 'invalid' };
    if (!this.limits) return null;
    const { valueBytes, writesPerTransaction, writesPerS } = this.limits;
    const large = transaction.writes.some((write) => 'put' in write && JSON.stringify(write.value).length > valueBytes);
    if (large || transaction.writes.length > writesPerTransaction || transaction.conditions.length > 4 * writesPerTransaction) {
      this.tooLargeCount++;
      return { kind: 'invalid' };
    }
    this.writeAllowance = Math.min(writesPerS, this.writeAllowance + ((now - this.allowanceUpdatedAt) / 1000) * writesPerS);
    this.allowanceUpdatedAt = now;
    if (this.writeAllowance < transaction.writes.length) {
      this.rateLimitedCount++;
      return { kind: 'limited' };
    }
    this.writeAllowance -= transaction.writes.length;
    return null;
  }

  compareAndSwap(
    transaction: Extract<Effect, { type: 'compareAndSwap' }>,
    now: number,
  ): Parameters<Controller['receiveCompareAndSwapOutcome']>[1] {
    const refusal = this.refusalOf(transaction, now);
    if (refusal) return refusal;
    const failed = transaction.conditions
      .filter((condition) => (this.keys.get(condition.key)?.revision ?? 0) !== condition.revision)
      .map((condition) => condition.key);
    for (const write of transaction.writes)
      if ('put' in write && write.lease !== undefined && !this.leases.has(write.lease)) return { kind: 'noLease' };
    if (failed.length > 0) return { kind: 'failed', keys: failed };
    this.revision++;
    for (const write of transaction.writes) {
      if ('put' in write) {
        const value = structuredClone(write.value);
        this.keys.set(write.put, { value, revision: this.revision, lease: write.lease ?? null });
        this.log.push({ key: write.put, value, revision: this.revision });
      } else {
        this.keys.delete(write.del);
        this.log.push({ key: write.del, value: undefined, revision: this.revision });
      }
    }
    return { kind: 'ok', revision: this.revision };
  }

  changesSince(revision: number): KeyChange[] {
    let first = this.log.length;
    while (first > 0 && (this.log[first - 1] as KeyChange).revision > revision) first--;
    return this.log.slice(first);
  }

  /** Whether some of the changes after the revision are no longer in the change log. */
  hasCompacted(revision: number): boolean {
    const oldest = this.log[this.log.length - this.changesKept - 1];
    return oldest !== undefined && oldest.revision > revision;
  }

  /** Returns the page of the sorted keys that begins after the key `since`. The last page contains all remaining keys. */
  page(since: string, isLast: boolean): StoredKey[] {
    const rows = this.rows()
      .filter((row) => row.key > since)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return isLast ? rows : rows.slice(0, Math.ceil(this.keys.size / this.pages));
  }

  rows(): StoredKey[] {
    return [...this.keys].map(([key, { value, revision }]) => ({ key, value, revision }));
  }
}
