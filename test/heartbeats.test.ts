// Heartbeats: stale, repeated and forwarded ones, restarted agents, and what the answer to a heartbeat stops.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Heartbeat } from '@archpost/protocol';
import { deliverHeartbeatCopy, workerRunning } from './scenarios/partition-scenarios.js';
import { assertGoldenTrace, holderOf, job, type SimulatedWorker, shardOf, smallCluster } from './simulation/index.js';

test('a controller in a partitioned zone answers heartbeats there, so the work goes on', () => {
  const cluster = smallCluster(8);
  cluster.submit(job('run-z', { shape: 'service', tasks: 4, spread: true, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-z') === 4);
  const west = (x: string) => x === 'n1' || cluster.workers.find((worker) => worker.name === x)?.zone === 'west';
  const before = cluster.trace.length;
  cluster.isPartitioned = (a, b) => west(a) !== west(b);
  cluster.run(40);
  cluster.isPartitioned = () => false;
  cluster.run(15);
  const since = cluster.trace.slice(before);
  assert.deepEqual(
    since.filter((line) => line.includes('kills') || line.includes('is released')),
    [],
  );
  assert.equal(cluster.runningTasks('run-z'), 4);
  assertGoldenTrace(cluster, 'keeper-in-a-cut-zone');
});

test("a machine's agent restarts, and a copy of an older heartbeat follows: what runs on it now stays where it is", () => {
  const cluster = smallCluster(4);
  for (const id of ['run-f0', 'run-f1', 'run-a']) cluster.submit(job(id, { zone: 'east', estimatedRunS: 500 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-a') === 1);
  const worker = cluster.worker(cluster.machinesRunning('run-a')[0] as string);
  assert.ok(worker && !cluster.machinesRunning('run-f0').includes(worker.name));
  const copies: Heartbeat[] = [];
  cluster.onHeartbeat = (heartbeat) => {
    if (heartbeat.machine === worker.name) copies.push(structuredClone(heartbeat));
  };
  cluster.run(20);
  cluster.onHeartbeat = null;
  const copy = copies.at(-1);
  assert.ok(copy);
  worker.reboot();
  cluster.runUntil('running again', () => cluster.runningTasks('run-a') === 1 && worker.sequence > 3, 40);
  worker.controllerIndex = cluster.names.indexOf(holderOf(cluster, 0));
  assert.deepEqual(cluster.machinesRunning('run-a'), [worker.name]);
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

test('workers that reach no controller, while direct commands reach them, are probed, and their work goes on', () => {
  const cluster = smallCluster(6);
  cluster.submit(job('run-v', { shape: 'service', tasks: 2, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-v') === 2);
  const muted = cluster.machinesRunning('run-v')[0];
  cluster.losesHeartbeats = (m) => m === muted;
  // Its lease runs out meanwhile: only its own answers can tell that what it bore is gone.
  cluster.runUntil('its lease ran out', () => cluster.trace.some((line) => line.includes('kills')), 30);
  cluster.runUntil('running again', () => cluster.runningTasks('run-v') === 2, 8);
  cluster.run(20);
  cluster.losesHeartbeats = () => false;
  cluster.run(10);
  assert.equal(cluster.runningTasks('run-v'), 2);
});

test('late copies of heartbeats make no dead machine seem alive, at its holder, at a forwarding controller or after a failover', () => {
  const cluster = smallCluster(8);
  cluster.submit(job('run-d', { shape: 'service', priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-d') === 1);
  cluster.run(4);
  const worker = workerRunning(cluster, 'run-d');
  const copies: Heartbeat[] = [];
  for (let index = 0; index < 8; index++) {
    cluster.run(1);
    copies.push(worker.nextHeartbeat());
  }
  worker.hung = true;
  const shard = shardOf(cluster, 'run-d');
  cluster.controller(holderOf(cluster, shard)).crash();
  cluster.run(1);
  cluster.controllers.find((node) => !node.up)?.restart();
  const died = cluster.now;
  for (let index = 0; index < 20 && !worker.dead; index++) {
    cluster.run(1);
    // One to each controller, oldest first, for longer than its silence is borne.
    for (const node of cluster.controllers) deliverHeartbeatCopy(node, copies[index % copies.length] as Heartbeat);
  }
  assert.ok(worker.dead, `not given back in ${(cluster.now - died) / 1000} s`);
  cluster.runUntil('goes on elsewhere', () => cluster.runningTasks('run-d') === 1, 20);
  assertGoldenTrace(cluster, 'late-reports');
});

test('late copies at a forwarding controller of another zone do not hide that a machine is silent', () => {
  const cluster = smallCluster(8);
  const keeper = cluster.controller('n1');
  const worker = cluster.workers.find((candidate) => {
    const machine = keeper.controller.clusterState.machines.get(candidate.name);
    return candidate.zone === 'west' && machine !== undefined && holderOf(cluster, machine.shard) !== 'n1';
  });
  assert.ok(worker, 'a machine of the west whose share is held in the east');
  const copies: Heartbeat[] = [];
  for (let index = 0; index < 8; index++) {
    cluster.run(1);
    copies.push(worker.nextHeartbeat());
  }
  // Newer than all of them, so that the keeper has heard more than they say.
  cluster.run(3);
  worker.hung = true;
  cluster.run(1);
  for (let index = 0; index < 9 && !worker.dead; index++) {
    cluster.run(1);
    deliverHeartbeatCopy(keeper, copies[index % copies.length] as Heartbeat);
  }
  assert.ok(worker.dead, 'silent, whatever late copies say');
});

test('a stale heartbeat neither frees, finishes nor moves anything that is newer', () => {
  const cluster = smallCluster(8);
  cluster.submit(job('run-e', { tasks: 2, estimatedRunS: 30 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-e') === 2);
  const worker = workerRunning(cluster, 'run-e');
  const owner = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-e')));
  cluster.run(3);
  const before: Heartbeat = { ...worker.nextHeartbeat(), sequence: 1, tasks: [], address: 'elsewhere', preemptionNoticeS: 3 };
  const done: Heartbeat = {
    ...before,
    sequence: 2,
    tasks: worker.nextHeartbeat().tasks.map((task) => ({ ...task, state: 'exited', exitReason: 'done' })),
  };
  deliverHeartbeatCopy(owner, before);
  deliverHeartbeatCopy(owner, done);
  const machine = owner.controller.clusterState.machines.get(worker.name);
  assert.equal(machine?.address, worker.name);
  assert.equal(machine?.tenure.preemptionNoticeUntil, null);
  cluster.run(5);
  assert.equal(cluster.runningTasks('run-e'), 2);
  // Nor right after a takeover, when what was seen last is forgotten.
  owner.crash();
  owner.restart();
  cluster.runUntil('holds again', () => owner.controller.shardController.heldShards.size > 0, 20);
  deliverHeartbeatCopy(owner, done);
  deliverHeartbeatCopy(owner, before);
  cluster.run(5);
  assert.equal(cluster.runningTasks('run-e'), 2);
  assert.equal(cluster.queryStatus('run-e'), 'running');
  cluster.runUntil('done', () => cluster.queryStatus('run-e') === 'done', 60);
  assert.equal(cluster.trace.filter((line) => line.includes('starts run-e')).length, 2);
});

test("a controller that answers another's workers forwards what changes, and says of the rest that nothing did", () => {
  const cluster = smallCluster(8);
  cluster.submit(job('run-p', { shape: 'service', tasks: 8, spread: true, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-p') === 8);
  cluster.run(6);
  const before = cluster.forwardedHeartbeats;
  const heartbeats = cluster.workers.reduce((count, worker) => count + worker.sequence, 0);
  cluster.run(40);
  const kept = cluster.workers.filter((worker) => worker.zone === 'west').length;
  // Each in full once in a while; without this it would be one of every two seconds.
  assert.ok(cluster.forwardedHeartbeats - before <= kept * 5, `${cluster.forwardedHeartbeats - before} passed on`);
  assert.ok(
    cluster.workers.reduce((count, worker) => count + worker.sequence, 0) - heartbeats >= 8 * 18,
    'and hardly any machine had to be asked',
  );
  for (const worker of cluster.workers) {
    const node = cluster.controllers.find((controller) =>
      controller.controller.shardController.heldShards.has(
        controller.controller.clusterState.machines.get(worker.name)?.shard ?? -1,
      ),
    );
    assert.ok(
      node && cluster.now - (node.controller.clusterState.machines.get(worker.name)?.tenure.lastHeartbeatAt ?? 0) < 4000,
      `${worker.name} counts as heard`,
    );
  }
});

test('a machine whose agent restarts with a low epoch is probed, and used again', () => {
  const cluster = smallCluster(8);
  const worker = cluster.workers[0] as SimulatedWorker;
  worker.agentEpoch = 5;
  worker.sequence = 900;
  cluster.run(10);
  cluster.submit(job('run-k', { shape: 'service', tasks: 12, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-k') === 12);
  const had = worker.tasks.size;
  assert.ok(had > 0);
  // Back within a moment: nothing of its earlier life is left.
  worker.agentEpoch = 1;
  worker.sequence = 0;
  worker.fencingToken = 0;
  worker.tasks.clear();
  worker.leaseRenewedAt = cluster.now;
  cluster.runUntil('all run again', () => cluster.runningTasks('run-k') === 12, 20);
  assert.ok(!worker.dead);
});

test('a worker whose controller has lost its workers is answered by another before it is sent back', () => {
  const cluster = smallCluster(8);
  cluster.submit(job('run-p', { shape: 'service', tasks: 16, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-p') === 16);
  cluster.run(6);
  cluster.trace = [];
  // The west's controller answers nobody for a while, still hears others, and seems well to them.
  const west = (x: string) => cluster.workers.find((worker) => worker.name === x)?.zone === 'west';
  cluster.isPartitioned = (a, b) => (a === 'n1' && west(b)) || (b === 'n1' && west(a));
  cluster.run(12);
  cluster.isPartitioned = () => false;
  const back = cluster.workers.filter((worker) => worker.zone === 'west');
  cluster.runUntil(
    'home again',
    () => back.every((worker) => cluster.controllers[worker.controllerIndex % 3]?.name === 'n1'),
    90,
  );
  assert.deepEqual(
    cluster.trace.filter((line) => line.includes('lease expired')),
    [],
  );
});

// A task that its owner knows nothing of ran on for as long as direct commands didn't get through to its machine.
test('a second attempt of a finished job is stopped by the answers to heartbeats, and its machine takes no new work meanwhile', () => {
  const cluster = smallCluster(2);
  cluster.submit(job('run-a', { estimatedRunS: 2 }));
  cluster.runUntil('done', () => cluster.queryStatus('run-a') === 'done', 30);
  const worker = cluster.worker('m0') as SimulatedWorker;
  cluster.losesCommands = (_n, m) => m === 'm0';
  worker.tasks.set('run-a/0/7', {
    job: 'run-a',
    index: 0,
    attempt: 7,
    state: 'running',
    exitReason: null,
    saved: false,
    startedAt: cluster.now + 1e6,
  });
  cluster.runUntil('stopped', () => cluster.machinesRunning('run-a').length === 0, 10);
});

test('a heartbeat that names impossible tasks: they are stopped, and nothing else is harmed', () => {
  const cluster = smallCluster(2);
  cluster.submit(job('run-a', { tasks: 2, cpus: 1, estimatedRunS: 300 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-a') === 2);
  const worker = cluster.worker(cluster.machinesRunning('run-a')[0] as string) as SimulatedWorker;
  const odd = { index: 0, attempt: 99, state: 'running' as const, exitReason: null, saved: false, startedAt: cluster.now + 1e6 };
  cluster.specs.set('run-never', job('run-never', { cpus: 1 }));
  worker.tasks.set('run-never/0/99', { ...odd, job: 'run-never' });
  worker.tasks.set('run-a/7/99', { ...odd, job: 'run-a', index: 7 });
  cluster.run(10);
  assert.deepEqual(
    [...worker.tasks.keys()].filter((key) => key.endsWith('/99')),
    [],
  );
  assert.equal(cluster.runningTasks('run-a'), 2);
});
