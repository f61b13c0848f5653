// Breaks down the processor time of real controllers by function: `node tools/measure.mjs ledger [MACHINES] [SECONDS]`. Three
// controllers run on loopback with workers, services, arrays of short tasks and status queries; V8's profiler samples each phase.
import { mkdtempSync, readdirSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { CloudServer } from '../loopback/cloud-server.js';
import { ControllerProcess, freeAddress } from '../loopback/controller-process.js';
import { StateServer } from '../loopback/state-server.js';
import { WorkerFleet } from '../loopback/worker-fleet.js';
import { submission } from '../simulation/fixtures.js';
import { job } from '../simulation/index.js';
import { type CpuProfile, formatShares } from './profile.js';

const NAMES = ['n0', 'n1', 'n2'];
const ZONES = ['east', 'west', 'south'];
const MEMORY_MB = 127;
const SOCKETS = 1200;
const PROCESSOR_SHARE = 0.068;
const WRITES_PER_S = 60;

const MACHINES_PER_SERVICE = 3;
const REPLICAS_PER_SERVICE = 4;
const ARRAY_INTERVAL_MS = 4000;
const ARRAY_TASKS = 60;
const ARRAY_TASK_MS = 20_000;
const QUERIES_PER_S = 40;
const UP_POLL_INTERVAL_MS = 10;
const SETTLE_MS = 20_000;

const machines = Number(process.argv[2] ?? 460);
const phaseS = Number(process.argv[3] ?? 20);
/** false with the argument `plain`: the profiler's own cost exceeds the load that it measures */
const isProfiled = process.argv[4] !== 'plain';

const sleep = (ms: number) => new Promise((done) => setTimeout(done, ms));

const folder = mkdtempSync(join(tmpdir(), 'archpost-ledger-'));
const preload = resolve('test/measure/profile-preload.cjs');
const state = new StateServer();
const publicAddresses = await Promise.all(NAMES.map(() => freeAddress()));
const peerAddresses = await Promise.all(NAMES.map(() => freeAddress()));
const fleet = new WorkerFleet(NAMES, publicAddresses);
fleet.runMs = (task) => (task.startsWith('run-a') ? ARRAY_TASK_MS : Number.POSITIVE_INFINITY);
const cloud = new CloudServer(() => fleet.workers.map(({ machine }) => machine));
await fleet.add(machines, ZONES);
const [cloudAddress, stateAddress] = [await cloud.listen(), await state.listen()];
const controllers = NAMES.map(
  (name, index) =>
    new ControllerProcess({
      name,
      zone: ZONES[index] as string,
      publicAddress: publicAddresses[index] as string,
      peerAddress: peerAddresses[index] as string,
      others: NAMES.flatMap((other, candidate) =>
        candidate === index
          ? []
          : [{ name: other, zone: ZONES[candidate] as string, peerAddress: peerAddresses[candidate] as string }],
      ),
      cloud: cloudAddress,
      state: stateAddress,
      zones: ZONES,
      memoryMb: MEMORY_MB,
      sockets: SOCKETS,
      writesPerS: WRITES_PER_S,
      processorShare: PROCESSOR_SHARE,
    }),
);

function environment(profileStart: 'yes' | 'no'): Record<string, string> {
  if (!isProfiled) return {};
  return { NODE_OPTIONS: `--require ${preload}`, PROFILE_FOLDER: folder, PROFILE_START: profileStart };
}

/** File names of the profiles that were read. */
const readNames = new Set<string>();

/** Waits for `count` new profiles. Returns all that were written since the last call. */
async function readNewProfiles(count: number): Promise<CpuProfile[]> {
  for (;;) {
    const names = readdirSync(folder).filter((name) => !readNames.has(name));
    if (names.length >= count) {
      await sleep(200);
      for (const name of names) readNames.add(name);
      return names.map((name) => JSON.parse(readFileSync(join(folder, name), 'utf8')));
    }
    await sleep(100);
  }
}

const processorTotalsMs = () => controllers.map((controller) => controller.processorMs());

async function measurePhase(name: string, step: () => Promise<void>): Promise<void> {
  if (isProfiled) for (const controller of controllers) controller.signal('SIGUSR2');
  const before = processorTotalsMs();
  const from = Date.now();
  await step();
  const seconds = (Date.now() - from) / 1000;
  const after = processorTotalsMs();
  const memory = controllers.map((controller) => controller.residentMb().toFixed(0)).join(', ');
  const perS = after.map((ms, index) => ((ms - (before[index] as number)) / seconds).toFixed(1)).join(', ');
  console.log(`\n## ${name}: ${perS} processor ms per second, ${memory} MB`);
  if (!isProfiled) return;
  for (const controller of controllers) controller.signal('SIGUSR2');
  for (const line of formatShares(await readNewProfiles(controllers.length))) console.log(line);
}

async function queryStatuses(seconds: number, jobs: () => string[]): Promise<void> {
  const until = Date.now() + seconds * 1000;
  for (let index = 0; Date.now() < until; index++) {
    const names = jobs();
    const address = publicAddresses[index % NAMES.length] as string;
    void fleet.get(address, `/v2/runs/${names[index % names.length]}`);
    await sleep(1000 / QUERIES_PER_S);
  }
}

const submitted: string[] = [];
let arrays = 0;
function submit(id: string, spec: Parameters<typeof job>[1]): Promise<unknown> {
  submitted.push(id);
  return fleet.post(publicAddresses[submitted.length % NAMES.length] as string, '/v2/runs', submission(job(id, spec)));
}

for (const controller of controllers) controller.start([], environment('no'));
for (const controller of controllers) while (!(await controller.isUp())) await sleep(UP_POLL_INTERVAL_MS);
fleet.start();
const assignedCount = () => [...state.state.keys.keys()].filter((key) => key.startsWith('a/g/')).length;
while (assignedCount() < machines) await sleep(100);
await sleep(SETTLE_MS / 4);
await measurePhase('idle machines', () => sleep(phaseS * 1000));
await measurePhase('services submitted', async () => {
  for (let index = 0; index < machines / MACHINES_PER_SERVICE; index++)
    await submit(`run-s${index}`, { shape: 'service', tasks: REPLICAS_PER_SERVICE, priority: 3, cpus: 1, memory: 1 });
  await sleep(SETTLE_MS);
});
await measurePhase('running services, status queries', () => queryStatuses(phaseS, () => submitted));
const arrayTimer = setInterval(
  () => void submit(`run-a${arrays++}`, { tasks: ARRAY_TASKS, cpus: 0.5, memory: 0.5, priority: 1 }),
  ARRAY_INTERVAL_MS,
);
await sleep(SETTLE_MS);
await measurePhase('services and arrays, status queries', () => queryStatuses(phaseS, () => submitted.slice(-150)));
await measurePhase('crash and restart of one controller', async () => {
  const crashed = controllers[2] as ControllerProcess;
  if (isProfiled) {
    crashed.signal('SIGUSR2');
    await readNewProfiles(1);
  }
  crashed.stop();
  await sleep(3000);
  crashed.start([], environment('yes'));
  while (!(await crashed.isUp())) await sleep(UP_POLL_INTERVAL_MS);
  await queryStatuses(phaseS, () => submitted.slice(-150));
});
clearInterval(arrayTimer);
for (const controller of controllers) controller.stop();
process.exit(0);
