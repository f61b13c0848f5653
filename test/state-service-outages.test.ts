// Outages of the state service for all controllers or for one: which controllers act, which answer workers and users, and for
// how long.

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

test('after a long outage of the state service new tasks are started and finished', () => {
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

test('a controller without the state service answers 503 rather than an outdated status', () => {
  const cluster = smallCluster(6);
  cluster.submit(job('run-b', { tasks: 1, estimatedRunS: 300 }), cluster.controller('n0'));
  cluster.controller('n2').isRefusedByStateService = true;
  cluster.run(1);
  cluster.cancel('run-b', cluster.controller('n0'));
  assert.equal(cluster.queryStatus('run-b', cluster.controller('n1')), 'aborted');
  assert.equal(cluster.queryStatus('run-b', cluster.controller('n2')), '503');
});

test('in an outage longer than a lease no controller acts; after it the lease holders continue, and probe no machine again', () => {
  const cluster = smallCluster(6);
  cluster.submit(job('run-x', { shape: 'service', priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-x') === 1);
  cluster.isStateServiceDown = true;
  cluster.run(45);
  for (const node of cluster.controllers)
    for (const s of node.controller.shardController.heldShards.keys())
      assert.ok(!node.controller.shardController.allocations.holdsShard(s, cluster.now));
  const revisions = () => [0, 1, 2].map((s) => cluster.controllers[0]?.controller.clusterState.leaseOf(s)?.revision);
  const before = revisions();
  cluster.isStateServiceDown = false;
  cluster.run(1);
  assert.equal(cluster.runningTasks('run-x'), 1);
  cluster.submit(job('run-y', { tasks: 2, estimatedRunS: 3 }));
  cluster.runUntil('done', () => cluster.queryStatus('run-y') === 'done', 40);
  assert.deepEqual(revisions(), before);
  assert.deepEqual(
    cluster.workers.filter((worker) => worker.dead),
    [],
  );
  assertGoldenTrace(cluster, 'outage-longer-than-a-lease');
});

test('a controller that alone is refused by the state service starts no job that others may have cancelled meanwhile', () => {
  const cluster = smallCluster(2);
  cluster.submit(job('run-a', { tasks: 4, estimatedRunS: 9 }));
  cluster.runUntil('full', () => cluster.runningTasks('run-a') === 4);
  cluster.submit(job('run-z', { tasks: 2, estimatedRunS: 9 }));
  cluster.run(1);
  const holder = cluster.controller(holderOf(cluster, 0));
  holder.isRefusedByStateService = true;
  cluster.run(0.5);
  cluster.cancel(
    'run-z',
    cluster.controllers.find((node) => node !== holder),
  );
  cluster.runUntil('resources become free', () => cluster.finished.size === 4, 12);
  cluster.run(15);
  assert.ok(!cluster.trace.some((line) => line.includes('starts run-z')));
});

/**
 * The state service refuses some controllers, another controller confirms cancellations, then the state service is down for all
 * for longer than cancel_s (36 s), while workers still report to the refused controllers. Guards against worker leases that are
 * renewed by responses of a controller that can't have read the cancellation.
 */
for (const refusedRoles of ['the lease holder', 'the leader', 'lease holder and leader', 'neither'] as const) {
  test(`the state service refuses ${refusedRoles}, then an outage: cancelled tasks are gone in time, whatever the outage's delay and length`, () => {
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
      const leader = holderOf(cluster, 'lead');
      const holder = holderOf(cluster, shardOf(cluster, 'run-gap0'));
      assert.notEqual(leader, holder);
      const third = cluster.names.find((n) => n !== leader && n !== holder) as string;
      const refused = {
        'the lease holder': [holder],
        'the leader': [leader],
        'lease holder and leader': [holder, leader],
        neither: [third],
      }[refusedRoles];
      const confirming = cluster.controllers.find((node) => !refused.includes(node.name));
      assert.ok(confirming);
      for (const name of refused) cluster.controller(name).isRefusedByStateService = true;
      cluster.run(before / 2);
      for (const id of ids) cluster.cancel(id, confirming);
      cluster.run(before / 2);
      cluster.isStateServiceDown = true;
      cluster.run(outage / 2);
      // Status queries are refused, or answered as before.
      for (const node of cluster.controllers) assert.ok(['aborted', '503'].includes(cluster.queryStatus('run-gap0', node)));
      cluster.run(outage / 2);
      cluster.isStateServiceDown = false;
      for (const name of refused) cluster.controller(name).isRefusedByStateService = false;
      cluster.runUntil('no cancelled task is left', () => ids.every((id) => cluster.machinesRunning(id).length === 0), 20);
      cluster.run(3);
      for (const node of cluster.controllers) assert.equal(cluster.queryStatus('run-gap1', node), 'aborted');
      if (refusedRoles === 'the lease holder' && before === 0.4) assertGoldenTrace(cluster, 'refused-lease-holder-then-outage');
    }
  });
}

/**
 * In an outage for all controllers none can confirm a new cancellation. Controllers that are in contact with all others tell one
 * another that the state service doesn't answer, so tasks keep running through any outage. The tests that follow guard against
 * assuming this where it doesn't hold.
 */
test('an outage far longer than a lease kills no task while all controllers are in contact with one another', () => {
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
  assertGoldenTrace(cluster, 'outage-without-kills');
});

const UNREAD_CANCELLATIONS: Record<
  string,
  {
    before?: (cluster: SimulatedCluster, from: string, to: string) => void;
    after?: (cluster: SimulatedCluster, from: string) => void;
  }
> = {
  'and receives no messages of the confirming controller': {
    after: (cluster, from) => {
      cluster.losesPeerMessages = (a) => a === from;
    },
  },
  'and receives messages of the confirming controller again after its restart': {
    after: (cluster, from) => {
      cluster.controller(from).crash();
      cluster.runAt(cluster.now + 300, () => cluster.controller(from).restart());
    },
  },
  'and receives earlier messages of the confirming controller late': {
    before: (cluster, from, to) => {
      cluster.delaysPeerMessages = (a, b) => a === from && b === to;
    },
  },
  'and is notified that there is a change that it cannot read': {},
};

for (const [what, fault] of Object.entries(UNREAD_CANCELLATIONS)) {
  test(`a controller that could not read a cancellation ${what}: its tasks are gone in time in a long outage`, () => {
    for (const confirmingIndex of [0, 1]) {
      const cluster = smallCluster(8);
      const ids = ['run-v0', 'run-v1', 'run-v2'];
      for (const [index, id] of ids.entries())
        cluster.submit(job(id, { team: ['red', 'blue', 'green'][index] as string, tasks: 3, estimatedRunS: 500 }));
      cluster.runUntil('running', () => ids.every((id) => cluster.runningTasks(id) === 3));
      cluster.run(3);
      const holder = cluster.controller(holderOf(cluster, 0));
      const confirming = cluster.controllers.filter((node) => node !== holder)[confirmingIndex];
      assert.ok(confirming);
      fault.before?.(cluster, confirming.name, holder.name);
      cluster.run(14);
      // All workers report to it alone, and it receives the messages of the other two controllers.
      for (const worker of cluster.workers) worker.controllerIndex = cluster.controllers.indexOf(holder);
      cluster.isPartitioned = (a, b) => a !== holder.name && a.startsWith('n') && !b.startsWith('n');
      holder.isRefusedByStateService = true;
      // The third controller can't read the cancellation either: only messages of the confirming controller reveal it.
      for (const node of cluster.controllers) if (node !== confirming) node.isWatchLagging = true;
      cluster.run(0.2);
      for (const id of ids) cluster.cancel(id, confirming);
      fault.after?.(cluster, confirming.name);
      cluster.isStateServiceDown = true;
      cluster.runUntil('no cancelled task is left', () => ids.every((id) => cluster.machinesRunning(id).length === 0), 37);
    }
  });
}

test('a controller that alone lost the state service reports that it is not ready; in an outage for all, all report ready', () => {
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
  // Without contact to the other controllers it can't tell this from an outage for all: it is not ready.
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

test('a controller in contact with its workers alone stops commanding when its lease ends, and refuses heartbeats soon after', () => {
  const cluster = smallCluster(8);
  const node = cluster.controller('n2');
  const worker = cluster.workers.find((candidate) => candidate.zone === 'east') as SimulatedWorker;
  node.isRefusedByStateService = true;
  cluster.isPartitioned = (a, b) => (a === 'n2' && b.startsWith('n')) || (b === 'n2' && a.startsWith('n'));
  cluster.run(10);
  assert.equal(deliverHeartbeatCopy(node, worker.nextHeartbeat()), 200, 'heartbeats are still accepted for a while');
  cluster.run(9);
  for (const s of node.controller.shardController.heldShards.keys())
    assert.ok(!node.controller.shardController.allocations.holdsShard(s, cluster.now), 'it acts for no shard without a lease');
  // The time limit of a cancellation that it can't know of, less the length of a worker's own lease.
  cluster.run(4);
  assert.equal(deliverHeartbeatCopy(node, worker.nextHeartbeat()), 503);
  cluster.isPartitioned = () => false;
  node.isRefusedByStateService = false;
  cluster.runUntil('heartbeats are accepted again', () => deliverHeartbeatCopy(node, worker.nextHeartbeat()) !== 503, 20);
  const held = cluster.controllers.map((controller) => controller.controller.shardController.heldShards.size);
  cluster.run(30);
  assert.equal(
    cluster.controllers.reduce((count, controller) => count + controller.controller.shardController.heldShards.size, 0),
    3,
    `shards held: ${held}`,
  );
});

test('once faults are over, every controller reports the status of every accepted job, whatever happened to its shard', () => {
  const cluster = smallCluster(8);
  for (let index = 0; index < 9; index++) {
    const team = ['red', 'blue', 'green'][index % 3] as string;
    cluster.submit(job(`run-${index}`, { team, estimatedRunS: index < 3 ? 3 : 400 }), cluster.controllers[index % 3]);
  }
  cluster.runUntil('some done', () => cluster.finished.size >= 3, 40);
  cluster.cancel('run-4');
  // One controller crashes and restarts while the others elect a leader, one is refused by the state service until it has lost
  // its shards, and then there is an outage for all.
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
    assert.ok(node.controller.isReady, `${node.name} is ready`);
    for (let index = 0; index < 9; index++) {
      const status = cluster.queryStatus(`run-${index}`, node);
      const expected = index < 3 ? ['done'] : index === 4 ? ['aborted'] : ['queued', 'running'];
      assert.ok(expected.includes(status), `${node.name} reports ${status} for run-${index}`);
    }
  }
  assert.equal(
    cluster.controllers.reduce((count, node) => count + node.controller.shardController.heldShards.size, 0),
    3,
    'each shard has one lease holder',
  );
});
