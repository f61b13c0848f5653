/**
 * The shards held by this controller, each under the lease that was acquired last. Owns them, and the numbers of attempts that
 * were given out under their leases.
 */
import type { RevisionCondition } from '@archpost/protocol';
import { StateKey } from '../state/index.js';

/** Attempt numbers begin with the lease's revision, so no two holders ever use the same one. */
const ATTEMPTS_PER_LEASE = 1_000_000;

/** No key has this revision: a condition on it is never met. */
const IMPOSSIBLE_REVISION = -1;

/** Shards by their numbers, in the order in which their leases were acquired. */
export class HeldShards {
  /** revision at which the shard's lease was acquired: the fencing token of what is done for the shard */
  private readonly leaseRevisions = new Map<number, number>();
  private attemptCounter = 1;

  get size(): number {
    return this.leaseRevisions.size;
  }

  has(shard: number): boolean {
    return this.leaseRevisions.has(shard);
  }

  keys(): IterableIterator<number> {
    return this.leaseRevisions.keys();
  }

  /** Null: the shard is not held. */
  leaseRevisionOf(shard: number): number | null {
    return this.leaseRevisions.get(shard) ?? null;
  }

  /** The shard's lease was acquired at the revision. */
  add(shard: number, leaseRevision: number): void {
    this.leaseRevisions.set(shard, leaseRevision);
  }

  /** The shard's lease was lost or released. */
  delete(shard: number): void {
    this.leaseRevisions.delete(shard);
  }

  /** An attempt number that no holder of the shard has used. */
  nextAttempt(shard: number): number {
    return (this.leaseRevisions.get(shard) ?? 0) * ATTEMPTS_PER_LEASE + this.attemptCounter++;
  }

  /** Conditions of a write for the shard: its lease is still the one that was acquired here. */
  leaseConditions(shard: number): RevisionCondition[] {
    return [{ key: StateKey.shardLease(shard), revision: this.leaseRevisions.get(shard) ?? IMPOSSIBLE_REVISION }];
  }
}
