/** Keeps this process within the request limit of a service. */

/** The shortest wait for a token; timers fire in steps of a few milliseconds anyway. */
const MIN_WAIT_MS = 5;

/** A token bucket that holds one second's worth of requests, and at least one. Callers wait for tokens. */
export class RequestBudget {
  private tokens: number;
  private refilledAt: number;
  /** ends the waits of callers */
  private readonly waits = new Set<() => void>();
  private isClosed = false;

  /**
   * @param perS requests a second
   * @param clock milliseconds of a monotonic clock
   */
  constructor(
    private readonly perS: number,
    private readonly clock: () => number,
  ) {
    this.tokens = Math.max(1, perS);
    this.refilledAt = clock();
  }

  /** Takes a token even if there is none, for requests that must not wait; later ones wait longer instead. */
  force(): void {
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
    while (!this.isClosed && !this.tryTake()) await this.wait(Math.max(MIN_WAIT_MS, ((1 - this.tokens) / this.perS) * 1000));
  }

  /** Ends all waits, so that no timer outlives the owner. Callers must not send their requests any more. */
  close(): void {
    this.isClosed = true;
    for (const endWait of this.waits) endWait();
  }

  private wait(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const endWait = () => {
        clearTimeout(timer);
        this.waits.delete(endWait);
        resolve();
      };
      const timer = setTimeout(endWait, milliseconds);
      this.waits.add(endWait);
    });
  }

  private refill(): void {
    const now = this.clock();
    this.tokens = Math.min(Math.max(1, this.perS), this.tokens + ((now - this.refilledAt) / 1000) * this.perS);
    this.refilledAt = now;
  }
}
