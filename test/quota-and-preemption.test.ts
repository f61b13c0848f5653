// Quota, queue order and preemption: which jobs get resources first when there are not enough for all.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { withTeamWithoutGuarantee } from './scenarios/on-call-scenarios.js';
import { assertGoldenTrace, job, SimulatedCluster } from './simulation/index.js';

test('a gang above its quota is preempted whole for one within its own, and runs again whole', () => {
  const cluster = new SimulatedCluster();
  cluster.addMachine('g0', 'big', 'east');
  cluster.addMachine('g1', 'big', 'east');
  cluster.runUntilSettled();
  const low = {
    shape: 'gang' as const,
    tasks: 2,
    gpus: 8,
    cpus: 40,
    estimatedRunS: 30,
    checkpointIntervalS: 5,
    checkpointSaveS: 2,
  };
  cluster.submit(job('run-low', { ...low, team: 'red', priority: 1 }));
  cluster.runUntil('both running', () => cluster.runningTasks('run-low') === 2, 40);
  cluster.submit(job('run-high', { team: 'blue', shape: 'gang', gpus: 8, cpus: 40, estimatedRunS: 5, priority: 2 }));
  cluster.runUntil('the gang within its quota runs', () => cluster.runningTasks('run-high') === 1, 30);
  const stops = cluster.trace.filter((line) => line.includes('stops run-low')).map((line) => Number(line.trim().split(' ')[0]));
  assert.equal(stops.length, 2);
  assert.ok(Math.abs((stops[0] ?? 0) - (stops[1] ?? 0)) <= 4, 'all are stopped within gang_peer_s');
  assert.equal(cluster.machinesRunning('run-low').length, 0);
  cluster.runUntil('the preempted gang runs whole again', () => cluster.runningTasks('run-low') === 2, 60);
  cluster.runUntil('done', () => cluster.queryStatus('run-low') === 'done', 60);
  assertGoldenTrace(cluster, 'gang-stopped-whole');
});

test('a large gang that has waited gets machines reserved for it, while small gangs keep arriving', () => {
  const cluster = new SimulatedCluster();
  for (let index = 0; index < 3; index++) cluster.addMachine(`g${index}`, 'big', 'east');
  cluster.runUntilSettled();
  const one = { team: 'red', shape: 'gang' as const, gpus: 8, cpus: 40, estimatedRunS: 18, priority: 1 };
  let count = 0;
  const small = () => cluster.submit(job(`run-s${count++}`, one));
  small();
  cluster.run(6);
  small();
  cluster.runUntil('two run', () => cluster.runningTasks('run-s0') === 1 && cluster.runningTasks('run-s1') === 1, 30);
  // Three machines, of which two are always in use; the team may use two at once.
  cluster.submit(job('run-big', { ...one, tasks: 2, estimatedRunS: 5 }));
  const since = cluster.now;
  while (cluster.runningTasks('run-big') < 2 && cluster.now - since < 240_000) {
    cluster.run(7);
    small();
  }
  assert.equal(cluster.runningTasks('run-big'), 2, `not started within ${(cluster.now - since) / 1000} s`);
});

