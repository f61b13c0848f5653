// Pauses of a controller's process: silence of machines during a pause does not count, and decisions that were made before a
// pause are not carried out after it.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { deadWorkers } from './scenarios/on-call-scenarios.js';
import { assertGoldenTrace, holderOf, job, type SimulatedCluster, shardOf, smallCluster } from './simulation/index.js';

const killLines = (cluster: SimulatedCluster) => cluster.trace.filter((line) => line.includes('kills'));

for (const seconds of [0.9, 6, 16, 19, 25, 45]) {
  test(`the holder's process pauses for ${seconds} s: nothing runs twice or after its cancellation, no machine is released`, () => {
    const cluster = smallCluster(8);
    cluster.submit(job('run-v', { shape: 'service', tasks: 2, priority: 3, jobClass: 'serve' }));
    cluster.submit(job('run-c', { tasks: 3, estimatedRunS: 500 }));
    cluster.runUntil('running', () => cluster.runningTasks('run-v') === 2 && cluster.runningTasks('run-c') === 3);
    const holder = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-v')));
    const other = cluster.controllers.find((node) => node !== holder);
    assert.ok(other);
    // Decided just before the pause: starts and a write are in flight when it begins.
    cluster.submit(job('run-w', { tasks: 4, estimatedRunS: 4 }));
    holder.pause();
    cluster.cancel('run-c', other);
    cluster.submit(job('run-x', { tasks: 4, estimatedRunS: 4 }), other);
    cluster.run(seconds);
    holder.resume();
    cluster.runUntil('the cancelled job is gone', () => cluster.machinesRunning('run-c').length === 0, 36);
    cluster.runUntil('the remaining tasks are done', () => cluster.finished.size === 8, 60);
    cluster.run(20);
    assert.equal(cluster.runningTasks('run-v'), 2);
    assert.deepEqual(deadWorkers(cluster), [], 'no machine is released for silence during the pause');
    assert.deepEqual(killLines(cluster), [], 'the other controllers answered the workers');
    assert.equal(cluster.queryStatus('run-c'), 'aborted');
    if (seconds === 25) assertGoldenTrace(cluster, 'lease-holder-paused');
  });
}

test("inputs that arrive while the holder's process is paused are lost: it probes its machines, and releases none", () => {
  const cluster = smallCluster(8);
  cluster.submit(job('run-v', { shape: 'service', tasks: 2, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-v') === 2);
  const holder = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-v')));
  holder.pause();
  cluster.run(16);
  holder.resume(true);
  cluster.run(20);
  assert.deepEqual(deadWorkers(cluster), []);
  assert.equal(cluster.runningTasks('run-v'), 2);
});

test('after a pause nothing is started before the newest changes of the state service are read', () => {
  const cluster = smallCluster(2);
  cluster.submit(job('run-a', { tasks: 4, estimatedRunS: 4 }));
  cluster.runUntil('full', () => cluster.runningTasks('run-a') === 4);
  cluster.submit(job('run-z', { tasks: 4, estimatedRunS: 4 }));
  cluster.run(0.5);
  const holder = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-z')));
  const other = cluster.controllers.find((node) => node !== holder);
  assert.ok(other);
  holder.pause();
  cluster.cancel('run-z', other);
  cluster.run(6);
  // It resumes with free resources for the cancelled job and an outdated replica, and can't read the state service yet.
  holder.isRefusedByStateService = true;
  holder.resume();
  cluster.run(6);
  holder.isRefusedByStateService = false;
  cluster.run(10);
  assert.equal(cluster.finished.size, 4);
  assert.ok(!cluster.trace.some((line) => line.includes('starts run-z')));
});

test('after a pause the former leader and lease holder does not contend for its shard, and gets it back after the takeover is settled', () => {
  const cluster = smallCluster(8);
  const formerHolder = cluster.controller(holderOf(cluster, 2));
  const revision = () => cluster.controllers[0]?.controller.clusterState.leaseOf(2)?.revision;
  formerHolder.pause();
  cluster.runUntil(
    'taken over',
    () => !['', formerHolder.name].includes(cluster.controllers[0]?.controller.clusterState.leaseOf(2)?.holder.controller ?? ''),
    40,
  );
  const revisionAfterTakeover = revision();
  formerHolder.resume();
  cluster.run(1);
  assert.equal(revision(), revisionAfterTakeover, 'the lease is not contended for');
  cluster.runUntil('the former holder has the lease again', () => holderOf(cluster, 2) === formerHolder.name, 40);
  const revisionAfterReturn = revision();
  cluster.run(20);
  assert.equal(revision(), revisionAfterReturn);
  assert.deepEqual(deadWorkers(cluster), []);
});

test('all controllers pause for longer than a cancellation may take: a job cancelled before the pause is not started after it', () => {
  const cluster = smallCluster(6);
  cluster.submit(job('run-s', { shape: 'service', tasks: 2, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-s') === 2);
  const holder = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-s')));
  const other = cluster.controllers.find((node) => node !== holder);
  assert.ok(other);
  holder.pause();
  cluster.submit(job('run-l', { tasks: 4, estimatedRunS: 5 }), other);
  cluster.cancel('run-l', other);
  for (const node of cluster.controllers) if (!node.isPaused) node.pause();
  cluster.run(45);
  for (const node of cluster.controllers) node.resume();
  cluster.run(40);
  assert.ok(!cluster.trace.some((line) => line.includes('starts run-l')));
  cluster.runUntil('the service runs again', () => cluster.runningTasks('run-s') === 2, 60);
});
