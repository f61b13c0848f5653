/** An input that was not taken yet, and since when. */
interface QueuedInput {
  enqueuedAt: number;
  run: () => void;
}

/** One that can be refused: its user asks again. */
interface QueuedClientRequest extends QueuedInput {
  reject: () => void;
}

/** So long between two inputs: this process stood still, or had no processor. */
export const PROCESS_PAUSE_MS = 800;

/** What an inbox tells, and by which clock. */
export interface InboxOptions {
  clock: () => number;
  /** called after what waited was taken */
  onTurnEnd: () => void;
  /** a user's request older than this is refused rather than carried out late */
  maxClientRequestAgeMs: number;
  /** this process stood still: told before anything else is taken */
  onProcessPause?: (ms: number) => void;
  /** an input could not be taken; the others are */
  onError: (error: unknown) => void;
}

/**
 * So long at most for reports, and then for decisions, before connections are looked at again. On a small share of a core
 * a backlog takes seconds, in which no health check would be answered and no answer would leave.
 */
export const TIME_SLICE_MS = 100;

/** Users' requests, and then questions, that are taken before looking for anything more urgent. */
const CLIENT_REQUESTS_PER_TURN = 4;

/**
 * What waits to be decided, in the order the users wish for under overload: reports of
 * workers first, then the inputs that decisions are made of, then submissions and cancellations, and
 * users' questions last.
 */
export class Inbox {
  private readonly queues: [QueuedInput[], QueuedInput[], QueuedClientRequest[], QueuedClientRequest[]] = [[], [], [], []];
  private isTurnScheduled = false;
  /** when something was last taken */
  lastClockReading: number;
  /** inputs taken since the last look, by rank, and requests refused for their age */
  private processed = { reports: 0, decisions: 0, requests: 0, questions: 0, refused: 0 };

  constructor(private readonly options: InboxOptions) {
    this.lastClockReading = options.clock();
  }

  enqueueHeartbeat(run: () => void): void {
    this.queues[0].push({ enqueuedAt: this.options.clock(), run });
    this.scheduleTurn();
  }

  enqueueControlEvent(run: () => void): void {
    this.queues[1].push({ enqueuedAt: this.options.clock(), run });
    this.scheduleTurn();
  }

  enqueueMutation(run: () => void, reject: () => void): void {
    this.queues[2].push({ enqueuedAt: this.options.clock(), run, reject });
    this.scheduleTurn();
  }

  enqueueStatusQuery(run: () => void, reject: () => void): void {
    this.queues[3].push({ enqueuedAt: this.options.clock(), run, reject });
    this.scheduleTurn();
  }

  takeProcessedCounts(): Inbox['processed'] {
    const processed = this.processed;
    this.processed = { reports: 0, decisions: 0, requests: 0, questions: 0, refused: 0 };
    return processed;
  }

  private scheduleTurn(): void {
    if (this.isTurnScheduled) return;
    this.isTurnScheduled = true;
    setImmediate(() => this.runTurn());
  }

  /** How long the oldest report or decision has waited. */
  get queueDelayMs(): number {
    const oldest = Math.min(
      this.queues[0][0]?.enqueuedAt ?? Number.POSITIVE_INFINITY,
      this.queues[1][0]?.enqueuedAt ?? Number.POSITIVE_INFINITY,
    );
    return Math.max(0, this.options.clock() - oldest);
  }

  /** Reports, then decisions, each for a slice of time; then a few requests before looking for more. */
  runTurn(): void {
    this.isTurnScheduled = false;
    this.readClock();
    this.processed.reports += this.processSlice(0);
    this.processed.decisions += this.processSlice(1);
    const now = this.readClock();
    for (const request of this.queues[2].splice(0, CLIENT_REQUESTS_PER_TURN)) this.processClientRequest(request, now, 'requests');
    if (this.queues[2].length === 0)
      for (const request of this.queues[3].splice(0, CLIENT_REQUESTS_PER_TURN))
        this.processClientRequest(request, now, 'questions');
    this.options.onTurnEnd();
    if (this.queues.some((queue) => queue.length > 0)) this.scheduleTurn();
  }

  /** Takes inputs of the rank in their order, at least one, until its time is over. Returns how many. */
  private processSlice(rank: 0 | 1): number {
    const queue = this.queues[rank];
    if (queue.length === 0) return 0;
    // What comes meanwhile waits for the next turn.
    this.queues[rank] = [];
    const deadline = this.lastClockReading + TIME_SLICE_MS;
    let count = 0;
    for (const { run } of queue) {
      if (this.readClock() > deadline && count > 0) break;
      this.runInput(run);
      count++;
    }
    if (count < queue.length) this.queues[rank] = [...queue.slice(count), ...this.queues[rank]];
    return count;
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
   * A timer wakes this every tenth of a second. Where far more time has passed, the process
   * stood still, and whatever comes first afterwards (a timer, a report, an answer) must find
   * its times put in order.
   */
  private readClock(): number {
    const now = this.options.clock();
    const gap = now - this.lastClockReading;
    this.lastClockReading = now;
    if (gap > PROCESS_PAUSE_MS) this.options.onProcessPause?.(gap);
    return now;
  }

  private processClientRequest(request: QueuedClientRequest, now: number, rank: 'requests' | 'questions'): void {
    if (now - request.enqueuedAt > this.options.maxClientRequestAgeMs) {
      this.processed.refused++;
      request.reject();
    } else {
      this.processed[rank]++;
      this.runInput(request.run);
    }
  }
}
