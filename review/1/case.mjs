/**
 * A task is preempted on one machine, its attempt is cleared there, and it runs on another machine. Then the controller that
 * sent its first start ends, and that start, a request that was carried out, is repeated.
 */
import { Cluster, runCase } from '../lib/cluster.mjs';
import { sleep } from '../lib/http.mjs';
import { Relay } from '../lib/relay.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const TASK = 'run-000412/0';

const cluster = new Cluster({
  siteName: 'kolkata-wayfinding-hq',
  recordFile: process.env.RECORD ?? 'record.txt',
  machines: ['salt-lake', 'new-town', 'howrah'].map((yard) => ({ build: 'chota-box', yard })),
  mayRent: () => 1,
});

await runCase(cluster, async () => {
  const relays = new Map();
  await cluster.start(async ({ fleet }) => {
    fleet.onAdded = async (worker) => {
      const relay = new Relay(worker.address);
      relays.set(worker.name, relay);
      worker.publicAddress = await relay.listen('127.0.0.1');
    };
  });
  if (!(await cluster.untilUp())) throw new Error('the controllers did not come up');
  const { fleet } = cluster;
  const isOn = (host) => fleet.on.get(TASK)?.has(host) ?? false;
  const machineOf = () => [...(fleet.on.get(TASK)?.keys() ?? [])][0];

  const array = cluster.job({ ref: 'run-000412', rank: 'best_effort', cores: 4, memory_gb: 3.7 });
  if ((await cluster.submit(array))?.status !== 201) throw new Error('the array was not accepted');
  const first = await cluster.until(machineOf, 30_000);
  if (!first) throw new Error('the task did not start');

  // Work of a higher rank that may only run in this zone takes the machine: the task is stopped, and starts on another machine.
  const service = cluster.job({
    ref: 'run-000413',
    jobclass: 'kiosk-floorserve',
    shape: 'standing',
    rank: 'critical',
    cores: 4,
    memory_gb: 7.2,
    yard: fleet.workers.get(first).yard,
    guess_s: 0,
  });
  if ((await cluster.submit(service))?.status !== 201) throw new Error('the service was not accepted');
  const second = await cluster.until(() => !isOn(first) && machineOf(), 40_000);
  if (!second) throw new Error('the task was not moved');
  await cluster.until(() => ![...fleet.workers.get(first).tasks.values()].some(({ piece }) => piece === TASK), 10_000);
  await sleep(2000);
  if (!isOn(second) || fleet.ranTwice.length > 0) throw new Error('the task does not run on the second machine alone');
  // The service is cancelled: the first machine has room again.
  await cluster.cancel(service.ref);
  await cluster.until(() => fleet.workers.get(first).tasks.size === 0, 10_000);

  const relay = relays.get(first);
  const start = relay.passed.find(({ body, status }) => status === 200 && body?.orders?.some(({ verb, piece }) => verb === 'run' && piece === TASK));
  if (!start) throw new Error('the first start was not seen');
  const holder = [0, 1, 2].map((shard) => cluster.holderOf(shard)).find((controller) => controller !== null && startsOf(controller));
  function startsOf(controller) {
    const attempt = start.body.orders.find(({ piece }) => piece === TASK).try;
    const revision = Math.floor(attempt / 1e6);
    return [0, 1, 2].some((shard) => cluster.state.keys.get(`a/h/${shard}`)?.stamp === revision && cluster.holderOf(shard) === controller);
  }
  if (!holder) throw new Error('the holder is not known');
  if (TROUBLE) {
    holder.signal('SIGKILL');
    await sleep(1000);
    cluster.record('trouble', { repeated: start.body, carriedOutBefore: true, to: first });
    const answer = await relay.repeat(start);
    cluster.record('trouble', { answer: answer?.status, report: answer?.body });
    await sleep(cluster.site.restartMs - 1000);
    holder.start();
  }
  await sleep(15_000);
  const twice = fleet.ranTwice[0];
  return twice ? `ran_twice: while ${twice.piece} is on ${twice.alsoOn}, it starts on ${twice.host}` : null;
});
