/**
 * Shards: the work of a controller for the shards whose leases it holds: commands to workers, stored progress, failure
 * detection, and the lifecycle of machines. Owns the state that lasts for one tenure of a shard.
 */
export type { CommandOutcome } from './command-outcomes.js';
export type { HeartbeatReconciliation } from './heartbeat-reconciliation.js';
export { ImageCacheWriter } from './image-cache-writer.js';
export { ProgressWriter } from './progress-writer.js';
export { ShardController } from './shard-controller.js';
export { stopReportedTask } from './task-commands.js';
