/** The timer of the controller's ticks. */
import type { Controller } from '@archpost/controller';
import type { LoadShedder } from '@archpost/http-api';
import { monotonicMs } from '@archpost/http-client';
import type { Inbox } from './inbox.js';

const TICK_INTERVAL_MS = 100;

/**
 * Schedules each tick after the previous one has finished. After a long tick, it reserves an equally long time for other work.
 * The delay of the timer, or the waiting time of inputs by then if that is longer, is the load shedder's measure of load.
 */
export class TickTimer {
  private timer: NodeJS.Timeout | undefined;
  private isClosed = false;

  constructor(
    private readonly controller: Controller,
    private readonly inbox: Inbox,
    private readonly loadShedder: LoadShedder,
  ) {}

  /** Schedules the first tick. */
  start(): void {
    this.schedule(TICK_INTERVAL_MS);
  }

  /** Stops the timer; no further tick is scheduled. */
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
    this.loadShedder.recordTimerDelay(Math.max(monotonicMs() - dueAt, this.inbox.queueDelayMs));
    this.inbox.enqueueControlEvent(() => this.tick());
  }

  /** Runs a tick, and schedules the next one even if this one throws. */
  private tick(): void {
    const startedAt = monotonicMs();
    try {
      this.controller.tick(startedAt, Date.now());
    } finally {
      const tookMs = monotonicMs() - startedAt;
      this.schedule(Math.max(TICK_INTERVAL_MS - tookMs, tookMs));
    }
  }
}
