export * from './answers.js';
export * from './cloud.js';
export * from './jobs.js';
export * from './names.js';
export * from './pack.js';
export * from './peer.js';
export * from './state.js';
export * from './workers.js';
