/** The clock that durations are measured by, and waiting. */

/** Milliseconds of the monotonic clock, with fractions; its start has no meaning. */
export function monotonicMs(): number {
  return Number(process.hrtime.bigint() / 1000n) / 1000;
}

/** Resolves after this long, or later when the process is busy or stands still. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
