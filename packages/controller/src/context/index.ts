/**
 * Context: what the parts of a controller may ask of it, in interfaces as narrow as their needs. `ControllerContext`
 * (controller-context.ts) implements them all; each part names those that it uses. Owns no state.
 */
export * from './cluster-view.js';
export * from './effect-sink.js';
export * from './leases.js';
export * from './peers.js';
