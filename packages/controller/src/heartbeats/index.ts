/**
 * Heartbeats: who answers a worker, reconciliation of what it reports with what is stored and intended, forwarding and routing.
 * Owns what was last heard of workers of other controllers.
 */
export { HeartbeatForwarding } from './heartbeat-forwarding.js';
export { HeartbeatReconciler } from './heartbeat-reconciler.js';
export { HeartbeatResponder } from './heartbeat-responder.js';
export { WorkerRouting } from './worker-routing.js';
