// Heartbeats: stale, repeated and forwarded ones, restarted agents, and what the answer to a heartbeat stops.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Heartbeat } from '@archpost/protocol';
import { clusterOfEight, deliverLate, machineOf } from './scenarios/partition-scenarios.js';
import { newCluster } from './scenarios/takeover-scenarios.js';
import { assertGoldenTrace, holderOf, job, type SimulatedWorker, shardOf, smallCluster } from './simulation/index.js';

test('a controller in a partitioned zone answers heartbeats there, so the work goes on', () => {
  const c = newCluster(8);
  c.submit(job('run-z', { shape: 'service', tasks: 4, spread: true, priority: 3, jobClass: 'serve' }));
  c.runUntil('running', () => c.runningTasks('run-z') === 4);
  const west = (x: string) => x === 'n1' || c.workers.find((w) => w.name === x)?.zone === 'west';
  const before = c.trace.length;
  c.isPartitioned = (a, b) => west(a) !== west(b);
  c.run(40);
  c.isPartitioned = () => false;
  c.run(15);
  const since = c.trace.slice(before);
  assert.deepEqual(
    since.filter((l) => l.includes('kills') || l.includes('given back')),
    [],
  );
  assert.equal(c.runningTasks('run-z'), 4);
  assertGoldenTrace(c, 'keeper-in-a-cut-zone');
});

