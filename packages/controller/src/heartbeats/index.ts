/** Heartbeats: who answers a worker, reconciliation of what it reports with what is stored and intended, forwarding and routing.
 * Owns what was last heard of workers of other controllers. */
export * from './heartbeat-forwarding.js';
export * from './heartbeat-reconciler.js';
export * from './heartbeat-responder.js';
export * from './worker-routing.js';
