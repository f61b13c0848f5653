/**
 * The names of the leases that controllers compete for, and which controller each is meant for. Pure functions; owns no state.
 */
import { LEADER_LEASE, type LeaseName } from '../context/index.js';

/** Stored numbers of shards: no signs, no leading zeros, so that each shard has one name. */
const SHARD_NUMBER = /^(0|[1-9]\d*)$/;

/** The lease that a stored key names; null if it names none. */
export function parseLeaseName(stored: string): LeaseName | null {
  if (stored === LEADER_LEASE) return LEADER_LEASE;
  return SHARD_NUMBER.test(stored) ? Number(stored) : null;
}

/** All leases of a cluster with so many shards, the leader's first: in this order they are claimed. */
export function allLeaseNames(shardCount: number): LeaseName[] {
  return [LEADER_LEASE, ...Array.from({ length: shardCount }, (_, shard) => shard)];
}

/**
 * The controller that should hold the lease while it is well, as an index of the sorted list of controllers: shards go round, and
 * the leader's lease belongs to the last one, which has the fewest shards where they don't come out even.
 */
export function preferredHolderIndex(lease: LeaseName, controllerCount: number): number {
  return lease === LEADER_LEASE ? controllerCount - 1 : lease % controllerCount;
}
