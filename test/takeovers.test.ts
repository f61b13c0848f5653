// Shares, machines and jobs change hands in the middle of something else (docs/meetings.md).
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster, holderOf, job, kept, type Node, shareOf, smallCluster } from './stand-ins.js';

const stateHolder = (c: Cluster, share: number) =>
  (c.state.keys.get(`a/h/${share}`)?.value as { node: string } | undefined)?.node;

/** Share 1 is held by another than its home controller, which is back and is about to be handed it. */
function away(c: Cluster): { home: Node; old: Node } {
  const home = c.node('n1');
  home.crash();
  c.until('taken over', () => !['', 'n1'].includes(holderOf(c, 1)), 40);
  home.restart();
  return { home, old: c.node(holderOf(c, 1)) };
}

test('a release is carried out, its answer lost and the watch late: the old holder starts nothing more', () => {
  const c = smallCluster(8);
  const { home, old } = away(c);
  // Carried out at once; the old holder learns of it neither by the answer nor by its watch.
  c.loseTxn = (e, apply) => {
    if (!e.writes.some((w) => 'del' in w && w.del === 'a/h/1')) return false;
    old.lagging = true;
    apply();
    return true;
  };
  c.until('claimed by its home', () => stateHolder(c, 1) === 'n1', 80);
  assert.ok(old.lagging);
  const mine = [...old.core.clusterState.machines.values()].filter((m) => m.shard === 1).map((m) => m.name);
  assert.ok(mine.length >= 2);
  // Each of them reaches one machine alone: what both start is started twice.
  const last = mine.at(-1);
  c.cut = (a, b) => (a === home.name && b !== last && mine.includes(b)) || (a === old.name && b === last);
  c.submit(job('run-twice', { team: 'blue', estimateS: 60 }), old);
  c.run(4);
  old.lagging = false;
  c.loseTxn = null;
  c.run(4);
  assert.equal(c.running('run-twice'), 1);
  kept(c, 'released-and-not-told');
});

test('a controller that the state service alone refuses starts nothing that others may have called off meanwhile', () => {
  const c = smallCluster(2);
  c.submit(job('run-a', { tasks: 4, estimateS: 9 }));
  c.until('full', () => c.running('run-a') === 4);
  c.submit(job('run-z', { tasks: 2, estimateS: 9 }));
  c.run(1);
  const owner = c.node(holderOf(c, 0));
  owner.refused = true;
  c.run(0.5);
  c.cancel(
    'run-z',
    c.nodes.find((n) => n !== owner),
  );
  c.until('room comes free', () => c.finished.size === 4, 12);
  c.run(15);
  assert.ok(!c.trace.some((l) => l.includes('starts run-z')));
});

test('every team is at its limit, a job is cancelled whose machine hangs, and its owner ends: no limit is passed', () => {
  for (const hangs of [4, 9, 30]) {
    const c = new Cluster();
    for (let i = 0; i < 6; i++) c.machine(`g${i}`, 'big', i % 2 === 0 ? 'east' : 'west');
    c.settle();
    const gang = { shape: 'gang' as const, gpus: 8, cpus: 40, estimateS: 200, rank: 2 };
    for (const team of ['red', 'blue', 'green'])
      for (let i = 0; i < (team === 'green' ? 1 : 2); i++) c.submit(job(`run-${team}${i}`, { ...gang, team }));
    c.until(
      'all at their limits',
      () => ['red0', 'red1', 'blue0', 'blue1', 'green0'].every((x) => c.running(`run-${x}`) === 1),
      90,
    );
    for (const team of ['red', 'blue', 'green']) c.submit(job(`run-${team}9`, { ...gang, team, estimateS: 5 }));
    const machine = c.worker(c.on('run-green0')[0] as string);
    assert.ok(machine);
    machine.hung = true;
    const ends = c.node(holderOf(c, shareOf(c, 'run-green0')));
    const other = c.nodes.find((n) => n !== ends);
    c.cancel('run-green0', other);
    ends.crash();
    c.run(0.3);
    ends.restart();
    c.run(1.5);
    // Newer than the new holding: it can be nowhere yet, and needs no proof but its team's part of the limit.
    c.cloudDown = true;
    c.submit(job('run-green8', { ...gang, team: 'green', estimateS: 5 }), other);
    c.run(hangs);
    machine.hung = false;
    c.cloudDown = false;
    // The rules are checked after every step; the next of the team gets its turn once that is proven.
    c.until('its turn', () => c.finished.has('run-green9/0'), 120);
    assert.equal(c.on('run-green0').length, 0);
  }
});

