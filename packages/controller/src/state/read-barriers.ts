/**
 * Read barriers: callbacks that wait until the replica is at least as fresh as the time of their request. Owns the waiting
 * callbacks.
 */
import type { Milliseconds } from '../model/index.js';

/** A callback that waits for a fresh replica. */
export interface PendingRead {
  /** the replica must hold every change that was committed by this time */
  requestedAt: Milliseconds;
  run: (now: Milliseconds) => void;
  /** time after which the wait ends without `run` */
  expiresAt: Milliseconds;
  /** called instead of `run` when the wait has expired */
  onExpired: (() => void) | undefined;
}

/** The pending reads, oldest first. */
export class ReadBarriers {
  private pending: PendingRead[] = [];

  get size(): number {
    return this.pending.length;
  }

  add(read: PendingRead): void {
    this.pending.push(read);
  }

  /** Runs the reads that were requested by `asOf`. Called when the replica holds all changes that were committed by then. */
  completeUpTo(asOf: Milliseconds, now: Milliseconds): void {
    for (const read of this.take((waiting) => waiting.requestedAt <= asOf)) read.run(now);
  }

  /** Ends the reads that have expired, and calls their `onExpired`. */
  expire(now: Milliseconds): void {
    for (const read of this.take((waiting) => now > waiting.expiresAt)) read.onExpired?.();
  }

  /** Removes and returns the chosen reads. The caller runs them only afterwards, because their callbacks may add reads. */
  private take(isChosen: (read: PendingRead) => boolean): PendingRead[] {
    const chosen = this.pending.filter(isChosen);
    if (chosen.length > 0) this.pending = this.pending.filter((read) => !isChosen(read));
    return chosen;
  }
}
