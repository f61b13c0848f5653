/** The things that decisions are about. */

export * from './effects.js';
export * from './job.js';
export * from './machine.js';
export * from './name-interner.js';
export * from './priorities.js';
export * from './settings.js';
export * from './time.js';
