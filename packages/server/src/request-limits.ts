/** This controller's part of the request limits, which hold for all controllers together, and the duration of its lease. */
import type { ControllerSettings } from '@archpost/controller';

/** Part of a limit on requests that is used. */
const USED_FRACTION = 0.9;

/** Part of the cloud's limit that a controller may use, however many controllers there are. */
const MIN_CLOUD_FRACTION = 0.5;

/** Bounds of the lease's time, in seconds; the state service takes no more than the upper one. */
const MIN_LEASE_S = 1;
const MAX_LEASE_S = 600;

/** Requests a second to the state service, by the least of the limits in force and announced. */
export function stateRequestsPerS({ state, controllers }: ControllerSettings): number {
  const limit = Math.min(state.requestsPerS, state.next?.requestsPerS ?? state.requestsPerS);
  return (limit * USED_FRACTION) / controllers.length;
}

/** Requests a second to the cloud. */
export function cloudRequestsPerS({ cloud, controllers }: ControllerSettings): number {
  return cloud.requestsPerS * Math.max(MIN_CLOUD_FRACTION, USED_FRACTION / controllers.length);
}

/**
 * The time of the lease at the state service, in milliseconds: half of the time that a cancellation may take. That survives
 * short outages, and leaves others time to take over.
 */
export function stateLeaseMs({ workers }: ControllerSettings): number {
  return Math.round(Math.min(MAX_LEASE_S, Math.max(MIN_LEASE_S, workers.cancelS / 2)) * 1000);
}
