import { TokenBucket } from './token-bucket.js';

/** Timers this late: a job that was answered here a moment ago is asked to wait. */
const BUSY_DELAY_MS = 150;

/** Timers this late: workers' reports wait too, and only who has gone without an answer for long is served. */
const OVERLOAD_DELAY_MS = 500;

/** A job answered here within this time can wait; users ask every 5 s. */
const RECENTLY_ANSWERED_MS = 4000;

/**
 * Who has gone without an answer for longer is served though much else waits: a job about which
 * nothing is answered for 75 s counts as forgotten, and there may be other controllers like this.
 */
const STARVED_MS = 20_000;

/** So many of these a second, at the most, while workers' reports wait. */
const STARVED_QUERIES_PER_S = 8;

/**
 * Who is refused when more is asked than can be done. Questions go first, and fairly: those
 * about jobs that were answered lately, so that none is unlucky for long. Submissions and
 * cancellations are refused only when workers' reports themselves wait, but for a few a second:
 * each that is refused comes again, and costs nearly as much then.
 */
export class LoadShedder {
  /** how late timers fire, the worst of late */
  private timerDelayMs = 0;
  private readonly answeredAt = new Map<string, number>();
  private sweptAt = 0;
  private readonly starvedQueryBucket: TokenBucket;
  private readonly mutationBucket: TokenBucket;
  private rejectedStatusQueries = 0;
  private rejectedMutations = 0;

  /** `mutationsPerS`: submissions and cancellations that are taken though reports wait */
  constructor(
    private readonly clock: () => number,
    mutationsPerS = 0,
  ) {
    this.starvedQueryBucket = new TokenBucket(STARVED_QUERIES_PER_S, clock);
    this.mutationBucket = new TokenBucket(mutationsPerS, clock);
  }

  /** A timer fired so much later than it was asked for. */
  recordTimerDelay(ms: number): void {
    this.timerDelayMs = Math.max(ms, this.timerDelayMs / 2);
  }

  get isOverloaded(): boolean {
    return this.timerDelayMs > OVERLOAD_DELAY_MS;
  }

  admitMutation(): boolean {
    if (!this.isOverloaded || this.mutationBucket.take()) return true;
    this.rejectedMutations++;
    return false;
  }

  admitStatusQuery(job: string): boolean {
    const now = this.clock();
    if (now - this.sweptAt > STARVED_MS) this.forgetStaleAnswers(now);
    if (this.timerDelayMs <= BUSY_DELAY_MS || this.isDueForAnswer(now - (this.answeredAt.get(job) ?? Number.NEGATIVE_INFINITY)))
      return true;
    this.rejectedStatusQueries++;
    return false;
  }

  private isDueForAnswer(sinceMs: number): boolean {
    if (!this.isOverloaded) return sinceMs > RECENTLY_ANSWERED_MS;
    return sinceMs >= STARVED_MS && this.starvedQueryBucket.take();
  }

  /** The question about this job is being answered. */
  recordAnswered(job: string): void {
    this.answeredAt.set(job, this.clock());
  }

  private forgetStaleAnswers(now: number): void {
    this.sweptAt = now;
    for (const [job, at] of this.answeredAt) if (now - at > STARVED_MS) this.answeredAt.delete(job);
  }

  /** What was refused since this was last asked. */
  takeRejectedCounts(): { statusQueries: number; mutations: number } {
    const rejected = { statusQueries: this.rejectedStatusQueries, mutations: this.rejectedMutations };
    this.rejectedStatusQueries = 0;
    this.rejectedMutations = 0;
    return rejected;
  }
}
