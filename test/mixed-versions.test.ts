// The version in production and this one side by side, on each other's records and messages.

import assert from 'node:assert/strict';
import { readFileSync, writeFileSync } from 'node:fs';
import { test } from 'node:test';
import { Controller, encodeJobSpec } from '@archpost/controller';
import { decodePeerMessage, encodePeerMessage, type JobSpec, type StoredKey } from '@archpost/protocol';
import {
  CONTROLLER_NAMES,
  PRODUCTION_VERSION,
  productionCluster,
  submitJobOfEachKind,
  upgrade,
} from './scenarios/upgrade-scenarios.js';
import { holderOf, job, type SimulatedCluster, type SimulatedController, settings, shardOf } from './simulation/index.js';

// The leader decides over machines of all shares, by what owners of the other version tell of themselves.
for (const [leader, owner] of [
  ['old', 'new'],
  ['new', 'old'],
] as const) {
  test(`leader of the ${leader} version, holders of the ${owner} one: machines go where work waits`, () => {
    const { cluster, present } = productionCluster(0);
    const lead = holderOf(cluster, 'lead');
    for (const name of CONTROLLER_NAMES) if ((name === lead) === (leader === 'new')) upgrade(cluster.controller(name), present);
    cluster.run(25);
    assert.equal(cluster.controller(holderOf(cluster, 'lead')).runningVersion === present, leader === 'new');
    for (let index = 0; index < 6; index++) cluster.addMachine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
    for (const team of ['red', 'blue', 'green']) {
      cluster.submit(job(`run-${team}`, { team, tasks: 12, cpus: 2, memory: 1, estimatedRunS: 4 }));
      cluster.runUntil(`all of ${team} done, on machines of other shares too`, () => cluster.allTasksDone(`run-${team}`), 90);
    }
  });
}

for (const [teller, enforcer] of [
  ['old', 'new'],
  ['new', 'old'],
] as const) {
  test(`a cancellation confirmed by the ${teller} version is enforced by the ${enforcer} one, and stays`, () => {
    const { cluster, present } = productionCluster();
    cluster.submit(job('run-c', { tasks: 3, estimatedRunS: 300 }));
    cluster.runUntil('running', () => cluster.runningTasks('run-c') === 3);
    const holder = holderOf(cluster, shardOf(cluster, 'run-c'));
    const other = CONTROLLER_NAMES.find((name) => name !== holder) as string;
    upgrade(cluster.controller(enforcer === 'new' ? holder : other), present);
    cluster.run(25);
    cluster.cancel('run-c', cluster.controller(other));
    cluster.runUntil('gone', () => cluster.machinesRunning('run-c').length === 0, 30);
    for (const node of cluster.controllers) assert.equal(cluster.queryStatus('run-c', node), 'aborted');
    for (const name of CONTROLLER_NAMES) {
      upgrade(cluster.controller(name), present);
      cluster.run(10);
    }
    for (const node of cluster.controllers) assert.equal(cluster.queryStatus('run-c', node), 'aborted');
  });
}

// A progress key is a chunk's number, with a fraction where this version stores a part of one. The old version
// computes the first task from it by the same product, so that it repeats nothing that is done.
test('progress of a large array that a new holder stored in parts is read by an old one, and the reverse', () => {
  const next = { valueKib: 2, writesPerTransaction: 4 };
  const { cluster, present } = productionCluster(6, (settings) => ({
    ...settings,
    state: { ...settings.state, valueKib: 16, next },
  }));
  // All but the last 500 tasks are done, by the old version's records.
  const spec = job('run-large', { tasks: 9000, cpus: 0.5, memory: 0.1, estimatedRunS: 4 });
  cluster.specs.set(spec.id, spec);
  for (let index = 0; index < 8500; index++) cluster.finished.add(`run-large/${index}`);
  const put = (key: string, value: unknown) =>
    cluster.stateService.compareAndSwap(
      { type: 'compareAndSwap', id: 0, conditions: [], writes: [{ put: key, value }] },
      cluster.now,
    );
  put('a/p/run-large/0', 'f'.repeat(8500 / 4));
  put('a/j/run-large', { s: 0, t: 0, sp: encodeJobSpec(spec) });
  const owner = cluster.controller(holderOf(cluster, 0));
  cluster.runUntil(
    'some is stored by the old one',
    () => cluster.stateService.keys.get('a/p/run-large/0')?.value !== 'f'.repeat(8500 / 4),
    30,
  );
  const doneCount = () => owner.controller.clusterState.jobs.get('run-large')?.doneCount ?? 0;
  const byOld = doneCount();
  upgrade(owner, present);
  cluster.runUntil('some is stored by the new one', () => cluster.stateService.keys.has('a/p/run-large/0.25'), 60);
  cluster.run(4);
  const stored = String(cluster.stateService.keys.get('a/p/run-large/0.25')?.value);
  const byNew = [...stored].reduce(
    (count, digit) => count + Number.parseInt(digit, 16).toString(2).replaceAll('0', '').length,
    0,
  );
  upgrade(owner, PRODUCTION_VERSION);
  cluster.run(1);
  assert.ok(doneCount() > byOld, 'what the new one stored is known to the old one');
  assert.ok(doneCount() >= 8192 + byNew);
  cluster.runUntil('the rest is done', () => cluster.allTasksDone('run-large'), 300);
});

