// Scenarios that several test files start from.
import assert from 'node:assert/strict';

export const MACHINES = 4000;

/** Nothing that is waited for has come for so long: it will not. */
export const PATIENCE_MS = 90_000;

export const LOOK_EACH_MS = 100;

/** Waits until so many are there. A busy machine may take long, as long as some come: only a standstill fails. */
export async function until(what: string, wanted: number, count: () => number | Promise<number>): Promise<void> {
  let limit = -1;
  for (let waited = 0; waited < PATIENCE_MS; waited += LOOK_EACH_MS) {
    const there = await count();
    if (there === wanted) return;
    if (there > limit) waited = 0;
    limit = Math.max(limit, there);
    await new Promise((resolve) => setTimeout(resolve, LOOK_EACH_MS));
  }
  assert.fail(`in vain: ${what}: ${limit} of ${wanted}`);
}
