// Fencing: late commands and transactions are rejected by a higher fencing token or a newer revision, and change nothing.

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

test('a machine that hangs and resumes later does not run a task that was started elsewhere', () => {
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
  assertGoldenTrace(cluster, 'hung-machine-resumes');
});

test('a late start command whose response was lost is rejected by a higher fencing token', () => {
  const cluster = smallCluster(2);
  const worker = cluster.workers[0];
  assert.ok(worker);

  // The worker hangs as start commands are sent to it: they are held, and delivered when it resumes.
  worker.hung = true;
  cluster.submit(job('run-l', { tasks: 4, estimatedRunS: 60 }));
  cluster.run(4);
  worker.hung = false;

  cluster.runUntil('all running', () => cluster.runningTasks('run-l') === 4, 60);
  assertGoldenTrace(cluster, 'late-start-is-rejected');
});

test('the release of a shard lease is applied, but its response is lost and the watch lags: the old holder starts no more tasks', () => {
  const cluster = smallCluster(8);
  const { preferredHolder, currentHolder } = holdShardElsewhere(cluster);

  // The release is applied at once; the old holder learns of it neither by the response nor by its watch.
  cluster.losesTransactionResponse = (transaction, apply) => {
    if (!transaction.writes.some((write) => 'del' in write && write.del === 'a/h/1')) return false;
    currentHolder.isWatchLagging = true;
    apply();
    return true;
  };
  cluster.runUntil('the preferred holder has the lease', () => storedLeaseHolder(cluster, 1) === 'n1', 80);
  assert.ok(currentHolder.isWatchLagging);
  const machinesOfShard = [...currentHolder.controller.clusterState.machines.values()]
    .filter((machine) => machine.shard === 1)
    .map((machine) => machine.name);
  assert.ok(machinesOfShard.length >= 2);

  // The two controllers reach different machines, so that a task which both start would run twice.
  const last = machinesOfShard.at(-1);
  cluster.isPartitioned = (a, b) =>
    (a === preferredHolder.name && b !== last && machinesOfShard.includes(b)) || (a === currentHolder.name && b === last);
  cluster.submit(job('run-twice', { team: 'blue', estimatedRunS: 60 }), currentHolder);
  cluster.run(4);

  currentHolder.isWatchLagging = false;
  cluster.losesTransactionResponse = null;
  cluster.run(4);

  assert.equal(cluster.runningTasks('run-twice'), 1);
  assertGoldenTrace(cluster, 'lease-release-without-response');
});

