// Failure attribution: crash-looping jobs cause no release of machines, and faulty machines are released.

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

test('a faulty machine, on which the tasks of several jobs fail, is released, and no other machine is', () => {
  const cluster = smallCluster(6);
  const faultyWorker = cluster.workers[0];
  assert.ok(faultyWorker);
  faultyWorker.isFaulty = true;
  for (let index = 0; index < 3; index++) cluster.submit(job(`run-${index}`, { tasks: 8, estimatedRunS: 3 }));
  cluster.runUntil('all done', () => cluster.finished.size === 24, 90);
  assert.ok(faultyWorker.dead, 'the faulty machine is released');
  assert.equal(cluster.workers.filter((worker) => worker.dead).length, 1);
  assertGoldenTrace(cluster, 'faulty-machine');
});

test('one job is enough to detect a faulty machine if its tasks succeed elsewhere', () => {
  const cluster = new SimulatedCluster();
  for (let index = 0; index < 6; index++) cluster.addMachine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  for (let index = 0; index < 3; index++) cluster.addMachine(`g${index}`, 'big', 'east');
  cluster.runUntilSettled();
  cluster.submit(job('run-one', { tasks: 250, estimatedRunS: 4 }));
  cluster.runUntil('some done', () => cluster.finished.size >= 5, 60);
  // More tasks start; then all tasks on the machine with the most of them fail.
  cluster.run(2);
  const runningCount = (worker: SimulatedWorker) => [...worker.tasks.values()].filter((task) => task.state === 'running').length;
  const faultyWorker = [...cluster.workers].sort((a, b) => runningCount(b) - runningCount(a))[0];
  assert.ok(faultyWorker && runningCount(faultyWorker) > 3);
  faultyWorker.isFaulty = true;
  cluster.runUntil('all done', () => cluster.finished.size === 250, 180);
  cluster.run(5);
  assert.deepEqual(
    cluster.workers.filter((worker) => worker.dead).map((worker) => worker.name),
    [faultyWorker.name],
  );
});

test('crash-looping jobs cost no machine, no capacity and no provisioning; they stay queryable, and a faulty machine is still detected', () => {
  const cluster = smallCluster(9);
  const ids = ['run-b0', 'run-b1', 'run-b2', 'run-b3', 'run-b4', 'run-b5'];
  for (const id of ids) {
    cluster.failingJobs.add(id);
    cluster.submit(job(id, { tasks: id === 'run-b0' ? 30 : 1, estimatedRunS: 5 }));
  }
  cluster.run(30);
  assert.deepEqual(deadWorkers(cluster), [], 'no healthy machine is released');
  for (const node of cluster.controllers)
    for (const machine of node.controller.clusterState.machines.values())
      assert.equal(machine.failedJobs.size, 0, 'no failed job is attributed to a machine');
  const triedTasks = new Set(cluster.trace.filter((line) => line.includes('starts run-b0/')).map((line) => line.split('/')[1]));
  assert.equal(triedTasks.size, 30, 'each task of the job was tried');
  const shard = shardOf(cluster, 'run-b0');
  const summary = cluster.controller(holderOf(cluster, shard)).controller.shardController.shardSummary(shard, cluster.now + 1000);
  assert.deepEqual(summary.demands, [], 'no machine is requested for crash-looping jobs');
  for (const id of ids) {
    const responses: Record<string, unknown>[] = [];
    cluster.controllers[0]?.queryStatus(id, (_status, body) => responses.push(body));
    cluster.runUntil('answered', () => responses.length === 1, 6);
    assert.ok(responses[0]?.status === 'queued' || responses[0]?.status === 'running');
    assert.ok(Number(responses[0]?.failed) >= 3 && String(responses[0]?.note).includes('every machine'));
  }
  const traceLength = cluster.trace.length;
  cluster.submit(job('run-ok', { tasks: 18, estimatedRunS: 3 }));
  cluster.runUntil('healthy work is not delayed', () => cluster.finished.size === 18, 20);
  cluster.run(10);
  assert.ok(
    cluster.trace.slice(traceLength).filter((line) => line.includes('starts run-b')).length < 20,
    'crash-looping jobs are retried rarely',
  );
  const faultyWorker = cluster.workers[0];
  assert.ok(faultyWorker);
  faultyWorker.isFaulty = true;
  for (let index = 0; index < 4; index++) cluster.submit(job(`run-h${index}`, { tasks: 8, estimatedRunS: 3 }));
  cluster.runUntil('all done', () => cluster.finished.size === 18 + 32, 90);
  assert.deepEqual(deadWorkers(cluster), [faultyWorker.name]);
  for (const id of ids) cluster.cancel(id);
  cluster.run(5);
  for (const id of ids) assert.equal(cluster.queryStatus(id), 'aborted');
});

test('failures of a crash-looping job that were attributed to machines are withdrawn', () => {
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
  assert.deepEqual(deadWorkers(cluster), [], 'one failure of a good job releases no machine');
});

test('a job that failed only on faulty machines recovers', () => {
  const cluster = smallCluster(8);
  for (const worker of cluster.workers.slice(0, 4)) worker.isFaulty = true;
  cluster.submit(job('run-r', { tasks: 8, estimatedRunS: 3 }));
  cluster.run(8);
  for (const worker of cluster.workers) worker.isFaulty = false;
  cluster.runUntil('done', () => cluster.queryStatus('run-r') === 'done', 90);
});
