/** The monotonic clock. */

/** Milliseconds of the monotonic clock, with fractions. Only differences have a meaning. */
export function monotonicMs(): number {
  return Number(process.hrtime.bigint() / 1000n) / 1000;
}