test("a machine's agent restarts, and a copy of an older heartbeat follows: what runs on it now stays where it is", () => {
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

test('workers that reach no controller, while direct commands reach them, are probed, and their work goes on', () => {
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

test('late copies of heartbeats make no dead machine seem alive, at its holder, at a forwarding controller or after a failover', () => {
  const c = clusterOfEight();
  c.submit(job('run-d', { shape: 'service', priority: 3, jobClass: 'serve' }));
  c.runUntil('running', () => c.runningTasks('run-d') === 1);
  c.run(4);
  const w = machineOf(c, 'run-d');
  const copies: Heartbeat[] = [];
  for (let index = 0; index < 8; index++) {
    c.run(1);
    copies.push(w.heartbeat());
  }
  w.hung = true;
  const shard = shardOf(c, 'run-d');
  c.controller(holderOf(c, shard)).crash();
  c.run(1);
  c.controllers.find((node) => !node.up)?.restart();
  const died = c.now;
  for (let index = 0; index < 20 && !w.dead; index++) {
    c.run(1);
    // One to each controller, oldest first, for longer than its silence is borne.
    for (const node of c.controllers) deliverLate(node, copies[index % copies.length] as Heartbeat);
  }
  assert.ok(w.dead, `not given back in ${(c.now - died) / 1000} s`);
  c.runUntil('goes on elsewhere', () => c.runningTasks('run-d') === 1, 20);
  assertGoldenTrace(c, 'late-reports');
});

test('late copies at a forwarding controller of another zone do not hide that a machine is silent', () => {
  const c = clusterOfEight();
  const keeper = c.controller('n1');
  const w = c.workers.find((x) => {
    const machine = keeper.controller.clusterState.machines.get(x.name);
    return x.zone === 'west' && machine !== undefined && holderOf(c, machine.shard) !== 'n1';
  });
  assert.ok(w, 'a machine of the west whose share is held in the east');
  const copies: Heartbeat[] = [];
  for (let index = 0; index < 8; index++) {
    c.run(1);
    copies.push(w.heartbeat());
  }
  // Newer than all of them, so that the keeper has heard more than they say.
  c.run(3);
  w.hung = true;
  c.run(1);
  for (let index = 0; index < 9 && !w.dead; index++) {
    c.run(1);
    deliverLate(keeper, copies[index % copies.length] as Heartbeat);
  }
  assert.ok(w.dead, 'silent, whatever late copies say');
});

test('a stale heartbeat neither frees, finishes nor moves anything that is newer', () => {
  const c = clusterOfEight();
  c.submit(job('run-e', { tasks: 2, estimatedRunS: 30 }));
  c.runUntil('running', () => c.runningTasks('run-e') === 2);
  const w = machineOf(c, 'run-e');
  const owner = c.controller(holderOf(c, shardOf(c, 'run-e')));
  c.run(3);
  const before: Heartbeat = { ...w.heartbeat(), sequence: 1, tasks: [], address: 'elsewhere', preemptionNoticeS: 3 };
  const done: Heartbeat = {
    ...before,
    sequence: 2,
    tasks: w.heartbeat().tasks.map((task) => ({ ...task, state: 'exited', exitReason: 'done' })),
  };
  deliverLate(owner, before);
  deliverLate(owner, done);
  const machine = owner.controller.clusterState.machines.get(w.name);
  assert.equal(machine?.address, w.name);
  assert.equal(machine?.tenure.preemptionNoticeUntil, null);
  c.run(5);
  assert.equal(c.runningTasks('run-e'), 2);
  // Nor right after a takeover, when what was seen last is forgotten.
  owner.crash();
  owner.restart();
  c.runUntil('holds again', () => owner.controller.shardController.heldShards.size > 0, 20);
  deliverLate(owner, done);
  deliverLate(owner, before);
  c.run(5);
  assert.equal(c.runningTasks('run-e'), 2);
  assert.equal(c.queryStatus('run-e'), 'running');
  c.runUntil('done', () => c.queryStatus('run-e') === 'done', 60);
  assert.equal(c.trace.filter((l) => l.includes('starts run-e')).length, 2);
});

test("a controller that answers another's workers forwards what changes, and says of the rest that nothing did", () => {
  const c = clusterOfEight();
  c.submit(job('run-p', { shape: 'service', tasks: 8, spread: true, priority: 3, jobClass: 'serve' }));
  c.runUntil('running', () => c.runningTasks('run-p') === 8);
  c.run(6);
  const before = c.forwardedHeartbeats;
  const heartbeats = c.workers.reduce((count, w) => count + w.sequence, 0);
  c.run(40);
  const kept = c.workers.filter((w) => w.zone === 'west').length;
  // Each in full once in a while; without this it would be one of every two seconds.
  assert.ok(c.forwardedHeartbeats - before <= kept * 5, `${c.forwardedHeartbeats - before} passed on`);
  assert.ok(
    c.workers.reduce((count, w) => count + w.sequence, 0) - heartbeats >= 8 * 18,
    'and hardly any machine had to be asked',
  );
  for (const w of c.workers) {
    const node = c.controllers.find((x) =>
      x.controller.shardController.heldShards.has(x.controller.clusterState.machines.get(w.name)?.shard ?? -1),
    );
    assert.ok(
      node && c.now - (node.controller.clusterState.machines.get(w.name)?.tenure.lastHeartbeatAt ?? 0) < 4000,
      `${w.name} counts as heard`,
    );
  }
});

test('a machine whose agent restarts with a low epoch is probed, and used again', () => {
  const c = clusterOfEight();
  const w = c.workers[0] as SimulatedWorker;
  w.agentEpoch = 5;
  w.sequence = 900;
  c.run(10);
  c.submit(job('run-k', { shape: 'service', tasks: 12, priority: 3, jobClass: 'serve' }));
  c.runUntil('running', () => c.runningTasks('run-k') === 12);
  const had = w.tasks.size;
  assert.ok(had > 0);
  // Back within a moment: nothing of its earlier life is left.
  w.agentEpoch = 1;
  w.sequence = 0;
  w.fencingToken = 0;
  w.tasks.clear();
  w.renewedAt = c.now;
  c.runUntil('all run again', () => c.runningTasks('run-k') === 12, 20);
  assert.ok(!w.dead);
});

test('a worker whose controller has lost its workers is answered by another before it is sent back', () => {
  const c = clusterOfEight(8);
  c.submit(job('run-p', { shape: 'service', tasks: 16, priority: 3, jobClass: 'serve' }));
  c.runUntil('running', () => c.runningTasks('run-p') === 16);
  c.run(6);
  c.trace = [];
  // The west's controller answers nobody for a while, still hears others, and seems well to them.
  const west = (x: string) => c.workers.find((w) => w.name === x)?.zone === 'west';
  c.isPartitioned = (a, b) => (a === 'n1' && west(b)) || (b === 'n1' && west(a));
  c.run(12);
  c.isPartitioned = () => false;
  const back = c.workers.filter((w) => w.zone === 'west');
  c.runUntil('home again', () => back.every((w) => c.controllers[w.target % 3]?.name === 'n1'), 90);
  assert.deepEqual(
    c.trace.filter((l) => l.includes('lease over')),
    [],
  );
});

// A task that its owner knows nothing of ran on for as long as direct commands didn't get through to its machine.
test('a second attempt of a finished job is stopped by the answers to heartbeats, and its machine takes no new work meanwhile', () => {
  const cluster = smallCluster(2);
  cluster.submit(job('run-a', { estimatedRunS: 2 }));
  cluster.runUntil('done', () => cluster.queryStatus('run-a') === 'done', 30);
  const w = cluster.worker('m0') as SimulatedWorker;
  cluster.losesCommands = (_n, m) => m === 'm0';
  w.tasks.set('run-a/0/7', {
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
  const w = cluster.worker(cluster.machinesRunning('run-a')[0] as string) as SimulatedWorker;
  const odd = { index: 0, attempt: 99, state: 'running' as const, exitReason: null, saved: false, startedAt: cluster.now + 1e6 };
  cluster.specs.set('run-never', job('run-never', { cpus: 1 }));
  w.tasks.set('run-never/0/99', { ...odd, job: 'run-never' });
  w.tasks.set('run-a/7/99', { ...odd, job: 'run-a', index: 7 });
  cluster.run(10);
  assert.deepEqual(
    [...w.tasks.keys()].filter((key) => key.endsWith('/99')),
    [],
  );
  assert.equal(cluster.runningTasks('run-a'), 2);
});
