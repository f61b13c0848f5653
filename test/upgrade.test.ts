// The version in production and this one side by side, on each other's data. The old version's core is kept in
// test/upgrade; tools/production-core.mjs says how it is made from the repository's history.
import assert from 'node:assert/strict';
import { readFileSync, writeFileSync } from 'node:fs';
import { test } from 'node:test';
import { Controller } from '@archpost/controller';
import { decodePeerMessage, encodePeerMessage, type JobSpec, type StoredKey } from '@archpost/protocol';
import { Cluster, holderOf, job, kept, type Node, settings, shareOf, type Version } from './stand-ins.js';
import { PRODUCTION } from './upgrade/production-version.js';
import { Walk } from './walk.js';

const OLD: Version = PRODUCTION;

/** A cluster whose controllers all run the version in production. */
function oldCluster(machines = 6, tune?: ConstructorParameters<typeof Cluster>[1]): { c: Cluster; present: Version } {
  const c = new Cluster(undefined, tune);
  const present = (c.nodes[0] as Node).version;
  for (const n of c.nodes) {
    n.version = OLD;
    n.restart();
  }
  for (let i = 0; i < machines; i++) c.machine(`m${i}`, 'small', i % 2 === 0 ? 'east' : 'west');
  c.settle();
  return { c, present };
}

function upgrade(n: Node, to: Version): void {
  n.version = to;
  n.crash();
  n.restart();
}

const NAMES = ['n0', 'n1', 'n2'];

/** Work of each kind, of a team of each share. */
function submitAll(c: Cluster, p: string): string[] {
  const ids = ['red', 'blue', 'green'].flatMap((team) => {
    c.submit(job(`run-${p}-${team}-array`, { team, tasks: 6, cpus: 0.5, memory: 1, estimateS: 6 }));
    c.submit(job(`run-${p}-${team}-gang`, { team, shape: 'gang', tasks: 2, cpus: 0.5, memory: 1, oneZone: true, estimateS: 8 }));
    return [`run-${p}-${team}-array`, `run-${p}-${team}-gang`];
  });
  c.submit(job(`run-${p}-service`, { shape: 'service', rank: 3, cls: 'serve', tasks: 2, cpus: 0.5, memory: 1, spread: true }));
  return ids;
}

const allDone = (c: Cluster, ids: string[]) => ids.every((id) => c.allDone(id));

for (const order of [
  ['n0', 'n1', 'n2'],
  ['n2', 'n1', 'n0'],
]) {
  test(`a roll in the order ${order}: what either version accepted runs once, and every answer stands`, () => {
    const { c, present } = oldCluster();
    const ids = submitAll(c, 'before');
    for (const name of order) {
      upgrade(c.node(name), present);
      c.run(4);
      ids.push(...submitAll(c, name));
      c.run(6);
    }
    c.until('all is done', () => allDone(c, ids), 200);
    c.run(5);
    for (const n of c.nodes) for (const id of ids) assert.equal(c.ask(id, n), 'done', `${id} at ${n.name}`);
    // And what is new is served, on top of what the old version accepted.
    c.submit(job('run-after', { estimateS: 2 }), c.nodes[1], ids.slice(0, 3));
    c.until('the first that awaits others', () => c.allDone('run-after'), 60);
    if (order[0] === 'n0') kept(c, 'roll-from-production');
  });
}

// The leader decides over machines of all shares, by what owners of the other version tell of themselves.
for (const [leader, owner] of [
  ['old', 'new'],
  ['new', 'old'],
] as const) {
  test(`leader of the ${leader} version, owners of the ${owner} one: machines go where work waits`, () => {
    const { c, present } = oldCluster(0);
    const lead = holderOf(c, 'lead');
    for (const name of NAMES) if ((name === lead) === (leader === 'new')) upgrade(c.node(name), present);
    c.run(25);
    assert.equal(c.node(holderOf(c, 'lead')).running === present, leader === 'new');
    for (let i = 0; i < 6; i++) c.machine(`m${i}`, 'small', i % 2 === 0 ? 'east' : 'west');
    for (const team of ['red', 'blue', 'green']) {
      c.submit(job(`run-${team}`, { team, tasks: 12, cpus: 2, memory: 1, estimateS: 4 }));
      c.until(`all of ${team} done, on machines of other shares too`, () => c.allDone(`run-${team}`), 90);
    }
  });
}

