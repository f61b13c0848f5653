// Repeated commands: a request that a worker executed may arrive again at any later time. No start in it may run its task again.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { holderOfJob } from './scenarios/failover-scenarios.js';
import { workerRunning } from './scenarios/partition-scenarios.js';
import { PRODUCTION_VERSION, productionCluster, upgrade } from './scenarios/upgrade-scenarios.js';
import { assertGoldenTrace, job, SimulatedCluster, type SimulatedWorker, smallCluster } from './simulation/index.js';

/** Number of the latest requests of each worker that arrive again at each step of the simulation. */
const REPEATED_REQUESTS = 40;

/** Returns the starts in the cluster's trace. */
const startsIn = (cluster: SimulatedCluster): string[] => cluster.trace.filter((line) => line.includes(' starts '));

/** Delivers the executed starts of all workers once more. Fails if a task starts by it. */
function repeatStarts(cluster: SimulatedCluster): void {
  const before = startsIn(cluster).length;
  for (const worker of cluster.workers) {
    const count = worker.executedStartCount;
    for (let index = Math.max(0, count - REPEATED_REQUESTS); index < count; index++) worker.repeatExecutedStart(index);
  }
  const repeated = startsIn(cluster).slice(before);
  assert.deepEqual(repeated, [], `started by a repeated request:\n${cluster.trace.join('\n')}`);
}

/** From now on every step repeats the executed starts. */
function repeatAtEachStep(cluster: SimulatedCluster): SimulatedCluster {
  cluster.afterStep = () => repeatStarts(cluster);
  return cluster;
}

/** Submits an array task and a service that needs its machine. Runs until the task runs on another machine. */
function preemptArrayTask(cluster: SimulatedCluster): { first: SimulatedWorker } {
  cluster.submit(job('run-array', { priority: 0, cpus: 4, estimatedRunS: 500 }));
  cluster.runUntil('the task runs', () => cluster.runningTasks('run-array') === 1);
  const first = workerRunning(cluster, 'run-array');
  cluster.submit(job('run-service', { shape: 'service', priority: 3, jobClass: 'serve', cpus: 4, memory: 8, zone: first.zone }));
  cluster.runUntil(
    'the task runs elsewhere',
    () => cluster.runningTasks('run-array') === 1 && workerRunning(cluster, 'run-array') !== first,
  );
  return { first };
}

/** A cluster with one machine in each zone. */
const twoMachines = (): SimulatedCluster => repeatAtEachStep(smallCluster(2));

/** A cluster with two machines that have accelerators. */
function acceleratorCluster(): SimulatedCluster {
  const cluster = new SimulatedCluster();
  cluster.addMachine('g0', 'big', 'east');
  cluster.addMachine('g1', 'big', 'east');
  cluster.runUntilSettled();
  return repeatAtEachStep(cluster);
}

// The case of an independent review: the task ran on two machines.
test('an array task is preempted and runs elsewhere, its sender crashes, and its first start is repeated', () => {
  const cluster = smallCluster(2);
  const { first } = preemptArrayTask(cluster);
  cluster.cancel('run-service');
  cluster.runUntil('the first machine is empty', () => cluster.machinesRunning('run-service').length === 0);

  const sender = cluster.controller(holderOfJob(cluster, 'run-array'));
  sender.crash();
  cluster.run(1);
  cluster.note(`${first.name} receives its first start again`);
  first.repeatExecutedStart(0);
  cluster.run(2);
  sender.restart();
  cluster.run(20);

  assert.equal(cluster.runningTasks('run-array'), 1);
  assertGoldenTrace(cluster, 'repeated-start');
});

test('a preempted array task: no start is repeated, whoever holds its shard by then', () => {
  const cluster = twoMachines();
  preemptArrayTask(cluster);
  cluster.cancel('run-service');
  cluster.run(10);
  const sender = cluster.controller(holderOfJob(cluster, 'run-array'));
  sender.crash();
  cluster.runUntil('taken over', () => !['', sender.name].includes(holderOfJob(cluster, 'run-array')), 40);
  cluster.run(10);
  sender.restart();
  cluster.run(90);
  assert.equal(cluster.runningTasks('run-array'), 1);
});

test('a gang is preempted whole and runs again: no start is repeated', () => {
  const cluster = acceleratorCluster();
  const gang = { shape: 'gang' as const, gpus: 8, cpus: 40 };
  cluster.submit(job('run-low', { ...gang, tasks: 2, checkpointIntervalS: 5, checkpointSaveS: 2, estimatedRunS: 30 }));
  cluster.runUntil('both run', () => cluster.runningTasks('run-low') === 2, 40);
  cluster.submit(job('run-high', { ...gang, team: 'blue', priority: 2, estimatedRunS: 5 }));
  cluster.runUntil('the other gang runs', () => cluster.runningTasks('run-high') === 1, 30);
  cluster.runUntil('the gang runs again', () => cluster.runningTasks('run-low') === 2, 60);
  cluster.runUntil('done', () => cluster.queryStatus('run-low') === 'done', 60);
  cluster.run(20);
});

