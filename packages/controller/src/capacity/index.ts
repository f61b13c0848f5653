/** Capacity: demand, the autoscaler, boot times, assignment of machines to shards and rebalancing between shards. Only the leader acts on it.
 * Owns what is provisioned and on its way. */
export * from './autoscaler.js';
export * from './demand.js';
export * from './machine-assigner.js';
export * from './machine-assignment.js';
export * from './machine-type-catalogue.js';
export * from './shard-rebalancer.js';
