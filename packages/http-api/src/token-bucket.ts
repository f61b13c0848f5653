/** A rate limit that refuses rather than waits. */

/** So many tokens a second, and as many at once, though one at the least; a rate of 0 gives none. */
export class TokenBucket {
  private tokens: number;
  private refilledAt = 0;

  /** @param clock milliseconds of a monotonic clock */
  constructor(
    private readonly perS: number,
    private readonly clock: () => number,
  ) {
    this.tokens = perS;
  }

  /** Takes a token; false: there is none. */
  take(): boolean {
    const now = this.clock();
    const limit = this.perS > 0 ? Math.max(1, this.perS) : 0;
    this.tokens = Math.min(limit, this.tokens + ((now - this.refilledAt) / 1000) * this.perS);
    this.refilledAt = now;
    if (this.tokens < 1) return false;
    this.tokens--;
    return true;
  }
}
