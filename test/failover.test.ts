// Failover: another controller acquires a shard whose holder crashed or paused; nothing runs twice, and nothing is lost.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Controller } from '@archpost/controller';
import { holderOfJob } from './scenarios/failover-scenarios.js';
import {
  assertGoldenTrace,
  holderOf,
  job,
  SimulatedCluster,
  type SimulatedController,
  settings,
  smallCluster,
} from './simulation/index.js';

test('failover with a silent worker: its task is started elsewhere only once the machine is released', () => {
  const cluster = smallCluster(6);
  cluster.submit(job('run-s', { shape: 'service', priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-s') === 1);
  const holder = holderOfJob(cluster, 'run-s');
  const machine = cluster.machinesRunning('run-s')[0] as string;

  cluster.isCloudDown = true;
  cluster.controller(holder).crash();
  const worker = cluster.workers.find((candidate) => candidate.name === machine);
  assert.ok(worker);
  worker.hung = true;

  cluster.run(30);
  assert.deepEqual(cluster.machinesRunning('run-s'), [machine], 'nothing proves that it is gone yet');

  cluster.isCloudDown = false;
  cluster.runUntil(
    'started elsewhere',
    () => cluster.runningTasks('run-s') === 1 && cluster.machinesRunning('run-s')[0] !== machine,
    30,
  );

  const lines = cluster.trace.join('\n');
  assert.ok(lines.indexOf(`${machine} is released`) < lines.lastIndexOf('starts run-s'));
  assertGoldenTrace(cluster, 'takeover-with-a-silent-worker');
});

test('a late transaction of a dead holder changes nothing', () => {
  const cluster = smallCluster(6);
  const lateWrites: (() => void)[] = [];
  cluster.submit(job('run-t', { tasks: 2, estimatedRunS: 3 }));
  const holder = holderOfJob(cluster, 'run-t');

  cluster.losesTransactionResponse = (transaction, apply) => {
    if (!transaction.writes.some((write) => 'put' in write && /^a\/[jp]\/run-t/.test(write.put))) return false;
    lateWrites.push(apply);
    return true;
  };
  cluster.runUntil('its end was to be written', () => lateWrites.length > 0, 30);
  cluster.controller(holder).crash();
  cluster.losesTransactionResponse = null;
  cluster.run(1);
  cluster.controller(holder).restart();
  cluster.runUntil('done again', () => cluster.queryStatus('run-t') === 'done', 40);

  const before = JSON.stringify(cluster.stateService.rows());
  for (const apply of lateWrites) apply();

  assert.equal(JSON.stringify(cluster.stateService.rows()), before);
  assertGoldenTrace(cluster, 'late-transaction');
});

test("a gang that was partly started when its shard's holder crashed runs whole, once", () => {
  const cluster = new SimulatedCluster();
  for (let index = 0; index < 4; index++) cluster.addMachine(`m${index}`, 'small', 'east');
  cluster.runUntilSettled();
  cluster.submit(job('run-g', { shape: 'gang', tasks: 4, cpus: 4, estimatedRunS: 10, priority: 2 }));
  cluster.runUntil('a member started', () => cluster.machinesRunning('run-g').length > 0, 40);

  cluster.controller(holderOfJob(cluster, 'run-g')).crash();
  cluster.run(4);
  cluster.controllers.find((node) => !node.up)?.restart();

  cluster.runUntil('done', () => cluster.queryStatus('run-g') === 'done', 90);
  assertGoldenTrace(cluster, 'gang-partly-started');
});

test('quota holds while allocations are unverified after a failover', () => {
  const cluster = new SimulatedCluster();
  cluster.addMachine('g0', 'big', 'east');
  cluster.addMachine('g1', 'big', 'west');
  cluster.addMachine('g2', 'big', 'east');
  cluster.runUntilSettled();
  // Team green may use 8 GPUs: one job of 8 runs, another waits for it.
  cluster.submit(job('run-q', { team: 'green', shape: 'gang', gpus: 8, cpus: 40, estimatedRunS: 60, priority: 2 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-q') === 1, 40);

  cluster.isCloudDown = true;
  const worker = cluster.workers.find((candidate) => candidate.name === cluster.machinesRunning('run-q')[0]);
  assert.ok(worker);
  const owner = cluster.controller(holderOfJob(cluster, 'run-q'));
  owner.crash();
  worker.hung = true;

  cluster.submit(job('run-r', { team: 'green', shape: 'gang', gpus: 8, cpus: 40, estimatedRunS: 5, priority: 2 }));
  cluster.run(3);
  owner.restart();
  cluster.run(30);

  assert.equal(cluster.runningTasks('run-r'), 0);

  cluster.isCloudDown = false;
  cluster.runUntil('its turn', () => cluster.runningTasks('run-r') === 1, 120);
  assertGoldenTrace(cluster, 'quota-with-unresolved-places');
});

test('the leader and the holders change ten times in two minutes, twice inside an outage: work runs once and to its end', () => {
  const cluster = smallCluster(8);
  for (let index = 0; index < 6; index++)
    cluster.submit(job(`run-t${index}`, { team: ['red', 'blue', 'green'][index % 3] as string, tasks: 3, estimatedRunS: 25 }));
  cluster.submit(job('run-v', { shape: 'service', tasks: 2, priority: 3, jobClass: 'serve' }));

  for (let index = 0; index < 10; index++) {
    cluster.isStateServiceDown = index === 3 || index === 4;
    const ends = cluster.controller(index % 2 === 0 ? holderOf(cluster, 'lead') || 'n2' : holderOf(cluster, index % 3) || 'n0');
    ends.crash();
    cluster.run(index % 4 === 0 ? 0.3 : 3);
    ends.restart();
    cluster.run(9);
  }

  for (let index = 0; index < 6; index++) cluster.runUntil('done', () => cluster.queryStatus(`run-t${index}`) === 'done', 120);
  assert.equal(cluster.runningTasks('run-v'), 2);
});

test('tasks of one array end far apart, and the holder crashes in between: what is done is not run again', () => {
  const cluster = smallCluster(1);
  // One machine, room for one: they run one after the other.
  cluster.submit(job('run-f', { tasks: 3, cpus: 4, estimatedRunS: 8 }));

  for (let index = 1; index <= 3; index++) {
    cluster.runUntil('one more ended', () => cluster.finished.size === index, 60);
    const owner = cluster.controller(holderOf(cluster, 0));
    // At once after the end, or when it is known and what was to be stored of it is lost.
    cluster.losesTransactionResponse = (transaction) =>
      transaction.writes.some((write) => 'put' in write && /^a\/[pj]\//.test(write.put));
    cluster.run(index === 1 ? 0 : 1.5);
    cluster.losesTransactionResponse = null;
    owner.crash();
    cluster.run(0.3);
    owner.restart();
    cluster.run(2);
  }

  cluster.runUntil('done', () => cluster.queryStatus('run-f') === 'done', 60);
  for (let index = 0; index < 3; index++)
    assert.equal(cluster.trace.filter((line) => line.includes(`starts run-f/${index}`)).length, 1);
  assertGoldenTrace(cluster, 'ends-far-apart');
});

test('all controllers crash and one is back within a second, the others later; then a shard changes its holder to and fro', () => {
  const cluster = smallCluster(8);
  cluster.submit(job('run-v', { shape: 'service', tasks: 3, priority: 3, jobClass: 'serve' }));
  cluster.submit(job('run-a', { team: 'blue', tasks: 4, estimatedRunS: 40 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-v') === 3 && cluster.runningTasks('run-a') === 4);

  for (let round = 0; round < 3; round++) {
    for (const node of cluster.controllers) node.crash();
    cluster.run(0.3);
    (cluster.controllers[round] as SimulatedController).restart();
    cluster.run(round === 1 ? 8 : 0.4);
    for (const node of cluster.controllers) if (!node.up) node.restart();
    cluster.run(5);
  }

  cluster.runUntil('done', () => cluster.queryStatus('run-a') === 'done', 90);
  assert.equal(cluster.runningTasks('run-v'), 3);
});

test('all controllers are away for longer than a lease: what died with it runs again, once', () => {
  const cluster = smallCluster(6);
  cluster.submit(job('run-v', { shape: 'service', tasks: 2, priority: 3, jobClass: 'serve' }));
  cluster.submit(job('run-a', { team: 'blue', tasks: 3, estimatedRunS: 30 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-v') === 2 && cluster.runningTasks('run-a') === 3);

  for (const node of cluster.controllers) node.crash();
  cluster.run(20);

  assert.equal(cluster.runningTasks('run-v') + cluster.runningTasks('run-a'), 0);

  for (const node of cluster.controllers) node.restart();

  cluster.runUntil('done', () => cluster.queryStatus('run-a') === 'done', 90);
  assert.equal(cluster.runningTasks('run-v'), 2);
  assert.deepEqual(
    cluster.workers.filter((worker) => worker.dead),
    [],
  );
});

// A rename by tool had left the two sides of the move's flag with different names: what was known from the old shard stayed.
test('what is known of a machine does not outlive its move to another shard', () => {
  const core = new Controller(settings('n0'), 'boot');
  const assignment = (shard: number) => ({ s: shard, a: 'm0:1', t: 'std', z: 'za', sp: false });
  core.replica.set('a/g/m0', assignment(0), 1);
  const machine = core.clusterState.machines.get('m0');
  assert.ok(machine);
  const tenure = machine.tenure;

  core.replica.set('a/g/m0', { ...assignment(0), mv: 1 }, 2);
  assert.equal(machine.tenure, tenure, 'a move that is ordered changes nothing yet');

  core.replica.set('a/g/m0', assignment(1), 3);
  assert.equal(machine.shard, 1);
  assert.notEqual(machine.tenure, tenure, 'the move begins a new tenure');
});

// Only leases that another controller took were logged as lost, not those that ended with the state lease.
test('shard leases that end with the state lease are logged as lost, each once', () => {
  const cluster = smallCluster(4);
  const node = cluster.controllers[0] as SimulatedController;
  const held = [...node.controller.shardController.heldShards.keys()].map(String);
  assert.ok(held.length > 0);
  const lost: string[] = [];
  cluster.onLog = (controller, { message, fields }) => {
    if (controller === node.name && message === 'shard lease lost') lost.push(String(fields?.lease));
  };
  node.controller.receiveLeaseState(null, 0, cluster.now);
  node.applyEffects();
  assert.deepEqual(
    lost.filter((lease) => lease !== 'lead'),
    held,
  );
});
