/**
 * Quotas of the state service's limit on writes: each controller computes its own quota from the demands in its peers' statuses.
 * Pure functions without state.
 */
import type { PeerDirectory, SettingsView, StateWriting } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';

/** Fraction of the limit that is used. Statuses lag, so the quotas may briefly add up to slightly more than that. */
const USED_FRACTION = 0.95;

/** Fraction of the used limit that is divided equally, whatever the demands: a controller may have to write immediately. */
const GUARANTEED_FRACTION = 0.3;

/** Minimum quota of a controller, whatever the limit. */
const MIN_WRITES_PER_S = 1;

/** Returns the quota of one controller, in writes per second, before any status is known: an equal share of the limit. */
export function initialWritesPerS(limitPerS: number, controllerCount: number): number {
  return Math.max(MIN_WRITES_PER_S, limitPerS * (USED_FRACTION / Math.max(1, controllerCount)));
}

/** Returns the quota of this controller, in writes per second, given that all controllers together may make `limitPerS`. */
export function ownWritesPerS(
  context: SettingsView & StateWriting & PeerDirectory,
  limitPerS: number,
  now: Milliseconds,
): number {
  const { settings, writer, peers } = context;
  const count = Math.max(1, settings.controllers.length);
  const total = limitPerS * USED_FRACTION;
  const guaranteed = (GUARANTEED_FRACTION * total) / count;
  const ownDemand = writer.wantedWritesPerS(now);
  let free = total - guaranteed;
  let demand = ownDemand;
  for (const { name } of settings.controllers) {
    if (name === settings.name) continue;
    // The demand of a controller that isn't alive is unknown: an equal share is reserved for it.
    const isAlive = context.isPeerAlive(name, now);
    free -= isAlive ? guaranteed : total / count;
    if (isAlive) demand += peers.get(name)?.status.wantedWritesPerS ?? 0;
  }
  const extra = demand > 0 ? (free * ownDemand) / demand : free / count;
  return Math.max(MIN_WRITES_PER_S, guaranteed + extra);
}
