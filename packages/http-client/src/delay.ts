/** Waits that their owner can end early, so that no timer or loop outlives the owner. */
export class Delay {
  /** one function per pending wait, which ends the wait */
  private readonly endWaits = new Set<() => void>();
  private closed = false;

  /** Whether the delay is closed, so that loops that wait have to end. */
  get isClosed(): boolean {
    return this.closed;
  }

  /** Resolves after this many milliseconds, or as soon as the delay is closed. */
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

  /** Ends all pending waits. Later waits resolve immediately. */
  close(): void {
    this.closed = true;
    for (const endWait of this.endWaits) endWait();
  }
}
