export * from './core.js';
export * from './model.js';
export * from './placement.js';
export * from './replica.js';
export * from './writer.js';
