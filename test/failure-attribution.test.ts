// Failure attribution: crash-looping jobs cost no machine, and faulty machines are quarantined.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { deadWorkers } from './scenarios/on-call-scenarios.js';
import {
  assertGoldenTrace,
  holderOf,
  job,
  SimulatedCluster,
  type SimulatedWorker,
  shardOf,
  smallCluster,
} from './simulation/index.js';

test('a broken job fails on many machines and costs none of them; a faulty machine is released', () => {
  const cluster = smallCluster(6);
  const bad = cluster.workers[0];
  assert.ok(bad);
  bad.isFaulty = true;
  for (let index = 0; index < 3; index++) cluster.submit(job(`run-${index}`, { tasks: 8, estimatedRunS: 3 }));
  cluster.runUntil('all done', () => cluster.finished.size === 24, 90);
  assert.ok(bad.dead, 'the faulty machine was given back');
  assert.equal(cluster.workers.filter((worker) => worker.dead).length, 1);
  assertGoldenTrace(cluster, 'faulty-machine');
});

test('one job is enough to tell a faulty machine, if its tasks get done elsewhere', () => {
  const cluster = new SimulatedCluster();
  for (let index = 0; index < 6; index++) cluster.addMachine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  for (let index = 0; index < 3; index++) cluster.addMachine(`g${index}`, 'big', 'east');
  cluster.runUntilSettled();
  cluster.submit(job('run-one', { tasks: 250, estimatedRunS: 4 }));
  cluster.runUntil('some done', () => cluster.finished.size >= 5, 60);
  // More of them start; the machine that bears the most fails them all.
  cluster.run(2);
  const busy = (worker: SimulatedWorker) => [...worker.tasks.values()].filter((task) => task.state === 'running').length;
  const bad = [...cluster.workers].sort((a, b) => busy(b) - busy(a))[0];
  assert.ok(bad && busy(bad) > 3);
  bad.isFaulty = true;
  cluster.runUntil('all done', () => cluster.finished.size === 250, 180);
  cluster.run(5);
  assert.deepEqual(
    cluster.workers.filter((worker) => worker.dead).map((worker) => worker.name),
    [bad.name],
  );
});

test('crash-looping jobs cost no machine, no capacity and no provisioning; they stay known, and a faulty machine is still found', () => {
  const cluster = smallCluster(9);
  const ids = ['run-b0', 'run-b1', 'run-b2', 'run-b3', 'run-b4', 'run-b5'];
  for (const id of ids) {
    cluster.failingJobs.add(id);
    cluster.submit(job(id, { tasks: id === 'run-b0' ? 30 : 1, estimatedRunS: 5 }));
  }
  cluster.run(30);
  assert.deepEqual(deadWorkers(cluster), [], 'no healthy machine is put aside');
  for (const node of cluster.controllers)
    for (const machine of node.controller.clusterState.machines.values()) assert.equal(machine.failedJobs.size, 0, 'nor blamed');
  const tried = new Set(cluster.trace.filter((line) => line.includes('starts run-b0/')).map((line) => line.split('/')[1]));
  assert.equal(tried.size, 30, 'each of its tasks was tried');
  const shard = shardOf(cluster, 'run-b0');
  const told = cluster.controller(holderOf(cluster, shard)).controller.shardController.shardSummary(shard, cluster.now + 1000);
  assert.deepEqual(told.demands, [], 'nothing is rented or moved for them');
  for (const id of ids) {
    const said: Record<string, unknown>[] = [];
    cluster.controllers[0]?.queryStatus(id, (_status, body) => said.push(body));
    cluster.runUntil('answered', () => said.length === 1, 6);
    assert.ok(said[0]?.status === 'queued' || said[0]?.status === 'running');
    assert.ok(Number(said[0]?.failed) >= 3 && String(said[0]?.note).includes('every machine'));
  }
  const before = cluster.trace.length;
  cluster.submit(job('run-ok', { tasks: 18, estimatedRunS: 3 }));
  cluster.runUntil('healthy work is not held up', () => cluster.finished.size === 18, 20);
  cluster.run(10);
  assert.ok(
    cluster.trace.slice(before).filter((line) => line.includes('starts run-b')).length < 20,
    'they are tried now and then',
  );
  const bad = cluster.workers[0];
  assert.ok(bad);
  bad.isFaulty = true;
  for (let index = 0; index < 4; index++) cluster.submit(job(`run-h${index}`, { tasks: 8, estimatedRunS: 3 }));
  cluster.runUntil('all done', () => cluster.finished.size === 18 + 32, 90);
  assert.deepEqual(deadWorkers(cluster), [bad.name]);
  for (const id of ids) cluster.cancel(id);
  cluster.run(5);
  for (const id of ids) assert.equal(cluster.queryStatus(id), 'aborted');
});

test('failures that a crash-looping job attributed to machines are taken back', () => {
  const cluster = smallCluster(3);
  cluster.failingJobs.add('run-b');
  cluster.submit(job('run-b', { tasks: 6, estimatedRunS: 3 }));
  cluster.run(8);
  cluster.submit(job('run-good', { tasks: 12, estimatedRunS: 3 }));
  cluster.runUntil('some done', () => cluster.finished.size >= 4, 30);
  cluster.run(1);
  const worker = cluster.workers.find((candidate) =>
    [...candidate.tasks.values()].some((task) => task.job === 'run-good' && task.state === 'running'),
  );
  assert.ok(worker);
  worker.isFaulty = true;
  cluster.run(0.1);
  worker.isFaulty = false;
  cluster.runUntil('done', () => cluster.finished.size === 12, 60);
  assert.deepEqual(deadWorkers(cluster), [], 'one failure of a good job is no proof');
});

test('a job that failed on faulty machines only recovers', () => {
  const cluster = smallCluster(8);
  for (const worker of cluster.workers.slice(0, 4)) worker.isFaulty = true;
  cluster.submit(job('run-r', { tasks: 8, estimatedRunS: 3 }));
  cluster.run(8);
  for (const worker of cluster.workers) worker.isFaulty = false;
  cluster.runUntil('done', () => cluster.queryStatus('run-r') === 'done', 90);
});
