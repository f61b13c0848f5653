/** What this controller may take of limits that all controllers share, and how long its lease of the state lasts. */
import type { ControllerSettings } from '@archpost/controller';

/** Part of a limit on requests that is used. */
const USED_FRACTION = 0.9;

/** Part of the cloud's limit that a controller may use, however many share it. */
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

/** Half of the time that a cancellation has: rides out outages, and leaves time to take over. */
export function stateLeaseMs({ workers }: ControllerSettings): number {
  return Math.round(Math.min(MAX_LEASE_S, Math.max(MIN_LEASE_S, workers.cancelS / 2)) * 1000);
}
