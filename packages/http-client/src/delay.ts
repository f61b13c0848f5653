/** Waits that their owner can end early, so that no timer and no loop outlives it. */
export class Delay {
  /** ends the present waits */
  private readonly endWaits = new Set<() => void>();
  private closed = false;

  /** Whether the loops that wait are to end. */
  get isClosed(): boolean {
    return this.closed;
  }

  /** Resolves after this many milliseconds, or at once when the delay is or gets closed. */
  wait(milliseconds: number): Promise<void> {
    if (this.closed) return Promise.resolve();
    return new Promise((resolve) => {
      const endWait = () => {
        clearTimeout(timer);
        this.endWaits.delete(endWait);
        resolve();
      };
      const timer = setTimeout(endWait, milliseconds);
      this.endWaits.add(endWait);
    });
  }

  /** Ends the present waits; later ones resolve at once. */
  close(): void {
    this.closed = true;
    for (const endWait of this.endWaits) endWait();
  }
}
