/** Reports of problems that others cause, and may cause thousands of times a second. */

/** Minimum time between two reports of one kind. */
const REPORT_INTERVAL_MS = 10_000;

/** Reports the first problem at once, and then at most one in each interval, with the number of problems since the last report. */
export class RateLimitedReport<Problem> {
  private count = 0;
  private reportedAt = Number.NEGATIVE_INFINITY;

  /**
   * @param clock returns milliseconds of a monotonic clock
   * @param report writes a report; `count` includes the problem
   */
  constructor(
    private readonly clock: () => number,
    private readonly report: (problem: Problem, count: number) => void,
  ) {}

  /** Counts a problem, and reports it if no other one was reported within the interval. */
  record(problem: Problem): void {
    this.count++;
    const now = this.clock();
    if (now - this.reportedAt < REPORT_INTERVAL_MS) return;
    this.reportedAt = now;
    this.report(problem, this.count);
    this.count = 0;
  }
}
