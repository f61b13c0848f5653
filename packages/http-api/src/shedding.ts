/** Timers this late: a job that was answered here a moment ago is asked to wait. */
const BUSY_MS = 150;

/** Timers this late: workers' reports wait too, and only who has gone without an answer for long is served. */
const BEHIND_MS = 500;

/** A job answered here within this time can wait; users ask every 5 s. */
const LATELY_MS = 4000;

/**
 * Who has gone without an answer for longer is served though much else waits: a job about which
 * nothing is answered for 75 s counts as forgotten, and there may be other controllers like this.
 */
const LONG_MS = 20_000;

/** So many of these a second, at the most, while workers' reports wait. */
const LONG_PER_S = 8;

/** So many a second, and as many at once. */
class Allowance {
  private left: number;
  private at = 0;

  constructor(
    private readonly perS: number,
    private readonly clock: () => number,
  ) {
    this.left = perS;
  }

  take(): boolean {
    const now = this.clock();
    const limit = this.perS > 0 ? Math.max(1, this.perS) : 0;
    this.left = Math.min(limit, this.left + ((now - this.at) / 1000) * this.perS);
    this.at = now;
    if (this.left < 1) return false;
    this.left--;
    return true;
  }
}

/**
 * Who is refused when more is asked than can be done. Questions go first, and fairly: those
 * about jobs that were answered lately, so that none is unlucky for long. Submissions and
 * cancellations are refused only when workers' reports themselves wait, but for a few a second:
 * each that is refused comes again, and costs nearly as much then.
 */
export class Shedding {
  /** how late timers fire, the worst of late */
  private lateMs = 0;
  private readonly answered = new Map<string, number>();
  private sweptAt = 0;
  private readonly longUnanswered: Allowance;
  private readonly requests: Allowance;
  private refusedQuestions = 0;
  private refusedRequests = 0;

  /** `requestsPerS`: submissions and cancellations that are taken though reports wait */
  constructor(
    private readonly clock: () => number,
    requestsPerS = 0,
  ) {
    this.longUnanswered = new Allowance(LONG_PER_S, clock);
    this.requests = new Allowance(requestsPerS, clock);
  }

  /** A timer fired so much later than it was asked for. */
  late(ms: number): void {
    this.lateMs = Math.max(ms, this.lateMs / 2);
  }

  get behind(): boolean {
    return this.lateMs > BEHIND_MS;
  }

  request(): boolean {
    if (!this.behind || this.requests.take()) return true;
    this.refusedRequests++;
    return false;
  }

  question(job: string): boolean {
    const now = this.clock();
    if (now - this.sweptAt > LONG_MS) this.sweep(now);
    if (this.lateMs <= BUSY_MS || this.mayStill(now - (this.answered.get(job) ?? Number.NEGATIVE_INFINITY))) return true;
    this.refusedQuestions++;
    return false;
  }

  private mayStill(sinceMs: number): boolean {
    if (!this.behind) return sinceMs > LATELY_MS;
    return sinceMs >= LONG_MS && this.longUnanswered.take();
  }

  /** The question about this job is being answered. */
  told(job: string): void {
    this.answered.set(job, this.clock());
  }

  private sweep(now: number): void {
    this.sweptAt = now;
    for (const [job, at] of this.answered) if (now - at > LONG_MS) this.answered.delete(job);
  }

  /** What was refused since this was last asked. */
  refused(): { questions: number; requests: number } {
    const refused = { questions: this.refusedQuestions, requests: this.refusedRequests };
    this.refusedQuestions = 0;
    this.refusedRequests = 0;
    return refused;
  }
}
