// A roll from the version in production to this one, and back, under load and with troubles in its middle.

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
  test(`a roll in the order ${order}: what either version accepted runs once, and every answer stands`, () => {
    const { cluster, present } = productionCluster();
    const ids = submitJobOfEachKind(cluster, 'before');
    for (const name of order) {
      upgrade(cluster.controller(name), present);
      cluster.run(4);
      ids.push(...submitJobOfEachKind(cluster, name));
      cluster.run(6);
    }
    cluster.runUntil('all is done', () => allDone(cluster, ids), 200);
    cluster.run(5);
    for (const node of cluster.controllers)
      for (const id of ids) assert.equal(cluster.queryStatus(id, node), 'done', `${id} at ${node.name}`);
    // And what is new is served, on top of what the old version accepted.
    cluster.submit(job('run-after', { estimatedRunS: 2 }), cluster.controllers[1], ids.slice(0, 3));
    cluster.runUntil('the first that awaits others', () => cluster.allTasksDone('run-after'), 60);
    if (order[0] === 'n0') assertGoldenTrace(cluster, 'roll-from-production');
  });
}

test('failovers in both directions, and an old process that comes back old', () => {
  const { cluster, present } = productionCluster();
  cluster.submit(job('run-s', { shape: 'service', priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-s') === 1);
  const first = holderOf(cluster, shardOf(cluster, 'run-s'));
  const others = CONTROLLER_NAMES.filter((name) => name !== first);
  // Both others are new: one of them takes the share over from an old holder that is gone.
  for (const name of others) {
    upgrade(cluster.controller(name), present);
    cluster.run(25);
  }
  cluster.controller(first).crash();
  cluster.runUntil('a new holder', () => others.includes(holderOf(cluster, shardOf(cluster, 'run-s'))), 60);
  // It comes back old, is handed its share again, and takes over the rest when the others are gone.
  cluster.controller(first).restart();
  cluster.runUntil('home with the old one', () => holderOf(cluster, shardOf(cluster, 'run-s')) === first, 90);
  cluster.submit(job('run-t', { team: 'blue', tasks: 4, estimatedRunS: 40 }), cluster.controller(others[0] as string));
  cluster.runUntil('running', () => cluster.runningTasks('run-t') === 4, 30);
  for (const name of others) cluster.controller(name).crash();
  cluster.runUntil('all is done by the old one', () => cluster.allTasksDone('run-t'), 120);
  assert.equal(cluster.runningTasks('run-s'), 1);
});

/** Troubles in the middle of a roll; each leaves the cluster as it would be without it. */
const MIDDLE: Record<string, (cluster: SimulatedCluster) => void> = {
  'a crash of all': (cluster) => {
    for (const node of cluster.controllers) node.crash();
    cluster.run(1);
    for (const node of cluster.controllers) node.restart();
  },
  'a controller that stands still': (cluster) => {
    const node = cluster.controllers[1] as SimulatedController;
    node.pause();
    cluster.run(25);
    node.resume();
  },
  'a cut between old and new': (cluster) => {
    const cut = new Set(['n0', 'n1']);
    cluster.isPartitioned = (a, b) => CONTROLLER_NAMES.includes(a) && CONTROLLER_NAMES.includes(b) && cut.has(a) !== cut.has(b);
    cluster.run(25);
    cluster.isPartitioned = () => false;
  },
  'a state outage': (cluster) => {
    cluster.isStateServiceDown = true;
    cluster.run(25);
    cluster.isStateServiceDown = false;
  },
  'one that loses the state service alone': (cluster) => {
    const node = cluster.controllers[0] as SimulatedController;
    node.isRefusedByStateService = true;
    cluster.run(25);
    node.isRefusedByStateService = false;
  },
};

for (const [name, trouble] of Object.entries(MIDDLE)) {
  test(`a roll with ${name} in its middle breaks nothing and loses nothing`, () => {
    const { cluster, present } = productionCluster();
    const ids = submitJobOfEachKind(cluster, 'a');
    cluster.submit(job('run-called-off', { tasks: 3, estimatedRunS: 300 }));
    cluster.run(3);
    upgrade(cluster.controller('n0'), present);
    cluster.run(3);
    trouble(cluster);
    cluster.run(1);
    cluster.runUntil('answers again', () => cluster.controllers.some((node) => node.up && node.controller.isReady), 60);
    const teller = cluster.controllers.find((node) => node.controller.isReady) as SimulatedController;
    cluster.cancel('run-called-off', teller);
    upgrade(cluster.controller('n1'), present);
    cluster.run(4);
    trouble(cluster);
    cluster.run(2);
    upgrade(cluster.controller('n2'), present);
    cluster.run(20);
    ids.push(...submitJobOfEachKind(cluster, 'b'));
    cluster.runUntil('all is done', () => allDone(cluster, ids), 240);
    cluster.run(4);
    for (const node of cluster.controllers) {
      for (const id of ids) assert.equal(cluster.queryStatus(id, node), 'done');
      assert.equal(cluster.queryStatus('run-called-off', node), 'aborted');
    }
    assert.equal(cluster.runningTasks('run-a-service'), 2);
  });
}

/** For long by hand: WALKS=500 npm test. */
test('seeded random simulations over a roll, chains of jobs after it and limits that fall break no rule', () => {
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
