/**
 * The controller package: decisions as a state machine, `Controller`, and the types of its settings and effects. What else is
 * exported is there for tests of single parts: codecs of stored records, the replica, the writer and its queue, and what a
 * status holds.
 */
export { Controller } from './controller.js';
export { fitStoredStatus, RunningTaskDeltas } from './leadership/index.js';
export * from './model/index.js';
export { placeGang } from './scheduling/index.js';
export * from './state/index.js';
