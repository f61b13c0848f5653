/** This controller's share of the request limits, which apply to all controllers together, and the duration of its lease. */
import type { ControllerSettings } from '@archpost/controller';

/** Fraction of a request limit that is used. */
const USED_FRACTION = 0.9;

/** Fraction of the cloud's limit that a controller may use regardless of the number of controllers. */
const MIN_CLOUD_FRACTION = 0.5;

/** Bounds of the lease duration, in seconds. The state service accepts no longer lease than the upper bound. */
const MIN_LEASE_S = 1;
const MAX_LEASE_S = 600;

/**
 * Returns the number of requests per second that this controller may send to the state service, from the lower of the current
 * and the announced limit.
 */
export function stateRequestsPerS({ state, controllers }: ControllerSettings): number {
  const limit = Math.min(state.requestsPerS, state.next?.requestsPerS ?? state.requestsPerS);
  return (limit * USED_FRACTION) / controllers.length;
}

/** Returns the number of requests per second that this controller may send to the cloud. */
export function cloudRequestsPerS({ cloud, controllers }: ControllerSettings): number {
  return cloud.requestsPerS * Math.max(MIN_CLOUD_FRACTION, USED_FRACTION / controllers.length);
}

/**
 * Returns the duration of the lease at the state service, in milliseconds: half of the maximum time of a cancellation. Such a
 * lease survives short outages, and leaves the other controllers time to take over.
 */
export function stateLeaseMs({ workers }: ControllerSettings): number {
  return Math.round(Math.min(MAX_LEASE_S, Math.max(MIN_LEASE_S, workers.cancelS / 2)) * 1000);
}
