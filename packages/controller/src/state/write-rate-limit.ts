/**
 * The rate of writes that the state service accepts from all controllers together. The settings may announce a lower future
 * rate without a date; only a refusal shows that it is in effect.
 */
import type { ControllerSettings, Milliseconds } from '../model/index.js';

/** Time after a refusal during which the rate isn't raised. */
const RATE_PAUSE_MS = 10_000;

/** Fraction of the highest rate by which the rate then rises each second, until the next refusal. */
const RATE_RISE_PER_S = 0.02;

/**
 * The rate of writes that the service accepts now, estimated from its refusals. It starts at the present limit, falls to the
 * announced limit when a write exceeds the rate, and then rises slowly until the next refusal, because the service may return
 * to its previous limit. Without an announced limit the rate is constant.
 */
export class WriteRateLimit {
  private readonly highestPerS: number;
  private readonly lowestPerS: number;
  private refusedAt: Milliseconds | null = null;

  constructor(state: ControllerSettings['state']) {
    this.highestPerS = state.writesPerS;
    this.lowestPerS = Math.min(state.writesPerS, state.next?.writesPerS ?? state.writesPerS);
  }

  /** Records that the service refused a write because of its rate limit. */
  recordRefusal(now: Milliseconds): void {
    this.refusedAt = now;
  }

  /** Returns the writes per second that all controllers together may send. */
  perSecond(now: Milliseconds): number {
    if (this.refusedAt === null) return this.highestPerS;
    const recoveryS = Math.max(0, now - this.refusedAt - RATE_PAUSE_MS) / 1000;
    return Math.min(this.highestPerS, this.lowestPerS + recoveryS * RATE_RISE_PER_S * this.highestPerS);
  }
}
