/** An input that was not taken yet, and since when. */
interface Waiting {
  at: number;
  run: () => void;
}

/** One that can be refused: its user asks again. */
interface WaitingRequest extends Waiting {
  refuse: () => void;
}

/** So long between two inputs: this process stood still, or had no processor. */
export const PAUSE_MS = 800;

/** What an inbox tells, and by which clock. */
export interface InboxOptions {
  clock: () => number;
  /** called after what waited was taken */
  afterEach: () => void;
  /** a user's request older than this is refused rather than carried out late */
  staleMs: number;
  /** this process stood still: told before anything else is taken */
  paused?: (ms: number) => void;
  /** an input could not be taken; the others are */
  failed: (error: unknown) => void;
}

/**
 * So long at most for reports, and then for decisions, before connections are looked at again. On a small share of a core
 * a backlog takes seconds, in which no health check would be answered and no answer would leave.
 */
export const SLICE_MS = 100;

/** Users' requests, and then questions, that are taken before looking for anything more urgent. */
const AT_ONCE = 4;

/**
 * What waits to be decided, in the order the users wish for under overload: reports of
 * workers first, then the inputs that decisions are made of, then submissions and cancellations, and
 * users' questions last.
 */
export class Inbox {
  private readonly ranks: [Waiting[], Waiting[], WaitingRequest[], WaitingRequest[]] = [[], [], [], []];
  private scheduled = false;
  /** when something was last taken */
  last: number;
  /** inputs taken since the last look, by rank, and requests refused for their age */
  private taken = { reports: 0, decisions: 0, requests: 0, questions: 0, refused: 0 };

  constructor(private readonly options: InboxOptions) {
    this.last = options.clock();
  }

  report(run: () => void): void {
    this.ranks[0].push({ at: this.options.clock(), run });
    this.wake();
  }

  decision(run: () => void): void {
    this.ranks[1].push({ at: this.options.clock(), run });
    this.wake();
  }

  request(run: () => void, refuse: () => void): void {
    this.ranks[2].push({ at: this.options.clock(), run, refuse });
    this.wake();
  }

  question(run: () => void, refuse: () => void): void {
    this.ranks[3].push({ at: this.options.clock(), run, refuse });
    this.wake();
  }

  counts(): Inbox['taken'] {
    const taken = this.taken;
    this.taken = { reports: 0, decisions: 0, requests: 0, questions: 0, refused: 0 };
    return taken;
  }

  private wake(): void {
    if (this.scheduled) return;
    this.scheduled = true;
    setImmediate(() => this.drain());
  }

  /** How long the oldest report or decision has waited. */
  get waitedMs(): number {
    const oldest = Math.min(this.ranks[0][0]?.at ?? Number.POSITIVE_INFINITY, this.ranks[1][0]?.at ?? Number.POSITIVE_INFINITY);
    return Math.max(0, this.options.clock() - oldest);
  }

  /** Reports, then decisions, each for a slice of time; then a few requests before looking for more. */
  drain(): void {
    this.scheduled = false;
    this.look();
    this.taken.reports += this.takeSlice(0);
    this.taken.decisions += this.takeSlice(1);
    const now = this.look();
    for (const waiting of this.ranks[2].splice(0, AT_ONCE)) this.serve(waiting, now, 'requests');
    if (this.ranks[2].length === 0) for (const waiting of this.ranks[3].splice(0, AT_ONCE)) this.serve(waiting, now, 'questions');
    this.options.afterEach();
    if (this.ranks.some((list) => list.length > 0)) this.wake();
  }

  /** Takes inputs of the rank in their order, at least one, until its time is over. Returns how many. */
  private takeSlice(rank: 0 | 1): number {
    const list = this.ranks[rank];
    if (list.length === 0) return 0;
    // What comes meanwhile waits for the next turn.
    this.ranks[rank] = [];
    const until = this.last + SLICE_MS;
    let count = 0;
    for (const { run } of list) {
      if (this.look() > until && count > 0) break;
      this.take(run);
      count++;
    }
    if (count < list.length) this.ranks[rank] = [...list.slice(count), ...this.ranks[rank]];
    return count;
  }

  /** One that fails must not cost those that wait behind it: what they bring comes once. */
  private take(run: () => void): void {
    try {
      run();
    } catch (error) {
      this.options.failed(error);
    }
  }

  /**
   * A timer wakes this every tenth of a second. Where far more time has passed, the process
   * stood still, and whatever comes first afterwards (a timer, a report, an answer) must find
   * its times put in order.
   */
  private look(): number {
    const now = this.options.clock();
    const gap = now - this.last;
    this.last = now;
    if (gap > PAUSE_MS) this.options.paused?.(gap);
    return now;
  }

  private serve(waiting: WaitingRequest, now: number, rank: 'requests' | 'questions'): void {
    if (now - waiting.at > this.options.staleMs) {
      this.taken.refused++;
      waiting.refuse();
    } else {
      this.taken[rank]++;
      this.take(waiting.run);
    }
  }
}
