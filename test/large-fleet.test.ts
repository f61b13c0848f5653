// 900 and 4,000 machines in simulated time, with several controllers.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { job, SimulatedCluster } from './simulation/index.js';
import { LargeFleet } from './simulation/large-fleet.js';

/** Runs 900 machines and 300 services of four replicas through one fault after another; checks that no healthy machine is lost. */
function runFaultSequence(controllerCount: number): void {
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
  const assignmentChanges = cluster.changes.get('g') ?? 0;
  assert.ok(assignmentChanges < 1.1 * machines, `${assignmentChanges} changes to assign ${machines} machines`);
  const teams = ['red', 'blue', 'green', 'pink', 'gold', 'grey', 'teal'];
  for (let index = 0; index < 300; index++) {
    const id = `run-s${index}`;
    cluster.submit(
      job(id, { team: teams[index % 7] as string, shape: 'service', tasks: 4, priority: 3, jobClass: 'serve', spread: true }),
    );
  }
  const runningReplicas = () =>
    Array.from({ length: 300 }, (_, index) => cluster.runningTasks(`run-s${index}`)).reduce((a, b) => a + b, 0);
  cluster.runUntil('all replicas run', () => runningReplicas() === 1200, 60);
  cluster.trace = [];
  const lostMachines = () =>
    cluster.workers
      .filter((worker) => worker.dead && !worker.spot && !failedMachines.has(worker.name))
      .map((worker) => worker.name);
  const failedMachines = new Set<string>();

  // All controllers crash, and again while they start: tasks keep running, and no machine is released.
  cluster.changes.clear();
  for (const wait of [3, 2]) {
    for (const node of cluster.controllers) node.crash();
    cluster.run(wait);
    for (const node of cluster.controllers) node.restart();
    cluster.run(wait);
  }
  cluster.runUntil(
    'all machines answer their new holders',
    () => countVerifiedMachines(cluster) === cluster.workers.filter((worker) => !worker.dead).length,
    30,
  );
  assert.equal(runningReplicas(), 1200);
  assert.deepEqual(lostMachines(), []);
  assert.ok((cluster.changes.get('g') ?? 0) < 20, `${cluster.changes.get('g')} assignments written again without need`);
  assert.ok((cluster.changes.get('h') ?? 0) <= 4 * (controllerCount + 1), `${cluster.changes.get('h')} changes of lease records`);

  // The state service refuses one controller for 30 s.
  const refusedController = cluster.controllers[controllerCount - 1] as (typeof cluster.controllers)[number];
  refusedController.isRefusedByStateService = true;
  cluster.run(30);
  refusedController.isRefusedByStateService = false;
  cluster.run(10);
  assert.equal(runningReplicas(), 1200);
  assert.deepEqual(lostMachines(), []);

  // One zone is partitioned for less than a lease lasts, while machines of the other zone die or hang.
  const isWest = (name: string) => (name.startsWith('n') ? name === 'n1' : (Number(name.slice(1)) - 1000) % 2 === 1);
  cluster.isPartitioned = (a, b) => isWest(a) !== isWest(b);
  const failingWorkers = cluster.workers.filter((worker) => !worker.spot && !worker.dead && !isWest(worker.name)).slice(0, 40);
  failingWorkers.forEach((worker, index) => {
    failedMachines.add(worker.name);
    if (index % 2 === 0) {
      worker.dead = true;
      worker.tasks.clear();
    } else worker.hung = true;
  });
  cluster.run(15);
  cluster.isPartitioned = () => false;
  cluster.run(2);
  for (const worker of failingWorkers) worker.hung = false;
  cluster.runUntil('their tasks run elsewhere', () => runningReplicas() === 1200, 90);
  assert.deepEqual(lostMachines(), []);

  // All spot machines are preempted, half of them without a notice; every controller is restarted in turn.
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
    'all replicas run and all machines answer',
    () =>
      runningReplicas() === 1200 && countVerifiedMachines(cluster) === cluster.workers.filter((worker) => !worker.dead).length,
    60,
  );
  assert.deepEqual(lostMachines(), []);

  // Once the cached images are stored too, unchanged state causes no writes and only small peer messages.
  cluster.run(30);
  cluster.changes.clear();
  cluster.forwardedHeartbeats = 0;
  cluster.statuses = 0;
  cluster.statusBytes = 0;
  cluster.run(20);
  const live = cluster.workers.filter((worker) => !worker.dead).length;
  assert.deepEqual([...cluster.changes], [], 'no writes without changes');
  // Of machines whose shard holder is in the other zone, one heartbeat in five is forwarded in full.
  assert.ok(cluster.forwardedHeartbeats < (live * 20) / 2 / 3, `${cluster.forwardedHeartbeats} heartbeats forwarded`);
  assert.ok(
    cluster.statusBytes / cluster.statuses < 25_000,
    `${Math.round(cluster.statusBytes / cluster.statuses)} bytes a status`,
  );
  // During the whole test the probes leave connections for commands.
  assert.ok(cluster.maxPendingProbes <= 1000 / 8, `${cluster.maxPendingProbes} concurrent probes`);
  for (const node of cluster.controllers) assert.equal(node.controller.writer.queueLength, 0);
}

/** Counts the machines that have answered the holder of their shard. */
function countVerifiedMachines(cluster: SimulatedCluster): number {
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

for (const nodes of [3, 7])
  test(`900 machines, ${nodes} controllers: services survive one fault after another`, () => runFaultSequence(nodes));

const MACHINES = 4000;

/** Numbers of controllers. By hand, for all required sizes: FLEETS=3,7,15 npm test. */
const FLEETS = (process.env.FLEETS ?? '3').split(',').map(Number);

for (const controllers of FLEETS)
  test(`${MACHINES} machines, ${controllers} controllers: start, crashes, a rolling restart, cancellations, loss of a third`, () => {
    const fleet = new LargeFleet({ machines: MACHINES, controllers });
    const { cluster } = fleet;
    fleet.firstStart();
    const assignmentChanges = cluster.changes.get('g') ?? 0;
    assert.ok(assignmentChanges < 1.1 * MACHINES, `${assignmentChanges} changes to assign ${MACHINES} machines`);
    fleet.startServices();
    cluster.trace = [];
    cluster.changes.clear();
    fleet.crashOne(0);
    fleet.crashAll();
    fleet.runUntilServicesRun('services run after the crashes', 1);
    assert.ok((cluster.changes.get('g') ?? 0) < 20, `${cluster.changes.get('g')} assignments written again without need`);
    fleet.rollingRestart();
    fleet.runUntilServicesRun('services run after a rolling restart', 1);
    fleet.check();
    cluster.trace = [];
    fleet.cancelDuringLeaderCrash(300);
    cluster.trace = [];
    fleet.killThird();
    fleet.runUntilServicesRun('all replicas run again', 120);
    fleet.check();
  });
