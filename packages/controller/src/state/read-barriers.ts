/** What waits for a reading of the state service that is newer than the moment when it began to wait. */
import type { Milliseconds } from '../model/index.js';

interface PendingRead {
  requestedAt: Milliseconds;
  run: (now: Milliseconds) => void;
  expiresAt: Milliseconds;
  onExpired: (() => void) | undefined;
}

export class ReadBarriers {
  private pending: PendingRead[] = [];

  get size(): number {
    return this.pending.length;
  }

  /** Runs `run` once a newer reading is in, or `late` if none is by `until`. */
  add(from: Milliseconds, run: (now: Milliseconds) => void, until: Milliseconds, late: (() => void) | undefined): void {
    this.pending.push({ requestedAt: from, run, expiresAt: until, onExpired: late });
  }

  /** All changes up to `asOf` have been read. */
  completeUpTo(asOf: Milliseconds, now: Milliseconds): void {
    const due = this.pending.filter((waiting) => waiting.requestedAt <= asOf);
    if (due.length === 0) return;
    this.pending = this.pending.filter((waiting) => waiting.requestedAt > asOf);
    for (const waiting of due) waiting.run(now);
  }

  /** Gives up on what has waited too long. */
  expire(now: Milliseconds): void {
    const late = this.pending.filter((waiting) => now > waiting.expiresAt);
    if (late.length === 0) return;
    this.pending = this.pending.filter((waiting) => now <= waiting.expiresAt);
    for (const waiting of late) waiting.onExpired?.();
  }
}
