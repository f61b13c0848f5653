// Measures memory, sockets and processor time of one real controller with workers on loopback:
// `node tools/measure.mjs loopback MACHINES MEMORY_MB [SOCKETS]`.

import { singleController } from '../loopback/single-controller.js';
import { submission } from '../simulation/fixtures.js';
import { job } from '../simulation/index.js';

const WINDOWS = 4;
const WINDOW_MS = 5000;
const POLL_INTERVAL_MS = 100;
const MACHINES_PER_SERVICE = 3;
const REPLICAS_PER_SERVICE = 4;

const machines = Number(process.argv[2] ?? 4000);
const memoryMb = Number(process.argv[3] ?? 512);
const sockets = Number(process.argv[4] ?? Math.ceil(machines * 1.35) + 200);

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

const { state, cloud, fleet, controller, publicAddress } = await singleController({ machines, memoryMb, sockets });

async function startAndWait(): Promise<number> {
  const from = Date.now();
  controller.start();
  while (!(await controller.isUp())) await sleep(10);
  return Date.now() - from;
}

async function printUsage(what: string): Promise<void> {
  for (let index = 0; index < WINDOWS && !controller.ended; index++) {
    const before = controller.processorMs();
    const acceptedBefore = fleet.workers.reduce((count, worker) => count + worker.acceptedHeartbeats, 0);
    await sleep(WINDOW_MS);
    const perS = (value: number) => Math.round((value * 1000) / WINDOW_MS);
    const heartbeats = fleet.workers.reduce((count, worker) => count + worker.acceptedHeartbeats, 0) - acceptedBefore;
    console.log(
      `${what}: ${controller.residentMb().toFixed(0)} MB, ${controller.openSockets()} sockets, ` +
        `${perS(controller.processorMs() - before)} processor ms per second, ${perS(heartbeats)} heartbeats per second`,
    );
  }
}

console.log(`up after ${await startAndWait()} ms with ${controller.residentMb().toFixed(0)} MB`);
fleet.start();
const assignedCount = () => [...state.state.keys.keys()].filter((key) => key.startsWith('a/g/')).length;
const from = Date.now();
while (assignedCount() < machines && !controller.ended) await sleep(POLL_INTERVAL_MS);
console.log(`${assignedCount()} machines assigned after ${Date.now() - from} ms`);
await printUsage('idle');
for (let index = 0; index < machines / MACHINES_PER_SERVICE; index++) {
  const service = job(`run-s${index}`, { shape: 'service', tasks: REPLICAS_PER_SERVICE, priority: 3, cpus: 1, memory: 1 });
  await fleet.post(publicAddress, '/v2/runs', submission(service));
}
await printUsage('services');
const tasks = fleet.workers.reduce((count, worker) => count + worker.tasks.size, 0);
console.log(`${tasks} tasks run, ${cloud.releasedMachines.size} machines were released`);
controller.stop();
await sleep(WINDOW_MS / 10);
console.log(`up again after ${await startAndWait()} ms, with ${state.state.keys.size} keys`);
process.exit(0);