test('after a takeover a silent machine that may bear cancelled work is given back in time, though nothing is known of it', () => {
  const c = smallCluster(6);
  c.submit(job('run-c', { tasks: 1, estimateS: 500 }));
  c.until('running', () => c.running('run-c') === 1);
  const w = c.worker(c.on('run-c')[0] as string);
  const owner = c.node(holderOf(c, shareOf(c, 'run-c')));
  assert.ok(w);
  // It hangs for good just as its owner ends and its user calls it off.
  w.hung = true;
  owner.crash();
  c.cancel('run-c');
  c.until('given back', () => w.dead, 36);
});

test('jobs are cancelled in the seconds in which a share changes hands: none starts after, all are gone in time', () => {
  const c = smallCluster(8);
  const { home } = away(c);
  for (let i = 0; i < 4; i++) c.submit(job(`run-b${i}`, { team: 'blue', tasks: 2, estimateS: 500 }));
  c.until('running', () => c.running('run-b0') === 2);
  let n = 0;
  c.until(
    'handed home',
    () => {
      // One while it is still the old holder's, one without a holder, two at the new one's.
      const next = stateHolder(c, 1) === undefined || n < 1 || stateHolder(c, 1) === 'n1';
      if (next && n < 4) c.cancel(`run-b${n++}`, c.node('n0'));
      return n === 4 && holderOf(c, 1) === home.name;
    },
    120,
  );
  const told = c.trace.length;
  c.until('gone', () => [0, 1, 2, 3].every((i) => c.on(`run-b${i}`).length === 0), 36);
  assert.deepEqual(
    c.trace.slice(told).filter((l) => l.includes('starts run-b')),
    [],
  );
  kept(c, 'cancelled-while-a-share-changes-hands');
});

test('machines are up within two seconds while writes come late and the lead ends: each is granted once, and its work runs', () => {
  const c = new Cluster(undefined, (s) => ({ ...s, policy: { ...s.policy, holdSpareCapacity: false, maxMachines: 8 } }));
  c.machine('m0', 'small', 'east');
  c.settle();
  c.bootMs = () => 1500;
  const late: number[] = [];
  let n = 0;
  c.loseTxn = (_e, apply) => {
    if (n++ % 3 !== 0) return false;
    c.at(c.now + 7000, apply);
    late.push(c.now);
    return true;
  };
  for (const team of ['red', 'blue', 'green']) c.submit(job(`run-${team}`, { team, tasks: 4, estimateS: 20 }));
  c.until('machines are up', () => c.workers.length > 2, 30);
  const lead = c.node(holderOf(c, 'lead'));
  lead.crash();
  c.run(0.3);
  lead.restart();
  c.run(15);
  c.loseTxn = null;
  assert.ok(late.length > 0);
  c.until('all done', () => c.finished.size === 12, 120);
  for (const id of ['run-red', 'run-blue', 'run-green']) c.until('told', () => c.ask(id) === 'done', 10);
});

test('an array that must be in one zone loses machines: the rest of it stays in that zone', () => {
  const c = smallCluster(8);
  c.submit(job('run-z', { tasks: 8, oneZone: true, estimateS: 20 }));
  c.until('running', () => c.running('run-z') >= 4);
  const zone = c.worker(c.on('run-z')[0] as string)?.zone;
  for (const name of c.on('run-z').slice(0, 2)) {
    const w = c.worker(name);
    if (!w) continue;
    w.dead = true;
    w.tasks.clear();
  }
  // The other zone has room all the while; wrong_place is checked at each start.
  c.until('done', () => c.ask('run-z') === 'done', 180);
  for (const l of c.trace.filter((x) => x.includes('starts run-z')))
    assert.equal(c.worker(l.trim().split(' ')[1] as string)?.zone, zone);
});

