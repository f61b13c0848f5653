/**
 * The controller package: the state machine that makes the decisions, `Controller`, and the types of its settings and effects.
 * All other exports exist for unit tests: codecs of stored records, the replica, the writer and its queue, and parts of a
 * status.
 */
export { Controller } from './controller.js';
export { fitStoredStatus, RunningTaskDeltas } from './leadership/index.js';
export * from './model/index.js';
export { placeGang } from './scheduling/index.js';
export * from './state/index.js';
