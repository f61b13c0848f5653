/**
 * The shards held by this controller, with the revisions at which their leases were last acquired. Owns the set of held shards
 * and the counter of attempt numbers.
 */
import type { RevisionCondition } from '@archpost/protocol';
import { StateKey } from '../state/index.js';

/** An attempt number is the lease's revision times this plus a counter, so no two lease holders ever use the same number. */
const ATTEMPTS_PER_LEASE = 1_000_000;

/** A revision that no key has: a write conditional on it always fails. */
const IMPOSSIBLE_REVISION = -1;

/** The held shards by number, in the order in which their leases were acquired. */
export class HeldShards {
  /** by shard: revision at which its lease was acquired, which serves as the fencing token of actions for the shard */
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

  /** Returns the revision at which the shard's lease was acquired; null if the shard is not held. */
  leaseRevisionOf(shard: number): number | null {
    return this.leaseRevisions.get(shard) ?? null;
  }

  /** Records that the shard's lease was acquired at this revision. */
  add(shard: number, leaseRevision: number): void {
    this.leaseRevisions.set(shard, leaseRevision);
  }

  /** Records that the shard's lease was lost or released. */
  delete(shard: number): void {
    this.leaseRevisions.delete(shard);
  }

  /** Returns an attempt number that no lease holder of the shard has used. */
  nextAttempt(shard: number): number {
    return (this.leaseRevisions.get(shard) ?? 0) * ATTEMPTS_PER_LEASE + this.attemptCounter++;
  }

  /** Returns the conditions of a write for the shard: its lease must still be the one that this controller acquired. */
  leaseConditions(shard: number): RevisionCondition[] {
    return [{ key: StateKey.shardLease(shard), revision: this.leaseRevisions.get(shard) ?? IMPOSSIBLE_REVISION }];
  }
}