test('the lead and the owners change ten times in two minutes, twice inside an outage: work runs once and to its end', () => {
  const c = smallCluster(8);
  for (let k = 0; k < 6; k++)
    c.submit(job(`run-t${k}`, { team: ['red', 'blue', 'green'][k % 3] as string, tasks: 3, estimateS: 25 }));
  c.submit(job('run-v', { shape: 'service', tasks: 2, rank: 3, cls: 'serve' }));
  for (let k = 0; k < 10; k++) {
    c.stateDown = k === 3 || k === 4;
    const ends = c.node(k % 2 === 0 ? holderOf(c, 'lead') || 'n2' : holderOf(c, k % 3) || 'n0');
    ends.crash();
    c.run(k % 4 === 0 ? 0.3 : 3);
    ends.restart();
    c.run(9);
  }
  for (let k = 0; k < 6; k++) c.until('done', () => c.ask(`run-t${k}`) === 'done', 120);
  assert.equal(c.running('run-v'), 2);
});

test('tasks of one array end far apart, and the owner ends in between: what is done is not run again', () => {
  const c = smallCluster(1);
  // One machine, room for one: they run one after the other.
  c.submit(job('run-f', { tasks: 3, cpus: 4, estimateS: 8 }));
  for (let k = 1; k <= 3; k++) {
    c.until('one more ended', () => c.finished.size === k, 60);
    const owner = c.node(holderOf(c, 0));
    // At once after the end, or when it is known and what was to be stored of it is lost.
    c.loseTxn = (e) => e.writes.some((w) => 'put' in w && /^a\/[pj]\//.test(w.put));
    c.run(k === 1 ? 0 : 1.5);
    c.loseTxn = null;
    owner.crash();
    c.run(0.3);
    owner.restart();
    c.run(2);
  }
  c.until('done', () => c.ask('run-f') === 'done', 60);
  for (let i = 0; i < 3; i++) assert.equal(c.trace.filter((l) => l.includes(`starts run-f/${i}`)).length, 1);
  kept(c, 'ends-far-apart');
});

test('all controllers end and one is back within a second, the others later; then a share goes to and fro', () => {
  const c = smallCluster(8);
  c.submit(job('run-v', { shape: 'service', tasks: 3, rank: 3, cls: 'serve' }));
  c.submit(job('run-a', { team: 'blue', tasks: 4, estimateS: 40 }));
  c.until('running', () => c.running('run-v') === 3 && c.running('run-a') === 4);
  for (let round = 0; round < 3; round++) {
    for (const n of c.nodes) n.crash();
    c.run(0.3);
    (c.nodes[round] as Node).restart();
    c.run(round === 1 ? 8 : 0.4);
    for (const n of c.nodes) if (!n.up) n.restart();
    c.run(5);
  }
  c.until('done', () => c.ask('run-a') === 'done', 90);
  assert.equal(c.running('run-v'), 3);
});

test('all controllers are away for longer than a lease: what died with it runs again, once', () => {
  const c = smallCluster(6);
  c.submit(job('run-v', { shape: 'service', tasks: 2, rank: 3, cls: 'serve' }));
  c.submit(job('run-a', { team: 'blue', tasks: 3, estimateS: 30 }));
  c.until('running', () => c.running('run-v') === 2 && c.running('run-a') === 3);
  for (const n of c.nodes) n.crash();
  c.run(20);
  assert.equal(c.running('run-v') + c.running('run-a'), 0);
  for (const n of c.nodes) n.restart();
  c.until('done', () => c.ask('run-a') === 'done', 90);
  assert.equal(c.running('run-v'), 2);
  assert.deepEqual(
    c.workers.filter((w) => w.dead),
    [],
  );
});
