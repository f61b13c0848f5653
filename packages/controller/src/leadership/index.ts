/** Leadership: leases on shards and on the lead, the leader's rounds, the status exchange between controllers, and how fresh cancellations are known.
 * Owns the leases held here. */
export * from './cancellation-freshness.js';
export * from './leader.js';
export * from './shard-leases.js';
export * from './status-exchange.js';
