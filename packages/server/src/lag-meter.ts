/**
 * Measures by how much this process is behind: how late a timer fires, how long inputs have waited by then, and whether workers'
 * connections were rejected. The controller doesn't hold that time against machines that it did not hear.
 *
 * It has a timer of its own, which nothing postpones: a tick that took long delays the next one on purpose, and so shows no lag.
 */
import type { Controller } from '@archpost/controller';
import type { ConnectionLimiter } from '@archpost/http-api';
import { monotonicMs } from '@archpost/http-client';
import type { Inbox } from './inbox.js';

const MEASURE_INTERVAL_MS = 100;

/** A worker whose connection was rejected comes back after a second (PROTOCOL); until then it can't be heard. */
const REJECTED_RETRY_MS = 1000;

/** What is measured, and who is told. */
export interface LagMeterOptions {
  controller: Pick<Controller, 'recordLag'>;
  inbox: Pick<Inbox, 'enqueueControlEvent' | 'queueDelayMs'>;
  connections: Pick<ConnectionLimiter, 'rejectedTotal'>;
}

/** Tells the controller of each measurement, as an input. */
export class LagMeter {
  private timer: NodeJS.Timeout | undefined;
  private isClosed = false;
  private lastRejectedTotal = 0;

  constructor(private readonly options: LagMeterOptions) {}

  /** Schedules the first measurement. */
  start(): void {
    if (this.isClosed) return;
    const dueAt = monotonicMs() + MEASURE_INTERVAL_MS;
    this.timer = setTimeout(() => this.options.inbox.enqueueControlEvent(() => this.measure(dueAt)), MEASURE_INTERVAL_MS);
  }

  /** Ends the timer; nothing is measured any more. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
  }

  /** The measurement has waited in the inbox, too, which is part of the lag. */
  private measure(dueAt: number): void {
    const { controller, inbox } = this.options;
    const now = monotonicMs();
    controller.recordLag(Math.max(now - dueAt, inbox.queueDelayMs, this.rejectionLagMs()), now);
    this.start();
  }

  /** For how long workers may not have been heard for want of sockets; 0: there were enough since the last measurement. */
  private rejectionLagMs(): number {
    const { rejectedTotal } = this.options.connections;
    const isRejecting = rejectedTotal > this.lastRejectedTotal;
    this.lastRejectedTotal = rejectedTotal;
    return isRejecting ? REJECTED_RETRY_MS : 0;
  }
}
