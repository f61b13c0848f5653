export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Milliseconds of the steady clock. */
export function monotonicMs(): number {
  return Number(process.hrtime.bigint() / 1000n) / 1000;
}
