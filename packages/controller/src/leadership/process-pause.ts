/**
 * Pauses of this process: it got no processor time while all other processes kept running. A silence during a pause is caused by
 * the pause and is no evidence that a worker, a peer or the state service failed, so the age of every silence is reduced by the
 * length of the pause. The expiry of leases and the ages of the replica and of the known cancellations are not adjusted: for them
 * the time did pass.
 *
 * Owns no state.
 */
import type { LeaseView, Logger } from '../context/index.js';
import { type Milliseconds, toLoggedSeconds } from '../model/index.js';

/** A longer pause is logged for operators. Shorter ones, for example of garbage collection, are logged for debugging only. */
const LONG_PAUSE_MS = 3000;

/** Keeps times of the last contact with workers, peers or the state service, or times since which a condition has held. */
export interface PauseListener {
  /** Adjusts the times for a pause of this process that lasted `pausedMs` and ended at `now`. */
  onProcessPaused(pausedMs: Milliseconds, now: Milliseconds): void;
}

/** Notifies the listeners of each pause, in the order in which they are given. */
export class ProcessPause {
  constructor(
    private readonly context: LeaseView & Logger,
    private readonly listeners: readonly PauseListener[],
  ) {}

  /** Logs a pause of this process that lasted `pausedMs` and ended at `now`, and notifies the listeners. */
  processPaused(pausedMs: Milliseconds, now: Milliseconds): void {
    this.context.log(pausedMs > LONG_PAUSE_MS ? 'info' : 'debug', 'process paused', {
      seconds: toLoggedSeconds(pausedMs),
      leaseValid: this.context.isLeaseValid(now),
    });
    for (const listener of this.listeners) listener.onProcessPaused(pausedMs, now);
  }
}
