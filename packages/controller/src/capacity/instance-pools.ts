/**
 * What the cloud answered to requests of each kind of machine, and when the next request may be sent. Owns the retry delays.
 */
import type { Milliseconds } from '../model/index.js';
import { type InstanceKind, instanceKindKey, typeOfKey } from './instance-kind.js';

/** The retry delay after a machine of the pool was released. */
const FREED_CAPACITY_RETRY_MS = 500;

/** The retry delay after a request that was filled in part. */
const PARTIAL_RETRY_MS = 15_000;

/** The retry delay after a refusal is this, doubled with every refusal in a row up to a limit. */
const REFUSAL_RETRY_MS = 10_000;
const MAX_DOUBLINGS = 4;

/** The cloud's capacity of one kind, as far as its answers show. */
interface InstancePool {
  /** no request is sent before */
  retryAt: Milliseconds;
  /** refusals in a row */
  refusals: number;
  /** the last request for ordinary machines was filled */
  wasFilled: boolean;
}

/** The pools of all kinds that were considered, in the order in which they first were: `availableTypes` keeps it. */
export class InstancePools {
  private readonly pools = new Map<string, InstancePool>();

  /** Has the retry delay of the kind passed? */
  isRequestDue(kind: InstanceKind, now: Milliseconds): boolean {
    return now >= this.pool(kind).retryAt;
  }

  /** Types of which the cloud provisioned all ordinary machines of the last request. */
  availableTypes(): string[] {
    const types = new Set<string>();
    for (const [key, pool] of this.pools) if (pool.wasFilled) types.add(typeOfKey(key));
    return [...types];
  }

  /** Is the type among `availableTypes`? */
  isTypeAvailable(type: string): boolean {
    for (const [key, pool] of this.pools) if (pool.wasFilled && typeOfKey(key) === type) return true;
    return false;
  }

  /** A machine of the kind is gone: the cloud may have capacity for another. */
  capacityFreed(kind: InstanceKind, now: Milliseconds): void {
    const pool = this.pool(kind);
    pool.retryAt = Math.min(pool.retryAt, now + FREED_CAPACITY_RETRY_MS);
    pool.refusals = 0;
  }

  /** The cloud provisioned `provisionedCount` of the `requestedCount` machines. */
  requestFulfilled(kind: InstanceKind, requestedCount: number, provisionedCount: number, now: Milliseconds): void {
    const pool = this.pool(kind);
    const isFilled = provisionedCount >= requestedCount;
    pool.wasFilled = !kind.spot && isFilled;
    pool.refusals = isFilled ? 0 : 1;
    pool.retryAt = isFilled ? now : now + PARTIAL_RETRY_MS;
  }

  /** The cloud provisioned none. The delay grows with every refusal in a row, up to `maxDelayMs`. */
  requestRefused(kind: InstanceKind, maxDelayMs: Milliseconds, now: Milliseconds): void {
    const pool = this.pool(kind);
    pool.refusals++;
    pool.wasFilled = false;
    pool.retryAt = now + Math.min(maxDelayMs, REFUSAL_RETRY_MS * 2 ** Math.min(MAX_DOUBLINGS, pool.refusals));
  }

  /** Whatever the last answer was, no request is sent for this long. */
  delay(kind: InstanceKind, delayMs: Milliseconds, now: Milliseconds): void {
    this.pool(kind).retryAt = now + delayMs;
  }

  private pool(kind: InstanceKind): InstancePool {
    const key = instanceKindKey(kind);
    let pool = this.pools.get(key);
    if (!pool) {
      pool = { retryAt: 0, refusals: 0, wasFilled: false };
      this.pools.set(key, pool);
    }
    return pool;
  }
}
