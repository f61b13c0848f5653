/**
 * Allocation: which task is allocated to which machine in the held shards, which machines accept starts, and whether task
 * failures are attributed to jobs or to machines. Owns the allocations of jobs and machines.
 */
export {
  hasTooManyExitedTasks,
  hasUnfinishedOrphan,
  isFinished,
  isResultUnstored,
  mayForget,
  mayForgetOrphans,
} from './exited-tasks.js';
export { freeResourcesOf } from './free-resources.js';
export type { HeldShards } from './held-shards.js';
export { hasRecentContact, hasRecentPeerContact } from './machine-schedulability.js';
export { canMove, hasCancelledWork, isEmpty } from './machine-work.js';
export { TaskAllocations, taskKey, type UnmetDemand } from './task-allocations.js';
export { shardsAwaitingVerification } from './unverified-takeovers.js';
