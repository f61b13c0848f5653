/**
 * Quotas of the state service's limit on writes: each controller computes its own by the demands in the others' statuses. Pure
 * functions without state.
 */
import type { PeerDirectory, SettingsView, StateWriting } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';

/** The part of the limit that is used at all: statuses lag, so the quotas may add up to a little more for a moment. */
const USED_FRACTION = 0.95;

/** The part of that which is divided equally, whatever is demanded: a controller may have to write at once. */
const GUARANTEED_FRACTION = 0.3;

/** No controller goes below this, whatever the limit. */
const MIN_WRITES_PER_S = 1;

/** Writes a second of one controller before any status is known: an equal part of the limit. */
export function initialWritesPerS(limitPerS: number, controllerCount: number): number {
  return Math.max(MIN_WRITES_PER_S, limitPerS * (USED_FRACTION / Math.max(1, controllerCount)));
}

/** Writes a second that this controller may make, where all together may make `limitPerS`. */
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
    // What a controller that isn't heard uses is not known: an equal part is left to it.
    const isAlive = context.isPeerAlive(name, now);
    free -= isAlive ? guaranteed : total / count;
    if (isAlive) demand += peers.get(name)?.status.wantedWritesPerS ?? 0;
  }
  const extra = demand > 0 ? (free * ownDemand) / demand : free / count;
  return Math.max(MIN_WRITES_PER_S, guaranteed + extra);
}