test('takeovers in both directions, and an old process that comes back old', () => {
  const { c, present } = oldCluster();
  c.submit(job('run-s', { shape: 'service', rank: 3, cls: 'serve' }));
  c.until('running', () => c.running('run-s') === 1);
  const first = holderOf(c, shareOf(c, 'run-s'));
  const others = NAMES.filter((name) => name !== first);
  // Both others are new: one of them takes the share over from an old holder that is gone.
  for (const name of others) {
    upgrade(c.node(name), present);
    c.run(25);
  }
  c.node(first).crash();
  c.until('a new holder', () => others.includes(holderOf(c, shareOf(c, 'run-s'))), 60);
  // It comes back old, is handed its share again, and takes over the rest when the others are gone.
  c.node(first).restart();
  c.until('home with the old one', () => holderOf(c, shareOf(c, 'run-s')) === first, 90);
  c.submit(job('run-t', { team: 'blue', tasks: 4, estimateS: 40 }), c.node(others[0] as string));
  c.until('running', () => c.running('run-t') === 4, 30);
  for (const name of others) c.node(name).crash();
  c.until('all is done by the old one', () => c.allDone('run-t'), 120);
  assert.equal(c.running('run-s'), 1);
});

for (const [teller, enforcer] of [
  ['old', 'new'],
  ['new', 'old'],
] as const) {
  test(`a cancellation confirmed by the ${teller} version is enforced by the ${enforcer} one, and stays`, () => {
    const { c, present } = oldCluster();
    c.submit(job('run-c', { tasks: 3, estimateS: 300 }));
    c.until('running', () => c.running('run-c') === 3);
    const owner = holderOf(c, shareOf(c, 'run-c'));
    const other = NAMES.find((name) => name !== owner) as string;
    upgrade(c.node(enforcer === 'new' ? owner : other), present);
    c.run(25);
    c.cancel('run-c', c.node(other));
    c.until('gone', () => c.on('run-c').length === 0, 30);
    for (const n of c.nodes) assert.equal(c.ask('run-c', n), 'aborted');
    for (const name of NAMES) {
      upgrade(c.node(name), present);
      c.run(10);
    }
    for (const n of c.nodes) assert.equal(c.ask('run-c', n), 'aborted');
  });
}

// A progress key is a chunk's number, with a fraction where this version stores a part of one. The old version
// computes the first task from it by the same product, so that it repeats nothing that is done.
test('progress of a large array that a new owner stored in parts is read by an old one, and the reverse', () => {
  const next = { valueKib: 2, writesPerTransaction: 4 };
  const { c, present } = oldCluster(6, (s) => ({ ...s, state: { ...s.state, valueKib: 16, next } }));
  // All but the last 500 tasks are done, by the old version's records.
  const spec = job('run-large', { tasks: 9000, cpus: 0.5, memory: 0.1, estimateS: 4 });
  c.specs.set(spec.id, spec);
  for (let i = 0; i < 8500; i++) c.finished.add(`run-large/${i}`);
  const put = (key: string, value: unknown) =>
    c.state.txn({ type: 'compareAndSwap', id: 0, conditions: [], writes: [{ put: key, value }] }, c.now);
  put('a/p/run-large/0', 'f'.repeat(8500 / 4));
  put('a/j/run-large', { s: 0, t: 0, sp: spec });
  const owner = c.node(holderOf(c, 0));
  c.until('some is stored by the old one', () => c.state.keys.get('a/p/run-large/0')?.value !== 'f'.repeat(8500 / 4), 30);
  const doneCount = () => owner.core.clusterState.jobs.get('run-large')?.doneCount ?? 0;
  const byOld = doneCount();
  upgrade(owner, present);
  c.until('some is stored by the new one', () => c.state.keys.has('a/p/run-large/0.25'), 60);
  c.run(4);
  const stored = String(c.state.keys.get('a/p/run-large/0.25')?.value);
  const byNew = [...stored].reduce((n, digit) => n + Number.parseInt(digit, 16).toString(2).replaceAll('0', '').length, 0);
  upgrade(owner, OLD);
  c.run(1);
  assert.ok(doneCount() > byOld, 'what the new one stored is known to the old one');
  assert.ok(doneCount() >= 8192 + byNew);
  c.until('the rest is done', () => c.allDone('run-large'), 300);
});

test('a job whose list of machine types outgrows a value: an old owner starts it where the user allowed', () => {
  const next = { valueKib: 2, writesPerTransaction: 4 };
  const { c, present } = oldCluster(4, (s) => ({ ...s, state: { ...s.state, valueKib: 16, next } }));
  upgrade(c.node('n1'), present);
  c.run(20);
  const types = [...Array.from({ length: 63 }, (_, i) => `none-${i}-${'x'.repeat(60)}`), 'small'];
  const team = ['red', 'blue', 'green'].find((name) => {
    const share = c.node('n0').core.clusterState.shardOfTeam[['red', 'blue', 'green'].indexOf(name)];
    return holderOf(c, share ?? 0) !== 'n1';
  }) as string;
  c.submit(job('run-types', { team, types, estimateS: 3 }), c.node('n1'));
  c.until('done', () => c.allDone('run-types'), 40);
});

