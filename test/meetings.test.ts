// Two troubles at once: each test brings one meeting about (docs/meetings.md).
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { holderOf, job, kept, shareOf, smallCluster } from './stand-ins.js';

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
