/** The state service holds the jobs of eleven days, all of them done, and all controllers crash and come back. */
import { runCase, TROUBLE } from '../stand-ins-2/case.mjs';
import { call, sleep } from '../stand-ins-2/http.mjs';
import { ALL, leith, RESTART_DELAY_MS } from '../stand-ins-2/leith.mjs';

/** Leith's jobs come 5.3 + 8.5 + 4.4 = 18.2 a minute: 300,000 in 11.5 days. */
const JOBS = TROUBLE ? 300_000 : 1000;
const JOB_INTERVAL_MS = 60_000 / 18.2;

/** A job about which no question is answered for 75 s counts as forgotten. */
const FORGOTTEN_AFTER_MS = 75_000;
const WATCH_MS = 90_000;
const POLL_INTERVAL_MS = 5000;

const refOf = (index) => `run-${String(index).padStart(6, '0')}`;

/** The records of done jobs, as the program itself writes them (see claim.txt). */
function doneJobs(count) {
  const rows = [];
  const firstAt = Date.now() - count * JOB_INTERVAL_MS;
  for (let index = 0; index < count; index++) {
    const submittedAt = Math.round(firstAt + index * JOB_INTERVAL_MS);
    rows.push([`a/j/${refOf(index)}`, { s: 1, t: submittedAt, n: 20, e: submittedAt + 120_000 }]);
  }
  return rows;
}

async function play({ record, onEnd }) {
  const { state, controllers } = await leith({ record, onEnd });
  state.preload(doneJobs(JOBS));
  record.add(`the state service has ${JOBS} jobs that are done`);
  for (const index of ALL) controllers.start(index);
  controllers.superviseEnds(RESTART_DELAY_MS);

  const asked = [refOf(1), refOf(JOBS >> 1), refOf(JOBS - 1)];
  const answeredAt = new Map(asked.map((ref) => [ref, performance.now()]));
  const longestGapMs = new Map(asked.map((ref) => [ref, 0]));
  const end = performance.now() + WATCH_MS;
  while (performance.now() < end) {
    const polledAt = performance.now();
    await Promise.all(
      asked.flatMap((ref) =>
        controllers.addresses.map(async (address) => {
          const response = await call(address, 'GET', `/v2/runs/${ref}`, undefined, { timeoutMs: 2000 });
          record.add(`user: asks ${address} about ${ref}: ${response ? `${response.status} ${JSON.stringify(response.body)}` : 'no response'}`);
          if (response?.status === 200 && response.body.status === 'done') answeredAt.set(ref, performance.now());
        }),
      ),
    );
    for (const ref of asked) longestGapMs.set(ref, Math.max(longestGapMs.get(ref), performance.now() - answeredAt.get(ref)));
    await sleep(Math.max(0, POLL_INTERVAL_MS - (performance.now() - polledAt)));
  }
  const ends = controllers.nodes.flatMap(({ name, ends: own, log }) => own.map((each) => `${name}: ${each.signal ?? each.code}, ${/FATAL ERROR.*/.exec(log)?.[0] ?? ''}`));
  for (const each of ends) record.add(`ended by itself: ${each}`);
  const breaches = ends.length > 0 ? [`${ends.length} ends of controllers by themselves, the first: ${ends[0]}`] : [];
  for (const [ref, gapMs] of longestGapMs)
    if (gapMs >= FORGOTTEN_AFTER_MS) breaches.push(`forgotten: no question about ${ref} was answered for ${Math.round(gapMs / 1000)} s`);
  return breaches;
}

runCase(new URL('./', import.meta.url), play);
