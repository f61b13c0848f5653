/** A machine is back within a fraction of a second, and copies of its reports from before arrive late. */
import { CannotRun, runCase, TROUBLE } from '../stand-ins-2/case.mjs';
import { call, sleep } from '../stand-ins-2/http.mjs';
import { ALL, HUNT_WORKERS, leith, until, ZONES } from '../stand-ins-2/leith.mjs';
import { job } from '../stand-ins-2/users.mjs';

const MACHINES = 4;
const BACK_AFTER_MS = 300;

/** How late the copies come, after their sender was back. */
const COPIES_AFTER_MS = 15_000;
const COPY_INTERVAL_MS = 3000;
const IDLE_MS = 16_000;
const WATCH_MS = 6000;

async function play({ record, onEnd }) {
  const { cloud, controllers, users } = await leith({ record, onEnd, workers: HUNT_WORKERS });
  // The workers are up before the controllers: nobody answers them for lease_s, so they go on with session 2.
  for (let index = 0; index < MACHINES; index++) await cloud.add('mid-node', ZONES[index % 2]);
  const workers = [...cloud.workers.values()].map(({ worker }) => worker);
  if (!(await until(() => workers.every((worker) => worker.shift === 2), 30_000, sleep))) throw new CannotRun('the workers have no second session');
  for (const index of ALL) controllers.start(index);
  if (!(await controllers.waitUntilUp(ALL, 20_000))) throw new CannotRun('the controllers are not up');
  await sleep(IDLE_MS);
  const idleUntil = new Map(workers.map((worker) => [worker, worker.sentReports.length]));
  const service = { jobclass: 'logger-ingest', shape: 'standing', rank: 'critical', cores: 12, memory_gb: 9.2, guess_s: 0 };
  const refs = Array.from({ length: 2 * MACHINES }, (_, index) => `run-${String(index).padStart(6, '0')}`);
  for (const ref of refs) if ((await users.submit(job(ref, 'analytics', service))) !== 201) throw new CannotRun(`${ref} was not accepted`);
  const runs = (ref) => workers.filter((worker) => [...worker.tasks.values()].some((task) => task.isOn && task.piece === `${ref}/0`));
  const areAllOn = () => refs.every((ref) => runs(ref).length === 1);
  if (!(await until(areAllOn, 40_000, sleep))) throw new CannotRun('not every job runs');
  await sleep(3000);
  const machine = workers.at(-1);
  const { name } = machine.machine;
  const copies = machine.sentReports.slice(0, idleUntil.get(machine)).filter(({ shift }) => shift === 2);
  if (TROUBLE) await machine.restart(BACK_AFTER_MS);
  await sleep(COPIES_AFTER_MS);
  if (!areAllOn()) throw new CannotRun('not every job runs again');
  record.add(refs.map((ref) => `${ref} on ${runs(ref).map((each) => each.machine.name)}`).join(', '));
  // A job on another machine is cancelled, so that there is room for one.
  await users.cancel(refs.find((ref) => !runs(ref).includes(machine)));
  await sleep(4000);
  for (const copy of TROUBLE ? copies : []) {
    for (const address of controllers.addresses) {
      const response = await call(address, 'POST', '/checkin', copy, { timeoutMs: 4000 });
      record.add(`a copy of ${name}'s report of session ${copy.shift}, number ${copy.tally}, arrives at ${address}: ${response?.status}`);
    }
    await sleep(COPY_INTERVAL_MS);
  }
  await sleep(WATCH_MS);
  return cloud.violations.filter(({ rule }) => rule === 'ran_twice').map(({ rule, what }) => `${rule}: ${what}`);
}

runCase(new URL('./', import.meta.url), play);
