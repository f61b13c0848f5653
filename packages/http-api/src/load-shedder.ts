/**
 * Load shedding: decides which requests of users are refused when the process can't serve all of them. The measure of load
 * is how late timers fire, because that includes whatever else takes the processor.
 */
import { TokenBucket } from './token-bucket.js';

/** With timers this late, status queries about recently answered jobs are refused. */
const BUSY_DELAY_MS = 150;

/** With timers this late, workers' heartbeats are delayed too, and only queries about starved jobs are admitted. */
const OVERLOAD_DELAY_MS = 500;

/** A job whose status this controller sent within this time is recently answered; users query it every 5 s. */
const RECENT_RESPONSE_MS = 4000;

/**
 * A job whose status this controller hasn't sent for this long is starved, and queries about it are admitted even under
 * overload: a job without any response for 75 s counts as forgotten, and other controllers may be overloaded as well.
 */
const STARVED_MS = 20_000;

/** Queries about starved jobs that are admitted a second under overload. */
const STARVED_QUERIES_PER_S = 8;

/**
 * Status queries are refused first, and fairly: those about recently answered jobs, so that no job goes without a response
 * for long. Mutations (submissions and cancellations) are refused only when workers' heartbeats are delayed, and a few a
 * second are admitted even then: a client repeats what was refused, which costs nearly as much as serving it.
 */
export class LoadShedder {
  /** how late timers fire; the worst delay counts for a while */
  private timerDelayMs = 0;
  /** when this controller last sent a job's status, by job id; starved jobs are removed */
  private readonly lastResponseAt = new Map<string, number>();
  private lastCleanupAt = 0;
  private readonly starvedQueryBucket: TokenBucket;
  private readonly mutationBucket: TokenBucket;
  private rejectedStatusQueries = 0;
  private rejectedMutations = 0;

  /**
   * @param clock milliseconds of a monotonic clock
   * @param mutationsPerS submissions and cancellations that are admitted a second under overload
   */
  constructor(
    private readonly clock: () => number,
    mutationsPerS = 0,
  ) {
    this.starvedQueryBucket = new TokenBucket(STARVED_QUERIES_PER_S, clock);
    this.mutationBucket = new TokenBucket(mutationsPerS, clock);
  }

  /** Records that a timer fired this late. Half of the worst delay so far is forgotten with each call. */
  recordTimerDelay(ms: number): void {
    this.timerDelayMs = Math.max(ms, this.timerDelayMs / 2);
  }

  /** Whether timers are so late that workers' heartbeats are delayed. */
  get isOverloaded(): boolean {
    return this.timerDelayMs > OVERLOAD_DELAY_MS;
  }

  /** Whether to serve a submission or cancellation; counts it as rejected if not. */
  admitMutation(): boolean {
    if (!this.isOverloaded || this.mutationBucket.take()) return true;
    this.rejectedMutations++;
    return false;
  }

  /** Whether to serve a query about this job; counts it as rejected if not. */
  admitStatusQuery(job: string): boolean {
    const now = this.clock();
    if (now - this.lastCleanupAt > STARVED_MS) this.removeStarvedJobs(now);
    if (
      this.timerDelayMs <= BUSY_DELAY_MS ||
      this.isDueForResponse(now - (this.lastResponseAt.get(job) ?? Number.NEGATIVE_INFINITY))
    )
      return true;
    this.rejectedStatusQueries++;
    return false;
  }

  /** Records that a query about this job is being answered. */
  recordStatusResponse(job: string): void {
    this.lastResponseAt.set(job, this.clock());
  }

  /** How many requests were rejected since the last call. */
  takeRejectedCounts(): { statusQueries: number; mutations: number } {
    const rejected = { statusQueries: this.rejectedStatusQueries, mutations: this.rejectedMutations };
    this.rejectedStatusQueries = 0;
    this.rejectedMutations = 0;
    return rejected;
  }

  private isDueForResponse(sinceResponseMs: number): boolean {
    if (!this.isOverloaded) return sinceResponseMs > RECENT_RESPONSE_MS;
    return sinceResponseMs >= STARVED_MS && this.starvedQueryBucket.take();
  }

  private removeStarvedJobs(now: number): void {
    this.lastCleanupAt = now;
    for (const [job, at] of this.lastResponseAt) if (now - at > STARVED_MS) this.lastResponseAt.delete(job);
  }
}
