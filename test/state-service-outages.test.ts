// Outages of the state service, of all controllers or of one: who acts, who answers workers and users, and for how long.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { deliverHeartbeatCopy } from './scenarios/partition-scenarios.js';
import {
  assertGoldenTrace,
  holderOf,
  job,
  type SimulatedCluster,
  type SimulatedWorker,
  shardOf,
  smallCluster,
} from './simulation/index.js';

test('no start while the state service is away for long, and none is lost when it is back', () => {
  const cluster = smallCluster(6);
  cluster.isStateServiceDown = true;
  cluster.run(12);
  const before = cluster.trace.length;
  cluster.isStateServiceDown = false;
  cluster.run(1);
  cluster.submit(job('run-o', { tasks: 2, estimatedRunS: 3 }));
  cluster.runUntil('done', () => cluster.queryStatus('run-o') === 'done', 40);
  assert.ok(cluster.trace.length > before);
});

test('an answer never goes back: a controller without the state service refuses rather than guess', () => {
  const cluster = smallCluster(6);
  cluster.submit(job('run-b', { tasks: 1, estimatedRunS: 300 }), cluster.controller('n0'));
  cluster.controller('n2').isRefusedByStateService = true;
  cluster.run(1);
  cluster.cancel('run-b', cluster.controller('n0'));
  assert.equal(cluster.queryStatus('run-b', cluster.controller('n1')), 'aborted');
  assert.equal(cluster.queryStatus('run-b', cluster.controller('n2')), '503');
});

