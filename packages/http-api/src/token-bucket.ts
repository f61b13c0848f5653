/** A rate limiter that rejects immediately instead of waiting. */

/** A token bucket that holds one second's worth of tokens, and at least one. With a rate of 0 it is always empty. */
export class TokenBucket {
  private tokens: number;
  private refilledAt = 0;

  /** @param clock returns milliseconds of a monotonic clock */
  constructor(
    private readonly tokensPerS: number,
    private readonly clock: () => number,
  ) {
    this.tokens = tokensPerS;
  }

  /** Takes a token if one is available, and returns whether it did. */
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
