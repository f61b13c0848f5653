/** The rate at which this process may ask a service that limits requests. */
import { sleep } from './clock.js';

/** No wait for a token is shorter than this: timers fire in steps of a few milliseconds. */
const MIN_WAIT_MS = 5;

/** A token bucket: so many requests a second, with a burst of one second's worth, and of one request at the least. */
export class RequestBudget {
  private tokens: number;
  private refilledAt: number;

  /** @param clock milliseconds of a monotonic clock */
  constructor(
    private readonly perS: number,
    private readonly clock: () => number,
  ) {
    this.tokens = Math.max(1, perS);
    this.refilledAt = clock();
  }

  /** Takes a token whether there is one or not, for what must not wait; those that come later wait longer. */
  force(): void {
    this.refill();
    this.tokens -= 1;
  }

  /** Takes a token if there is one. */
  tryTake(): boolean {
    this.refill();
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** Waits until there is a token, and takes it. */
  async take(): Promise<void> {
    while (!this.tryTake()) await sleep(Math.max(MIN_WAIT_MS, ((1 - this.tokens) / this.perS) * 1000));
  }

  private refill(): void {
    const now = this.clock();
    this.tokens = Math.min(Math.max(1, this.perS), this.tokens + ((now - this.refilledAt) / 1000) * this.perS);
    this.refilledAt = now;
  }
}
