/**
 * The controller's lease on the state service, and the shard leases and the leader lease that it holds under it. A shard lease is
 * a key attached to the state lease of its holder: the key disappears when the state lease expires.
 */
import type { Milliseconds } from '../model/index.js';

import type { LeaseName } from '../state/index.js';

export { LEADER_LEASE, type LeaseName } from '../state/index.js';

/** This controller's lease on the state service. */
export interface LeaseView {
  /** Reports whether the lease is certainly held at `now`. False after its assumed expiry, although it may still be renewed. */
  isLeaseValid(now: Milliseconds): boolean;
}

/** The incarnation of the controller: every start of the process has a different one. */
export interface IncarnationView {
  readonly incarnation: string;
}

/** The shards for which this controller may send commands, schedule tasks and release machines. */
export interface ShardOwnership {
  /** Reports whether this controller holds the shard's lease, under a valid state lease, and isn't releasing it. */
  mayActFor(shard: number): boolean;
}

/** Receives notifications of acquired and lost leases. */
export interface LeaseListener {
  /**
   * Called when a lease was acquired, and again when its revision rises. `revision` is the revision of the lease's key and the
   * fencing token of the holder.
   */
  onLeaseAcquired(lease: LeaseName, revision: number): void;

  /** Called once for each acquired lease, when it is no longer held. */
  onLeaseLost(lease: LeaseName): void;
}

/** The conditions under which shards held by this controller may be transferred to another one. */
export interface ShardHealth {
  /**
   * Reports whether all machines of the shard have responded since its lease was acquired, and all tasks of the highest priority
   * are allocated.
   */
  isShardSettled(shard: number): boolean;

  /** Reports whether workers are reachable from this controller. */
  reachesWorkers(): boolean;
}
