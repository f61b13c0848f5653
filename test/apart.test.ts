// Machines and controllers that are apart from some of what they need, and news that come late.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Heartbeat } from '@archpost/protocol';
import {
  assertGoldenTrace,
  holderOf,
  job,
  SimulatedCluster,
  type SimulatedController,
  type SimulatedWorker,
  shardOf,
  smallCluster,
} from './simulation/index.js';

const clusterOfEight = (machines = 8) => smallCluster(machines);
const machineOf = (cluster: SimulatedCluster, id: string) =>
  cluster.workers.find((w) => w.name === cluster.machinesRunning(id)[0]) as SimulatedWorker;
/** Hands a copy of a report to a controller, as a network that held it back would. */
const deliverLate = (node: SimulatedController, heartbeat: Heartbeat) => {
  let said = 0;
  node.receiveHeartbeat(structuredClone(heartbeat), (status) => {
    said = status;
  });
  return said;
};

test('a machine whose reports come but that nothing reaches is given back, and its work goes on elsewhere', () => {
  const c = clusterOfEight();
  c.submit(job('run-w', { shape: 'service', priority: 3, jobClass: 'serve' }));
  c.runUntil('running', () => c.runningTasks('run-w') === 1);
  const w = machineOf(c, 'run-w');
  c.isDeaf = (_node, machine) => machine === w.name;
  c.runUntil('given back', () => w.dead, 40);
  c.runUntil('goes on elsewhere', () => c.runningTasks('run-w') === 1, 20);
  assert.deepEqual(
    c.workers.filter((x) => x.dead).map((x) => x.name),
    [w.name],
  );
  assertGoldenTrace(c, 'one-way-machine');
});

test('a controller that can reach no worker hands its shares over, throws no machine away, and they come home once', () => {
  const c = clusterOfEight(9);
  c.submit(job('run-v', { shape: 'service', tasks: 2, priority: 3, jobClass: 'serve' }));
  c.runUntil('running', () => c.runningTasks('run-v') === 2);
  const shard = shardOf(c, 'run-v');
  const apart = holderOf(c, shard);
  const tokens = () => c.controllers.map((node) => node.controller.clusterState.leaseOf(shard)?.revision ?? 0);
  c.isDeaf = (controller) => controller === apart;
  c.runUntil('taken over', () => holderOf(c, shard) !== apart && holderOf(c, shard) !== '', 30);
  c.submit(job('run-u', { team: c.specs.get('run-v')?.team ?? '', estimatedRunS: 3 }));
  c.runUntil('the new holder starts work', () => c.finished.has('run-u/0'), 30);
  c.run(20);
  const during = tokens();
  c.isDeaf = () => false;
  c.runUntil('home again', () => holderOf(c, shard) === apart, 40);
  const home = tokens();
  c.run(30);
  assert.deepEqual(tokens(), home, 'it does not go to and fro');
  assert.notDeepEqual(home, during);
  assert.deepEqual(
    c.workers.filter((x) => x.dead),
    [],
  );
  assert.equal(c.runningTasks('run-v'), 2);
});

test('in a zone cut off from the state service too, work ends by its leases and goes on elsewhere once its machines are given back', () => {
  const c = clusterOfEight();
  c.submit(job('run-z', { shape: 'service', tasks: 6, priority: 3, jobClass: 'serve' }));
  c.runUntil('running', () => c.runningTasks('run-z') === 6);
  const west = (x: string) => x === 'n1' || c.workers.find((w) => w.name === x)?.zone === 'west';
  assert.ok(c.machinesRunning('run-z').some(west));
  c.trace = [];
  c.isPartitioned = (a, b) => west(a) !== west(b);
  c.controller('n1').isRefusedByStateService = true;
  c.run(30);
  assert.equal(c.workers.filter((w) => w.dead).length, 0, 'a shorter cut costs no machine');
  c.runUntil('its leases are over', () => c.runningTasks('run-z') < 6, 20);
  c.runUntil('all run again', () => c.runningTasks('run-z') === 6, 40);
  const lines = c.trace.map((l) => l.trim().split(' ').slice(1).join(' '));
  for (const w of c.workers.filter((x) => x.dead)) {
    assert.ok(west(w.name) && lines.indexOf(`${w.name} kills its tasks: lease over`) < lines.indexOf(`${w.name} is given back`));
  }
  assertGoldenTrace(c, 'zone-cut-from-everything');
});

