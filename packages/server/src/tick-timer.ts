/** The timer of the controller's ticks. */
import type { Controller } from '@archpost/controller';
import type { ConnectionLimiter, LoadShedder } from '@archpost/http-api';
import { monotonicMs } from '@archpost/http-client';
import type { Inbox } from './inbox.js';

const TICK_INTERVAL_MS = 100;

/** A worker whose connection was rejected for want of sockets comes back after a second (PROTOCOL); until then it can't be heard. */
const REJECTED_RETRY_MS = 1000;

/** What a tick timer drives, and what it measures. */
export interface TickTimerOptions {
  controller: Pick<Controller, 'recordLag' | 'tick'>;
  inbox: Pick<Inbox, 'enqueueControlEvent' | 'queueDelayMs'>;
  loadShedder: Pick<LoadShedder, 'recordTimerDelay'>;
  connections: Pick<ConnectionLimiter, 'rejectedTotal'>;
}

/**
 * Schedules each tick when the one before is over; a tick that took long is followed by as long a time for everything else.
 * How late the timer fires, or how long inputs have waited by then, is what the load shedder measures load by, and what the
 * controller doesn't hold against machines that it did not hear meanwhile.
 */
export class TickTimer {
  private timer: NodeJS.Timeout | undefined;
  private isClosed = false;
  private rejectedBefore = 0;

  constructor(private readonly options: TickTimerOptions) {}

  /** Schedules the first tick. */
  start(): void {
    this.schedule(TICK_INTERVAL_MS);
  }

  /** Ends the timer; no further tick is scheduled. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
  }

  private schedule(delayMs: number): void {
    if (this.isClosed) return;
    const dueAt = monotonicMs() + delayMs;
    this.timer = setTimeout(() => this.handleTimer(dueAt), delayMs);
  }

  private handleTimer(dueAt: number): void {
    const { inbox, loadShedder } = this.options;
    loadShedder.recordTimerDelay(Math.max(monotonicMs() - dueAt, inbox.queueDelayMs));
    inbox.enqueueControlEvent(() => this.tick(dueAt));
  }

  /** For how long workers may not have been heard for want of sockets; 0: there were enough since the last tick. */
  private rejectionLagMs(): number {
    const { rejectedTotal } = this.options.connections;
    const isRejecting = rejectedTotal > this.rejectedBefore;
    this.rejectedBefore = rejectedTotal;
    return isRejecting ? REJECTED_RETRY_MS : 0;
  }

  /** Schedules the next tick even if this one throws. */
  private tick(dueAt: number): void {
    const { controller, inbox } = this.options;
    const startedAt = monotonicMs();
    try {
      controller.recordLag(Math.max(startedAt - dueAt, inbox.queueDelayMs, this.rejectionLagMs()), startedAt);
      controller.tick(startedAt, Date.now());
    } finally {
      const tookMs = monotonicMs() - startedAt;
      this.schedule(Math.max(TICK_INTERVAL_MS - tookMs, tookMs));
    }
  }
}