/** A key as it is recorded. */
interface RecordedRow {
  key: string;
  value: unknown;
  stamp: number;
}

/** What the version in production writes and sends on a day with every kind of key and message. */
function recordProduction(): { rows: RecordedRow[]; messages: string[] } {
  const { c } = oldCluster();
  const messages = new Map<string, string>();
  c.peerBytes = (bytes) => {
    const m = OLD.decodePeerMessage(bytes);
    const kind = m.heartbeat
      ? `report of ${m.heartbeat.tasks.length}`
      : `status of ${m.status?.shards.length}, ${m.status?.runningJobs.length}`;
    messages.set(kind, Buffer.from(bytes).toString('hex'));
  };
  submitAll(c, 'kept');
  c.submit(job('run-called-off', { tasks: 3, estimateS: 300, types: ['small'], zone: 'east' }));
  c.submit(job('run-partly', { tasks: 9, cpus: 4, memory: 1, estimateS: 5 }));
  // The leader alone is not heard by the others, so that they tell it by way of the state service.
  const lead = holderOf(c, 'lead');
  c.cut = (a, b) => NAMES.includes(a) && NAMES.includes(b) && (a === lead) !== (b === lead);
  c.run(8);
  c.cancel('run-called-off');
  c.run(14);
  const rows = c.state
    .rows()
    .map(({ key, value, revision }) => ({ key, value, stamp: revision }))
    .sort((a, b) => (a.key < b.key ? -1 : 1));
  return { rows, messages: [...messages.values()].slice(-12) };
}

// Kept bytes of what the old version really stored and sent. `UPDATE_TRACES=1 npm test` makes them again, by running
// the old version's core as above.
test('what the version in production stored and sent is read, and sent on alike', () => {
  const path = 'test/upgrade/recorded.json';
  const text = `${JSON.stringify(recordProduction(), null, 1)}\n`;
  if (process.env.UPDATE_TRACES === '1') writeFileSync(path, text);
  assert.equal(text, readFileSync(path, 'utf8'), `differs from ${path}`);
  const recorded = JSON.parse(text) as ReturnType<typeof recordProduction>;
  const { messages } = recorded;
  const rows = recorded.rows.map(({ key, value, stamp }): StoredKey => ({ key, value, revision: stamp }));
  const kinds = new Set(rows.map((row) => row.key.slice(2, 4)));
  for (const kind of ['h/', 'g/', 'j/', 'p/', 'n/', 's/', 'ty']) assert.ok(kinds.has(kind), `no key of kind ${kind}`);
  const core = new Controller(settings('n0'), 'present');
  core.receiveSnapshot(rows, Math.max(...rows.map((row) => row.revision)), 0);
  const logs = core.takeEffects().filter((e) => e.type === 'log' && e.level === 'warn');
  assert.deepEqual(logs, []);
  const { clusterState: table } = core;
  assert.equal(table.machines.size, 6);
  assert.equal(table.finishedJobs.get('run-called-off'), 'cancelled');
  assert.equal(table.finishedJobs.get('run-kept-red-array'), 'done');
  assert.ok((table.jobs.get('run-partly')?.doneCount ?? 0) > 0);
  assert.equal(table.jobs.get('run-kept-service')?.state, 'live');
  assert.equal(table.machineTypesKnown, true);
  assert.ok(messages.length >= 4);
  for (const hex of messages) {
    const bytes = Buffer.from(hex, 'hex');
    const message = decodePeerMessage(bytes);
    assert.deepEqual(message, OLD.decodePeerMessage(bytes));
    assert.equal(Buffer.from(encodePeerMessage(message)).toString('hex'), hex);
  }
  assert.throws(() => decodePeerMessage(Buffer.from('ff', 'hex')));
});

// LATER.md promises that no such job meets an old controller. Should one all the same, it must not run too early.
test('a job that awaits others is passed over by an old controller, which can still cancel it', () => {
  const { c, present } = oldCluster(4);
  const owner = c.node(holderOf(c, 0));
  for (const n of c.nodes) if (n !== owner) upgrade(n, present);
  c.run(25);
  const other = c.nodes.find((n) => n !== owner) as Node;
  c.submit(job('run-first', { estimateS: 300 }), other);
  c.submit(job('run-next'), other, ['run-first']);
  c.run(10);
  assert.equal(c.on('run-next').length, 0);
  assert.equal(c.ask('run-next', other), 'queued');
  c.cancel('run-next', owner);
  c.run(1);
  assert.equal(c.ask('run-next', other), 'aborted');
});

