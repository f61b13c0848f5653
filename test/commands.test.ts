// Commands and their answers that are lost, late or can't be read (docs/meetings.md).
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Heartbeat } from '@archpost/protocol';
import { assertGoldenTrace, holderOf, job, smallCluster } from './simulation/index.js';

test('a start is held up on its way, its sender ends and is back at once: it finds a higher token', () => {
  const cluster = smallCluster(4);
  cluster.losesCommands = () => true;
  cluster.lateCommandDelayMs = () => 9000;
  cluster.submit(job('run-a', { estimatedRunS: 60 }));
  const owner = cluster.controller(holderOf(cluster, 0));
  cluster.runUntil(
    'sent',
    () =>
      [...(owner.controller.clusterState.jobs.get('run-a')?.tenure.allocations.values() ?? [])].some(
        (allocation) => allocation.phase === 'sent',
      ),
    5,
  );
  owner.crash();
  cluster.losesCommands = () => false;
  cluster.run(0.3);
  owner.restart();
  cluster.runUntil('running', () => cluster.runningTasks('run-a') === 1, 20);
  cluster.run(15);
  assert.equal(cluster.trace.filter((l) => l.includes('starts run-a')).length, 1);
});

test('a start is lost for good: the token rises, and the task is started anew', () => {
  const cluster = smallCluster(4);
  cluster.losesCommands = () => true;
  cluster.submit(job('run-a', { estimatedRunS: 60 }));
  const token = () => Math.max(...cluster.workers.map((w) => w.fencingToken));
  const before = token();
  cluster.run(1);
  cluster.losesCommands = () => false;
  cluster.runUntil('running', () => cluster.runningTasks('run-a') === 1, 20);
  assert.ok(token() > before);
});

test('direct commands to a machine are lost while the cloud is down: the answers to its reports stop what is cancelled', () => {
  const cluster = smallCluster(4);
  cluster.submit(job('run-c', { zone: 'east', estimatedRunS: 500 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-c') === 1);
  const machine = cluster.machinesRunning('run-c')[0];
  cluster.isCloudDown = true;
  cluster.losesCommands = (_n, m) => m === machine;
  cluster.cancel('run-c');
  cluster.runUntil('gone', () => cluster.machinesRunning('run-c').length === 0, 36);
});

test('a machine executes its starts and its answer can not be read: nothing is started elsewhere', () => {
  const cluster = smallCluster(4);
  cluster.garblesAnswers = () => true;
  cluster.submit(job('run-a', { tasks: 3, estimatedRunS: 60 }));
  cluster.run(5);
  cluster.garblesAnswers = () => false;
  cluster.runUntil('running, once', () => cluster.runningTasks('run-a') === 3, 30);
  cluster.run(10);
  assert.equal(cluster.runningTasks('run-a'), 3);
});

test('a machine begins again, and a copy of an older report follows: what runs on it now stays where it is', () => {
  const cluster = smallCluster(4);
  for (const id of ['run-f0', 'run-f1', 'run-a']) cluster.submit(job(id, { zone: 'east', estimatedRunS: 500 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-a') === 1);
  const w = cluster.worker(cluster.machinesRunning('run-a')[0] as string);
  assert.ok(w && !cluster.machinesRunning('run-f0').includes(w.name));
  const copies: Heartbeat[] = [];
  cluster.onHeartbeat = (heartbeat) => {
    if (heartbeat.machine === w.name) copies.push(structuredClone(heartbeat));
  };
  cluster.run(20);
  cluster.onHeartbeat = null;
  const copy = copies.at(-1);
  assert.ok(copy);
  w.reboot();
  cluster.runUntil('running again', () => cluster.runningTasks('run-a') === 1 && w.sequence > 3, 40);
  w.target = cluster.names.indexOf(holderOf(cluster, 0));
  assert.deepEqual(cluster.machinesRunning('run-a'), [w.name]);
  // Another machine has the better place now, should the task be thought lost.
  cluster.cancel('run-f1');
  cluster.run(2);
  for (const late of [
    copy,
    { ...copy, sequence: copy.sequence + 40, tasks: [] },
    { ...copy, agentEpoch: 3, sequence: copy.sequence + 500, tasks: [] },
  ]) {
    for (const node of cluster.controllers) node.receiveHeartbeat(structuredClone(late), () => {});
    cluster.run(8);
  }
  assertGoldenTrace(cluster, 'begun-again-and-an-old-copy');
});

test('workers that reach no controller, while direct commands reach them: their work is asked for, and goes on', () => {
  const cluster = smallCluster(6);
  cluster.submit(job('run-v', { shape: 'service', tasks: 2, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-v') === 2);
  const muted = cluster.machinesRunning('run-v')[0];
  cluster.isMute = (m) => m === muted;
  // Its lease runs out meanwhile: only its own answers can tell that what it bore is gone.
  cluster.runUntil('its lease ran out', () => cluster.trace.some((l) => l.includes('kills')), 30);
  cluster.runUntil('running again', () => cluster.runningTasks('run-v') === 2, 8);
  cluster.run(20);
  cluster.isMute = () => false;
  cluster.run(10);
  assert.equal(cluster.runningTasks('run-v'), 2);
});
