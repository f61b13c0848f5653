/** The things that decisions are about. */

export * from './effects.js';
export * from './job.js';
export * from './machine.js';
export * from './names.js';
export * from './ranks.js';
export * from './settings.js';
export * from './time.js';
