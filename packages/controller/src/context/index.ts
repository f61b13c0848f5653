/**
 * Context: the services that a controller provides to its parts, as narrow interfaces. `ControllerContext`
 * (controller-context.ts) implements all of them; each part declares those that it uses. Owns no state.
 */
export * from './cluster-view.js';
export * from './effect-sink.js';
export * from './leases.js';
export * from './peers.js';
