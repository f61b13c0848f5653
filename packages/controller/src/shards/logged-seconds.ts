/** Durations in log lines. */
import type { Milliseconds } from '../model/index.js';

/** Seconds with one decimal, as durations are logged. */
export function toLoggedSeconds(durationMs: Milliseconds): number {
  return Math.round(durationMs / 100) / 10;
}
