/**
 * Simulations of what archpost talks to, written from PROTOCOL: the state service, the cloud, workers and users, joined with
 * real controllers in one simulated time. Nothing here is random.
 */
export * from './cluster.js';
export * from './controller.js';
export * from './fixtures.js';
export * from './state-service.js';
export * from './worker.js';
