/**
 * The names of the leases that controllers compete for, and the preferred holder of each. Pure functions; owns no state.
 */
import { LEADER_LEASE, type LeaseName } from '../context/index.js';

/** A stored shard number: without sign and leading zeros, so that each shard has exactly one name. */
const SHARD_NUMBER = /^(0|[1-9]\d*)$/;

/** Parses the lease name in a stored key; null if it names no lease. */
export function parseLeaseName(stored: string): LeaseName | null {
  if (stored === LEADER_LEASE) return LEADER_LEASE;
  return SHARD_NUMBER.test(stored) ? Number(stored) : null;
}

/** Returns all leases of a cluster with `shardCount` shards, in the order in which they are claimed: the leader lease first. */
export function allLeaseNames(shardCount: number): LeaseName[] {
  return [LEADER_LEASE, ...Array.from({ length: shardCount }, (_, shard) => shard)];
}

/**
 * Returns the controller that should hold the lease while that controller is healthy, as an index into the sorted list of
 * controllers. Shards are distributed round-robin. The leader lease belongs to the last controller, which has the fewest shards
 * if they don't divide evenly.
 */
export function preferredHolderIndex(lease: LeaseName, controllerCount: number): number {
  return lease === LEADER_LEASE ? controllerCount - 1 : lease % controllerCount;
}
