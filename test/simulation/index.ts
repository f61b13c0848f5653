/**
 * Simulated state service, cloud, workers and users, written from PROTOCOL, that run with real controllers on one simulated
 * clock. The simulation is deterministic.
 */
export * from './cluster.js';
export * from './controller.js';
export * from './fixtures.js';
export * from './state-service.js';
export * from './worker.js';
