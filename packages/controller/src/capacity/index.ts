/**
 * Capacity: demand, the autoscaler, boot times, assignment of machines to shards, and rebalancing between shards. Only the leader
 * acts on it. Owns the provisioning requests and machines that have not come up, and the assignments and moves in progress.
 */
export { Autoscaler } from './autoscaler.js';
export { pendingDemands, servesDemand } from './demand.js';
export { MachineAssigner } from './machine-assigner.js';
export type { UnassignedMachine } from './machine-assignment.js';
export { MachineTypeCatalog } from './machine-type-catalog.js';
export type { ProvisioningOutcome } from './provisioner.js';
export { ShardRebalancer } from './shard-rebalancer.js';
