// Who comes first when there is not room for all.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { assertGoldenTrace, job, SimulatedCluster } from './simulation/index.js';

/** Six places for tasks of 8 s, a large array, and for 200 s a small one of `tasks` every 8 s. */
function largeAndSmall(tasks: number): { c: SimulatedCluster; late: string[]; largeBegan: () => number } {
  const withinS = 60;
  const cluster = new SimulatedCluster(['n0', 'n1', 'n2'], (settings) => ({
    ...settings,
    objectives: [{ kind: 'finished', jobClass: 'batch', withinS, afterS: null, share: 0.95, most: null }],
  }));
  for (let index = 0; index < 3; index++) cluster.machine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.runUntilSettled();
  for (let index = 0; index < 2; index++) cluster.submit(job(`run-first${index}`, { tasks: 6, estimatedRunS: 8 }));
  cluster.run(2);
  const began = cluster.now;
  cluster.submit(job('run-large', { tasks: 80, estimatedRunS: 8 }));
  const late: string[] = [];
  for (let count = 0; cluster.now - began < 240_000; count++) {
    const id = `run-small${count}`;
    cluster.submit(job(id, { tasks, estimatedRunS: 8 }));
    cluster.at(cluster.now + withinS * 1000, () => {
      for (let index = 0; index < tasks; index++) if (!cluster.finished.has(`${id}/${index}`)) late.push(`${id}/${index}`);
    });
    cluster.run(8);
  }
  const largeBegan = () =>
    Number.parseFloat(cluster.trace.find((l) => l.includes('starts run-large/')) ?? 'Infinity') - began / 1000;
  return { c: cluster, late, largeBegan };
}

test('when more arrays wait than can be kept, the largest is put off', () => {
  const { c: cluster, late } = largeAndSmall(5);
  assert.deepEqual(late, [], 'the small ones are kept');
  cluster.runUntil('the large one is done too', () => cluster.finished.has('run-large/79'), 200);
});

test('an array that is put off begins within four minutes, whatever comes', () => {
  const { largeBegan } = largeAndSmall(8);
  assert.ok(largeBegan() < 240, `after ${largeBegan()} s`);
});

/** One large machine, all of it but a little taken by a gang within its team's guarantee. */
function oneTakenMachine(): SimulatedCluster {
  const cluster = new SimulatedCluster();
  cluster.machine('m0', 'big', 'east');
  cluster.runUntilSettled();
  cluster.submit(
    job('run-train', { shape: 'gang', priority: 2, jobClass: 'train', cpus: 43, gpus: 8, memory: 310, estimatedRunS: 300 }),
  );
  cluster.runUntil('trains', () => cluster.runningTasks('run-train') === 1);
  return cluster;
}

test('services of the highest rank that find no room for a plan wait take the place of a gang within its guarantee', () => {
  const cluster = oneTakenMachine();
  cluster.submit(job('run-serve', { shape: 'service', priority: 3, jobClass: 'serve', tasks: 16, memory: 7 }));
  cluster.run(8);
  assert.equal(cluster.runningTasks('run-train'), 1, 'not before other room had time to come free');
  cluster.runUntil('all replicas run', () => cluster.runningTasks('run-serve') === 16, 30);
  assert.equal(cluster.runningTasks('run-train'), 0);
  cluster.machine('m1', 'big', 'west');
  cluster.runUntil('the gang goes on elsewhere', () => cluster.runningTasks('run-train') === 1, 40);
  assertGoldenTrace(cluster, 'service-before-firm-gang');
});

test('a machine that bears a gang within its guarantee goes to the share whose services press', () => {
  const cluster = oneTakenMachine();
  cluster.submit(job('run-serve', { team: 'blue', shape: 'service', priority: 3, jobClass: 'serve', tasks: 12, memory: 7 }));
  cluster.run(10);
  assert.equal(cluster.runningTasks('run-train'), 1);
  cluster.runUntil('replicas run', () => cluster.runningTasks('run-serve') === 12, 60);
  assert.deepEqual(cluster.machinesRunning('run-serve'), ['m0']);
});

test('a few replicas without room stop no gang within its guarantee', () => {
  const cluster = oneTakenMachine();
  cluster.submit(job('run-serve', { shape: 'service', priority: 3, jobClass: 'serve', tasks: 6, memory: 7 }));
  cluster.submit(job('run-other', { team: 'blue', shape: 'service', priority: 3, jobClass: 'serve', tasks: 6, memory: 7 }));
  cluster.run(60);
  assert.equal(cluster.runningTasks('run-train'), 1);
  assert.equal(cluster.runningTasks('run-serve'), 2, 'beside it there is room for two');
});
