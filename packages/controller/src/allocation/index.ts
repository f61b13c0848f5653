/**
 * Allocation: which task has which machine in the shards held here, whether machines take starts, and whose fault failures
 * are. Owns the allocations of jobs and machines.
 */
export { freeResourcesOf } from './free-resources.js';
export type { HeldShards } from './held-shards.js';
export { isHeardByPeer, isHeardRecently } from './machine-schedulability.js';
export { hasCancelledWork, isEmpty } from './machine-work.js';
export { TaskAllocations, taskKey, type UnmetDemand } from './task-allocations.js';
export { shardsAwaitingVerification } from './unverified-takeovers.js';