test('in an outage longer than a lease nobody acts; after it the holders go on, and probe no machine anew', () => {
  const cluster = smallCluster(6);
  cluster.submit(job('run-x', { shape: 'service', priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-x') === 1);
  cluster.isStateServiceDown = true;
  cluster.run(45);
  for (const node of cluster.controllers)
    for (const s of node.controller.shardController.heldShards.keys())
      assert.ok(!node.controller.shardController.allocations.holdsShard(s, cluster.now));
  const stamps = () => [0, 1, 2].map((s) => cluster.controllers[0]?.controller.clusterState.leaseOf(s)?.revision);
  const before = stamps();
  cluster.isStateServiceDown = false;
  cluster.run(1);
  assert.equal(cluster.runningTasks('run-x'), 1);
  cluster.submit(job('run-y', { tasks: 2, estimatedRunS: 3 }));
  cluster.runUntil('done', () => cluster.queryStatus('run-y') === 'done', 40);
  assert.deepEqual(stamps(), before);
  assert.deepEqual(
    cluster.workers.filter((worker) => worker.dead),
    [],
  );
  assertGoldenTrace(cluster, 'outage-longer-than-a-lease');
});

test('a controller that the state service alone refuses starts nothing that others may have called off meanwhile', () => {
  const cluster = smallCluster(2);
  cluster.submit(job('run-a', { tasks: 4, estimatedRunS: 9 }));
  cluster.runUntil('full', () => cluster.runningTasks('run-a') === 4);
  cluster.submit(job('run-z', { tasks: 2, estimatedRunS: 9 }));
  cluster.run(1);
  const owner = cluster.controller(holderOf(cluster, 0));
  owner.isRefusedByStateService = true;
  cluster.run(0.5);
  cluster.cancel(
    'run-z',
    cluster.controllers.find((node) => node !== owner),
  );
  cluster.runUntil('room comes free', () => cluster.finished.size === 4, 12);
  cluster.run(15);
  assert.ok(!cluster.trace.some((line) => line.includes('starts run-z')));
});

/**
 * The gap: the state service refuses the leading controller alone, another one confirms cancellations,
 * then it is down for all for longer than cancel_s (36 s), while workers go on reporting to the old leader.
 * Guards against leases that go on by answers of a controller that can't have read the cancellation.
 */
for (const refusedIs of ['the owner', 'the lead', 'owner and lead', 'neither'] as const) {
  test(`the state service refuses ${refusedIs}, then an outage: cancelled work is gone in time, whatever the outage's length and distance`, () => {
    for (const [before, outage] of [
      [0.4, 52],
      [2, 52],
      [10, 52],
      [17, 40],
      [2, 37],
      [2, 24],
      [2, 21],
    ] as const) {
      const cluster = smallCluster(8);
      const ids = ['run-gap0', 'run-gap1', 'run-gap2', 'run-gap3'];
      for (const [index, id] of ids.entries())
        cluster.submit(job(id, { team: ['red', 'blue', 'green', 'red'][index] as string, tasks: 3, estimatedRunS: 500 }));
      cluster.runUntil('running', () => ids.every((id) => cluster.runningTasks(id) === 3));
      const lead = holderOf(cluster, 'lead');
      const holder = holderOf(cluster, shardOf(cluster, 'run-gap0'));
      assert.notEqual(lead, holder);
      const third = cluster.names.find((n) => n !== lead && n !== holder) as string;
      const refused = { 'the owner': [holder], 'the lead': [lead], 'owner and lead': [holder, lead], neither: [third] }[
        refusedIs
      ];
      const confirming = cluster.controllers.find((node) => !refused.includes(node.name));
      assert.ok(confirming);
      for (const name of refused) cluster.controller(name).isRefusedByStateService = true;
      cluster.run(before / 2);
      for (const id of ids) cluster.cancel(id, confirming);
      cluster.run(before / 2);
      cluster.isStateServiceDown = true;
      cluster.run(outage / 2);
      // Repeats and questions are refused, or answered as before.
      for (const node of cluster.controllers) assert.ok(['aborted', '503'].includes(cluster.queryStatus('run-gap0', node)));
      cluster.run(outage / 2);
      cluster.isStateServiceDown = false;
      for (const name of refused) cluster.controller(name).isRefusedByStateService = false;
      cluster.runUntil('all gone', () => ids.every((id) => cluster.machinesRunning(id).length === 0), 20);
      cluster.run(3);
      for (const node of cluster.controllers) assert.equal(cluster.queryStatus('run-gap1', node), 'aborted');
      if (refusedIs === 'the owner' && before === 0.4) assertGoldenTrace(cluster, 'the-gap');
    }
  });
}

/**
 * In an outage of all nobody can confirm a new cancellation, and controllers that hear all others tell one
 * another so: work goes on through any outage. Guards against taking that for granted where it doesn't hold.
 */
test('an outage far longer than a lease kills nothing while all controllers hear one another', () => {
  const cluster = smallCluster(8);
  cluster.submit(job('run-v', { shape: 'service', tasks: 2, priority: 3, jobClass: 'serve' }));
  cluster.submit(job('run-a', { tasks: 4, estimatedRunS: 100 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-v') === 2 && cluster.runningTasks('run-a') === 4);
  cluster.run(2);
  cluster.isStateServiceDown = true;
  cluster.run(90);
  assert.equal(cluster.runningTasks('run-v') + cluster.runningTasks('run-a'), 6);
  cluster.isStateServiceDown = false;
  cluster.run(2);
  cluster.cancel('run-v');
  cluster.runUntil('done', () => cluster.queryStatus('run-a') === 'done', 60);
  assert.ok(!cluster.trace.some((line) => line.includes('kills')));
  assertGoldenTrace(cluster, 'outage-that-all-ride-out');
});

const UNTOLD: Record<
  string,
  {
    before?: (cluster: SimulatedCluster, from: string, to: string) => void;
    after?: (cluster: SimulatedCluster, from: string) => void;
  }
> = {
  'is cut off, one way, from the one that confirmed it': {
    after: (cluster, from) => {
      cluster.losesPeerMessages = (a) => a === from;
    },
  },
  'hears that one again after its restart': {
    after: (cluster, from) => {
      cluster.controller(from).crash();
      cluster.runAt(cluster.now + 300, () => cluster.controller(from).restart());
    },
  },
  'hears late what that one said before': {
    before: (cluster, from, to) => {
      cluster.delaysPeerMessages = (a, b) => a === from && b === to;
    },
  },
  'hears that there is something that it can not read': {},
};

for (const [what, trouble] of Object.entries(UNTOLD)) {
  test(`a controller that could not read a cancellation ${what}: its work is gone in time in a long outage`, () => {
    for (const which of [0, 1]) {
      const cluster = smallCluster(8);
      const ids = ['run-v0', 'run-v1', 'run-v2'];
      for (const [index, id] of ids.entries())
        cluster.submit(job(id, { team: ['red', 'blue', 'green'][index] as string, tasks: 3, estimatedRunS: 500 }));
      cluster.runUntil('running', () => ids.every((id) => cluster.runningTasks(id) === 3));
      cluster.run(3);
      const old = cluster.controller(holderOf(cluster, 0));
      const confirming = cluster.controllers.filter((node) => node !== old)[which];
      assert.ok(confirming);
      trouble.before?.(cluster, confirming.name, old.name);
      cluster.run(14);
      // Its workers stay with it alone, and it hears the other two.
      for (const worker of cluster.workers) worker.controllerIndex = cluster.controllers.indexOf(old);
      cluster.isPartitioned = (a, b) => a !== old.name && a.startsWith('n') && !b.startsWith('n');
      old.isRefusedByStateService = true;
      // The third knows no more than the old one: all depends on what the one that confirmed says.
      for (const node of cluster.controllers) if (node !== confirming) node.isWatchLagging = true;
      cluster.run(0.2);
      for (const id of ids) cluster.cancel(id, confirming);
      trouble.after?.(cluster, confirming.name);
      cluster.isStateServiceDown = true;
      cluster.runUntil('all gone', () => ids.every((id) => cluster.machinesRunning(id).length === 0), 37);
    }
  });
}

test('a controller that alone lost the state service says so to the load balancer; in an outage of all none does', () => {
  const cluster = smallCluster(8);
  const node = cluster.controller('n2');
  node.isRefusedByStateService = true;
  cluster.run(8);
  assert.equal(node.controller.isReady, false);
  assert.equal(cluster.controller('n0').controller.isReady, true);
  assert.equal(cluster.queryStatus('run-none', node), '503');
  node.isRefusedByStateService = false;
  cluster.run(2);
  assert.equal(node.controller.isReady, true);
  // With the other controllers gone too, nothing tells it from an outage: it says no.
  node.isRefusedByStateService = true;
  cluster.isPartitioned = (a, b) =>
    (a === 'n2') !== (b === 'n2') && (a.startsWith('n') || b.startsWith('n')) && !a.startsWith('m') && !b.startsWith('m');
  cluster.run(8);
  assert.equal(node.controller.isReady, false);
  cluster.isPartitioned = () => false;
  node.isRefusedByStateService = false;
  cluster.run(5);
  cluster.isStateServiceDown = true;
  cluster.run(10);
  for (const controller of cluster.controllers) assert.equal(controller.controller.isReady, true);
});

test('a controller with its workers alone stops commanding with its lease, and refuses heartbeats soon after', () => {
  const cluster = smallCluster(8);
  const node = cluster.controller('n2');
  const worker = cluster.workers.find((candidate) => candidate.zone === 'east') as SimulatedWorker;
  node.isRefusedByStateService = true;
  cluster.isPartitioned = (a, b) => (a === 'n2' && b.startsWith('n')) || (b === 'n2' && a.startsWith('n'));
  cluster.run(10);
  assert.equal(deliverHeartbeatCopy(node, worker.nextHeartbeat()), 200, 'its workers are kept for a while');
  cluster.run(9);
  for (const s of node.controller.shardController.heldShards.keys())
    assert.ok(!node.controller.shardController.allocations.holdsShard(s, cluster.now), 'no share is acted for without a lease');
  // Time for a cancellation that it can't know of, less what a worker's own lease takes.
  cluster.run(4);
  assert.equal(deliverHeartbeatCopy(node, worker.nextHeartbeat()), 503);
  cluster.isPartitioned = () => false;
  node.isRefusedByStateService = false;
  cluster.runUntil('back', () => deliverHeartbeatCopy(node, worker.nextHeartbeat()) !== 503, 20);
  const held = cluster.controllers.map((controller) => controller.controller.shardController.heldShards.size);
  cluster.run(30);
  assert.equal(
    cluster.controllers.reduce((count, controller) => count + controller.controller.shardController.heldShards.size, 0),
    3,
    `shares held: ${held}`,
  );
});

test('once troubles are over, every accepted job is answered by every controller, whatever became of its shard', () => {
  const cluster = smallCluster(8);
  for (let index = 0; index < 9; index++) {
    const team = ['red', 'blue', 'green'][index % 3] as string;
    cluster.submit(job(`run-${index}`, { team, estimatedRunS: index < 3 ? 3 : 400 }), cluster.controllers[index % 3]);
  }
  cluster.runUntil('some done', () => cluster.finished.size >= 3, 40);
  cluster.cancel('run-4');
  // One controller crashes and comes back in the middle of the others' election, one is
  // refused by the state service until its shares are gone, and then all lose it.
  cluster.controller('n0').crash();
  cluster.controller('n2').isRefusedByStateService = true;
  cluster.run(2);
  cluster.controller('n0').restart();
  cluster.run(0.3);
  cluster.controller('n0').crash();
  cluster.controller('n0').restart();
  cluster.run(28);
  cluster.isStateServiceDown = true;
  cluster.run(10);
  cluster.isStateServiceDown = false;
  cluster.controller('n2').isRefusedByStateService = false;
  cluster.run(25);
  for (const node of cluster.controllers) {
    assert.ok(node.controller.isReady, `${node.name} takes users`);
    for (let index = 0; index < 9; index++) {
      const said = cluster.queryStatus(`run-${index}`, node);
      const gpuDemand = index < 3 ? ['done'] : index === 4 ? ['aborted'] : ['queued', 'running'];
      assert.ok(gpuDemand.includes(said), `${node.name} says ${said} of run-${index}`);
    }
  }
  assert.equal(
    cluster.controllers.reduce((count, node) => count + node.controller.shardController.heldShards.size, 0),
    3,
    'each share has one holder',
  );
});
