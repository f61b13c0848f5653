/**
 * The cloud's latest responses to the requests for each kind of machine, and when the next request may be sent. Owns the retry
 * delays.
 */
import type { Milliseconds } from '../model/index.js';
import { type InstanceKind, instanceKindKey, typeOfKey } from './instance-kind.js';

/** The retry delay after a machine of the pool was released. */
const FREED_CAPACITY_RETRY_MS = 500;

/** The retry delay after a request that was fulfilled in part. */
const PARTIAL_RETRY_MS = 15_000;

/** The base of the retry delay after a refusal; every consecutive refusal doubles it, up to a limit. */
const REFUSAL_RETRY_MS = 10_000;
const MAX_DOUBLINGS = 4;

/** The cloud's capacity of one kind, according to its responses. */
interface InstancePool {
  /** no request is sent before this time */
  retryAt: Milliseconds;
  /** consecutive refusals */
  refusals: number;
  /** the last request was for on-demand machines and was fulfilled completely */
  wasFilled: boolean;
}

/** The pools of all kinds, in the order in which they were first considered; `availableTypes` keeps this order. */
export class InstancePools {
  private readonly pools = new Map<string, InstancePool>();

  /** Whether the retry delay of the kind has passed. */
  isRequestDue(kind: InstanceKind, now: Milliseconds): boolean {
    return now >= this.pool(kind).retryAt;
  }

  /** Returns the types of which the cloud provisioned all on-demand machines of the last request. */
  availableTypes(): string[] {
    const types = new Set<string>();
    for (const [key, pool] of this.pools) if (pool.wasFilled) types.add(typeOfKey(key));
    return [...types];
  }

  /** Whether `availableTypes` includes the type. */
  isTypeAvailable(type: string): boolean {
    for (const [key, pool] of this.pools) if (pool.wasFilled && typeOfKey(key) === type) return true;
    return false;
  }

  /** Records that a machine of the kind is gone: the cloud may have capacity for another one, so the retry delay is shortened. */
  recordFreedCapacity(kind: InstanceKind, now: Milliseconds): void {
    const pool = this.pool(kind);
    pool.retryAt = Math.min(pool.retryAt, now + FREED_CAPACITY_RETRY_MS);
    pool.refusals = 0;
  }

  /** Records that the cloud provisioned `provisionedCount` of the `requestedCount` machines. */
  recordFulfillment(kind: InstanceKind, requestedCount: number, provisionedCount: number, now: Milliseconds): void {
    const pool = this.pool(kind);
    const isFilled = provisionedCount >= requestedCount;
    pool.wasFilled = !kind.spot && isFilled;
    pool.refusals = isFilled ? 0 : 1;
    pool.retryAt = isFilled ? now : now + PARTIAL_RETRY_MS;
  }

  /** Records that the cloud provisioned no machine. The delay grows with every consecutive refusal, up to `maxDelayMs`. */
  recordRefusal(kind: InstanceKind, maxDelayMs: Milliseconds, now: Milliseconds): void {
    const pool = this.pool(kind);
    pool.refusals++;
    pool.wasFilled = false;
    pool.retryAt = now + Math.min(maxDelayMs, REFUSAL_RETRY_MS * 2 ** Math.min(MAX_DOUBLINGS, pool.refusals));
  }

  /** Sets the retry delay of the kind, regardless of the last response. */
  delayRequests(kind: InstanceKind, delayMs: Milliseconds, now: Milliseconds): void {
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
