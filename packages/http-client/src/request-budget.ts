import { sleep } from './clock.js';

/** A request budget: so many a second, with a burst of one second's worth. */
export class RequestBudget {
  private tokens: number;
  private refilledAt: number;

  constructor(
    private readonly perS: number,
    private readonly clock: () => number,
  ) {
    this.tokens = Math.max(1, perS);
    this.refilledAt = clock();
  }

  private refill(): void {
    const now = this.clock();
    this.tokens = Math.min(Math.max(1, this.perS), this.tokens + ((now - this.refilledAt) / 1000) * this.perS);
    this.refilledAt = now;
  }

  /** Takes one whatever is left: for what must not wait. */
  force(): void {
    this.refill();
    this.tokens -= 1;
  }

  tryTake(): boolean {
    this.refill();
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  async take(): Promise<void> {
    while (!this.tryTake()) await sleep(Math.max(5, ((1 - this.tokens) / this.perS) * 1000));
  }
}
