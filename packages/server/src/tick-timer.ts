/** The controller's ticks. */
import type { Controller } from '@archpost/controller';
import type { LoadShedder } from '@archpost/http-api';
import { monotonicMs } from '@archpost/http-client';
import type { Inbox } from './inbox.js';

const TICK_INTERVAL_MS = 100;

/**
 * One tick after the other: one that took long is followed by as long a time for everything else. How late a tick comes,
 * or what comes before it, is the load that the load shedder goes by.
 */
export class TickTimer {
  private timer: NodeJS.Timeout | undefined;
  private isClosed = false;

  constructor(
    private readonly controller: Controller,
    private readonly inbox: Inbox,
    private readonly loadShedder: LoadShedder,
  ) {}

  start(): void {
    this.schedule(TICK_INTERVAL_MS);
  }

  /** No tick begins after this. */
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

  /** The next tick is due also when this one fails. */
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
