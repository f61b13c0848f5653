/**
 * Measures the lag of this process: the delay of a timer, the time for which inputs have waited by then, and whether connections
 * of workers were rejected. The controller doesn't count this time as silence of machines.
 *
 * The meter has a timer of its own, which nothing postpones. The timer of ticks would show no lag, because a long tick postpones
 * the next one on purpose.
 */
import type { Controller } from '@archpost/controller';
import type { ConnectionLimiter } from '@archpost/http-api';
import { monotonicMs } from '@archpost/http-client';
import type { Inbox } from './inbox.js';

const MEASURE_INTERVAL_MS = 100;

/** A worker whose connection was rejected retries after a second (PROTOCOL); until then its heartbeats can't arrive. */
const REJECTED_RETRY_MS = 1000;

/** The sources of the measurement, and the controller that it is reported to. */
export interface LagMeterOptions {
  controller: Pick<Controller, 'recordLag'>;
  inbox: Pick<Inbox, 'enqueueControlEvent' | 'queueDelayMs'>;
  connections: Pick<ConnectionLimiter, 'rejectedTotal'>;
}

/** Reports each measurement to the controller as an input. */
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

  /** Stops the timer and all further measurements. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
  }

  /** Runs as an input, so that the time for which the measurement itself waited in the inbox is part of the lag. */
  private measure(dueAt: number): void {
    const { controller, inbox } = this.options;
    const now = monotonicMs();
    controller.recordLag(Math.max(now - dueAt, inbox.queueDelayMs, this.rejectionLagMs()), now);
    this.start();
  }

  /** Time in which heartbeats may not have arrived for lack of sockets; 0 if no connection was rejected since the last call. */
  private rejectionLagMs(): number {
    const { rejectedTotal } = this.options.connections;
    const isRejecting = rejectedTotal > this.lastRejectedTotal;
    this.lastRejectedTotal = rejectedTotal;
    return isRejecting ? REJECTED_RETRY_MS : 0;
  }
}
