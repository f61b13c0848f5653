/** Statistics of this controller's writes: an average for dividing the rate limit among controllers, and counts for the log. */
import type { Milliseconds } from '../model/index.js';
import { keyKindLetter } from './keys.js';
import type { QueuedWrite } from './write-queue.js';

/** Time after which a write counts half in the average. */
const HALF_LIFE_S = 2;

/** At a constant rate the decayed sum is about this many times the number of writes per second. */
const DECAYED_SUM_SECONDS = 3;

/** Counts the writes that were sent. */
export class WriteStatistics {
  /** sum of the sent writes, each weighted by its age */
  private decayedWrites = 0;
  private decayedAt: Milliseconds = 0;
  private readonly sentByKind = new Map<string, number>();

  /** Counts writes as sent at `now`. */
  recordSent(writes: readonly QueuedWrite[], now: Milliseconds): void {
    this.decayTo(now);
    this.decayedWrites += writes.length;
    for (const write of writes) {
      const kind = keyKindLetter(write.key);
      this.sentByKind.set(kind, (this.sentByKind.get(kind) ?? 0) + 1);
    }
  }

  /** Returns the writes per second, averaged over the last few seconds. */
  recentPerS(now: Milliseconds): number {
    this.decayTo(now);
    return this.decayedWrites / DECAYED_SUM_SECONDS;
  }

  /** Returns the number of writes for each kind of key that were sent since the last call. */
  takeCounts(): Record<string, number> {
    const counts = Object.fromEntries(this.sentByKind);
    this.sentByKind.clear();
    return counts;
  }

  private decayTo(now: Milliseconds): void {
    const elapsedS = Math.max(0, (now - this.decayedAt) / 1000);
    this.decayedWrites *= 0.5 ** (elapsedS / HALF_LIFE_S);
    this.decayedAt = now;
  }
}
