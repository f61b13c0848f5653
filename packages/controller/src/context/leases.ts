/**
 * The controller's lease on the state service, and the shard leases (and the leader's) that it holds under it. A shard lease is
 * a key attached to the state lease of its holder: it disappears when the state lease expires.
 */
import type { Milliseconds } from '../model/index.js';

/** The name of the leader's lease; it is part of a stored key. */
export const LEADER_LEASE = 'lead';

/** A lease that controllers compete for: the leader's, or that of the shard with this number. */
export type LeaseName = typeof LEADER_LEASE | number;

/** This controller's lease on the state service. */
export interface LeaseView {
  /** Does the lease surely stand at `now`? False once its assumed expiry is past, though it may be renewed yet. */
  isLeaseValid(now: Milliseconds): boolean;
}

/** Which incarnation of its controller this process is: each start has another. */
export interface IncarnationView {
  readonly incarnation: string;
}

/** Says for which shards commands, plans and releases of machines may leave. */
export interface ShardOwnership {
  /** Is the shard's lease held, under a valid state lease, and not being released? */
  mayActFor(shard: number): boolean;
}

/** Learns which leases were acquired and lost. */
export interface LeaseListener {
  /** `revision`: at which the lease was acquired. It is the fencing token of its holder. Called again when the revision rises. */
  leaseAcquired(lease: LeaseName, revision: number): void;

  /** Called once for each lease that was acquired, when it is held no more. */
  leaseLost(lease: LeaseName): void;
}

/** Whether the shards held here are in a state to be handed over. */
export interface ShardHealth {
  /** Have all machines of the shard answered since it was acquired, and are all tasks of the highest priority allocated? */
  isShardSettled(shard: number): boolean;

  /** Can workers be reached from this controller? */
  reachesWorkers(): boolean;
}
