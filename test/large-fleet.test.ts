// 900 and 4,000 machines in simulated time, with several controllers.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { job, SimulatedCluster } from './simulation/index.js';
import { LargeFleet } from './simulation/large-fleet.js';

/** Some 900 machines, a service of two replicas on most of them, and everything that can go wrong. */
function roughDay(controllerCount: number): void {
  const names = Array.from({ length: controllerCount }, (_, index) => `n${index}`);
  const cluster = new SimulatedCluster(names, (settings) => ({
    ...settings,
    teams: ['red', 'blue', 'green', 'pink', 'gold', 'grey', 'teal'].map((name) => ({
      name,
      cpus: 0,
      maxCpus: 0,
      gpus: 90,
      maxGpus: 300,
    })),
    cpuShare: 0.4,
    state: { ...settings.state, requestsPerS: 350, writesPerS: 150, writesPerTransaction: 24 },
  }));
  const machines = 900;
  for (let index = 0; index < machines; index++)
    cluster.addMachine(`m${1000 + index}`, 'small', index % 2 === 0 ? 'east' : 'west', index % 10 === 9);
  cluster.runUntilSettled();
  const granted = cluster.changes.get('g') ?? 0;
  assert.ok(granted < 1.1 * machines, `${granted} changes to grant ${machines} machines`);
  const teams = ['red', 'blue', 'green', 'pink', 'gold', 'grey', 'teal'];
  for (let index = 0; index < 300; index++) {
    const id = `run-s${index}`;
    cluster.submit(
      job(id, { team: teams[index % 7] as string, shape: 'service', tasks: 4, priority: 3, jobClass: 'serve', spread: true }),
    );
  }
  const up = () => Array.from({ length: 300 }, (_, index) => cluster.runningTasks(`run-s${index}`)).reduce((a, b) => a + b, 0);
  cluster.runUntil('all replicas run', () => up() === 1200, 60);
  cluster.trace = [];
  const lost = () =>
    cluster.workers.filter((worker) => worker.dead && !worker.spot && !gone.has(worker.name)).map((worker) => worker.name);
  const gone = new Set<string>();

  // All controllers crash, and once more while they start: work goes on, no machine is thrown away.
  cluster.changes.clear();
  for (const wait of [3, 2]) {
    for (const node of cluster.controllers) node.crash();
    cluster.run(wait);
    for (const node of cluster.controllers) node.restart();
    cluster.run(wait);
  }
  cluster.runUntil(
    'all machines answer their new holders',
    () => answering(cluster) === cluster.workers.filter((worker) => !worker.dead).length,
    30,
  );
  assert.equal(up(), 1200);
  assert.deepEqual(lost(), []);
  assert.ok((cluster.changes.get('g') ?? 0) < 20, `${cluster.changes.get('g')} grants written anew for nothing`);
  assert.ok((cluster.changes.get('h') ?? 0) <= 4 * (controllerCount + 1), `${cluster.changes.get('h')} changes of holdings`);

  // A controller is refused by the state service, and comes back.
  const alone = cluster.controllers[controllerCount - 1] as (typeof cluster.controllers)[number];
  alone.isRefusedByStateService = true;
  cluster.run(30);
  alone.isRefusedByStateService = false;
  cluster.run(10);
  assert.equal(up(), 1200);
  assert.deepEqual(lost(), []);

  // A zone is cut off for less than its leases last, while machines of the other die and hang.
  const west = (x: string) => (x.startsWith('n') ? x === 'n1' : (Number(x.slice(1)) - 1000) % 2 === 1);
  cluster.isPartitioned = (a, b) => west(a) !== west(b);
  const hit = cluster.workers.filter((worker) => !worker.spot && !worker.dead && !west(worker.name)).slice(0, 40);
  hit.forEach((worker, index) => {
    gone.add(worker.name);
    if (index % 2 === 0) {
      worker.dead = true;
      worker.tasks.clear();
    } else worker.hung = true;
  });
  cluster.run(15);
  cluster.isPartitioned = () => false;
  cluster.run(2);
  for (const worker of hit) worker.hung = false;
  cluster.runUntil('what stood there runs elsewhere', () => up() === 1200, 90);
  assert.deepEqual(lost(), []);

  // All cheap machines are taken, some without a word; every controller is restarted in turn.
  for (const worker of cluster.workers.filter((candidate) => candidate.spot && !candidate.dead)) {
    if (Number(worker.name.slice(1)) % 20 === 9) worker.preemptionNoticeS = 10;
    else {
      worker.dead = true;
      worker.tasks.clear();
    }
  }
  for (const node of cluster.controllers) {
    node.crash();
    cluster.run(3);
    node.restart();
    cluster.run(6);
  }
  cluster.runUntil(
    'all settled',
    () => up() === 1200 && answering(cluster) === cluster.workers.filter((worker) => !worker.dead).length,
    60,
  );
  assert.deepEqual(lost(), []);

  // What is said and asked doesn't grow with what hasn't changed, once images are stored too.
  cluster.run(30);
  cluster.changes.clear();
  cluster.forwardedHeartbeats = 0;
  cluster.statuses = 0;
  cluster.statusBytes = 0;
  cluster.run(20);
  const live = cluster.workers.filter((worker) => !worker.dead).length;
  assert.deepEqual([...cluster.changes], [], 'nothing changed, nothing is written');
  // A report in five is passed on whole, of machines whose owner sits elsewhere.
  assert.ok(cluster.forwardedHeartbeats < (live * 20) / 2 / 3, `${cluster.forwardedHeartbeats} reports passed on`);
  assert.ok(
    cluster.statusBytes / cluster.statuses < 25_000,
    `${Math.round(cluster.statusBytes / cluster.statuses)} bytes a status`,
  );
  // Over the whole day: no more than leaves connections for commands.
  assert.ok(cluster.maxPendingProbes <= 1000 / 8, `${cluster.maxPendingProbes} questions at once`);
  for (const node of cluster.controllers) assert.equal(node.controller.writer.queueLength, 0);
}

