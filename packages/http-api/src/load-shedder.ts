/**
 * Load shedding: decides which user requests are rejected when the process can't serve all of them. Load is measured by the
 * delay of timers, because it includes the CPU time of all other work.
 */
import { TokenBucket } from './token-bucket.js';

/** Above this timer delay, status queries about jobs with a recent response are rejected. */
const BUSY_DELAY_MS = 150;

/** Above this timer delay, workers' heartbeats are delayed too, and only queries about starved jobs are admitted. */
const OVERLOAD_DELAY_MS = 500;

/** A response within this time is recent. Users query a job every 5 s. */
const RECENT_RESPONSE_MS = 4000;

/**
 * A job whose status this controller hasn't sent for this time is starved, and queries about it are admitted even under
 * overload: a job without any response for 75 s counts as forgotten, and the other controllers may be overloaded as well.
 */
const STARVED_MS = 20_000;

/** Queries about starved jobs that are admitted per second under overload. */
const STARVED_QUERIES_PER_S = 8;

/**
 * Rejects status queries first, starting with those about jobs with a recent response, so that no job is without a response
 * for long. Mutations (submissions and cancellations) are rejected only while workers' heartbeats are delayed. A few per
 * second are admitted even then, because clients retry rejected requests, and a rejection costs nearly as much as serving
 * the request.
 */
export class LoadShedder {
  /** the largest recent delay of a timer, which decays with each measurement */
  private timerDelayMs = 0;
  /** when this controller last sent a job's status, by job id; entries of starved jobs are removed */
  private readonly lastResponseAt = new Map<string, number>();
  private lastCleanupAt = 0;
  private readonly starvedQueryBucket: TokenBucket;
  private readonly mutationBucket: TokenBucket;
  private rejectedStatusQueries = 0;
  private rejectedMutations = 0;

  /**
   * @param clock returns milliseconds of a monotonic clock
   * @param mutationsPerS submissions and cancellations that are admitted per second under overload
   */
  constructor(
    private readonly clock: () => number,
    mutationsPerS = 0,
  ) {
    this.starvedQueryBucket = new TokenBucket(STARVED_QUERIES_PER_S, clock);
    this.mutationBucket = new TokenBucket(mutationsPerS, clock);
  }

  /** Records the delay of a timer. Each call halves the recorded delay, unless the new one is larger. */
  recordTimerDelay(ms: number): void {
    this.timerDelayMs = Math.max(ms, this.timerDelayMs / 2);
  }

  /** Whether the timer delay is so large that workers' heartbeats are delayed as well. */
  get isOverloaded(): boolean {
    return this.timerDelayMs > OVERLOAD_DELAY_MS;
  }

  /** Returns whether to serve a submission or cancellation, and counts it as rejected if not. */
  admitMutation(): boolean {
    if (!this.isOverloaded || this.mutationBucket.take()) return true;
    this.rejectedMutations++;
    return false;
  }

  /** Returns whether to serve a query about this job, and counts it as rejected if not. */
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

  /** Records that a query about this job gets a response now. */
  recordStatusResponse(job: string): void {
    this.lastResponseAt.set(job, this.clock());
  }

  /** Returns the numbers of requests rejected since the last call. */
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
