/** Keeps this process within the request limit of a service. */
import { Delay } from './delay.js';

/** The shortest wait for a token; timers fire in steps of a few milliseconds anyway. */
const MIN_WAIT_MS = 5;

/** A token bucket that holds one second's worth of requests, and at least one. Callers wait for tokens. */
export class RequestBudget {
  private tokens: number;
  private refilledAt: number;
  /** the waits of callers */
  private readonly delay = new Delay();

  /**
   * @param requestsPerS requests a second
   * @param clock milliseconds of a monotonic clock
   */
  constructor(
    private readonly requestsPerS: number,
    private readonly clock: () => number,
  ) {
    this.tokens = Math.max(1, requestsPerS);
    this.refilledAt = clock();
  }

  /** Takes a token even if there is none, for requests that must not wait; later ones wait longer instead. */
  forceTake(): void {
    this.refill();
    this.tokens -= 1;
  }

  /** Takes a token if there is one, and returns whether there was. */
  tryTake(): boolean {
    this.refill();
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** Waits until there is a token, and takes it. Resolves without one when the budget is or gets closed. */
  async take(): Promise<void> {
    while (!this.delay.isClosed && !this.tryTake())
      await this.delay.wait(Math.max(MIN_WAIT_MS, ((1 - this.tokens) / this.requestsPerS) * 1000));
  }

  /** Ends all waits, so that no timer outlives the owner. Callers must not send their requests any more. */
  close(): void {
    this.delay.close();
  }

  private refill(): void {
    const now = this.clock();
    this.tokens = Math.min(Math.max(1, this.requestsPerS), this.tokens + ((now - this.refilledAt) / 1000) * this.requestsPerS);
    this.refilledAt = now;
  }
}