test('a job whose list of machine types outgrows a value: an old holder starts it where the user allowed', () => {
  const next = { valueKib: 2, writesPerTransaction: 4 };
  const { cluster, present } = productionCluster(4, (settings) => ({
    ...settings,
    state: { ...settings.state, valueKib: 16, next },
  }));
  upgrade(cluster.controller('n1'), present);
  cluster.run(20);
  const types = [...Array.from({ length: 63 }, (_, index) => `none-${index}-${'x'.repeat(60)}`), 'small'];
  const team = ['red', 'blue', 'green'].find((name) => {
    const shard = cluster.controller('n0').controller.clusterState.shardOfTeam[['red', 'blue', 'green'].indexOf(name)];
    return holderOf(cluster, shard ?? 0) !== 'n1';
  }) as string;
  cluster.submit(job('run-types', { team, machineTypes: types, estimatedRunS: 3 }), cluster.controller('n1'));
  cluster.runUntil('done', () => cluster.allTasksDone('run-types'), 40);
});

/** A key as it is recorded. */
interface RecordedRow {
  key: string;
  value: unknown;
  stamp: number;
}

/** What the version in production writes and sends on a day with every kind of key and message. */
function recordProduction(): { rows: RecordedRow[]; messages: string[] } {
  const { cluster } = productionCluster();
  const messages = new Map<string, string>();
  cluster.onPeerMessage = (bytes) => {
    const message = PRODUCTION_VERSION.decodePeerMessage(bytes);
    const kind = message.heartbeat
      ? `report of ${message.heartbeat.tasks.length}`
      : `status of ${message.status?.shards.length}, ${message.status?.runningJobs.length}`;
    messages.set(kind, Buffer.from(bytes).toString('hex'));
  };
  submitJobOfEachKind(cluster, 'kept');
  cluster.submit(job('run-called-off', { tasks: 3, estimatedRunS: 300, machineTypes: ['small'], zone: 'east' }));
  cluster.submit(job('run-partly', { tasks: 9, cpus: 4, memory: 1, estimatedRunS: 5 }));
  // The leader alone is not heard by the others, so that they tell it by way of the state service.
  const lead = holderOf(cluster, 'lead');
  cluster.isPartitioned = (a, b) => CONTROLLER_NAMES.includes(a) && CONTROLLER_NAMES.includes(b) && (a === lead) !== (b === lead);
  cluster.run(8);
  cluster.cancel('run-called-off');
  cluster.run(14);
  const rows = cluster.stateService
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
  const rows = recorded.rows.map(({ key, value, stamp: revision }): StoredKey => ({ key, value, revision }));
  const kinds = new Set(rows.map((row) => row.key.slice(2, 4)));
  for (const kind of ['h/', 'g/', 'j/', 'p/', 'n/', 's/', 'ty']) assert.ok(kinds.has(kind), `no key of kind ${kind}`);
  const core = new Controller(settings('n0'), 'present');
  core.receiveSnapshot(rows, Math.max(...rows.map((row) => row.revision)), 0);
  const logs = core.takeEffects().filter((effect) => effect.type === 'log' && effect.level === 'warn');
  assert.deepEqual(logs, []);
  const { clusterState } = core;
  assert.equal(clusterState.machines.size, 6);
  assert.equal(clusterState.finishedJobs.get('run-called-off'), 'cancelled');
  assert.equal(clusterState.finishedJobs.get('run-kept-red-array'), 'done');
  assert.ok((clusterState.jobs.get('run-partly')?.doneCount ?? 0) > 0);
  assert.equal(clusterState.jobs.get('run-kept-service')?.state, 'live');
  assert.equal(clusterState.areMachineTypesKnown, true);
  assert.ok(messages.length >= 4);
  for (const hex of messages) {
    const bytes = Buffer.from(hex, 'hex');
    const message = decodePeerMessage(bytes);
    assert.deepEqual(message, PRODUCTION_VERSION.decodePeerMessage(bytes));
    assert.equal(Buffer.from(encodePeerMessage(message)).toString('hex'), hex);
  }
  assert.throws(() => decodePeerMessage(Buffer.from('ff', 'hex')));
});

