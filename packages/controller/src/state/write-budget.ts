/**
 * How many writes may be sent now: a token bucket that is filled at this controller's part of the service's rate limit.
 */
import type { Milliseconds } from '../model/index.js';

/** Even a controller with a very low rate may save up for this many writes, so that a transaction isn't cut to one. */
const MIN_BURST_WRITES = 4;

/** The token bucket. */
export class WriteBudget {
  private availableWrites: number;
  private writesPerS: number;
  private refilledAt: Milliseconds = 0;

  /** `maxWritesPerS`: how many writes are saved up at most, and the rate until `setRate` is called. */
  constructor(private readonly maxWritesPerS: number) {
    this.writesPerS = maxWritesPerS;
    this.availableWrites = maxWritesPerS;
  }

  /** Writes that may be sent now; may have a fraction. */
  get available(): number {
    return this.availableWrites;
  }

  /** What of the service's limit this controller may use from now on. */
  setRate(writesPerS: number): void {
    this.writesPerS = writesPerS;
  }

  /** Adds the writes that the rate allows for the time since the last call. */
  refill(now: Milliseconds): void {
    const earned = ((now - this.refilledAt) / 1000) * this.writesPerS;
    this.availableWrites = Math.min(Math.max(this.maxWritesPerS, MIN_BURST_WRITES), this.availableWrites + earned);
    this.refilledAt = now;
  }

  /** Takes off what is sent. */
  spend(writes: number): void {
    this.availableWrites -= writes;
  }
}
