/**
 * Queues of inputs to the controller, which processes one at a time. Under overload, inputs are processed by the priorities
 * that the users require: worker heartbeats, then control events, then mutations (submissions and cancellations), then
 * status queries.
 */

/** An input that hasn't been processed yet. */
interface QueuedInput {
  /** in milliseconds of the inbox's clock */
  enqueuedAt: number;
  run: () => void;
}

/** An input that may be rejected, because users retry rejected requests. */
interface QueuedClientRequest extends QueuedInput {
  reject: () => void;
}

/** If more time than this passes between two clock readings, the process was paused or had no CPU time. */
export const PROCESS_PAUSE_MS = 800;

/**
 * Time limit per turn for heartbeats, and likewise for control events. On a small fraction of a core, a backlog takes seconds
 * to process. Without the limit, no health check would get a response and no other response would be sent in that time.
 */
export const TIME_SLICE_MS = 100;

/** Maximum number of mutations, and likewise of status queries, per turn. The next turn begins with inputs of higher priority. */
const CLIENT_REQUESTS_PER_TURN = 4;

/** The clock and the callbacks of an inbox. */
export interface InboxOptions {
  /** returns milliseconds of a monotonic clock */
  clock: () => number;
  /** called at the end of each turn */
  onTurnEnd: () => void;
  /** a mutation or status query that has waited longer than this is rejected instead of processed */
  maxClientRequestAgeMs: number;
  /** called before the next input if the process was paused for `ms` */
  onProcessPause?: (ms: number) => void;
  /** called if an input throws; the inputs after it are processed regardless */
  onError: (error: unknown) => void;
}

/** Numbers of inputs that were processed, by queue, and of those that were rejected because of their age. */
export interface ProcessedCounts {
  heartbeats: number;
  controlEvents: number;
  mutations: number;
  statusQueries: number;
  rejected: number;
}

const ZERO_COUNTS: Readonly<ProcessedCounts> = {
  heartbeats: 0,
  controlEvents: 0,
  mutations: 0,
  statusQueries: 0,
  rejected: 0,
};

/** Processes inputs in turns. Between two turns, Node's event loop handles timers and sockets. */
export class Inbox {
  private heartbeats: QueuedInput[] = [];
  private controlEvents: QueuedInput[] = [];
  private readonly mutations: QueuedClientRequest[] = [];
  private readonly statusQueries: QueuedClientRequest[] = [];
  private nextTurn: NodeJS.Immediate | null = null;
  private isClosed = false;
  /** time of the last clock reading; the clock is read before each heartbeat and control event, and before client requests */
  lastClockReading: number;
  private processed: ProcessedCounts = { ...ZERO_COUNTS };

  constructor(private readonly options: InboxOptions) {
    this.lastClockReading = options.clock();
  }

  /** Adds a heartbeat that was received from its worker or forwarded by another controller. */
  enqueueHeartbeat(run: () => void): void {
    this.heartbeats.push({ enqueuedAt: this.options.clock(), run });
    this.scheduleTurn();
  }

  /** Adds any other input that decisions depend on: a tick, a state change, a peer's status, the outcome of an effect. */
  enqueueControlEvent(run: () => void): void {
    this.controlEvents.push({ enqueuedAt: this.options.clock(), run });
    this.scheduleTurn();
  }

  /** Adds a submission or cancellation. If it has waited too long, `reject` is called instead of `run`. */
  enqueueMutation(run: () => void, reject: () => void): void {
    this.mutations.push({ enqueuedAt: this.options.clock(), run, reject });
    this.scheduleTurn();
  }

  /** Adds a query about a job's status. `reject` is called as for mutations. */
  enqueueStatusQuery(run: () => void, reject: () => void): void {
    this.statusQueries.push({ enqueuedAt: this.options.clock(), run, reject });
    this.scheduleTurn();
  }

  /** Returns the numbers of inputs processed and rejected since the last call. */
  takeProcessedCounts(): ProcessedCounts {
    const { processed } = this;
    this.processed = { ...ZERO_COUNTS };
    return processed;
  }

  /** Time for which the oldest queued heartbeat or control event has waited, in milliseconds; 0 if none is queued. */
  get queueDelayMs(): number {
    const oldest = Math.min(
      this.heartbeats[0]?.enqueuedAt ?? Number.POSITIVE_INFINITY,
      this.controlEvents[0]?.enqueuedAt ?? Number.POSITIVE_INFINITY,
    );
    return Math.max(0, this.options.clock() - oldest);
  }

  /** Stops the turns. Queued inputs, and those that are added later, are never processed. */
  close(): void {
    this.isClosed = true;
    if (this.nextTurn) clearImmediate(this.nextTurn);
    this.nextTurn = null;
  }

  /** Processes heartbeats and then control events, each for a time slice, and then a few mutations and status queries. */
  runTurn(): void {
    this.nextTurn = null;
    this.readClock();
    this.processed.heartbeats += this.processSlice('heartbeats');
    this.processed.controlEvents += this.processSlice('controlEvents');
    this.processClientRequests(this.readClock());
    this.options.onTurnEnd();
    if (this.hasInput) this.scheduleTurn();
  }

  private get hasInput(): boolean {
    return (
      this.heartbeats.length > 0 || this.controlEvents.length > 0 || this.mutations.length > 0 || this.statusQueries.length > 0
    );
  }

  private scheduleTurn(): void {
    if (this.nextTurn !== null || this.isClosed) return;
    this.nextTurn = setImmediate(() => this.runTurn());
  }

  /** Processes inputs of one queue in order, at least one, until the time slice is over. Returns their number. */
  private processSlice(name: 'heartbeats' | 'controlEvents'): number {
    const queue = this[name];
    if (queue.length === 0) return 0;
    // Inputs that are added during this slice wait for the next turn.
    this[name] = [];
    const deadline = this.lastClockReading + TIME_SLICE_MS;
    let count = 0;
    for (const { run } of queue) {
      if (this.readClock() > deadline && count > 0) break;
      this.runInput(run);
      count++;
    }
    if (count < queue.length) this[name] = [...queue.slice(count), ...this[name]];
    return count;
  }

  /** Processes a few mutations, and a few status queries if no mutation is left. */
  private processClientRequests(now: number): void {
    for (const request of this.mutations.splice(0, CLIENT_REQUESTS_PER_TURN))
      this.processClientRequest(request, now, 'mutations');
    if (this.mutations.length > 0) return;
    for (const request of this.statusQueries.splice(0, CLIENT_REQUESTS_PER_TURN))
      this.processClientRequest(request, now, 'statusQueries');
  }

  private processClientRequest(request: QueuedClientRequest, now: number, queue: 'mutations' | 'statusQueries'): void {
    if (now - request.enqueuedAt > this.options.maxClientRequestAgeMs) {
      this.processed.rejected++;
      request.reject();
    } else {
      this.processed[queue]++;
      this.runInput(request.run);
    }
  }

  /** Catches errors, so that an input that throws doesn't block the inputs after it, most of which are never sent again. */
  private runInput(run: () => void): void {
    try {
      run();
    } catch (error) {
      this.options.onError(error);
    }
  }

  /**
   * Reads the clock and detects pauses of the process: ticks arrive every tenth of a second, so a far longer gap between two
   * readings means a pause. The controller must adjust its times before it processes the next input of any kind (a tick, a
   * heartbeat, an outcome).
   */
  private readClock(): number {
    const now = this.options.clock();
    const gap = now - this.lastClockReading;
    this.lastClockReading = now;
    if (gap > PROCESS_PAUSE_MS) this.options.onProcessPause?.(gap);
    return now;
  }
}