test('a start command that is delayed while its sender restarts is rejected by a higher fencing token', () => {
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

test('a start command is lost: the fencing token is raised, and the task is started again', () => {
  const cluster = smallCluster(4);
  cluster.losesCommands = () => true;
  cluster.submit(job('run-a', { estimatedRunS: 60 }));

  const highestToken = () => Math.max(...cluster.workers.map((worker) => worker.fencingToken));
  const tokenBefore = highestToken();

  cluster.run(1);
  cluster.losesCommands = () => false;
  cluster.runUntil('running', () => cluster.runningTasks('run-a') === 1, 20);

  assert.ok(highestToken() > tokenBefore);
});

test('direct commands to a machine are lost while the cloud is down: the responses to its heartbeats stop cancelled tasks', () => {
  const cluster = smallCluster(4);
  cluster.submit(job('run-c', { zone: 'east', estimatedRunS: 500 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-c') === 1);
  const machine = cluster.machinesRunning('run-c')[0];

  cluster.isCloudDown = true;
  cluster.losesCommands = (_controller, name) => name === machine;
  cluster.cancel('run-c');

  cluster.runUntil('the task is stopped', () => cluster.machinesRunning('run-c').length === 0, 36);
});

test('a machine executes start commands and its response is unreadable: no task is started elsewhere', () => {
  const cluster = smallCluster(4);
  cluster.garblesCommandResponses = () => true;
  cluster.submit(job('run-a', { tasks: 3, estimatedRunS: 60 }));

  cluster.run(5);
  cluster.garblesCommandResponses = () => false;

  cluster.runUntil('running', () => cluster.runningTasks('run-a') === 3, 30);
  cluster.run(10);
  assert.equal(cluster.runningTasks('run-a'), 3);
});

test('a heartbeat with a higher fencing token than the controller knows is refused, so that the worker turns to another controller', () => {
  const cluster = smallCluster(8);
  const worker = cluster.workers[0] as SimulatedWorker;
  cluster.run(5);
  const heartbeat = { ...worker.nextHeartbeat(), fencingToken: worker.fencingToken + 1_000 };

  for (const node of cluster.controllers) assert.ok([503, 421].includes(deliverHeartbeatCopy(node, heartbeat)));
  assert.ok(cluster.controllers.some((node) => deliverHeartbeatCopy(node, heartbeat) === 503));
  assert.ok(cluster.controllers.some((node) => deliverHeartbeatCopy(node, worker.nextHeartbeat()) === 200));
});

/** Cancels a job whose start commands are being sent; then the commands fail without being executed. */
function cancelWhileStartsFail(cluster: SimulatedCluster, fail: () => void, repair: () => void): void {
  fail();
  cluster.submit(job('run-a', { tasks: 2, estimatedRunS: 300 }));
  const owner = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-a')));
  const allocations = () => [...(owner.controller.clusterState.jobs.get('run-a')?.tenure.allocations.values() ?? [])];
  cluster.runUntil('sent', () => allocations().some((allocation) => allocation.phase === 'sent'), 5);

  cluster.cancel('run-a');
  repair();
  cluster.trace = [];
  cluster.run(20);

  assert.deepEqual(
    cluster.trace.filter((line) => line.includes('starts run-a')),
    [],
  );
  assert.equal(owner.controller.clusterState.jobs.has('run-a'), false, 'the job is removed from the cluster state');
}

// A start command that could not be sent was sent again without a check whether its job had been cancelled.
test('a start command that could not be sent is not sent again once its job is cancelled', () => {
  const cluster = smallCluster(4);
  cancelWhileStartsFail(
    cluster,
    () => {
      cluster.refusesCommands = () => true;
    },
    () => {
      cluster.refusesCommands = () => false;
    },
  );
});

// At 15 writes per second it takes about 15 s to raise 240 tokens, and a machine gets no stop command before its token is raised.
test('commands to 240 machines are lost: machines with cancelled work get new fencing tokens and stop commands first', () => {
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

  // A second task for each machine: its start command is lost, and no heartbeat response can stop tasks meanwhile.
  cluster.losesCommands = () => true;
  cluster.submit(job('run-more', { tasks: 240, cpus: 1, estimatedRunS: 500 }));
  const owner = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-0')));
  const machines = () => [...owner.controller.clusterState.machines.values()];
  const sentStarts = () =>
    [...(owner.controller.clusterState.jobs.get('run-more')?.tenure.allocations.values() ?? [])].filter(
      (allocation) => allocation.phase === 'sent',
    );
  cluster.runUntil('the start commands are pending', () => sentStarts().length > 200, 20);
  cluster.isStateServiceDown = true;
  const uncertainCount = () => machines().filter((machine) => machine.tenure.hasUncertainCommand).length;
  cluster.runUntil('the start commands are lost', () => uncertainCount() > 200, 20);
  cluster.isStateServiceDown = false;
  cluster.losesHeartbeats = () => true;

  cluster.cancel('run-5');
  cluster.losesCommands = () => false;

  // Sooner than the end of their leases, which expire after 12 s.
  cluster.runUntil('the cancelled tasks are stopped', () => cluster.machinesRunning('run-5').length === 0, 6);
  assert.ok(uncertainCount() > 20, `${uncertainCount()} machines still wait for a new token`);
});