test('tasks that failed are tried elsewhere: no start is repeated', () => {
  const cluster = repeatAtEachStep(smallCluster(6));
  cluster.failingJobs.add('run-fails');
  cluster.submit(job('run-fails', { tasks: 2, estimatedRunS: 60 }));
  cluster.run(2);
  cluster.failingJobs.clear();
  cluster.runUntil('all tasks run', () => cluster.runningTasks('run-fails') === 2, 120);
  cluster.run(10);
});

test('a machine that gets a preemption notice is drained and kept by the cloud: no start is repeated', () => {
  const cluster = new SimulatedCluster();
  cluster.addMachine('m0', 'small', 'east', true);
  cluster.addMachine('m1', 'small', 'east', true);
  cluster.runUntilSettled();
  repeatAtEachStep(cluster);
  cluster.submit(job('run-service', { shape: 'service', priority: 3, jobClass: 'serve', allowsSpot: true }));
  cluster.runUntil('running', () => cluster.runningTasks('run-service') === 1);
  const first = workerRunning(cluster, 'run-service');
  first.preemptionNoticeS = 300;
  cluster.isCloudDown = true;
  const runsElsewhere = () => cluster.runningTasks('run-service') === 1 && workerRunning(cluster, 'run-service') !== first;
  cluster.runUntil('it runs elsewhere', runsElsewhere, 30);
  cluster.run(20);
  assert.equal(cluster.runningTasks('run-service'), 1);
});

test('tasks and jobs that are done or cancelled: no start is repeated, also long after the cancellation', () => {
  const cluster = twoMachines();
  // Tasks of the cancelled array are done, running and waiting.
  cluster.submit(job('run-array', { tasks: 9, estimatedRunS: 8 }));
  cluster.submit(job('run-gang', { shape: 'gang', tasks: 2, cpus: 0.5, estimatedRunS: 20, team: 'blue' }));
  cluster.submit(job('run-service', { shape: 'service', tasks: 2, cpus: 0.5, team: 'green' }));
  cluster.runUntil('some tasks are done', () => cluster.finished.size >= 4, 60);
  cluster.cancel('run-array');
  cluster.cancel('run-service');
  cluster.runUntil('the gang is done', () => cluster.queryStatus('run-gang') === 'done', 60);
  cluster.run(60);
  for (const node of cluster.controllers) {
    node.crash();
    cluster.run(2);
    node.restart();
    cluster.run(8);
  }
});

test('machines move between shards after their tasks ended: no start is repeated', () => {
  const cluster = twoMachines();
  for (const team of ['red', 'blue', 'green', 'red']) {
    const id = `run-${cluster.specs.size}`;
    cluster.submit(job(id, { team, tasks: 4, cpus: 2, estimatedRunS: 4 }));
    cluster.runUntil(`${id} is done`, () => cluster.allTasksDone(id), 90);
  }
  cluster.run(30);
});

