/** A rate limiter that refuses rather than waits. */

/** A token bucket that holds one second's worth of tokens, and at least one. A rate of 0 never gives any. */
export class TokenBucket {
  private tokens: number;
  private refilledAt = 0;

  /** @param clock milliseconds of a monotonic clock */
  constructor(
    private readonly tokensPerS: number,
    private readonly clock: () => number,
  ) {
    this.tokens = tokensPerS;
  }

  /** Takes a token if there is one, and returns whether there was. */
  take(): boolean {
    const now = this.clock();
    const limit = this.tokensPerS > 0 ? Math.max(1, this.tokensPerS) : 0;
    this.tokens = Math.min(limit, this.tokens + ((now - this.refilledAt) / 1000) * this.tokensPerS);
    this.refilledAt = now;
    if (this.tokens < 1) return false;
    this.tokens--;
    return true;
  }
}
