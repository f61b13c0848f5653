// How a real controller does with so many workers on loopback: time to `/up`, memory and processor time.
import { CloudServer } from '../loopback/cloud-server.js';
import { ControllerProcess, freeAddress } from '../loopback/controller-process.js';
import { StateServer } from '../loopback/state-server.js';
import { WorkerFleet } from '../loopback/worker-fleet.js';

const machines = Number(process.argv[2] ?? 4000);
const memoryMb = Number(process.argv[3] ?? 512);
const sockets = Number(process.argv[4] ?? Math.ceil(machines * 1.35) + 200);
const state = new StateServer();
const publicAddress = await freeAddress();
const fleet = new WorkerFleet(['n0'], [publicAddress]);
const cloud = new CloudServer(() => fleet.workers.map((worker) => worker.machine));
await fleet.add(machines, ['east', 'west']);
const controller = new ControllerProcess({
  name: 'n0',
  zone: 'east',
  publicAddress,
  peerAddress: await freeAddress(),
  others: [],
  cloud: await cloud.listen(),
  state: await state.listen(),
  zones: ['east', 'west'],
  memoryMb,
  sockets,
  writesPerS: 2000,
});
const sleep = (ms: number) => new Promise((r) => setTimeout(r, ms));
const t0 = Date.now();
controller.start();
while (!(await controller.isUp())) await sleep(20);
console.log('up after', Date.now() - t0, 'ms, rss', controller.residentMb().toFixed(0));
fleet.start();
const granted = () => [...state.state.keys.keys()].filter((k) => k.startsWith('a/g/')).length;
for (let i = 0; granted() < machines && !controller.ended && i < 40; i++) {
  await sleep(500);
  if (i % 8 === 7)
    console.log(
      granted(),
      fleet.workers.reduce((n, w) => n + w.answered, 0),
      JSON.stringify(controller.log.slice(-3)).slice(0, 600),
    );
}
console.log('granted', granted(), 'after', Date.now() - t0, 'rss', controller.residentMb().toFixed(0), controller.ended);
for (let i = 0; i < 4 && !controller.ended; i++) {
  const c = controller.processorMs();
  const a = fleet.workers.reduce((n, w) => n + w.answered, 0);
  await sleep(5000);
  console.log(
    'rss',
    controller.residentMb().toFixed(0),
    'cpu ms/s',
    ((controller.processorMs() - c) / 5).toFixed(0),
    'answered/s',
    (fleet.workers.reduce((n, w) => n + w.answered, 0) - a) / 5,
  );
}
for (const l of controller.log
  .filter((l) => ['heap', 'settings are short', 'process', 'started'].includes(String(l.msg)) || Number(l.level) >= 40)
  .slice(-14))
  console.log(JSON.stringify(l).slice(0, 250));
controller.stop();
await sleep(300);
const t1 = Date.now();
controller.start();
while (!(await controller.isUp())) await sleep(10);
console.log('restart: up after', Date.now() - t1);
controller.stop();
fleet.close();
cloud.close();
state.close();
process.exit(0);
