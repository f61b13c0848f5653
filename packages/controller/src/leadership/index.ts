/**
 * Leadership: the role of this controller in the cluster. Contains its state lease, its shard leases and its tenure as the
 * leader; the registry of peers and the status exchange with them; the freshness of the replica and of the known cancellations;
 * and the application of changed keys.
 *
 * Owns the leases that this controller holds, the peers' statuses, and two times: up to which the replica has all changes of the
 * state service, and up to which this controller knows all confirmed cancellations.
 */
export { CancellationFreshness } from './cancellation-freshness.js';
export { Leader } from './leader.js';
export { PeerRegistry } from './peer-registry.js';
export { ProcessPause } from './process-pause.js';
export { isReadyForClients } from './readiness.js';
export { ReplicaListener } from './replica-listener.js';
export { RunningTaskDeltas } from './running-task-deltas.js';
export { ShardLeases } from './shard-leases.js';
export { StateLease } from './state-lease.js';
export { StateServiceFreshness } from './state-service-freshness.js';
export { StatusAssembly } from './status-assembly.js';
export { StatusExchange } from './status-exchange.js';
export { fitStoredStatus } from './stored-status.js';
export { StoredStatusWriter } from './stored-status-writer.js';
export { initialWritesPerS, ownWritesPerS } from './write-rate-quota.js';
