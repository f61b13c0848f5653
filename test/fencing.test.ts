// Fencing: commands and transactions that arrive late find a higher token or another revision, and change nothing.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { holdShardElsewhere, storedLeaseHolder } from './scenarios/failover-scenarios.js';
import { deliverHeartbeatCopy } from './scenarios/partition-scenarios.js';
import {
  assertGoldenTrace,
  holderOf,
  job,
  SimulatedCluster,
  type SimulatedWorker,
  shardOf,
  smallCluster,
} from './simulation/index.js';

test('a machine that hangs and goes on later does not run what was started elsewhere', () => {
  const cluster = smallCluster(6);
  cluster.submit(job('run-h', { shape: 'service', priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-h') === 1);
  const worker = cluster.workers.find((candidate) => candidate.name === cluster.machinesRunning('run-h')[0]);
  assert.ok(worker);

  worker.hung = true;
  cluster.run(5);
  cluster.submit(job('run-i', { tasks: 4 }));
  cluster.run(2);
  worker.hung = false;

  cluster.run(30);
  assert.equal(cluster.runningTasks('run-h'), 1);
  assertGoldenTrace(cluster, 'hung-machine-goes-on');
});

test('a start whose answer was lost, and which comes late, finds a higher fencing token', () => {
  const cluster = smallCluster(2);
  const worker = cluster.workers[0];
  assert.ok(worker);

  // Hangs just as starts are sent: they are held, and executed when it goes on.
  worker.hung = true;
  cluster.submit(job('run-l', { tasks: 4, estimatedRunS: 60 }));
  cluster.run(4);
  worker.hung = false;

  cluster.runUntil('all running', () => cluster.runningTasks('run-l') === 4, 60);
  assertGoldenTrace(cluster, 'late-start-finds-a-higher-token');
});

test('the release of a shard lease is carried out, its answer lost and the watch late: the old holder starts nothing more', () => {
  const cluster = smallCluster(8);
  const { preferredHolder, currentHolder } = holdShardElsewhere(cluster);

  // Carried out at once; the old holder learns of it neither by the answer nor by its watch.
  cluster.losesTransactionResponse = (transaction, apply) => {
    if (!transaction.writes.some((write) => 'del' in write && write.del === 'a/h/1')) return false;
    currentHolder.isWatchLagging = true;
    apply();
    return true;
  };
  cluster.runUntil('claimed by its home', () => storedLeaseHolder(cluster, 1) === 'n1', 80);
  assert.ok(currentHolder.isWatchLagging);
  const machinesOfShard = [...currentHolder.controller.clusterState.machines.values()]
    .filter((machine) => machine.shard === 1)
    .map((machine) => machine.name);
  assert.ok(machinesOfShard.length >= 2);

  // Each of them reaches one machine alone: what both start is started twice.
  const last = machinesOfShard.at(-1);
  cluster.isPartitioned = (a, b) =>
    (a === preferredHolder.name && b !== last && machinesOfShard.includes(b)) || (a === currentHolder.name && b === last);
  cluster.submit(job('run-twice', { team: 'blue', estimatedRunS: 60 }), currentHolder);
  cluster.run(4);

  currentHolder.isWatchLagging = false;
  cluster.losesTransactionResponse = null;
  cluster.run(4);

  assert.equal(cluster.runningTasks('run-twice'), 1);
  assertGoldenTrace(cluster, 'released-and-not-told');
});

test('a start is delayed on its way while its sender restarts: it finds a higher fencing token', () => {
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

  assert.equal(cluster.trace.filter((line) => line.includes('starts run-a')).length, 1);
});

test('a start is lost for good: the fencing token rises, and the task is started anew', () => {
  const cluster = smallCluster(4);
  cluster.losesCommands = () => true;
  cluster.submit(job('run-a', { estimatedRunS: 60 }));

  const highestToken = () => Math.max(...cluster.workers.map((worker) => worker.fencingToken));
  const before = highestToken();

  cluster.run(1);
  cluster.losesCommands = () => false;
  cluster.runUntil('running', () => cluster.runningTasks('run-a') === 1, 20);

  assert.ok(highestToken() > before);
});

test('direct commands to a machine are lost while the cloud is down: the answers to its heartbeats stop what is cancelled', () => {
  const cluster = smallCluster(4);
  cluster.submit(job('run-c', { zone: 'east', estimatedRunS: 500 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-c') === 1);
  const machine = cluster.machinesRunning('run-c')[0];

  cluster.isCloudDown = true;
  cluster.losesCommands = (_controller, name) => name === machine;
  cluster.cancel('run-c');

  cluster.runUntil('gone', () => cluster.machinesRunning('run-c').length === 0, 36);
});

test('a machine executes its starts and its answer can not be read: nothing is started elsewhere', () => {
  const cluster = smallCluster(4);
  cluster.garblesCommandResponses = () => true;
  cluster.submit(job('run-a', { tasks: 3, estimatedRunS: 60 }));

  cluster.run(5);
  cluster.garblesCommandResponses = () => false;

  cluster.runUntil('running, once', () => cluster.runningTasks('run-a') === 3, 30);
  cluster.run(10);
  assert.equal(cluster.runningTasks('run-a'), 3);
});

test('a heartbeat with a higher fencing token than a controller knows is refused, so that the worker finds another', () => {
  const cluster = smallCluster(8);
  const worker = cluster.workers[0] as SimulatedWorker;
  cluster.run(5);
  const heartbeat = { ...worker.nextHeartbeat(), fencingToken: worker.fencingToken + 1_000 };

  for (const node of cluster.controllers) assert.ok([503, 421].includes(deliverHeartbeatCopy(node, heartbeat)));
  assert.ok(cluster.controllers.some((node) => deliverHeartbeatCopy(node, heartbeat) === 503));
  assert.ok(cluster.controllers.some((node) => deliverHeartbeatCopy(node, worker.nextHeartbeat()) === 200));
});

/** A job is cancelled while its start is on its way; then the start comes back, not carried out. */
function cancelledWhileItsStartIsSent(cluster: SimulatedCluster, fail: () => void, mend: () => void): void {
  fail();
  cluster.submit(job('run-a', { tasks: 2, estimatedRunS: 300 }));
  const owner = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-a')));
  const allocations = () => [...(owner.controller.clusterState.jobs.get('run-a')?.tenure.allocations.values() ?? [])];
  cluster.runUntil('sent', () => allocations().some((allocation) => allocation.phase === 'sent'), 5);

  cluster.cancel('run-a');
  mend();
  cluster.trace = [];
  cluster.run(20);

  assert.deepEqual(
    cluster.trace.filter((line) => line.includes('starts run-a')),
    [],
  );
  assert.equal(owner.controller.clusterState.jobs.has('run-a'), false, 'nothing is kept of it');
}

// A start that came back unsent was sent again, whatever had become of its job meanwhile.
test('a start that could not be sent is not sent again once its job is cancelled', () => {
  const cluster = smallCluster(4);
  cancelledWhileItsStartIsSent(
    cluster,
    () => {
      cluster.refusesCommands = () => true;
    },
    () => {
      cluster.refusesCommands = () => false;
    },
  );
});

// At the slowest rate of changes 240 tokens take a quarter of a minute to raise, and no stop leaves before its machine's is.
test('hundreds of machines lost their commands: those with cancelled work get their fencing tokens, and their stops, first', () => {
  const cluster = new SimulatedCluster(undefined, (settings) => ({
    ...settings,
    state: { ...settings.state, writesPerS: 15, writesPerTransaction: 4 },
    teams: settings.teams.slice(0, 1),
  }));
  for (let index = 0; index < 240; index++) cluster.addMachine(`m${1000 + index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.runUntilSettled();
  const ids = Array.from({ length: 6 }, (_, index) => `run-${index}`);
  for (const id of ids) cluster.submit(job(id, { tasks: 40, cpus: 3, estimatedRunS: 500 }));
  cluster.runUntil('all run', () => ids.every((id) => cluster.runningTasks(id) === 40), 60);
  cluster.run(20);

  // A second task for each machine: its start is lost, and nothing is answered meanwhile that could stop anything.
  cluster.losesCommands = () => true;
  cluster.submit(job('run-more', { tasks: 240, cpus: 1, estimatedRunS: 500 }));
  const owner = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-0')));
  const machines = () => [...owner.controller.clusterState.machines.values()];
  const sent = () =>
    [...(owner.controller.clusterState.jobs.get('run-more')?.tenure.allocations.values() ?? [])].filter(
      (allocation) => allocation.phase === 'sent',
    );
  cluster.runUntil('the starts are under way', () => sent().length > 200, 20);
  cluster.isStateServiceDown = true;
  const waiting = () => machines().filter((machine) => machine.tenure.hasUncertainCommand).length;
  cluster.runUntil('they are lost', () => waiting() > 200, 20);
  cluster.isStateServiceDown = false;
  cluster.losesHeartbeats = () => true;

  cluster.cancel('run-5');
  cluster.losesCommands = () => false;

  // Sooner than by their leases, which run out after twelve seconds.
  cluster.runUntil('what is cancelled is gone', () => cluster.machinesRunning('run-5').length === 0, 6);
  assert.ok(waiting() > 20, `${waiting()} machines still wait for their tokens`);
});
