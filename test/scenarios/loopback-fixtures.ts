/** Fleet size and waits of tests with real processes. */
import assert from 'node:assert/strict';

/** Number of machines of the large loopback fleet. */
export const FLEET_MACHINES = 4000;

/** A wait fails when the count has not grown for this long. */
const STANDSTILL_LIMIT_MS = 90_000;

const POLL_INTERVAL_MS = 100;

/** Waits until `count` returns `wanted`. There is no time limit while the count grows; only a standstill fails. */
export async function waitForCount(what: string, wanted: number, count: () => number | Promise<number>): Promise<void> {
  let highest = -1;
  for (let waited = 0; waited < STANDSTILL_LIMIT_MS; waited += POLL_INTERVAL_MS) {
    const current = await count();
    if (current === wanted) return;
    if (current > highest) waited = 0;
    highest = Math.max(highest, current);
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  assert.fail(`no progress: ${what}: ${highest} of ${wanted}`);
}
