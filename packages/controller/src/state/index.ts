/**
 * State: the replica of the state service's keys, the codecs of the stored records, the cluster state that is derived from
 * them, and the compare-and-swap writer with its queue. Owns all stored formats: no other folder encodes or decodes a record.
 */
export { encodeAssignment, type MachineAssignment } from './assignment-record.js';
export { type AppliedChange, ClusterState } from './cluster-state.js';
export { encodeImageCache } from './image-cache-record.js';
export { expectedDurationMs } from './job-dependencies.js';
export {
  type EncodedJob,
  encodeAcceptedJob,
  encodeCancelledJob,
  encodeDoneJob,
  type FinalState,
  parseJobPart,
  parseJobRecord,
  readJobRecord,
} from './job-record.js';
export type { JobsChange } from './job-registry.js';
export { encodeJobSpec } from './job-spec-record.js';
export { LEADER_LEASE, type LeaseName, StateKey } from './keys.js';
export { encodeHolder, encodePresence, isPresenceOf } from './lease-record.js';
export { encodedBytes, stateSizeLimits } from './limits.js';
export type { MachineChange } from './machine-registry.js';
export { encodeMachineTypes, encodeMachineTypesParts } from './machine-types-record.js';
export { ProgressLayout, type ProgressPart, packBits } from './progress-layout.js';
export { ReadBarriers } from './read-barriers.js';
export { Replica, type ReplicaEntry } from './replica.js';
export { StateWriter } from './state-writer.js';
export { encodeStatus, parseStatus } from './status-record.js';
export { NO_REVISION, type PendingWrite, type QueuedWrite, type WriteOutcome, WritePriority, WriteQueue } from './write-queue.js';
export { WriteRateLimit } from './write-rate-limit.js';
