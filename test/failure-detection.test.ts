// Failure detection: whether a silence is caused by a machine, by the partition of a zone, or by the controller itself.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { deadWorkers } from './scenarios/on-call-scenarios.js';
import { workerRunning } from './scenarios/partition-scenarios.js';
import {
  assertGoldenTrace,
  holderOf,
  job,
  SimulatedCluster,
  type SimulatedController,
  shardOf,
  smallCluster,
} from './simulation/index.js';

test('a spot machine with a preemption notice is drained, and its service task is restarted on another machine', () => {
  const cluster = smallCluster(6);
  cluster.submit(job('run-n', { shape: 'service', priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-n') === 1);
  const worker = cluster.workers.find((candidate) => candidate.name === cluster.machinesRunning('run-n')[0]);
  assert.ok(worker);
  worker.preemptionNoticeS = 10;
  cluster.runUntil(
    'the service runs on another machine',
    () => cluster.runningTasks('run-n') === 1 && !cluster.machinesRunning('run-n').includes(worker.name),
    8,
  );
});

test('a machine whose heartbeats arrive but that no command reaches is released, and its work is restarted elsewhere', () => {
  const cluster = smallCluster(8);
  cluster.submit(job('run-w', { shape: 'service', priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-w') === 1);
  const worker = workerRunning(cluster, 'run-w');
  cluster.losesControllerMessages = (_node, machine) => machine === worker.name;
  cluster.runUntil('the machine is released', () => worker.dead, 40);
  cluster.runUntil('the service runs elsewhere', () => cluster.runningTasks('run-w') === 1, 20);
  assert.deepEqual(
    cluster.workers.filter((candidate) => candidate.dead).map((candidate) => candidate.name),
    [worker.name],
  );
  assertGoldenTrace(cluster, 'machine-unreachable-for-commands');
});

test('a controller that reaches no worker gives up its shard, releases no machine, and gets the shard back once', () => {
  const cluster = smallCluster(9);
  cluster.submit(job('run-v', { shape: 'service', tasks: 2, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-v') === 2);
  const shard = shardOf(cluster, 'run-v');
  const cutOffController = holderOf(cluster, shard);
  const tokens = () => cluster.controllers.map((node) => node.controller.clusterState.leaseOf(shard)?.revision ?? 0);
  cluster.losesControllerMessages = (controller) => controller === cutOffController;
  cluster.runUntil(
    'another controller holds the shard',
    () => holderOf(cluster, shard) !== cutOffController && holderOf(cluster, shard) !== '',
    30,
  );
  cluster.submit(job('run-u', { team: cluster.specs.get('run-v')?.team ?? '', estimatedRunS: 3 }));
  cluster.runUntil('the new holder completes a job', () => cluster.finished.has('run-u/0'), 30);
  cluster.run(20);
  const tokensWhileCutOff = tokens();
  cluster.losesControllerMessages = () => false;
  cluster.runUntil('the preferred holder has the shard again', () => holderOf(cluster, shard) === cutOffController, 40);
  const tokensAfterReturn = tokens();
  cluster.run(30);
  assert.deepEqual(tokens(), tokensAfterReturn, 'the shard does not change its holder again');
  assert.notDeepEqual(tokensAfterReturn, tokensWhileCutOff);
  assert.deepEqual(
    cluster.workers.filter((candidate) => candidate.dead),
    [],
  );
  assert.equal(cluster.runningTasks('run-v'), 2);
});

test('in a zone that is also partitioned from the state service, tasks end with their leases and restart elsewhere after the release', () => {
  const cluster = smallCluster(8);
  cluster.submit(job('run-z', { shape: 'service', tasks: 6, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-z') === 6);
  const isWest = (name: string) => name === 'n1' || cluster.workers.find((worker) => worker.name === name)?.zone === 'west';
  assert.ok(cluster.machinesRunning('run-z').some(isWest));
  cluster.trace = [];
  cluster.isPartitioned = (a, b) => isWest(a) !== isWest(b);
  cluster.controller('n1').isRefusedByStateService = true;
  cluster.run(30);
  assert.equal(cluster.workers.filter((worker) => worker.dead).length, 0, 'a partition of 30 s causes no release');
  cluster.runUntil('tasks have ended with their leases', () => cluster.runningTasks('run-z') < 6, 20);
  cluster.runUntil('all run again', () => cluster.runningTasks('run-z') === 6, 40);
  const lines = cluster.trace.map((line) => line.trim().split(' ').slice(1).join(' '));
  for (const worker of cluster.workers.filter((candidate) => candidate.dead)) {
    assert.ok(
      isWest(worker.name) &&
        lines.indexOf(`${worker.name} kills its tasks: lease expired`) < lines.indexOf(`${worker.name} is released`),
    );
  }
  assertGoldenTrace(cluster, 'zone-partitioned-from-everything');
});

test('a controller that loses contact with all its workers releases none, then or later, and other controllers renew their leases', () => {
  const cluster = new SimulatedCluster(['n0', 'n1', 'n2'], (settings) => ({ ...settings, teams: settings.teams.slice(0, 1) }));
  for (let index = 0; index < 40; index++) cluster.addMachine(`m${100 + index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.runUntilSettled();
  cluster.submit(job('run-k', { shape: 'service', tasks: 60, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-k') === 60);
  cluster.run(10);
  cluster.trace = [];
  // Neither heartbeats nor responses pass for longer than a lease; the controller still reaches the other controllers and the
  // state service.
  const cutOffController = holderOf(cluster, shardOf(cluster, 'run-k'));
  cluster.isPartitioned = (a, b) =>
    (a === cutOffController && b.startsWith('m')) || (b === cutOffController && a.startsWith('m'));
  cluster.run(30);
  cluster.isPartitioned = () => false;
  cluster.run(30);
  assert.deepEqual(
    cluster.trace.filter((line) => /is released|lease expired/.test(line)),
    [],
  );
  assert.equal(cluster.runningTasks('run-k'), 60);
});

test("a machine that was silent for 3 s, and then while its holder's process was paused, is not released", () => {
  const cluster = smallCluster(12);
  cluster.submit(job('run-v', { shape: 'service', tasks: 2, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-v') === 2);
  const owner = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-v')));
  const machinesOfShard = [...owner.controller.clusterState.machines.values()].filter(
    (machine) => machine.shard === shardOf(cluster, 'run-v'),
  );
  const worker = cluster.workers.find(
    (candidate) =>
      machinesOfShard.some((machine) => machine.name === candidate.name) &&
      !cluster.machinesRunning('run-v').includes(candidate.name),
  );
  assert.ok(worker);
  worker.hung = true;
  cluster.run(3);
  cluster.submit(job('run-k', { tasks: 2, estimatedRunS: 60 }));
  cluster.runUntil(
    'a command is pending',
    () => machinesOfShard.some((machine) => machine.name !== worker.name && machine.tenure.pendingCommandId !== null),
    5,
  );
  owner.pause();
  cluster.run(6.5);
  owner.resume();
  cluster.run(1);
  worker.hung = false;
  cluster.run(10);
  assert.deepEqual(deadWorkers(cluster), []);
});

// By then each worker has a new session, which its first probe response reports. A worker counted as silent until its second
// probe, although its heartbeats arrived.
test('a first start that takes longer than the leases last releases no machine', () => {
  const cluster = new SimulatedCluster(['n0'], (settings) => ({
    ...settings,
    cpuShare: 0.02,
    state: { ...settings.state, writesPerS: 20 },
  }));
  for (let index = 0; index < 500; index++) cluster.addMachine(`m${index}`);
  cluster.runUntil(
    'all machines are verified',
    () =>
      cluster.workers.every(
        (worker) => cluster.controllers[0]?.controller.clusterState.machines.get(worker.name)?.tenure.isVerified,
      ),
    120,
  );
  assert.equal(cluster.workers.filter((worker) => worker.dead).length, 0);
});

// No heartbeats had reached the new leader yet: within a second 71 of 100 machines were released.
test('the first leader of machines that have been up for minutes releases none of them', () => {
  const cluster = new SimulatedCluster();
  cluster.bootTimeMs = () => 1000;
  for (const node of cluster.controllers) node.crash();
  for (let index = 0; index < 60; index++) cluster.addMachine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.run(300);
  for (const node of cluster.controllers) node.restart();
  for (const worker of cluster.workers) worker.nextHeartbeatAt = cluster.now + 4000;
  cluster.runUntilSettled();
  cluster.run(20);
  assert.deepEqual(
    cluster.workers.filter((worker) => worker.dead),
    [],
  );
});

test('a controller that lost contact with its workers regains it though a quarter of them died meanwhile', () => {
  const cluster = new SimulatedCluster(['n0']);
  for (let index = 0; index < 16; index++) cluster.addMachine(`m${index}`);
  cluster.runUntilSettled();
  cluster.submit(job('run-x', { shape: 'service', tasks: 16, priority: 3 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-x') === 16, 30);
  cluster.losesControllerMessages = () => true;
  const node = cluster.controllers[0] as SimulatedController;
  cluster.submit(job('run-y', { tasks: 16 }));
  cluster.runUntil('the controller reaches no worker', () => !node.controller.reachesWorkers(), 30);
  // The workers that are probed first.
  for (const index of [0, 4, 8, 12]) {
    const worker = cluster.workers[index];
    if (worker) worker.dead = true;
  }
  cluster.losesControllerMessages = () => false;
  cluster.runUntil('the controller reaches workers again', () => node.controller.reachesWorkers(), 30);
  assert.ok(shardOf(cluster, 'run-x') >= 0);
});