/** Troubles in the middle of a roll; each leaves the cluster as it would be without it. */
const MIDDLE: Record<string, (c: Cluster) => void> = {
  'a crash of all': (c) => {
    for (const n of c.nodes) n.crash();
    c.run(1);
    for (const n of c.nodes) n.restart();
  },
  'a controller that stands still': (c) => {
    const n = c.nodes[1] as Node;
    n.freeze();
    c.run(25);
    n.thaw();
  },
  'a cut between old and new': (c) => {
    const cut = new Set(['n0', 'n1']);
    c.cut = (a, b) => NAMES.includes(a) && NAMES.includes(b) && cut.has(a) !== cut.has(b);
    c.run(25);
    c.cut = () => false;
  },
  'a state outage': (c) => {
    c.stateDown = true;
    c.run(25);
    c.stateDown = false;
  },
  'one that loses the state service alone': (c) => {
    const n = c.nodes[0] as Node;
    n.refused = true;
    c.run(25);
    n.refused = false;
  },
};

for (const [name, trouble] of Object.entries(MIDDLE)) {
  test(`a roll with ${name} in its middle breaks nothing and loses nothing`, () => {
    const { c, present } = oldCluster();
    const ids = submitAll(c, 'a');
    c.submit(job('run-called-off', { tasks: 3, estimateS: 300 }));
    c.run(3);
    upgrade(c.node('n0'), present);
    c.run(3);
    trouble(c);
    c.run(1);
    c.until('answers again', () => c.nodes.some((n) => n.up && n.core.isReady), 60);
    const teller = c.nodes.find((n) => n.core.isReady) as Node;
    c.cancel('run-called-off', teller);
    upgrade(c.node('n1'), present);
    c.run(4);
    trouble(c);
    c.run(2);
    upgrade(c.node('n2'), present);
    c.run(20);
    ids.push(...submitAll(c, 'b'));
    c.until('all is done', () => allDone(c, ids), 240);
    c.run(4);
    for (const n of c.nodes) {
      for (const id of ids) assert.equal(c.ask(id, n), 'done');
      assert.equal(c.ask('run-called-off', n), 'aborted');
    }
    assert.equal(c.running('run-a-service'), 2);
  });
}

/** For long by hand: WALKS=500 npm test. */
test('seeded random walks over a roll, chains of jobs after it and limits that fall break no rule', () => {
  for (let seed = 1; seed <= Number(process.env.WALKS ?? 8); seed++) {
    try {
      new Walk(seed, { from: OLD, pipelines: true, next: { valueKib: 2, writesPerTransaction: 4, writesPerS: 45 } }).run(120);
    } catch (e) {
      assert.fail(`seed ${seed}: ${e instanceof Error ? e.message : e}`);
    }
  }
});

/** One controller has the present version; a chain is asked for all the same, its second job at an old one. */
function chainAskedTooSoon(): Cluster {
  const { c, present } = oldCluster();
  upgrade(c.node('n0'), present);
  c.run(10);
  c.submit(job('run-a', { team: 'blue', estimateS: 30 }), c.node('n0'));
  c.specs.set('run-b', job('run-b', { estimateS: 300 }));
  c.awaits.set('run-b', ['run-a']);
  return c;
}

// LATER.md promises that nothing new is asked before all controllers are new. Where a roll outlasts that promise, these
// are the rules that break: what the old version accepts has lost its `awaits` before it is stored.
test('a chain that is asked of an old controller breaks too_early, orphaned and ran_cancelled; asked of a new one, none', () => {
  const submitB = (c: Cluster, to: string) => c.node(to).submit(c.specs.get('run-b') as JobSpec, () => {});
  const early = chainAskedTooSoon();
  submitB(early, 'n1');
  assert.throws(() => early.run(20), /too_early: run-b\/0 starts before run-a is done/);
  const stored = early.state.keys.get('a/j/run-b')?.value as object | undefined;
  assert.ok(stored !== undefined && !('aw' in stored), 'nothing tells what it awaits');

  const late = chainAskedTooSoon();
  submitB(late, 'n1');
  // The judge learns only later what it awaits: it would end the test at the start.
  late.awaits.delete('run-b');
  late.until('it runs', () => late.running('run-b') === 1, 20);
  late.cancel('run-a', late.node('n0'));
  late.run(35);
  const said = late.ask('run-b', late.node('n1'));
  late.awaits.set('run-b', ['run-a']);
  late.now += 2000;
  assert.throws(() => late.rules.told('run-b', said), /orphaned: run-b is called running/);
  assert.throws(() => late.run(1), /ran_cancelled: run-b on/);

  const right = chainAskedTooSoon();
  submitB(right, 'n0');
  right.run(1);
  right.cancel('run-a', right.node('n0'));
  right.run(40);
  assert.equal(right.ask('run-b', right.node('n0')), 'aborted');
  assert.deepEqual(right.on('run-b'), []);
});