test('a burst of jobs of a team without quota uses idle capacity, is preempted at once, and causes few writes', () => {
  const cluster = new SimulatedCluster(['n0', 'n1', 'n2'], withTeamWithoutGuarantee);
  for (let index = 0; index < 12; index++) cluster.addMachine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.runUntilSettled();
  const changes = () => [...cluster.changes.values()].reduce((a, count) => a + count, 0);
  const before = changes();
  const guestJobs = Array.from({ length: 60 }, (_, index) => `run-g${index}`);
  for (const id of guestJobs) cluster.submit(job(id, { team: 'guest', priority: 0, cpus: 1, memory: 2, estimatedRunS: 8 }));
  cluster.submit(job('run-first', { team: 'red', shape: 'service', tasks: 4, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('the service does not wait', () => cluster.runningTasks('run-first') === 4, 8);
  cluster.runUntil('the jobs of the burst are done', () => guestJobs.every((id) => cluster.finished.has(`${id}/0`)), 120);
  cluster.run(5);
  for (const id of guestJobs) assert.equal(cluster.queryStatus(id), 'done');
  assert.ok(changes() - before < guestJobs.length * 2.5 + 150, `${changes() - before} changes for ${guestJobs.length} jobs`);
});

test('gangs of a team without quota preempt no gang of equal priority, not even one above its quota', () => {
  const cluster = new SimulatedCluster(['n0', 'n1', 'n2'], withTeamWithoutGuarantee);
  cluster.addMachine('g0', 'big', 'east');
  cluster.addMachine('g1', 'big', 'east');
  cluster.runUntilSettled();
  const train = { shape: 'gang' as const, gpus: 8, cpus: 40, memory: 100, estimatedRunS: 200, priority: 1 };
  cluster.submit(job('run-0', { ...train, team: 'red' }));
  cluster.submit(job('run-1', { ...train, team: 'red' }));
  cluster.runUntil('both run', () => cluster.runningTasks('run-0') + cluster.runningTasks('run-1') === 2, 40);
  cluster.submit(job('run-guest', { ...train, team: 'guest' }));
  cluster.run(60);
  assert.equal(cluster.runningTasks('run-0') + cluster.runningTasks('run-1'), 2);
});

test('machines with short tasks of the lowest priority get several starts in one command', () => {
  const cluster = new SimulatedCluster(['n0', 'n1', 'n2'], withTeamWithoutGuarantee);
  for (let index = 0; index < 6; index++) cluster.addMachine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.runUntilSettled();
  cluster.submit(job('run-tiles', { team: 'guest', priority: 0, tasks: 2000, cpus: 0.5, memory: 1, estimatedRunS: 0.7 }));
  cluster.run(10);
  const before = cluster.commands;
  const done = cluster.finished.size;
  cluster.run(20);
  assert.ok(cluster.finished.size - done > 200, 'tasks keep finishing');
  assert.ok(cluster.commands - before <= 6 * 20 * 1.1, `${cluster.commands - before} commands`);
});

/** Capacity for six tasks of 8 s at a time, a large array, and for 240 s a small array of `tasks` tasks every 8 s. */
function runLargeAndSmallArrays(tasks: number): { cluster: SimulatedCluster; late: string[]; largeStartedAfterS: () => number } {
  const withinS = 60;
  const cluster = new SimulatedCluster(['n0', 'n1', 'n2'], (settings) => ({
    ...settings,
    objectives: [{ kind: 'finished', jobClass: 'batch', withinS, afterS: null, share: 0.95, most: null }],
  }));
  for (let index = 0; index < 3; index++) cluster.addMachine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.runUntilSettled();
  for (let index = 0; index < 2; index++) cluster.submit(job(`run-first${index}`, { tasks: 6, estimatedRunS: 8 }));
  cluster.run(2);
  const startedAt = cluster.now;
  cluster.submit(job('run-large', { tasks: 80, estimatedRunS: 8 }));
  const late: string[] = [];
  for (let count = 0; cluster.now - startedAt < 240_000; count++) {
    const id = `run-small${count}`;
    cluster.submit(job(id, { tasks, estimatedRunS: 8 }));
    cluster.runAt(cluster.now + withinS * 1000, () => {
      for (let index = 0; index < tasks; index++) if (!cluster.finished.has(`${id}/${index}`)) late.push(`${id}/${index}`);
    });
    cluster.run(8);
  }
  const largeStartedAfterS = () =>
    Number.parseFloat(cluster.trace.find((line) => line.includes('starts run-large/')) ?? 'Infinity') - startedAt / 1000;
  return { cluster, late, largeStartedAfterS };
}

test('when more arrays wait than can meet their objectives, the largest is postponed', () => {
  const { cluster, late } = runLargeAndSmallArrays(5);
  assert.deepEqual(late, [], 'the small arrays meet their objectives');
  cluster.runUntil('the large array is done too', () => cluster.finished.has('run-large/79'), 200);
});

test('a postponed array starts within four minutes, whatever else is submitted', () => {
  const { largeStartedAfterS } = runLargeAndSmallArrays(8);
  assert.ok(largeStartedAfterS() < 240, `after ${largeStartedAfterS()} s`);
});

/** One large machine, almost all of it used by a gang within its team's guarantee. */
function machineUsedByGang(): SimulatedCluster {
  const cluster = new SimulatedCluster();
  cluster.addMachine('m0', 'big', 'east');
  cluster.runUntilSettled();
  cluster.submit(
    job('run-train', { shape: 'gang', priority: 2, jobClass: 'train', cpus: 43, gpus: 8, memory: 310, estimatedRunS: 300 }),
  );
  cluster.runUntil('the gang runs', () => cluster.runningTasks('run-train') === 1);
  return cluster;
}

test('services of the highest priority that lack capacity for longer than the plan wait preempt a gang within its quota', () => {
  const cluster = machineUsedByGang();
  cluster.submit(job('run-serve', { shape: 'service', priority: 3, jobClass: 'serve', tasks: 16, memory: 7 }));
  cluster.run(8);
  assert.equal(cluster.runningTasks('run-train'), 1, 'not before other capacity had time to become free');
  cluster.runUntil('all replicas run', () => cluster.runningTasks('run-serve') === 16, 30);
  assert.equal(cluster.runningTasks('run-train'), 0);
  cluster.addMachine('m1', 'big', 'west');
  cluster.runUntil('the gang runs on the other machine', () => cluster.runningTasks('run-train') === 1, 40);
  assertGoldenTrace(cluster, 'service-preempts-gang-within-quota');
});

test('a machine that runs a gang within its quota is moved to a shard whose services lack capacity', () => {
  const cluster = machineUsedByGang();
  cluster.submit(job('run-serve', { team: 'blue', shape: 'service', priority: 3, jobClass: 'serve', tasks: 12, memory: 7 }));
  cluster.run(10);
  assert.equal(cluster.runningTasks('run-train'), 1);
  cluster.runUntil('replicas run', () => cluster.runningTasks('run-serve') === 12, 60);
  assert.deepEqual(cluster.machinesRunning('run-serve'), ['m0']);
});

test('a few replicas without capacity preempt no gang within its quota', () => {
  const cluster = machineUsedByGang();
  cluster.submit(job('run-serve', { shape: 'service', priority: 3, jobClass: 'serve', tasks: 6, memory: 7 }));
  cluster.submit(job('run-other', { team: 'blue', shape: 'service', priority: 3, jobClass: 'serve', tasks: 6, memory: 7 }));
  cluster.run(60);
  assert.equal(cluster.runningTasks('run-train'), 1);
  assert.equal(cluster.runningTasks('run-serve'), 2, 'two replicas fit beside the gang');
});
