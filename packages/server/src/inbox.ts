/**
 * The queue of inputs before the controller, which takes one at a time. Under overload the users wish for this order:
 * heartbeats of workers first, then the events that decisions are made of, then submissions and cancellations, and status
 * queries last.
 */

/** An input that was not taken yet. */
interface QueuedInput {
  /** milliseconds of the inbox's clock */
  enqueuedAt: number;
  run: () => void;
}

/** An input that may be refused: its user asks again. */
interface QueuedClientRequest extends QueuedInput {
  reject: () => void;
}

/** So long between two readings of the clock: this process stood still, or had no processor. */
export const PROCESS_PAUSE_MS = 800;

/**
 * So long at most for heartbeats, and then for control events, before connections are looked at again. On a small share
 * of a core a backlog takes seconds, in which no health check would be answered and no response would leave.
 */
export const TIME_SLICE_MS = 100;

/** Mutations, and then status queries, that are taken before looking for anything more urgent. */
const CLIENT_REQUESTS_PER_TURN = 4;

/** What an inbox calls, and by which clock. */
export interface InboxOptions {
  /** milliseconds of a monotonic clock */
  clock: () => number;
  /** called after each turn */
  onTurnEnd: () => void;
  /** a client's request older than this is refused rather than carried out late */
  maxClientRequestAgeMs: number;
  /** this process stood still for so long: called before anything else is taken */
  onProcessPause?: (ms: number) => void;
  /** an input threw; the others are taken */
  onError: (error: unknown) => void;
}

/** Inputs that were taken, by queue, and client requests that were refused for their age. */
export interface ProcessedCounts {
  heartbeats: number;
  controlEvents: number;
  mutations: number;
  statusQueries: number;
  rejected: number;
}

const NOTHING_PROCESSED: Readonly<ProcessedCounts> = {
  heartbeats: 0,
  controlEvents: 0,
  mutations: 0,
  statusQueries: 0,
  rejected: 0,
};

/** Takes inputs in turns; between two turns Node's event loop goes round. */
export class Inbox {
  private heartbeats: QueuedInput[] = [];
  private controlEvents: QueuedInput[] = [];
  private readonly mutations: QueuedClientRequest[] = [];
  private readonly statusQueries: QueuedClientRequest[] = [];
  private nextTurn: NodeJS.Immediate | null = null;
  private isClosed = false;
  /** when the clock was read last: at most a slice before whatever is being taken began */
  lastClockReading: number;
  private processed: ProcessedCounts = { ...NOTHING_PROCESSED };

  constructor(private readonly options: InboxOptions) {
    this.lastClockReading = options.clock();
  }

  /** A worker's heartbeat, its own or one that another controller forwarded. */
  enqueueHeartbeat(run: () => void): void {
    this.heartbeats.push({ enqueuedAt: this.options.clock(), run });
    this.scheduleTurn();
  }

  /** Anything else that decisions are made of: ticks, changes of the stored state, messages of peers, outcomes of effects. */
  enqueueControlEvent(run: () => void): void {
    this.controlEvents.push({ enqueuedAt: this.options.clock(), run });
    this.scheduleTurn();
  }

  /** A submission or cancellation; `reject` is called instead of `run` when it has become too old. */
  enqueueMutation(run: () => void, reject: () => void): void {
    this.mutations.push({ enqueuedAt: this.options.clock(), run, reject });
    this.scheduleTurn();
  }

  /** As `enqueueMutation`, for a query about a job's status. */
  enqueueStatusQuery(run: () => void, reject: () => void): void {
    this.statusQueries.push({ enqueuedAt: this.options.clock(), run, reject });
    this.scheduleTurn();
  }

  /** What was processed since the last call. */
  takeProcessedCounts(): ProcessedCounts {
    const { processed } = this;
    this.processed = { ...NOTHING_PROCESSED };
    return processed;
  }

  /** How long the oldest heartbeat or control event has waited; 0 if none waits. */
  get queueDelayMs(): number {
    const oldest = Math.min(
      this.heartbeats[0]?.enqueuedAt ?? Number.POSITIVE_INFINITY,
      this.controlEvents[0]?.enqueuedAt ?? Number.POSITIVE_INFINITY,
    );
    return Math.max(0, this.options.clock() - oldest);
  }

  /** Takes nothing more; what waits is dropped. */
  close(): void {
    this.isClosed = true;
    if (this.nextTurn) clearImmediate(this.nextTurn);
    this.nextTurn = null;
  }

  /** Heartbeats, then control events, each for a slice of time; then a few client requests before looking for more. */
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

  /** Takes inputs of one queue in their order, at least one, until the slice is over. Returns how many. */
  private processSlice(name: 'heartbeats' | 'controlEvents'): number {
    const queue = this[name];
    if (queue.length === 0) return 0;
    // What comes meanwhile waits for the next turn.
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

  /** A few mutations; status queries only when none waits any more. */
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

  /** One that fails must not cost those that wait behind it: what they bring comes once. */
  private runInput(run: () => void): void {
    try {
      run();
    } catch (error) {
      this.options.onError(error);
    }
  }

  /**
   * A timer wakes the process every tenth of a second. Where far more time has passed, it stood still, and whatever comes
   * first afterwards (a timer, a heartbeat, a response) must find its times put in order.
   */
  private readClock(): number {
    const now = this.options.clock();
    const gap = now - this.lastClockReading;
    this.lastClockReading = now;
    if (gap > PROCESS_PAUSE_MS) this.options.onProcessPause?.(gap);
    return now;
  }
}
