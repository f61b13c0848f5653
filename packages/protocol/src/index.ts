/**
 * The message formats of all interfaces: with users, workers, the cloud, the state service and other controllers. Each module
 * holds a schema with the field names used on the wire, a model with descriptive names, and the mapping between the two. The
 * field names of the wire are used nowhere else.
 */
export { BodyBuffer } from './body-buffer.js';
export * from './body-limits.js';
export * from './cloud/machine-list.js';
export * from './cloud/machine-types.js';
export * from './cloud/provisioning.js';
export * from './jobs/job-spec.js';
export * from './jobs/job-status.js';
export * from './jobs/submission.js';
export * from './message-pack.js';
export * from './paths.js';
export { decodePeerMessage, encodePeerMessage, type PeerMessage } from './peer/peer-message.js';
export type { PeerStatus, RunningJob, UnassignedMachine, UnchangedHeartbeat } from './peer/peer-status.js';
export type { MachineSummary, ResourceDemand, ShardSummary } from './peer/shard-summary.js';
export * from './service-response.js';
export * from './state/compare-and-swap.js';
export * from './state/key-reads.js';
export * from './state/lease.js';
export { isKeyText } from './text.js';
export * from './worker/commands.js';
export * from './worker/heartbeat.js';
