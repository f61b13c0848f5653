/** State: the replica of the state service's keys, the codecs of stored records, the cluster state that is derived from them, and the compare-and-swap writer with its queue.
 * Owns everything that is stored; nothing else encodes or decodes a record. */
export * from './assignment-record.js';
export * from './cluster-state.js';
export * from './image-cache-record.js';
export * from './job-dependencies.js';
export * from './job-record.js';
export * from './keys.js';
export * from './lease-record.js';
export * from './limits.js';
export * from './machine-types-record.js';
export * from './progress-layout.js';
export * from './read-barriers.js';
export * from './replica.js';
export * from './state-writer.js';
export * from './status-record.js';
export * from './write-queue.js';
