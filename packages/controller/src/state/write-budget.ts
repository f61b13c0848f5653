/**
 * The number of writes that may be sent now: a token bucket, refilled at this controller's share of the service's rate limit.
 */
import type { Milliseconds } from '../model/index.js';

/** Minimum capacity of the bucket, so that a controller with a very low rate isn't limited to one write per transaction. */
const MIN_BURST_WRITES = 4;

/** A token bucket with one token for each write. */
export class WriteBudget {
  private availableWrites: number;
  private writesPerS: number;
  private refilledAt: Milliseconds = 0;

  /** `maxWritesPerS`: capacity and initial content of the bucket, and the refill rate until `setRate` is called. */
  constructor(private readonly maxWritesPerS: number) {
    this.writesPerS = maxWritesPerS;
    this.availableWrites = maxWritesPerS;
  }

  /** Writes that may be sent now; may have a fraction. */
  get available(): number {
    return this.availableWrites;
  }

  /** Sets the share of the service's rate limit that this controller may use from now on. */
  setRate(writesPerS: number): void {
    this.writesPerS = writesPerS;
  }

  /** Adds tokens for the time since the last call. */
  refill(now: Milliseconds): void {
    const newTokens = ((now - this.refilledAt) / 1000) * this.writesPerS;
    this.availableWrites = Math.min(Math.max(this.maxWritesPerS, MIN_BURST_WRITES), this.availableWrites + newTokens);
    this.refilledAt = now;
  }

  /** Removes the tokens of the writes that are sent. */
  spend(writes: number): void {
    this.availableWrites -= writes;
  }
}
