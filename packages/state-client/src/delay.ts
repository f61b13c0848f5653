/** The waits of one loop. Its owner can end them early, so that no timer and no loop outlives it. */
export class Delay {
  private endWait: (() => void) | null = null;
  private closed = false;

  /** Whether the loop is to end. */
  get isClosed(): boolean {
    return this.closed;
  }

  /** Resolves after this many milliseconds, or at once when the delay is or gets closed. One wait at a time. */
  wait(milliseconds: number): Promise<void> {
    if (this.closed) return Promise.resolve();
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, milliseconds);
      this.endWait = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  /** Ends the present wait; later ones resolve at once. */
  close(): void {
    this.closed = true;
    this.endWait?.();
  }
}
