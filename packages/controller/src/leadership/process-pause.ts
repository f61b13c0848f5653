/**
 * A pause of this process: it got no processor time while all others went on. What was silent meanwhile wasn't heard because of
 * the pause, which says nothing about workers, peers or the state service. So every age of a silence is taken back by the length
 * of the pause. Leases, and the age of what the state service confirmed, are left alone: they did run out.
 *
 * Owns no state.
 */
import type { LeaseView, Logger } from '../context/index.js';
import { type Milliseconds, toLoggedSeconds } from '../model/index.js';

/** A longer pause is logged for operators; shorter ones, of garbage collection say, for debugging only. */
const LONG_PAUSE_MS = 3000;

/** Keeps times at which others were heard, or since which something has been so. */
export interface PauseListener {
  /** This process was paused for `pausedMs`, until `now`. */
  processPaused(pausedMs: Milliseconds, now: Milliseconds): void;
}

/** Notifies the parts that keep ages of silences of a pause, in the order in which they are given. */
export class ProcessPause {
  constructor(
    private readonly context: LeaseView & Logger,
    private readonly listeners: readonly PauseListener[],
  ) {}

  /** This process was paused for `pausedMs`, until `now`. */
  processPaused(pausedMs: Milliseconds, now: Milliseconds): void {
    this.context.log(pausedMs > LONG_PAUSE_MS ? 'info' : 'debug', 'process paused', {
      seconds: toLoggedSeconds(pausedMs),
      leaseValid: this.context.isLeaseValid(now),
    });
    for (const listener of this.listeners) listener.processPaused(pausedMs, now);
  }
}
