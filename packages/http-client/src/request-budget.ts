/** Keeps this process within the request limit of a service. */
import { Delay } from './delay.js';

/** Minimum wait for a token. Timers have a resolution of a few milliseconds anyway. */
const MIN_WAIT_MS = 5;

/** A token bucket with a capacity of one second's requests, at least one. Callers wait for tokens. */
export class RequestBudget {
  private tokens: number;
  private refilledAt: number;
  /** pending waits of callers */
  private readonly delay = new Delay();

  /**
   * @param requestsPerS tokens added per second
   * @param clock returns milliseconds of a monotonic clock
   */
  constructor(
    private readonly requestsPerS: number,
    private readonly clock: () => number,
  ) {
    this.tokens = Math.max(1, requestsPerS);
    this.refilledAt = clock();
  }

  /** Takes a token even if none is available, for requests that must not wait. Later requests wait longer instead. */
  forceTake(): void {
    this.refill();
    this.tokens -= 1;
  }

  /** Takes a token if one is available. Returns whether a token was taken. */
  tryTake(): boolean {
    this.refill();
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** Waits until a token is available and takes it. Resolves without a token as soon as the budget is closed. */
  async take(): Promise<void> {
    while (!this.delay.isClosed && !this.tryTake())
      await this.delay.wait(Math.max(MIN_WAIT_MS, ((1 - this.tokens) / this.requestsPerS) * 1000));
  }

  /** Ends all waits, so that no timer outlives the owner. Callers must not send their requests afterwards. */
  close(): void {
    this.delay.close();
  }

  private refill(): void {
    const now = this.clock();
    this.tokens = Math.min(Math.max(1, this.requestsPerS), this.tokens + ((now - this.refilledAt) / 1000) * this.requestsPerS);
    this.refilledAt = now;
  }
}
