/**
 * Heartbeats: responses to workers, reconciliation of reported with stored and intended state, forwarding of heartbeats to shard
 * holders, and routing of workers. Owns the last heartbeats of workers whose shards other controllers hold.
 */
export { HeartbeatForwarding } from './heartbeat-forwarding.js';
export { HeartbeatReconciler } from './heartbeat-reconciler.js';
export { HeartbeatResponder } from './heartbeat-responder.js';
export { WorkerRouting } from './worker-routing.js';
