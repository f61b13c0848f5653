// What many machines at once must not break. Counts are asserted, never times of this machine.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster, holderOf, job, shareOf } from './stand-ins.js';

/** All machines in one share, asked six at a time; those of the cut zone come first by name. */
function oneShare(west: number, east: number): Cluster {
  const c = new Cluster(['n0', 'n1', 'n2'], (s) => ({ ...s, teams: s.teams.slice(0, 1), cpuShare: 0.19 }));
  for (let i = 0; i < west; i++) c.machine(`m${1000 + i}`, 'small', 'west');
  for (let i = 0; i < east; i++) c.machine(`m${2000 + i}`, 'small', 'east');
  c.settle();
  return c;
}

test('after a takeover during a cut, machines that were not asked yet are not thrown away', () => {
  const c = oneShare(240, 40);
  c.submit(job('run-x', { shape: 'service', tasks: 60, rank: 3, cls: 'serve' }));
  c.until('running', () => c.running('run-x') === 60, 30);
  const west = (x: string) => x === 'n1' || x.startsWith('m1');
  c.cut = (a, b) => west(a) !== west(b);
  c.node('n1').refused = true;
  const share = shareOf(c, 'run-x');
  assert.equal(holderOf(c, share), 'n0');
  c.node('n0').crash();
  const { table } = c.node('n2').core;
  c.until('taken over', () => table.holder(share)?.holder.node === 'n2', 40);
  c.run(15);
  assert.deepEqual(
    c.workers.filter((w) => w.dead && !west(w.name)).map((w) => w.name),
    [],
    'machines that can be reached',
  );
  const seen = [...table.machines.values()].filter((m) => !west(m.name));
  assert.equal(seen.filter((m) => m.resolved).length, 40, 'all of them have answered');
});
