/**
 * Model: the entities that decisions are about (jobs, machines, allocations, resources), the settings, and the effects that
 * decisions emit. Owns no state of its own: the field groups of each entity name the component that writes them.
 */
export * from './append-to.js';
export * from './effects.js';
export * from './job.js';
export * from './machine.js';
export * from './machine-load.js';
export * from './name-interner.js';
export * from './priorities.js';
export * from './resources.js';
export * from './round-robin.js';
export * from './running-tasks.js';
export * from './settings.js';
export * from './time.js';
