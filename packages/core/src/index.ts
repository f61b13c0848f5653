export * from './core.js';
export * from './job-record.js';
export * from './model.js';
export * from './placement.js';
export * from './progress-layout.js';
export * from './replica.js';
export * from './state-limits.js';
export * from './writer.js';
