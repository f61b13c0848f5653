/** Allocation: which task has which place on which machine of the shards held here, and whose fault its failures are.
 * Owns the allocations of jobs and machines. */
export * from './task-allocations.js';
