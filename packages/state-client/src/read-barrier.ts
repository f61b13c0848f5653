/** Read barriers: reads that begin no earlier than they were requested. */
import { Delay, monotonicMs } from '@archpost/http-client';

/** Maximum time that a non-urgent request waits for the watch. Users wait two seconds for a response. */
const MAX_DELAY_MS = 350;

/** Wait after a failed read, in addition to the interval between reads. */
const RETRY_MS = 200;

/** The reads that serve barriers: those of the watch, and those that a barrier starts. */
export interface BarrierReads {
  /** Returns when the newest successful read began, in milliseconds of the monotonic clock. */
  newestReadAt(): number;
  /** Reads once. Resolves with false if the read failed. */
  read(): Promise<boolean>;
}

/**
 * Ensures that a read begins after each request. Requests are batched: one read serves all earlier requests. Non-urgent
 * requests are mostly served by the watch, which is reopened after each change.
 */
export class ReadBarrier {
  private readonly delay = new Delay();
  private isRunning = false;
  private lastRequestedAt = -1;
  /** time by which the next read is due; infinite: no read is due */
  private dueAt = Number.POSITIVE_INFINITY;
  private lastReadAt = 0;

  constructor(
    private readonly reads: BarrierReads,
    private readonly intervalMs: number,
  ) {}

  /** Records a request. Starts the reads if `canRead` is set; otherwise the first later request with `canRead` starts them. */
  request(isUrgent: boolean, canRead: boolean): void {
    this.lastRequestedAt = monotonicMs();
    this.dueAt = Math.min(this.dueAt, this.lastRequestedAt + (isUrgent ? 0 : MAX_DELAY_MS));
    if (this.isRunning || !canRead) return;
    this.isRunning = true;
    void this.run();
  }

  /** Stops the reads. */
  close(): void {
    this.delay.close();
  }

  private async run(): Promise<void> {
    while (!this.delay.isClosed && this.lastRequestedAt > this.reads.newestReadAt()) {
      const waitMs = Math.max(this.lastReadAt + this.intervalMs, this.dueAt) - monotonicMs();
      // Waits at most one interval: meanwhile an urgent request may arrive, or the watch may serve all requests.
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
