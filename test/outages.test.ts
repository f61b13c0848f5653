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
      const c = smallCluster(8);
      const ids = ['run-gap0', 'run-gap1', 'run-gap2', 'run-gap3'];
      for (const [i, id] of ids.entries())
        c.submit(job(id, { team: ['red', 'blue', 'green', 'red'][i] as string, tasks: 3, estimateS: 500 }));
      c.until('running', () => ids.every((id) => c.running(id) === 3));
      const lead = holderOf(c, 'lead');
      const owner = holderOf(c, shareOf(c, 'run-gap0'));
      assert.notEqual(lead, owner);
      const third = c.names.find((n) => n !== lead && n !== owner) as string;
      const refused = { 'the owner': [owner], 'the lead': [lead], 'owner and lead': [owner, lead], neither: [third] }[refusedIs];
      const confirming = c.nodes.find((n) => !refused.includes(n.name));
      assert.ok(confirming);
      for (const name of refused) c.node(name).refused = true;
      c.run(before / 2);
      for (const id of ids) c.cancel(id, confirming);
      c.run(before / 2);
      c.stateDown = true;
      c.run(outage / 2);
      // Repeats and questions are refused, or answered as before.
      for (const n of c.nodes) assert.ok(['aborted', '503'].includes(c.ask('run-gap0', n)));
      c.run(outage / 2);
      c.stateDown = false;
      for (const name of refused) c.node(name).refused = false;
      c.until('all gone', () => ids.every((id) => c.on(id).length === 0), 20);
      c.run(3);
      for (const n of c.nodes) assert.equal(c.ask('run-gap1', n), 'aborted');
      if (refusedIs === 'the owner' && before === 0.4) kept(c, 'the-gap');
    }
  });
}

/**
 * In an outage of all nobody can confirm a new cancellation, and controllers that hear all others tell one
 * another so: work goes on through any outage. Guards against taking that for granted where it doesn't hold.
 */
test('an outage far longer than a lease kills nothing while all controllers hear one another', () => {
  const c = smallCluster(8);
  c.submit(job('run-v', { shape: 'service', tasks: 2, rank: 3, cls: 'serve' }));
  c.submit(job('run-a', { tasks: 4, estimateS: 100 }));
  c.until('running', () => c.running('run-v') === 2 && c.running('run-a') === 4);
  c.run(2);
  c.stateDown = true;
  c.run(90);
  assert.equal(c.running('run-v') + c.running('run-a'), 6);
  c.stateDown = false;
  c.run(2);
  c.cancel('run-v');
  c.until('done', () => c.ask('run-a') === 'done', 60);
  assert.ok(!c.trace.some((l) => l.includes('kills')));
  kept(c, 'outage-that-all-ride-out');
});

const UNTOLD: Record<
  string,
  { before?: (c: Cluster, from: string, to: string) => void; after?: (c: Cluster, from: string) => void }
> = {
  'is cut off, one way, from the one that confirmed it': {
    after: (c, from) => {
      c.unheard = (a) => a === from;
    },
  },
  'hears that one again after its restart': {
    after: (c, from) => {
      c.node(from).crash();
      c.at(c.now + 300, () => c.node(from).restart());
    },
  },
  'hears late what that one said before': {
    before: (c, from, to) => {
      c.held = (a, b) => a === from && b === to;
    },
  },
  'hears that there is something that it can not read': {},
};
for (const [what, trouble] of Object.entries(UNTOLD)) {
  test(`a controller that could not read a cancellation ${what}: its work is gone in time in a long outage`, () => {
    for (const which of [0, 1]) {
      const c = smallCluster(8);
      const ids = ['run-v0', 'run-v1', 'run-v2'];
      for (const [i, id] of ids.entries())
        c.submit(job(id, { team: ['red', 'blue', 'green'][i] as string, tasks: 3, estimateS: 500 }));
      c.until('running', () => ids.every((id) => c.running(id) === 3));
      c.run(3);
      const old = c.node(holderOf(c, 0));
      const confirming = c.nodes.filter((n) => n !== old)[which];
      assert.ok(confirming);
      trouble.before?.(c, confirming.name, old.name);
      c.run(14);
      // Its workers stay with it alone, and it hears the other two.
      for (const w of c.workers) w.target = c.nodes.indexOf(old);
      c.cut = (a, b) => a !== old.name && a.startsWith('n') && !b.startsWith('n');
      old.refused = true;
      // The third knows no more than the old one: all depends on what the one that confirmed says.
      for (const n of c.nodes) if (n !== confirming) n.lagging = true;
      c.run(0.2);
      for (const id of ids) c.cancel(id, confirming);
      trouble.after?.(c, confirming.name);
      c.stateDown = true;
      c.until('all gone', () => ids.every((id) => c.on(id).length === 0), 37);
    }
  });
}
