/** The controller's lease at the state service, and the shards (and the lead) that it holds under it. */
import type { Milliseconds } from '../model/index.js';

/** The name of the leader's lease; it is part of a stored key. */
export const LEADER_LEASE = 'lead';

/** This controller's lease at the state service. */
export interface LeaseView {
  /** `id`: null without a lease; `validUntil`: it stands until then at least */
  readonly lease: { readonly id: number | null; readonly validUntil: Milliseconds };
  isLeaseValid(now: Milliseconds): boolean;
}

/** Which incarnation of its controller this process is. */
export interface IncarnationView {
  readonly incarnation: string;
}

/** Says for which shards commands, plans and releases of machines may leave. */
export interface ShardOwnership {
  /** Is the shard held, under a valid lease, and not being released? */
  mayActFor(shard: number): boolean;
}

/** Learns which leases were acquired and lost. */
export interface LeaseListener {
  /** `lease`: a shard's number, or `lead`; `revision`: at which it was acquired, the fencing token of its holder */
  leaseAcquired(lease: string, revision: number): void;
  leaseLost(lease: string): void;
}

/** Whether the shards held here are in a state to be handed over. */
export interface ShardHealth {
  /** Do all machines of the shard answer, and is the most urgent work placed? */
  isShardSettled(shard: number): boolean;
  /** Can workers be reached from here? */
  reachesWorkers(): boolean;
}