test('late copies of reports make no dead machine seem alive, at its owner, at a keeper or after a takeover', () => {
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

test('late copies at the keeper of another zone do not hide that a machine is silent', () => {
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

test('a late report neither frees, finishes nor moves anything that is newer', () => {
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

test('a keeper passes on what changes, and says of the rest that nothing did', () => {
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

test('a machine that begins again with a low session is asked, and used again', () => {
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

test('a report with a higher token than a controller knows is refused, so that the worker finds another', () => {
  const c = clusterOfEight();
  const w = c.workers[0] as SimulatedWorker;
  c.run(5);
  const r = { ...w.heartbeat(), fencingToken: w.fencingToken + 1_000 };
  for (const node of c.controllers) assert.ok([503, 421].includes(deliverLate(node, r)));
  assert.ok(c.controllers.some((node) => deliverLate(node, r) === 503));
  assert.ok(c.controllers.some((node) => deliverLate(node, w.heartbeat()) === 200));
});

test('a controller that alone lost the state service says so to the load balancer; in an outage of all none does', () => {
  const c = clusterOfEight();
  const node = c.controller('n2');
  node.isRefusedByStateService = true;
  c.run(8);
  assert.equal(node.controller.isReady, false);
  assert.equal(c.controller('n0').controller.isReady, true);
  assert.equal(c.queryStatus('run-none', node), '503');
  node.isRefusedByStateService = false;
  c.run(2);
  assert.equal(node.controller.isReady, true);
  // With the other controllers gone too, nothing tells it from an outage: it says no.
  node.isRefusedByStateService = true;
  c.isPartitioned = (a, b) =>
    (a === 'n2') !== (b === 'n2') && (a.startsWith('n') || b.startsWith('n')) && !a.startsWith('m') && !b.startsWith('m');
  c.run(8);
  assert.equal(node.controller.isReady, false);
  c.isPartitioned = () => false;
  node.isRefusedByStateService = false;
  c.run(5);
  c.isStateServiceDown = true;
  c.run(10);
  for (const n of c.controllers) assert.equal(n.controller.isReady, true);
});

test('a controller with its workers alone stops commanding with its lease, and refuses reports soon after', () => {
  const c = clusterOfEight();
  const node = c.controller('n2');
  const w = c.workers.find((x) => x.zone === 'east') as SimulatedWorker;
  node.isRefusedByStateService = true;
  c.isPartitioned = (a, b) => (a === 'n2' && b.startsWith('n')) || (b === 'n2' && a.startsWith('n'));
  c.run(10);
  assert.equal(deliverLate(node, w.heartbeat()), 200, 'its workers are kept for a while');
  c.run(9);
  for (const s of node.controller.shardController.heldShards.keys())
    assert.ok(!node.controller.shardController.allocations.holdsShard(s, c.now), 'no share is acted for without a lease');
  // Time for a cancellation that it can't know of, less what a worker's own lease takes.
  c.run(4);
  assert.equal(deliverLate(node, w.heartbeat()), 503);
  c.isPartitioned = () => false;
  node.isRefusedByStateService = false;
  c.runUntil('back', () => deliverLate(node, w.heartbeat()) !== 503, 20);
  const held = c.controllers.map((n) => n.controller.shardController.heldShards.size);
  c.run(30);
  assert.equal(
    c.controllers.reduce((count, x) => count + x.controller.shardController.heldShards.size, 0),
    3,
    `shares held: ${held}`,
  );
});

test('once troubles are over, every accepted job is answered by every controller, whatever became of its share', () => {
  const c = clusterOfEight();
  for (let index = 0; index < 9; index++) {
    const team = ['red', 'blue', 'green'][index % 3] as string;
    c.submit(job(`run-${index}`, { team, estimatedRunS: index < 3 ? 3 : 400 }), c.controllers[index % 3]);
  }
  c.runUntil('some done', () => c.finished.size >= 3, 40);
  c.cancel('run-4');
  // One controller crashes and comes back in the middle of the others' election, one is
  // refused by the state service until its shares are gone, and then all lose it.
  c.controller('n0').crash();
  c.controller('n2').isRefusedByStateService = true;
  c.run(2);
  c.controller('n0').restart();
  c.run(0.3);
  c.controller('n0').crash();
  c.controller('n0').restart();
  c.run(28);
  c.isStateServiceDown = true;
  c.run(10);
  c.isStateServiceDown = false;
  c.controller('n2').isRefusedByStateService = false;
  c.run(25);
  for (const node of c.controllers) {
    assert.ok(node.controller.isReady, `${node.name} takes users`);
    for (let index = 0; index < 9; index++) {
      const said = c.queryStatus(`run-${index}`, node);
      const gpuDemand = index < 3 ? ['done'] : index === 4 ? ['aborted'] : ['queued', 'running'];
      assert.ok(gpuDemand.includes(said), `${node.name} says ${said} of run-${index}`);
    }
  }
  assert.equal(
    c.controllers.reduce((count, node) => count + node.controller.shardController.heldShards.size, 0),
    3,
    'each share has one holder',
  );
});

test('repeats of submissions and cancellations that come late change nothing', () => {
  const c = clusterOfEight();
  c.submit(job('run-once', { estimatedRunS: 3 }));
  c.submit(job('run-gone', { estimatedRunS: 400 }));
  c.runUntil('running', () => c.runningTasks('run-gone') === 1);
  c.cancel('run-gone');
  c.runUntil('done', () => c.queryStatus('run-once') === 'done', 40);
  const starts = c.trace.filter((l) => l.includes('starts')).length;
  for (const node of c.controllers) {
    c.submit(c.specs.get('run-once') as ReturnType<typeof job>, node);
    c.submit(c.specs.get('run-gone') as ReturnType<typeof job>, node);
    c.cancel('run-once', node);
  }
  c.run(10);
  assert.equal(c.trace.filter((l) => l.includes('starts')).length, starts, 'nothing is started again');
  for (const node of c.controllers) {
    assert.equal(c.queryStatus('run-once', node), 'done');
    assert.equal(c.queryStatus('run-gone', node), 'aborted');
  }
  assert.equal(c.trace.filter((l) => l.includes('user told 201')).length, 2);
});

test('after a cut a share goes home only once its services run again: a change of holder stops starts', () => {
  const c = clusterOfEight(12);
  c.submit(job('run-q', { team: 'blue', shape: 'service', tasks: 10, priority: 3, jobClass: 'serve' }));
  c.runUntil('running', () => c.runningTasks('run-q') === 10);
  const shard = shardOf(c, 'run-q');
  const home = holderOf(c, shard);
  const zone = c.controller(home).controller.settings.zone;
  const inside = (x: string) => x === home || c.workers.find((w) => w.name === x)?.zone === zone;
  // Its home is cut off whole; a machine there dies, the others' work ends by its leases.
  for (const node of c.controllers) if (node.name !== home && node.controller.settings.zone === zone) node.crash();
  c.isPartitioned = (a, b) => inside(a) !== inside(b);
  c.controller(home).isRefusedByStateService = true;
  const dead = c.workers.find((w) => w.zone === zone && c.machinesRunning('run-q').includes(w.name));
  if (dead) {
    dead.dead = true;
    dead.tasks.clear();
  }
  const away = c.controllers.find((node) => node.up && node.name !== home) as SimulatedController;
  c.runUntil('taken over', () => (away.controller.clusterState.leaseOf(shard)?.holder.controller ?? home) !== home, 40);
  c.runUntil('its leases are over', () => !c.machinesRunning('run-q').some(inside), 40);
  // The cloud can't tell that the dead one is gone for a while: what may be on it waits.
  c.isCloudDown = true;
  c.isPartitioned = () => false;
  c.controller(home).isRefusedByStateService = false;
  for (const node of c.controllers) if (!node.up) node.restart();
  c.at(c.now + 15_000, () => {
    c.isCloudDown = false;
  });
  c.runUntil('at home', () => away.controller.clusterState.leaseOf(shard)?.holder.controller === home, 90);
  assert.equal(c.runningTasks('run-q'), 10);
});

test('a controller that loses all workers throws none of them away, before or after, and their leases go on elsewhere', () => {
  const cluster = new SimulatedCluster(['n0', 'n1', 'n2'], (settings) => ({ ...settings, teams: settings.teams.slice(0, 1) }));
  for (let index = 0; index < 40; index++) cluster.machine(`m${100 + index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.runUntilSettled();
  cluster.submit(job('run-k', { shape: 'service', tasks: 60, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-k') === 60);
  cluster.run(10);
  cluster.trace = [];
  // Neither reports nor answers pass, for longer than a lease; other controllers and the state
  // service it still reaches.
  const alone = holderOf(cluster, shardOf(cluster, 'run-k'));
  cluster.isPartitioned = (a, b) => (a === alone && b.startsWith('m')) || (b === alone && a.startsWith('m'));
  cluster.run(30);
  cluster.isPartitioned = () => false;
  cluster.run(30);
  assert.deepEqual(
    cluster.trace.filter((l) => /given back|lease over/.test(l)),
    [],
  );
  assert.equal(cluster.runningTasks('run-k'), 60);
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
