/** Time as decisions know it. */

/**
 * A time or a duration in milliseconds. Times are those of a steady clock, which this package never reads: every input brings
 * its own. Times of day say so.
 */
export type Milliseconds = number;

/** Before anything happened: far enough back that any duration has passed since. */
export const NEVER: Milliseconds = -1e12;

/** Seconds with one decimal, as durations are logged. */
export function toLoggedSeconds(durationMs: Milliseconds): number {
  return Math.round(durationMs / 100) / 10;
}

/** Moves all times of the map by as much: after a pause of that length they are as old as they were before it. */
export function shiftTimes<Key>(times: Map<Key, Milliseconds>, byMs: Milliseconds): void {
  for (const [key, at] of times) times.set(key, at + byMs);
}
