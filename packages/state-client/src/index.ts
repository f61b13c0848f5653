/** The client of the state service, the only place where controllers store state. */
export type { LeaseState } from './lease-renewer.js';
export { MAX_WATCH_WAIT_S, type ReplicaChanges, type Snapshot } from './replica-reader.js';
export { StateServiceClient, type StateServiceClientOptions } from './state-service-client.js';
export { STATE_SOCKETS } from './state-service-connection.js';
