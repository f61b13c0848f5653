/** Scheduling: the order of the queue, quota, bin packing by topology domain, scoring of machines, preemption and the eviction of services.
 * Owns no stored state: what it decides are planned allocations. */
export * from './placement-constraints.js';
export * from './queue-order.js';
export * from './scheduler.js';
