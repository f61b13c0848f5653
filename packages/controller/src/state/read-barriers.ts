/**
 * Read barriers: what waits until the replica is at least as new as the moment when the wait began. Owns the waiting callbacks.
 */
import type { Milliseconds } from '../model/index.js';

/** A callback that waits for a fresh replica. */
export interface PendingRead {
  /** the replica must hold everything that was so at this time */
  requestedAt: Milliseconds;
  run: (now: Milliseconds) => void;
  /** given up after this time */
  expiresAt: Milliseconds;
  /** called instead of `run` once it has expired */
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

  /** The replica holds all changes up to `asOf`: runs what waited for no more than that. */
  completeUpTo(asOf: Milliseconds, now: Milliseconds): void {
    for (const read of this.take((waiting) => waiting.requestedAt <= asOf)) read.run(now);
  }

  /** Gives up on what has waited too long. */
  expire(now: Milliseconds): void {
    for (const read of this.take((waiting) => now > waiting.expiresAt)) read.onExpired?.();
  }

  /** Removes the chosen ones before any of them runs: their callbacks may add others. */
  private take(isChosen: (read: PendingRead) => boolean): PendingRead[] {
    const chosen = this.pending.filter(isChosen);
    if (chosen.length > 0) this.pending = this.pending.filter((read) => !isChosen(read));
    return chosen;
  }
}
