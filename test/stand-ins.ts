// Stand-ins for what archpost meets, written from PROTOCOL: the state service, the cloud, workers and users, joined with
// real cores in one simulated time. Nothing here is random.
export * from './cluster/cluster.js';
export * from './cluster/controller.js';
export * from './cluster/fixtures.js';
export * from './cluster/state-service.js';
export * from './cluster/worker.js';