/** Machines that answered whoever holds their share. */
function answering(cluster: SimulatedCluster): number {
  let count = 0;
  for (const worker of cluster.workers) {
    if (worker.dead) continue;
    if (
      cluster.controllers.some(
        (node) =>
          node.controller.shardController.heldShards.has(node.controller.clusterState.machines.get(worker.name)?.shard ?? -1) &&
          node.controller.clusterState.machines.get(worker.name)?.tenure.isVerified,
      )
    )
      count++;
  }
  return count;
}

for (const nodes of [3, 7]) test(`900 machines, ${nodes} controllers, one fault after the other`, () => roughDay(nodes));

const MACHINES = 4000;

/** By hand, for all that is asked of the size: FLEETS=3,7,15 npm test. */
const FLEETS = (process.env.FLEETS ?? '3').split(',').map(Number);

for (const controllers of FLEETS)
  test(`${MACHINES} machines, ${controllers} controllers: start, crashes, a roll, a cancelled burst, a third lost`, () => {
    const fleet = new LargeFleet({ machines: MACHINES, controllers });
    const { cluster } = fleet;
    fleet.firstStart();
    const granted = cluster.changes.get('g') ?? 0;
    assert.ok(granted < 1.1 * MACHINES, `${granted} changes to grant ${MACHINES} machines`);
    fleet.startServices();
    cluster.trace = [];
    cluster.changes.clear();
    fleet.crashOne(0);
    fleet.crashAll();
    fleet.runUntilServicesRun('services run on', 1);
    assert.ok((cluster.changes.get('g') ?? 0) < 20, `${cluster.changes.get('g')} grants written anew for nothing`);
    fleet.rollingRestart();
    fleet.runUntilServicesRun('services run on after a roll', 1);
    fleet.check();
    cluster.trace = [];
    fleet.cancelDuringLeaderCrash(300);
    cluster.trace = [];
    fleet.killThird();
    fleet.runUntilServicesRun('all replicas have another place', 120);
    fleet.check();
  });
