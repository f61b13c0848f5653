/**
 * Scheduling: queue order, quota, bin packing by topology domain, machine scoring, preemption and the eviction of services.
 * Owns no stored state: its decisions are planned allocations.
 */
export { placeGang } from './gang-placement.js';
export { tasksPerZone, zoneAllowsTask } from './placement-constraints.js';
export { QueueOrder } from './queue-order.js';
export type { QuotaStatuses } from './quota-status.js';
export { Scheduler } from './scheduler.js';
