/**
 * Load shedding: which requests of users are refused when more is asked than can be done. How late timers fire is the
 * measure of load, since it counts whatever takes the processor, also from outside this process.
 */
import { TokenBucket } from './token-bucket.js';

/** Timers this late: a job whose status was told here a moment ago is asked to wait. */
const BUSY_DELAY_MS = 150;

/** Timers this late: workers' heartbeats wait too, and only who has gone without an answer for long is served. */
const OVERLOAD_DELAY_MS = 500;

/** A job whose status was told here within this time can wait; users ask every 5 s. */
const RECENTLY_ANSWERED_MS = 4000;

/**
 * Who has gone without an answer for longer is served though much else waits: a job about which
 * nothing is answered for 75 s counts as forgotten, and there may be other controllers like this.
 */
const STARVED_MS = 20_000;

/** So many of these a second, at the most, while workers' heartbeats wait. */
const STARVED_QUERIES_PER_S = 8;

/**
 * Status queries are refused first, and fairly: those about jobs that were answered lately, so that none is unlucky for
 * long. Mutations (submissions and cancellations) are refused only when workers' heartbeats themselves wait, but for a few
 * a second: each that is refused comes again, and costs nearly as much then.
 */
export class LoadShedder {
  /** how late timers fire, the worst of late */
  private timerDelayMs = 0;
  /** when the status of a job was told last, by its id; swept of those that count as starved anyway */
  private readonly answeredAt = new Map<string, number>();
  private sweptAt = 0;
  private readonly starvedQueryBucket: TokenBucket;
  private readonly mutationBucket: TokenBucket;
  private rejectedStatusQueries = 0;
  private rejectedMutations = 0;

  /**
   * @param clock milliseconds of a monotonic clock
   * @param mutationsPerS submissions and cancellations that are admitted though heartbeats wait
   */
  constructor(
    private readonly clock: () => number,
    mutationsPerS = 0,
  ) {
    this.starvedQueryBucket = new TokenBucket(STARVED_QUERIES_PER_S, clock);
    this.mutationBucket = new TokenBucket(mutationsPerS, clock);
  }

  /** A timer fired so much later than it was asked for. Half of the worst delay is forgotten with each call. */
  recordTimerDelay(ms: number): void {
    this.timerDelayMs = Math.max(ms, this.timerDelayMs / 2);
  }

  /** Whether workers' heartbeats wait. */
  get isOverloaded(): boolean {
    return this.timerDelayMs > OVERLOAD_DELAY_MS;
  }

  /** Whether a submission or cancellation is taken now; one that isn't is counted as rejected. */
  admitMutation(): boolean {
    if (!this.isOverloaded || this.mutationBucket.take()) return true;
    this.rejectedMutations++;
    return false;
  }

  /** Whether a query about this job is taken now; one that isn't is counted as rejected. */
  admitStatusQuery(job: string): boolean {
    const now = this.clock();
    if (now - this.sweptAt > STARVED_MS) this.forgetStaleAnswers(now);
    if (this.timerDelayMs <= BUSY_DELAY_MS || this.isDueForAnswer(now - (this.answeredAt.get(job) ?? Number.NEGATIVE_INFINITY)))
      return true;
    this.rejectedStatusQueries++;
    return false;
  }

  /** The query about this job is being answered. */
  recordAnswered(job: string): void {
    this.answeredAt.set(job, this.clock());
  }

  /** What was rejected since the last call. */
  takeRejectedCounts(): { statusQueries: number; mutations: number } {
    const rejected = { statusQueries: this.rejectedStatusQueries, mutations: this.rejectedMutations };
    this.rejectedStatusQueries = 0;
    this.rejectedMutations = 0;
    return rejected;
  }

  private isDueForAnswer(unansweredMs: number): boolean {
    if (!this.isOverloaded) return unansweredMs > RECENTLY_ANSWERED_MS;
    return unansweredMs >= STARVED_MS && this.starvedQueryBucket.take();
  }

  private forgetStaleAnswers(now: number): void {
    this.sweptAt = now;
    for (const [job, at] of this.answeredAt) if (now - at > STARVED_MS) this.answeredAt.delete(job);
  }
}
