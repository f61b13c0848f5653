/** The monotonic clock, and a wait. */

/** Milliseconds of the monotonic clock, with fractions. Only differences have a meaning. */
export function monotonicMs(): number {
  return Number(process.hrtime.bigint() / 1000n) / 1000;
}

/** Resolves after this long, or later if the process is busy. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
