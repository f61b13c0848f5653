/** Times and durations as decisions use them. */

/**
 * A time or a duration in milliseconds. Times refer to a monotonic clock unless documented as times of day. This package never
 * reads the clock: every input carries its own time.
 */
export type Milliseconds = number;

/** The time of an event that has not happened: so far in the past that every timeout since then has expired. */
export const NEVER: Milliseconds = -1e12;

/** Converts a duration to seconds with one decimal, the format of durations in logs. */
export function toLoggedSeconds(durationMs: Milliseconds): number {
  return Math.round(durationMs / 100) / 10;
}

/** Adds `byMs` to all times of the map. After a pause of that length their ages are the same as before the pause. */
export function shiftTimes<Key>(times: Map<Key, Milliseconds>, byMs: Milliseconds): void {
  for (const [key, at] of times) times.set(key, at + byMs);
}
