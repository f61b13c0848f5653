/** What tests with real processes wait for, and how long. */
import assert from 'node:assert/strict';

/** Machines of the large fleet on loopback. */
export const FLEET_MACHINES = 4000;

/** A wait fails when nothing has come for this long. */
const STANDSTILL_LIMIT_MS = 90_000;

const POLL_INTERVAL_MS = 100;

/** Waits until the count is reached. It may take long while the count grows: only a standstill fails. */
export async function waitForCount(what: string, wanted: number, count: () => number | Promise<number>): Promise<void> {
  let highest = -1;
  for (let waited = 0; waited < STANDSTILL_LIMIT_MS; waited += POLL_INTERVAL_MS) {
    const present = await count();
    if (present === wanted) return;
    if (present > highest) waited = 0;
    highest = Math.max(highest, present);
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  assert.fail(`in vain: ${what}: ${highest} of ${wanted}`);
}
