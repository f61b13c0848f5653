/** The monotonic clock. */

/** Returns the milliseconds of the monotonic clock, with fractions. Only differences are meaningful. */
export function monotonicMs(): number {
  return Number(process.hrtime.bigint() / 1000n) / 1000;
}
