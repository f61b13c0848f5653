/**
 * Leadership: this controller among the others. Its state lease, shard leases and tenure as the leader; the registry of peers
 * and the status exchange with them; how fresh the stored state and the cancellations are known; what follows from a changed
 * key.
 *
 * Owns the leases held here, the peers' statuses, and the ages of what the state service and the peers confirmed.
 */
export { CancellationFreshness } from './cancellation-freshness.js';
export { Leader } from './leader.js';
export { PeerRegistry } from './peer-registry.js';
export { ProcessPause, shiftTimes } from './process-pause.js';
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
