/** The client of the state service, the only place where controllers keep state. */
export type { LeaseState } from './lease-renewer.js';
export { type ReplicaChanges, type Snapshot, WATCH_S } from './replica-reader.js';
export { StateServiceClient, type StateServiceClientOptions } from './state-service-client.js';
export { STATE_SOCKETS } from './state-service-connection.js';