// The job is unknown, so the attempt has no allocation. Its start had the token under which the controller started another task.
test('a task without an allocation is stopped and forgotten: its start is not repeated', () => {
  const cluster = twoMachines();
  cluster.submit(job('run-a', { cpus: 1, estimatedRunS: 300 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-a') === 1);
  const worker = workerRunning(cluster, 'run-a');
  const unknown = { type: 'start', job: 'run-b', index: 0, attempt: 99 } as const;
  cluster.specs.set('run-b', job('run-b', { team: 'blue', cpus: 1, estimatedRunS: 300 }));

  worker.receiveCommands(worker.fencingToken, worker.agentEpoch, [unknown]);
  cluster.runUntil('it is stopped', () => cluster.machinesRunning('run-b').length === 0, 20);
  cluster.runUntil('it is forgotten', () => !worker.tasks.has('run-b/0/99'), 20);
  cluster.run(20);
  assert.equal(cluster.runningTasks('run-a'), 1);
});

test('the lease of a worker expires and its task runs elsewhere: no start is repeated in the next session', () => {
  const cluster = twoMachines();
  cluster.submit(job('run-a', { estimatedRunS: 200 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-a') === 1);
  const first = workerRunning(cluster, 'run-a');
  cluster.losesHeartbeats = (name) => name === first.name;
  cluster.losesCommands = (_controller, name) => name === first.name;
  cluster.isCloudDown = true;
  cluster.runUntil('the lease expired', () => first.agentEpoch > 1, 40);
  cluster.losesHeartbeats = () => false;
  cluster.losesCommands = () => false;
  cluster.runUntil('running again', () => cluster.runningTasks('run-a') === 1, 40);
  cluster.run(20);
  assert.equal(cluster.runningTasks('run-a'), 1);
});

test('the state service is down while tasks are preempted: no attempt is forgotten before a higher fencing token is stored', () => {
  const cluster = smallCluster(3);
  repeatAtEachStep(cluster);
  cluster.submit(job('run-array', { priority: 0, tasks: 2, cpus: 4, estimatedRunS: 500, zone: 'east' }));
  cluster.runUntil('the tasks run', () => cluster.runningTasks('run-array') === 2);
  cluster.submit(job('run-service', { shape: 'service', priority: 3, jobClass: 'serve', cpus: 4, memory: 8, zone: 'east' }));
  cluster.isStateServiceDown = true;
  cluster.run(8);
  cluster.isStateServiceDown = false;
  cluster.runUntil('the service runs', () => cluster.runningTasks('run-service') === 1, 30);
  cluster.run(5);
  cluster.cancel('run-service');
  cluster.runUntil('both tasks run again', () => cluster.runningTasks('run-array') === 2, 40);
  cluster.run(10);
});

test('a worker that restarts within its session: its tasks start elsewhere only once it has a higher fencing token', () => {
  const cluster = smallCluster(2);
  cluster.submit(job('run-a', { tasks: 2, estimatedRunS: 200 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-a') === 2);
  const first = workerRunning(cluster, 'run-a');
  first.reboot(true);
  // It takes no further task, and isn't released.
  first.preemptionNoticeS = 300;
  cluster.isCloudDown = true;
  // A repeated start may run the task on this machine again, but not while it runs elsewhere: the rule checker sees that.
  const repeat = () => {
    for (let index = 0; index < first.executedStartCount; index++) first.repeatExecutedStart(index);
  };
  cluster.runUntil('running elsewhere', () => cluster.runningTasks('run-a') === 2, 40);
  cluster.afterStep = repeat;
  cluster.run(20);
  assert.equal(cluster.runningTasks('run-a'), 2);
});

/** A cluster of six machines whose shards but one have no team. `writesPerS`: writes that the state service accepts. */
function clusterOfOneTeam(writesPerS: number): SimulatedCluster {
  const cluster = new SimulatedCluster(undefined, (settings) => ({
    ...settings,
    state: { ...settings.state, writesPerS },
    teams: settings.teams.slice(0, 1),
  }));
  for (let index = 0; index < 6; index++) cluster.addMachine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.runUntilSettled();
  return cluster;
}

/** Returns the highest number of tasks in a heartbeat from now on. */
function highestTaskCount(cluster: SimulatedCluster): () => number {
  let highest = 0;
  cluster.onHeartbeat = (heartbeat) => {
    highest = Math.max(highest, heartbeat.tasks.length);
  };
  return () => highest;
}

test('short tasks end one after another: one write lets a worker forget many of them', () => {
  const cluster = repeatAtEachStep(clusterOfOneTeam(60));
  const highest = highestTaskCount(cluster);
  const writesBefore = cluster.changes.get('g') ?? 0;
  cluster.submit(job('run-short', { tasks: 600, cpus: 1, memory: 1, estimatedRunS: 1 }));
  cluster.runUntil('all tasks are done', () => cluster.allTasksDone('run-short'), 200);
  const writes = (cluster.changes.get('g') ?? 0) - writesBefore;
  assert.ok(writes <= 600 / 32, `${writes} assignments written again`);
  assert.ok(highest() <= 100, `${highest()} tasks in a heartbeat`);
});

// A worker whose heartbeat exceeds 64 KiB gets no answer, and loses its tasks.
test('hundreds of tasks a second end and hardly any write is left: heartbeats stay small', () => {
  const cluster = repeatAtEachStep(clusterOfOneTeam(4));
  const highest = highestTaskCount(cluster);
  cluster.submit(job('run-tiny', { tasks: 20_000, cpus: 0.05, memory: 0.1, estimatedRunS: 0.5 }));
  cluster.run(60);
  assert.ok(highest() <= 450, `${highest()} tasks in a heartbeat`);
  const finished = cluster.finished.size;
  cluster.run(20);
  assert.ok(cluster.finished.size > finished, 'tasks go on ending');
});

test('a lease holder of the version in production takes over machines that report exited tasks: what runs is left alone', () => {
  const { cluster, currentVersion } = productionCluster(2);
  for (const node of cluster.controllers) upgrade(node, currentVersion);
  cluster.run(30);
  repeatAtEachStep(cluster);
  cluster.submit(job('run-short', { tasks: 12, cpus: 0.5, memory: 1, estimatedRunS: 1 }));
  cluster.submit(job('run-long', { tasks: 2, cpus: 0.5, memory: 1, estimatedRunS: 300 }));
  cluster.submit(job('run-gang', { tasks: 2, shape: 'gang', cpus: 0.5, memory: 1, estimatedRunS: 300 }));
  cluster.runUntil('the short tasks are done', () => cluster.allTasksDone('run-short'), 60);
  cluster.run(5);
  const holder = cluster.controller(holderOfJob(cluster, 'run-long'));
  cluster.trace = [];

  for (const node of cluster.controllers) if (node !== holder) upgrade(node, PRODUCTION_VERSION);
  cluster.run(30);
  upgrade(holder, PRODUCTION_VERSION);
  cluster.run(30);

  assert.equal(cluster.runningTasks('run-long'), 2);
  assert.equal(cluster.runningTasks('run-gang'), 2);
  assert.deepEqual(
    cluster.trace.filter((line) => / (starts|stops|kills) /.test(line)),
    [],
  );
});
