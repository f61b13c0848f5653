/**
 * Queues of inputs to the controller, which takes one at a time. Under overload they are served in the order that the users
 * require: heartbeats of workers, then control events, then mutations (submissions and cancellations), then status queries.
 */

/** An input that waits. */
interface QueuedInput {
  /** milliseconds of the inbox's clock */
  enqueuedAt: number;
  run: () => void;
}

/** An input that may be rejected, because its user repeats it. */
interface QueuedClientRequest extends QueuedInput {
  reject: () => void;
}

/** With this long between two readings of the clock, the process was paused or had no processor. */
export const PROCESS_PAUSE_MS = 800;

/**
 * The longest time spent on heartbeats, and then on control events, in one turn. On a small part of a core a backlog takes
 * seconds, in which without this no health check would get a response and no other response would be sent.
 */
export const TIME_SLICE_MS = 100;

/** Mutations, and then status queries, that are served in one turn, before more urgent inputs get theirs. */
const CLIENT_REQUESTS_PER_TURN = 4;

/** The clock and the callbacks of an inbox. */
export interface InboxOptions {
  /** milliseconds of a monotonic clock */
  clock: () => number;
  /** a turn is over */
  onTurnEnd: () => void;
  /** a mutation or status query that has waited longer than this is rejected rather than served late */
  maxClientRequestAgeMs: number;
  /** the process was paused for this long; called before the next input */
  onProcessPause?: (ms: number) => void;
  /** an input threw; the others are served all the same */
  onError: (error: unknown) => void;
}

/** Inputs that were served, by queue, and those that were rejected for their age. */
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

/** Serves inputs in turns; between two turns Node's event loop handles timers and sockets. */
export class Inbox {
  private heartbeats: QueuedInput[] = [];
  private controlEvents: QueuedInput[] = [];
  private readonly mutations: QueuedClientRequest[] = [];
  private readonly statusQueries: QueuedClientRequest[] = [];
  private nextTurn: NodeJS.Immediate | null = null;
  private isClosed = false;
  /** when the clock was read last, which is before each heartbeat and control event, and before client requests */
  lastClockReading: number;
  private processed: ProcessedCounts = { ...ZERO_COUNTS };

  constructor(private readonly options: InboxOptions) {
    this.lastClockReading = options.clock();
  }

  /** Adds a heartbeat, received from its worker or forwarded by another controller. */
  enqueueHeartbeat(run: () => void): void {
    this.heartbeats.push({ enqueuedAt: this.options.clock(), run });
    this.scheduleTurn();
  }

  /** Adds any other input that decisions depend on: a tick, a change of the stored state, a peer's status, an outcome. */
  enqueueControlEvent(run: () => void): void {
    this.controlEvents.push({ enqueuedAt: this.options.clock(), run });
    this.scheduleTurn();
  }

  /** Adds a submission or cancellation. `reject` is called instead of `run` if it has waited too long. */
  enqueueMutation(run: () => void, reject: () => void): void {
    this.mutations.push({ enqueuedAt: this.options.clock(), run, reject });
    this.scheduleTurn();
  }

  /** Adds a query about a job's status; `reject` is as for mutations. */
  enqueueStatusQuery(run: () => void, reject: () => void): void {
    this.statusQueries.push({ enqueuedAt: this.options.clock(), run, reject });
    this.scheduleTurn();
  }

  /** How many inputs were served and rejected since the last call. */
  takeProcessedCounts(): ProcessedCounts {
    const { processed } = this;
    this.processed = { ...ZERO_COUNTS };
    return processed;
  }

  /** How long the oldest heartbeat or control event has waited, in milliseconds; 0 if none waits. */
  get queueDelayMs(): number {
    const oldest = Math.min(
      this.heartbeats[0]?.enqueuedAt ?? Number.POSITIVE_INFINITY,
      this.controlEvents[0]?.enqueuedAt ?? Number.POSITIVE_INFINITY,
    );
    return Math.max(0, this.options.clock() - oldest);
  }

  /** Ends the turns; inputs that wait, and those that are added later, are dropped. */
  close(): void {
    this.isClosed = true;
    if (this.nextTurn) clearImmediate(this.nextTurn);
    this.nextTurn = null;
  }

  /** Serves heartbeats, then control events, each for a slice of time, and then a few mutations or status queries. */
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

  /** Serves inputs of one queue in their order, at least one, until the time slice is over. Returns how many. */
  private processSlice(name: 'heartbeats' | 'controlEvents'): number {
    const queue = this[name];
    if (queue.length === 0) return 0;
    // Inputs that are added meanwhile wait for the next turn.
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

  /** Serves a few mutations, and a few status queries if no mutation waits any more. */
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

  /** An input that throws must not prevent those behind it: most of them come only once. */
  private runInput(run: () => void): void {
    try {
      run();
    } catch (error) {
      this.options.onError(error);
    }
  }

  /**
   * Ticks come every tenth of a second, so if far more time has passed, the process was paused. The controller has to
   * adjust its times before the next input, whichever comes first (a tick, a heartbeat, an outcome).
   */
  private readClock(): number {
    const now = this.options.clock();
    const gap = now - this.lastClockReading;
    this.lastClockReading = now;
    if (gap > PROCESS_PAUSE_MS) this.options.onProcessPause?.(gap);
    return now;
  }
}