// LATER.md promises that no such job meets an old controller. Should one all the same, it must not run too early.
test('a job that awaits others is passed over by an old controller, which can still cancel it', () => {
  const { cluster, present } = productionCluster(4);
  const owner = cluster.controller(holderOf(cluster, 0));
  for (const node of cluster.controllers) if (node !== owner) upgrade(node, present);
  cluster.run(25);
  const other = cluster.controllers.find((node) => node !== owner) as SimulatedController;
  cluster.submit(job('run-first', { estimatedRunS: 300 }), other);
  cluster.submit(job('run-next'), other, ['run-first']);
  cluster.run(10);
  assert.equal(cluster.machinesRunning('run-next').length, 0);
  assert.equal(cluster.queryStatus('run-next', other), 'queued');
  cluster.cancel('run-next', owner);
  cluster.run(1);
  assert.equal(cluster.queryStatus('run-next', other), 'aborted');
});

/** One controller has the present version; a chain is asked for all the same, its second job at an old one. */
function chainAskedTooSoon(): SimulatedCluster {
  const { cluster, present } = productionCluster();
  upgrade(cluster.controller('n0'), present);
  cluster.run(10);
  cluster.submit(job('run-a', { team: 'blue', estimatedRunS: 30 }), cluster.controller('n0'));
  cluster.specs.set('run-b', job('run-b', { estimatedRunS: 300 }));
  cluster.awaits.set('run-b', ['run-a']);
  return cluster;
}

// LATER.md promises that nothing new is asked before all controllers are new. Where a roll outlasts that promise, these
// are the rules that break: what the old version accepts has lost its `awaits` before it is stored.
test('a chain that is asked of an old controller breaks too_early, orphaned and ran_cancelled; asked of a new one, none', () => {
  const submitB = (cluster: SimulatedCluster, to: string) =>
    cluster.controller(to).submit(cluster.specs.get('run-b') as JobSpec, () => {});
  const early = chainAskedTooSoon();
  submitB(early, 'n1');
  assert.throws(() => early.run(20), /too_early: run-b\/0 starts before run-a is done/);
  const stored = early.stateService.keys.get('a/j/run-b')?.value as object | undefined;
  assert.ok(stored !== undefined && !('aw' in stored), 'nothing tells what it awaits');

  const late = chainAskedTooSoon();
  submitB(late, 'n1');
  // The judge learns only later what it awaits: it would end the test at the start.
  late.awaits.delete('run-b');
  late.runUntil('it runs', () => late.runningTasks('run-b') === 1, 20);
  late.cancel('run-a', late.controller('n0'));
  late.run(35);
  const said = late.queryStatus('run-b', late.controller('n1'));
  late.awaits.set('run-b', ['run-a']);
  late.now += 2000;
  assert.throws(() => late.rules.recordAnswer('run-b', said), /orphaned: run-b is reported running/);
  assert.throws(() => late.run(1), /ran_cancelled: run-b on/);

  const right = chainAskedTooSoon();
  submitB(right, 'n0');
  right.run(1);
  right.cancel('run-a', right.controller('n0'));
  right.run(40);
  assert.equal(right.queryStatus('run-b', right.controller('n0')), 'aborted');
  assert.deepEqual(right.machinesRunning('run-b'), []);
});
