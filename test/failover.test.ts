// Failover: another controller acquires a shard whose holder crashed or paused; no task runs twice, and none is lost.

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
  assert.deepEqual(cluster.machinesRunning('run-s'), [machine], 'the machine is not known to be released yet');

  cluster.isCloudDown = false;
  cluster.runUntil(
    'started elsewhere',
    () => cluster.runningTasks('run-s') === 1 && cluster.machinesRunning('run-s')[0] !== machine,
    30,
  );

  const lines = cluster.trace.join('\n');
  assert.ok(lines.indexOf(`${machine} is released`) < lines.lastIndexOf('starts run-s'));
  assertGoldenTrace(cluster, 'failover-with-a-silent-worker');
});

test('a late transaction of a crashed holder changes nothing', () => {
  const cluster = smallCluster(6);
  const lateWrites: (() => void)[] = [];
  cluster.submit(job('run-t', { tasks: 2, estimatedRunS: 3 }));
  const holder = holderOfJob(cluster, 'run-t');

  cluster.losesTransactionResponse = (transaction, apply) => {
    if (!transaction.writes.some((write) => 'put' in write && /^a\/[jp]\/run-t/.test(write.put))) return false;
    lateWrites.push(apply);
    return true;
  };
  cluster.runUntil('a write of its completion was sent', () => lateWrites.length > 0, 30);
  cluster.controller(holder).crash();
  cluster.losesTransactionResponse = null;
  cluster.run(1);
  cluster.controller(holder).restart();
  cluster.runUntil('done', () => cluster.queryStatus('run-t') === 'done', 40);

  const before = JSON.stringify(cluster.stateService.rows());
  for (const apply of lateWrites) apply();

  assert.equal(JSON.stringify(cluster.stateService.rows()), before);
  assertGoldenTrace(cluster, 'late-transaction');
});

test("a gang that was partly started when its shard's holder crashed runs with all its tasks, once", () => {
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
  cluster.runUntil('the waiting job runs', () => cluster.runningTasks('run-r') === 1, 120);
  assertGoldenTrace(cluster, 'quota-with-unverified-allocations');
});

test('leader and holders change ten times in two minutes, twice in an outage: each job runs to completion once', () => {
  const cluster = smallCluster(8);
  for (let index = 0; index < 6; index++)
    cluster.submit(job(`run-t${index}`, { team: ['red', 'blue', 'green'][index % 3] as string, tasks: 3, estimatedRunS: 25 }));
  cluster.submit(job('run-v', { shape: 'service', tasks: 2, priority: 3, jobClass: 'serve' }));

  for (let index = 0; index < 10; index++) {
    cluster.isStateServiceDown = index === 3 || index === 4;
    const crashedController = cluster.controller(
      index % 2 === 0 ? holderOf(cluster, 'lead') || 'n2' : holderOf(cluster, index % 3) || 'n0',
    );
    crashedController.crash();
    cluster.run(index % 4 === 0 ? 0.3 : 3);
    crashedController.restart();
    cluster.run(9);
  }

  for (let index = 0; index < 6; index++) cluster.runUntil('done', () => cluster.queryStatus(`run-t${index}`) === 'done', 120);
  assert.equal(cluster.runningTasks('run-v'), 2);
});

test('tasks of one array end far apart, and the holder crashes in between: tasks that are done do not run again', () => {
  const cluster = smallCluster(1);
  // One machine with capacity for one task: the tasks run one after another.
  cluster.submit(job('run-f', { tasks: 3, cpus: 4, estimatedRunS: 8 }));

  for (let index = 1; index <= 3; index++) {
    cluster.runUntil('one more task is done', () => cluster.finished.size === index, 60);
    const owner = cluster.controller(holderOf(cluster, 0));
    // The holder crashes right after the task ends, or once it knows of the end while its writes of it are lost.
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
  assertGoldenTrace(cluster, 'tasks-end-far-apart');
});

test('all controllers crash three times, and one restarts before the others: the service and the array keep running', () => {
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

test('all controllers are down for longer than a lease: tasks that ended with their leases run again, once', () => {
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

// Reader and writer of the flag of a move once used different names for it, so the tenure of the old shard stayed.
test('a machine gets a new tenure when it moves to another shard', () => {
  const controller = new Controller(settings('n0'), 'boot');
  const assignment = (shard: number) => ({ s: shard, a: 'm0:1', t: 'std', z: 'za', sp: false });
  controller.replica.set('a/g/m0', assignment(0), 1);
  const machine = controller.clusterState.machines.get('m0');
  assert.ok(machine);
  const tenure = machine.tenure;

  controller.replica.set('a/g/m0', { ...assignment(0), mv: 1 }, 2);
  assert.equal(machine.tenure, tenure, 'an ordered move keeps the tenure');

  controller.replica.set('a/g/m0', assignment(1), 3);
  assert.equal(machine.shard, 1);
  assert.notEqual(machine.tenure, tenure, 'the move begins a new tenure');
});

// Only leases that another controller acquired were logged as lost, not those that ended with the state lease.
test('shard leases that end with the state lease are each logged as lost once', () => {
  const cluster = smallCluster(4);
  const node = cluster.controllers[0] as SimulatedController;
  const heldLeases = [...node.controller.shardController.heldShards.keys()].map(String);
  assert.ok(heldLeases.length > 0);
  const lostLeases: string[] = [];
  cluster.onLog = (controller, { message, fields }) => {
    if (controller === node.name && message === 'shard lease lost') lostLeases.push(String(fields?.lease));
  };
  node.controller.receiveLeaseState(null, 0, cluster.now);
  node.applyEffects();
  assert.deepEqual(
    lostLeases.filter((lease) => lease !== 'lead'),
    heldLeases,
  );
});
