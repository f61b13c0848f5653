// A rolling upgrade from the production version to this one, and back, under load and with faults in its middle.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomizedSimulation } from './randomized/randomized-simulation.js';
import {
  CONTROLLER_NAMES,
  PRODUCTION_VERSION,
  productionCluster,
  submitJobOfEachKind,
  upgrade,
} from './scenarios/upgrade-scenarios.js';
import {
  assertGoldenTrace,
  holderOf,
  job,
  type SimulatedCluster,
  type SimulatedController,
  shardOf,
} from './simulation/index.js';

const allDone = (cluster: SimulatedCluster, ids: string[]) => ids.every((id) => cluster.allTasksDone(id));

for (const order of [
  ['n0', 'n1', 'n2'],
  ['n2', 'n1', 'n0'],
]) {
  test(`a rolling upgrade in the order ${order}: jobs that either version accepted run once, and every controller reports them done`, () => {
    const { cluster, currentVersion } = productionCluster();
    const ids = submitJobOfEachKind(cluster, 'before');
    for (const name of order) {
      upgrade(cluster.controller(name), currentVersion);
      cluster.run(4);
      ids.push(...submitJobOfEachKind(cluster, name));
      cluster.run(6);
    }
    cluster.runUntil('all jobs are done', () => allDone(cluster, ids), 200);
    cluster.run(5);
    for (const node of cluster.controllers)
      for (const id of ids) assert.equal(cluster.queryStatus(id, node), 'done', `${id} at ${node.name}`);
    // New features work, also with jobs that the old version accepted.
    cluster.submit(job('run-after', { estimatedRunS: 2 }), cluster.controllers[1], ids.slice(0, 3));
    cluster.runUntil('the job with dependencies is done', () => cluster.allTasksDone('run-after'), 60);
    if (order[0] === 'n0') assertGoldenTrace(cluster, 'upgrade-from-production');
  });
}

test('shards fail over from old to new controllers and back to a controller that restarts with the old version', () => {
  const { cluster, currentVersion } = productionCluster();
  cluster.submit(job('run-s', { shape: 'service', priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-s') === 1);
  const first = holderOf(cluster, shardOf(cluster, 'run-s'));
  const others = CONTROLLER_NAMES.filter((name) => name !== first);
  // Both other controllers are new: one of them takes over the shard from an old lease holder that has crashed.
  for (const name of others) {
    upgrade(cluster.controller(name), currentVersion);
    cluster.run(25);
  }
  cluster.controller(first).crash();
  cluster.runUntil('a new holder', () => others.includes(holderOf(cluster, shardOf(cluster, 'run-s'))), 60);
  // The old controller restarts, gets its shard back, and takes over the other shards when the other controllers crash.
  cluster.controller(first).restart();
  cluster.runUntil('the old controller holds the shard again', () => holderOf(cluster, shardOf(cluster, 'run-s')) === first, 90);
  cluster.submit(job('run-t', { team: 'blue', tasks: 4, estimatedRunS: 40 }), cluster.controller(others[0] as string));
  cluster.runUntil('running', () => cluster.runningTasks('run-t') === 4, 30);
  for (const name of others) cluster.controller(name).crash();
  cluster.runUntil('the old controller finishes all tasks', () => cluster.allTasksDone('run-t'), 120);
  assert.equal(cluster.runningTasks('run-s'), 1);
});

/** Faults in the middle of a rolling upgrade. Each one is over when its function returns. */
const FAULTS_DURING_UPGRADE: Record<string, (cluster: SimulatedCluster) => void> = {
  'a crash of all controllers': (cluster) => {
    for (const node of cluster.controllers) node.crash();
    cluster.run(1);
    for (const node of cluster.controllers) node.restart();
  },
  'a paused controller': (cluster) => {
    const node = cluster.controllers[1] as SimulatedController;
    node.pause();
    cluster.run(25);
    node.resume();
  },
  'a partition between old and new controllers': (cluster) => {
    const oneSide = new Set(['n0', 'n1']);
    cluster.isPartitioned = (a, b) =>
      CONTROLLER_NAMES.includes(a) && CONTROLLER_NAMES.includes(b) && oneSide.has(a) !== oneSide.has(b);
    cluster.run(25);
    cluster.isPartitioned = () => false;
  },
  'an outage of the state service': (cluster) => {
    cluster.isStateServiceDown = true;
    cluster.run(25);
    cluster.isStateServiceDown = false;
  },
  'a controller that alone loses the state service': (cluster) => {
    const node = cluster.controllers[0] as SimulatedController;
    node.isRefusedByStateService = true;
    cluster.run(25);
    node.isRefusedByStateService = false;
  },
};

for (const [name, injectFault] of Object.entries(FAULTS_DURING_UPGRADE)) {
  test(`a rolling upgrade with ${name} in its middle breaks no rule and loses no job`, () => {
    const { cluster, currentVersion } = productionCluster();
    const ids = submitJobOfEachKind(cluster, 'a');
    cluster.submit(job('run-called-off', { tasks: 3, estimatedRunS: 300 }));
    cluster.run(3);
    upgrade(cluster.controller('n0'), currentVersion);
    cluster.run(3);
    injectFault(cluster);
    cluster.run(1);
    cluster.runUntil(
      'a controller is ready again',
      () => cluster.controllers.some((node) => node.up && node.controller.isReady),
      60,
    );
    const readyController = cluster.controllers.find((node) => node.controller.isReady) as SimulatedController;
    cluster.cancel('run-called-off', readyController);
    upgrade(cluster.controller('n1'), currentVersion);
    cluster.run(4);
    injectFault(cluster);
    cluster.run(2);
    upgrade(cluster.controller('n2'), currentVersion);
    cluster.run(20);
    ids.push(...submitJobOfEachKind(cluster, 'b'));
    cluster.runUntil('all jobs are done', () => allDone(cluster, ids), 240);
    cluster.run(4);
    for (const node of cluster.controllers) {
      for (const id of ids) assert.equal(cluster.queryStatus(id, node), 'done');
      assert.equal(cluster.queryStatus('run-called-off', node), 'aborted');
    }
    assert.equal(cluster.runningTasks('run-a-service'), 2);
  });
}

/** For longer, by hand: WALKS=500 npm test. */
test('seeded random simulations with a rolling upgrade, chains of jobs after it and lowered limits break no rule', () => {
  for (let seed = 1; seed <= Number(process.env.WALKS ?? 8); seed++) {
    try {
      new RandomizedSimulation(seed, {
        initialVersion: PRODUCTION_VERSION,
        pipelines: true,
        nextLimits: { valueKib: 2, writesPerTransaction: 4, writesPerS: 45 },
      }).run(120);
    } catch (e) {
      assert.fail(`seed ${seed}: ${e instanceof Error ? e.message : e}`);
    }
  }
});
