/**
 * Shards: what a controller does for the shards whose leases it holds: commands to workers, stored progress, failure detection,
 * and the lifecycle of machines. Owns what lasts for one tenure of a shard.
 */
export * from './heartbeat-reconciliation.js';
export * from './image-cache-writer.js';
export { toLoggedSeconds } from './logged-seconds.js';
export * from './progress-writer.js';
export * from './shard-controller.js';
export { stopReportedTask } from './task-commands.js';
