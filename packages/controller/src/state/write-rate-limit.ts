/**
 * The rate of writes that the state service takes from all controllers together. The settings may announce a lower one that it
 * will have later, without saying when; only a refusal shows it.
 */
import type { ControllerSettings, Milliseconds } from '../model/index.js';

/** After a refusal for the rate, the higher rate is not tried again for this long. */
const RATE_PAUSE_MS = 10_000;

/** Then the rate rises by this fraction of the highest one a second, until it is refused again. */
const RATE_RISE_PER_S = 0.02;

/**
 * The rate of writes that the service takes now, as far as its refusals show. It starts at the present limit,
 * falls to the announced one when a write is refused for the rate, and rises again slowly while none is:
 * the service may go back to what it allowed before. Without an announced limit it stays as it is.
 */
export class WriteRateLimit {
  private readonly highestPerS: number;
  private readonly lowestPerS: number;
  private refusedAt: Milliseconds | null = null;

  constructor(state: ControllerSettings['state']) {
    this.highestPerS = state.writesPerS;
    this.lowestPerS = Math.min(state.writesPerS, state.next?.writesPerS ?? state.writesPerS);
  }

  /** A write was refused because there were too many. */
  recordRefusal(now: Milliseconds): void {
    this.refusedAt = now;
  }

  /** Writes a second that all controllers together may make. */
  perSecond(now: Milliseconds): number {
    if (this.refusedAt === null) return this.highestPerS;
    const quietS = Math.max(0, now - this.refusedAt - RATE_PAUSE_MS) / 1000;
    return Math.min(this.highestPerS, this.lowestPerS + quietS * RATE_RISE_PER_S * this.highestPerS);
  }
}
