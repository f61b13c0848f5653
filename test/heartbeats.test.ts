// Heartbeats: stale, repeated and forwarded ones, restarted agents, and tasks that a heartbeat response stops.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Heartbeat } from '@archpost/protocol';
import { deliverHeartbeatCopy, workerRunning } from './scenarios/partition-scenarios.js';
import { assertGoldenTrace, holderOf, job, type SimulatedWorker, shardOf, smallCluster } from './simulation/index.js';

test('a controller in a partitioned zone answers heartbeats there, so tasks keep running', () => {
  const cluster = smallCluster(8);
  cluster.submit(job('run-z', { shape: 'service', tasks: 4, spread: true, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-z') === 4);
  const isWest = (name: string) => name === 'n1' || cluster.workers.find((worker) => worker.name === name)?.zone === 'west';
  const before = cluster.trace.length;
  cluster.isPartitioned = (a, b) => isWest(a) !== isWest(b);
  cluster.run(40);
  cluster.isPartitioned = () => false;
  cluster.run(15);
  const since = cluster.trace.slice(before);
  assert.deepEqual(
    since.filter((line) => line.includes('kills') || line.includes('is released')),
    [],
  );
  assert.equal(cluster.runningTasks('run-z'), 4);
  assertGoldenTrace(cluster, 'controller-in-a-partitioned-zone');
});

test("copies of older heartbeats after a restart of a machine's agent do not move the tasks that it runs now", () => {
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
  // Another machine is now preferred for the task, should the controller take it for lost.
  cluster.cancel('run-f1');
  cluster.run(2);
  for (const oldHeartbeat of [
    copy,
    { ...copy, sequence: copy.sequence + 40, tasks: [] },
    { ...copy, agentEpoch: 3, sequence: copy.sequence + 500, tasks: [] },
  ]) {
    for (const node of cluster.controllers) node.receiveHeartbeat(structuredClone(oldHeartbeat), () => {});
    cluster.run(8);
  }
  assertGoldenTrace(cluster, 'agent-restart-and-old-heartbeats');
});

test('a worker whose heartbeats are lost but that direct commands reach is probed, and its work runs again', () => {
  const cluster = smallCluster(6);
  cluster.submit(job('run-v', { shape: 'service', tasks: 2, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-v') === 2);
  const silentMachine = cluster.machinesRunning('run-v')[0];
  cluster.losesHeartbeats = (machine) => machine === silentMachine;
  // Its lease expires meanwhile: only its probe responses can report that its tasks have ended.
  cluster.runUntil('its lease expires', () => cluster.trace.some((line) => line.includes('kills')), 30);
  cluster.runUntil('running again', () => cluster.runningTasks('run-v') === 2, 8);
  cluster.run(20);
  cluster.losesHeartbeats = () => false;
  cluster.run(10);
  assert.equal(cluster.runningTasks('run-v'), 2);
});

test('late copies of heartbeats do not delay the release of a dead machine, at any controller and after a failover', () => {
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
  const diedAt = cluster.now;
  for (let index = 0; index < 20 && !worker.dead; index++) {
    cluster.run(1);
    // One copy to each controller, oldest first, for longer than the silence timeout.
    for (const node of cluster.controllers) deliverHeartbeatCopy(node, copies[index % copies.length] as Heartbeat);
  }
  assert.ok(worker.dead, `not released within ${(cluster.now - diedAt) / 1000} s`);
  cluster.runUntil('the service runs elsewhere', () => cluster.runningTasks('run-d') === 1, 20);
  assertGoldenTrace(cluster, 'late-heartbeats');
});

test('late copies at a forwarding controller of another zone do not hide that a machine is silent', () => {
  const cluster = smallCluster(8);
  const forwardingController = cluster.controller('n1');
  const worker = cluster.workers.find((candidate) => {
    const machine = forwardingController.controller.clusterState.machines.get(candidate.name);
    return candidate.zone === 'west' && machine !== undefined && holderOf(cluster, machine.shard) !== 'n1';
  });
  assert.ok(worker, 'a machine in the west whose shard is held in the east');
  const copies: Heartbeat[] = [];
  for (let index = 0; index < 8; index++) {
    cluster.run(1);
    copies.push(worker.nextHeartbeat());
  }
  // The forwarding controller receives heartbeats that are newer than all copies.
  cluster.run(3);
  worker.hung = true;
  cluster.run(1);
  for (let index = 0; index < 9 && !worker.dead; index++) {
    cluster.run(1);
    deliverHeartbeatCopy(forwardingController, copies[index % copies.length] as Heartbeat);
  }
  assert.ok(worker.dead, 'the machine is released as silent despite late copies');
});

test('a stale heartbeat does not change the tasks, address or preemption notice of a machine', () => {
  const cluster = smallCluster(8);
  cluster.submit(job('run-e', { tasks: 2, estimatedRunS: 30 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-e') === 2);
  const worker = workerRunning(cluster, 'run-e');
  const owner = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-e')));
  cluster.run(3);
  const staleHeartbeat: Heartbeat = {
    ...worker.nextHeartbeat(),
    sequence: 1,
    tasks: [],
    address: 'elsewhere',
    preemptionNoticeS: 3,
  };
  const staleCompletion: Heartbeat = {
    ...staleHeartbeat,
    sequence: 2,
    tasks: worker.nextHeartbeat().tasks.map((task) => ({ ...task, state: 'exited', exitReason: 'done' })),
  };
  deliverHeartbeatCopy(owner, staleHeartbeat);
  deliverHeartbeatCopy(owner, staleCompletion);
  const machine = owner.controller.clusterState.machines.get(worker.name);
  assert.equal(machine?.address, worker.name);
  assert.equal(machine?.tenure.preemptionNoticeUntil, null);
  cluster.run(5);
  assert.equal(cluster.runningTasks('run-e'), 2);
  // Nor right after a failover, when the new holder doesn't know the last sequence number.
  owner.crash();
  owner.restart();
  cluster.runUntil('it holds a shard again', () => owner.controller.shardController.heldShards.size > 0, 20);
  deliverHeartbeatCopy(owner, staleCompletion);
  deliverHeartbeatCopy(owner, staleHeartbeat);
  cluster.run(5);
  assert.equal(cluster.runningTasks('run-e'), 2);
  assert.equal(cluster.queryStatus('run-e'), 'running');
  cluster.runUntil('done', () => cluster.queryStatus('run-e') === 'done', 60);
  assert.equal(cluster.trace.filter((line) => line.includes('starts run-e')).length, 2);
});

test("a controller that answers another controller's workers forwards changed heartbeats in full and reports the others as unchanged", () => {
  const cluster = smallCluster(8);
  cluster.submit(job('run-p', { shape: 'service', tasks: 8, spread: true, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-p') === 8);
  cluster.run(6);
  const forwardedBefore = cluster.forwardedHeartbeats;
  const heartbeats = cluster.workers.reduce((count, worker) => count + worker.sequence, 0);
  cluster.run(40);
  const westCount = cluster.workers.filter((worker) => worker.zone === 'west').length;
  // Each machine's heartbeat is forwarded in full now and then; otherwise it would be forwarded every two seconds.
  assert.ok(
    cluster.forwardedHeartbeats - forwardedBefore <= westCount * 5,
    `${cluster.forwardedHeartbeats - forwardedBefore} forwarded`,
  );
  assert.ok(
    cluster.workers.reduce((count, worker) => count + worker.sequence, 0) - heartbeats >= 8 * 18,
    'heartbeats kept arriving, so hardly any machine was probed',
  );
  for (const worker of cluster.workers) {
    const node = cluster.controllers.find((controller) =>
      controller.controller.shardController.heldShards.has(
        controller.controller.clusterState.machines.get(worker.name)?.shard ?? -1,
      ),
    );
    assert.ok(
      node && cluster.now - (node.controller.clusterState.machines.get(worker.name)?.tenure.lastHeartbeatAt ?? 0) < 4000,
      `the shard holder is in contact with ${worker.name}`,
    );
  }
});

test('a machine whose agent restarts with a lower epoch is probed and used again', () => {
  const cluster = smallCluster(8);
  const worker = cluster.workers[0] as SimulatedWorker;
  worker.agentEpoch = 5;
  worker.sequence = 900;
  cluster.run(10);
  cluster.submit(job('run-k', { shape: 'service', tasks: 12, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-k') === 12);
  const taskCount = worker.tasks.size;
  assert.ok(taskCount > 0);
  // The agent restarts at once, without any state of its earlier run.
  worker.agentEpoch = 1;
  worker.sequence = 0;
  worker.fencingToken = 0;
  worker.tasks.clear();
  worker.leaseRenewedAt = cluster.now;
  cluster.runUntil('all tasks run again', () => cluster.runningTasks('run-k') === 12, 20);
  assert.ok(!worker.dead);
});

test('workers whose controller is cut off from them are answered by another one, and return later, before their leases expire', () => {
  const cluster = smallCluster(8);
  cluster.submit(job('run-p', { shape: 'service', tasks: 16, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-p') === 16);
  cluster.run(6);
  cluster.trace = [];
  // The controller of the west answers no worker there for 12 s, but stays in contact with the other controllers.
  const isWest = (name: string) => cluster.workers.find((worker) => worker.name === name)?.zone === 'west';
  cluster.isPartitioned = (a, b) => (a === 'n1' && isWest(b)) || (b === 'n1' && isWest(a));
  cluster.run(12);
  cluster.isPartitioned = () => false;
  const westWorkers = cluster.workers.filter((worker) => worker.zone === 'west');
  cluster.runUntil(
    'they use their own controller again',
    () => westWorkers.every((worker) => cluster.controllers[worker.controllerIndex % 3]?.name === 'n1'),
    90,
  );
  assert.deepEqual(
    cluster.trace.filter((line) => line.includes('lease expired')),
    [],
  );
});

// A task that the shard holder did not know kept running for as long as direct commands did not reach its machine.
test('an unknown attempt of a finished job is stopped by the responses to heartbeats while direct commands are lost', () => {
  const cluster = smallCluster(2);
  cluster.submit(job('run-a', { estimatedRunS: 2 }));
  cluster.runUntil('done', () => cluster.queryStatus('run-a') === 'done', 30);
  const worker = cluster.worker('m0') as SimulatedWorker;
  cluster.losesCommands = (_controller, machine) => machine === 'm0';
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

test('impossible tasks in a heartbeat are stopped, and other tasks keep running', () => {
  const cluster = smallCluster(2);
  cluster.submit(job('run-a', { tasks: 2, cpus: 1, estimatedRunS: 300 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-a') === 2);
  const worker = cluster.worker(cluster.machinesRunning('run-a')[0] as string) as SimulatedWorker;
  const impossibleTask = {
    index: 0,
    attempt: 99,
    state: 'running' as const,
    exitReason: null,
    saved: false,
    startedAt: cluster.now + 1e6,
  };
  cluster.specs.set('run-never', job('run-never', { cpus: 1 }));
  worker.tasks.set('run-never/0/99', { ...impossibleTask, job: 'run-never' });
  worker.tasks.set('run-a/7/99', { ...impossibleTask, job: 'run-a', index: 7 });
  cluster.run(10);
  assert.deepEqual(
    [...worker.tasks.keys()].filter((key) => key.endsWith('/99')),
    [],
  );
  assert.equal(cluster.runningTasks('run-a'), 2);
});

// A machine that is back within a moment has a worker whose epoch begins again.
test('a copy of a heartbeat from before a restart of the agent has a higher epoch: the tasks that run now do not count as lost', () => {
  const cluster = smallCluster(4);
  const worker = cluster.workers[0] as SimulatedWorker;
  cluster.isCloudDown = true;
  cluster.losesHeartbeats = (name) => name === worker.name;
  cluster.losesCommands = (_controller, name) => name === worker.name;
  cluster.runUntil('its lease expired', () => worker.agentEpoch === 2, 40);
  const copy = worker.nextHeartbeat();
  cluster.losesHeartbeats = () => false;
  cluster.losesCommands = () => false;
  cluster.run(5);
  worker.reboot();
  cluster.run(10);
  cluster.submit(job('run-a', { tasks: 4, cpus: 4, estimatedRunS: 300 }));
  cluster.runUntil('all machines run a task', () => cluster.runningTasks('run-a') === 4, 60);
  cluster.run(5);

  for (const node of cluster.controllers) deliverHeartbeatCopy(node, copy);
  const holder = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-a')));
  assert.equal(holder.controller.clusterState.jobs.get('run-a')?.pendingCount(), 0, 'a task that runs is to be started again');
  cluster.run(10);
  assert.equal(cluster.runningTasks('run-a'), 4);
});
