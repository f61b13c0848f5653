/** Read barriers: reads that begin after the moment at which they were requested. */
import { Delay, monotonicMs } from '@archpost/http-client';

/** A request that is not urgent waits this long for the watch; users wait two seconds for a response. */
const MAX_DELAY_MS = 350;

/** Wait after a read that failed, beyond the interval between reads. */
const RETRY_MS = 200;

/** The reads that a barrier waits for, and starts. */
export interface BarrierReads {
  /** When the newest read that succeeded began, in milliseconds of the monotonic clock. */
  newestReadAt(): number;
  /** Reads once; false if that failed. */
  read(): Promise<boolean>;
}

/**
 * Ensures that a read begins after each request. Requests are batched: one read serves all that came before it.
 * Those that are not urgent are mostly served by the watch, which is opened anew after each change.
 */
export class ReadBarrier {
  private readonly delay = new Delay();
  private isRunning = false;
  private lastRequestedAt = -1;
  /** when the next read is due at the latest */
  private dueAt = Number.POSITIVE_INFINITY;
  private lastReadAt = 0;

  constructor(
    private readonly reads: BarrierReads,
    private readonly intervalMs: number,
  ) {}

  /** Notes a request; reads for it begin with the first request at which they are possible. */
  request(isUrgent: boolean, canRead: boolean): void {
    this.lastRequestedAt = monotonicMs();
    this.dueAt = Math.min(this.dueAt, this.lastRequestedAt + (isUrgent ? 0 : MAX_DELAY_MS));
    if (this.isRunning || !canRead) return;
    this.isRunning = true;
    void this.run();
  }

  /** Ends the reads. */
  close(): void {
    this.delay.close();
  }

  private async run(): Promise<void> {
    while (!this.delay.isClosed && this.lastRequestedAt > this.reads.newestReadAt()) {
      const waitMs = Math.max(this.lastReadAt + this.intervalMs, this.dueAt) - monotonicMs();
      // No longer than an interval: an urgent request may come meanwhile, or the watch may serve all.
      if (waitMs > 0) await this.delay.wait(Math.min(waitMs, this.intervalMs));
      else await this.readNow();
    }
    this.dueAt = Number.POSITIVE_INFINITY;
    this.isRunning = false;
  }

  private async readNow(): Promise<void> {
    this.dueAt = Number.POSITIVE_INFINITY;
    this.lastReadAt = monotonicMs();
    if (!(await this.reads.read())) await this.delay.wait(RETRY_MS);
  }
}
