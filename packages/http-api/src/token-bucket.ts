/** So many a second, and as many at once. */
export class TokenBucket {
  private tokens: number;
  private refilledAt = 0;

  constructor(
    private readonly perS: number,
    private readonly clock: () => number,
  ) {
    this.tokens = perS;
  }

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
