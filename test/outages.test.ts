// Outages of the state service while users cancel: what lives on, and for how long (docs/meetings.md).
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Cluster, holderOf, job, kept, shareOf, smallCluster } from './stand-ins.js';

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
      cluster.until('running', () => ids.every((id) => cluster.running(id) === 3));
      const lead = holderOf(cluster, 'lead');
      const holder = holderOf(cluster, shareOf(cluster, 'run-gap0'));
      assert.notEqual(lead, holder);
      const third = cluster.names.find((n) => n !== lead && n !== holder) as string;
      const refused = { 'the owner': [holder], 'the lead': [lead], 'owner and lead': [holder, lead], neither: [third] }[
        refusedIs
      ];
      const confirming = cluster.nodes.find((node) => !refused.includes(node.name));
      assert.ok(confirming);
      for (const name of refused) cluster.node(name).refused = true;
      cluster.run(before / 2);
      for (const id of ids) cluster.cancel(id, confirming);
      cluster.run(before / 2);
      cluster.stateDown = true;
      cluster.run(outage / 2);
      // Repeats and questions are refused, or answered as before.
      for (const node of cluster.nodes) assert.ok(['aborted', '503'].includes(cluster.ask('run-gap0', node)));
      cluster.run(outage / 2);
      cluster.stateDown = false;
      for (const name of refused) cluster.node(name).refused = false;
      cluster.until('all gone', () => ids.every((id) => cluster.on(id).length === 0), 20);
      cluster.run(3);
      for (const node of cluster.nodes) assert.equal(cluster.ask('run-gap1', node), 'aborted');
      if (refusedIs === 'the owner' && before === 0.4) kept(cluster, 'the-gap');
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
  cluster.until('running', () => cluster.running('run-v') === 2 && cluster.running('run-a') === 4);
  cluster.run(2);
  cluster.stateDown = true;
  cluster.run(90);
  assert.equal(cluster.running('run-v') + cluster.running('run-a'), 6);
  cluster.stateDown = false;
  cluster.run(2);
  cluster.cancel('run-v');
  cluster.until('done', () => cluster.ask('run-a') === 'done', 60);
  assert.ok(!cluster.trace.some((l) => l.includes('kills')));
  kept(cluster, 'outage-that-all-ride-out');
});

const UNTOLD: Record<
  string,
  { before?: (cluster: Cluster, from: string, to: string) => void; after?: (cluster: Cluster, from: string) => void }
> = {
  'is cut off, one way, from the one that confirmed it': {
    after: (cluster, from) => {
      cluster.unheard = (a) => a === from;
    },
  },
  'hears that one again after its restart': {
    after: (cluster, from) => {
      cluster.node(from).crash();
      cluster.at(cluster.now + 300, () => cluster.node(from).restart());
    },
  },
  'hears late what that one said before': {
    before: (cluster, from, to) => {
      cluster.held = (a, b) => a === from && b === to;
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
      cluster.until('running', () => ids.every((id) => cluster.running(id) === 3));
      cluster.run(3);
      const old = cluster.node(holderOf(cluster, 0));
      const confirming = cluster.nodes.filter((node) => node !== old)[which];
      assert.ok(confirming);
      trouble.before?.(cluster, confirming.name, old.name);
      cluster.run(14);
      // Its workers stay with it alone, and it hears the other two.
      for (const w of cluster.workers) w.target = cluster.nodes.indexOf(old);
      cluster.cut = (a, b) => a !== old.name && a.startsWith('n') && !b.startsWith('n');
      old.refused = true;
      // The third knows no more than the old one: all depends on what the one that confirmed says.
      for (const node of cluster.nodes) if (node !== confirming) node.lagging = true;
      cluster.run(0.2);
      for (const id of ids) cluster.cancel(id, confirming);
      trouble.after?.(cluster, confirming.name);
      cluster.stateDown = true;
      cluster.until('all gone', () => ids.every((id) => cluster.on(id).length === 0), 37);
    }
  });
}
