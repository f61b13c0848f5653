/**
 * Leadership: this controller among the others. Its state lease, shard leases and tenure as the leader; the registry of peers and the
 * status exchange with them; how fresh the stored state and the cancellations are known; what follows from a changed key.
 *
 * Owns the leases held here, the peers' statuses, and the ages of what the state service and the peers confirmed.
 */
export * from './cancellation-freshness.js';
export * from './leader.js';
export * from './peer-registry.js';
export * from './process-pause.js';
export * from './readiness.js';
export * from './replica-listener.js';
export * from './shard-leases.js';
export * from './state-lease.js';
export * from './state-service-freshness.js';
export * from './status-assembly.js';
export * from './status-exchange.js';
export * from './stored-status-writer.js';
export * from './write-rate-share.js';
