// Outages of the state service while users cancel: what lives on, and for how long (docs/meetings.md).
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { assertGoldenTrace, holderOf, job, type SimulatedCluster, shardOf, smallCluster } from './simulation/index.js';

/**
 * The gap: the state service refuses the leading controller alone, another one confirms cancellations,
 * then it is down for all for longer than cancel_s (36 s), while workers go on reporting to the old leader.
 * Guards against leases that go on by answers of a controller that can't have read the cancellation.
 */
for (const refusedIs of ['the owner', 'the lead', 'owner and lead', 'neither'] as const) {
  test(`the gap, ${refusedIs} refused: cancelled work is gone in time, whatever the outage's length and distance`, () => {
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
  assert.ok(!cluster.trace.some((l) => l.includes('kills')));
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
      cluster.at(cluster.now + 300, () => cluster.controller(from).restart());
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
      for (const w of cluster.workers) w.target = cluster.controllers.indexOf(old);
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
