// The production version and this one in one cluster, with each other's records and messages.

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

// The leader assigns the machines of all shards by the statuses of lease holders that run the other version.
for (const [leaderVersion, holderVersion] of [
  ['old', 'new'],
  ['new', 'old'],
] as const) {
  test(`leader of the ${leaderVersion} version, lease holders of the ${holderVersion} version: machines are moved to shards with waiting tasks`, () => {
    const { cluster, currentVersion } = productionCluster(0);
    const leaderName = holderOf(cluster, 'lead');
    for (const name of CONTROLLER_NAMES)
      if ((name === leaderName) === (leaderVersion === 'new')) upgrade(cluster.controller(name), currentVersion);
    cluster.run(25);
    assert.equal(cluster.controller(holderOf(cluster, 'lead')).runningVersion === currentVersion, leaderVersion === 'new');
    for (let index = 0; index < 6; index++) cluster.addMachine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
    for (const team of ['red', 'blue', 'green']) {
      cluster.submit(job(`run-${team}`, { team, tasks: 12, cpus: 2, memory: 1, estimatedRunS: 4 }));
      cluster.runUntil(
        `all tasks of ${team} are done, also on machines of other shards`,
        () => cluster.allTasksDone(`run-${team}`),
        90,
      );
    }
  });
}

for (const [confirmingVersion, enforcingVersion] of [
  ['old', 'new'],
  ['new', 'old'],
] as const) {
  test(`a cancellation confirmed by the ${confirmingVersion} version is enforced by the ${enforcingVersion} version, and stays after an upgrade`, () => {
    const { cluster, currentVersion } = productionCluster();
    cluster.submit(job('run-c', { tasks: 3, estimatedRunS: 300 }));
    cluster.runUntil('running', () => cluster.runningTasks('run-c') === 3);
    const holder = holderOf(cluster, shardOf(cluster, 'run-c'));
    const other = CONTROLLER_NAMES.find((name) => name !== holder) as string;
    upgrade(cluster.controller(enforcingVersion === 'new' ? holder : other), currentVersion);
    cluster.run(25);
    cluster.cancel('run-c', cluster.controller(other));
    cluster.runUntil('gone', () => cluster.machinesRunning('run-c').length === 0, 30);
    for (const node of cluster.controllers) assert.equal(cluster.queryStatus('run-c', node), 'aborted');
    for (const name of CONTROLLER_NAMES) {
      upgrade(cluster.controller(name), currentVersion);
      cluster.run(10);
    }
    for (const node of cluster.controllers) assert.equal(cluster.queryStatus('run-c', node), 'aborted');
  });
}

// A progress key ends with the number of a chunk, with a fraction if this version stores a part of the chunk. The old version
// multiplies it by the same chunk size to get the first task, so it reads the parts and runs no finished task again.
test('progress of a large array that a new lease holder stored in parts is read by an old one, and the reverse', () => {
  const next = { valueKib: 2, writesPerTransaction: 4 };
  const { cluster, currentVersion } = productionCluster(6, (settings) => ({
    ...settings,
    state: { ...settings.state, valueKib: 16, next },
  }));
  // All but the last 500 tasks are done, in the format of the old version.
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
  const holder = cluster.controller(holderOf(cluster, 0));
  cluster.runUntil(
    'the old version has stored progress',
    () => cluster.stateService.keys.get('a/p/run-large/0')?.value !== 'f'.repeat(8500 / 4),
    30,
  );
  const doneCount = () => holder.controller.clusterState.jobs.get('run-large')?.doneCount ?? 0;
  const doneByOld = doneCount();
  upgrade(holder, currentVersion);
  cluster.runUntil('the new version has stored progress in parts', () => cluster.stateService.keys.has('a/p/run-large/0.25'), 60);
  cluster.run(4);
  const stored = String(cluster.stateService.keys.get('a/p/run-large/0.25')?.value);
  const doneByNew = [...stored].reduce(
    (count, digit) => count + Number.parseInt(digit, 16).toString(2).replaceAll('0', '').length,
    0,
  );
  upgrade(holder, PRODUCTION_VERSION);
  cluster.run(1);
  assert.ok(doneCount() > doneByOld, 'the old version reads what the new one stored');
  assert.ok(doneCount() >= 8192 + doneByNew);
  cluster.runUntil('the remaining tasks are done', () => cluster.allTasksDone('run-large'), 300);
});

test('a job whose list of machine types exceeds a stored value: an old lease holder starts it on an allowed machine type', () => {
  const next = { valueKib: 2, writesPerTransaction: 4 };
  const { cluster, currentVersion } = productionCluster(4, (settings) => ({
    ...settings,
    state: { ...settings.state, valueKib: 16, next },
  }));
  upgrade(cluster.controller('n1'), currentVersion);
  cluster.run(20);
  const types = [...Array.from({ length: 63 }, (_, index) => `none-${index}-${'x'.repeat(60)}`), 'small'];
  const team = ['red', 'blue', 'green'].find((name) => {
    const shard = cluster.controller('n0').controller.clusterState.shardOfTeam[['red', 'blue', 'green'].indexOf(name)];
    return holderOf(cluster, shard ?? 0) !== 'n1';
  }) as string;
  cluster.submit(job('run-types', { team, machineTypes: types, estimatedRunS: 3 }), cluster.controller('n1'));
  cluster.runUntil('done', () => cluster.allTasksDone('run-types'), 40);
});

/** A recorded row of the state service. */
interface RecordedRow {
  key: string;
  value: unknown;
  stamp: number;
}

/** Runs the production version through every kind of key and message. Returns the rows and the last message of up to 12 kinds. */
function recordProduction(): { rows: RecordedRow[]; messages: string[] } {
  const { cluster } = productionCluster();
  const messages = new Map<string, string>();
  cluster.onPeerMessage = (bytes) => {
    const message = PRODUCTION_VERSION.decodePeerMessage(bytes);
    const kind = message.heartbeat
      ? `heartbeat with ${message.heartbeat.tasks.length} tasks`
      : `status of ${message.status?.shards.length} shards, ${message.status?.runningJobs.length} jobs`;
    messages.set(kind, Buffer.from(bytes).toString('hex'));
  };
  submitJobOfEachKind(cluster, 'kept');
  cluster.submit(job('run-called-off', { tasks: 3, estimatedRunS: 300, machineTypes: ['small'], zone: 'east' }));
  cluster.submit(job('run-partly', { tasks: 9, cpus: 4, memory: 1, estimatedRunS: 5 }));
  // No messages pass between the leader and the other controllers, so they store their statuses for it in the state service.
  const leaderName = holderOf(cluster, 'lead');
  cluster.isPartitioned = (a, b) =>
    CONTROLLER_NAMES.includes(a) && CONTROLLER_NAMES.includes(b) && (a === leaderName) !== (b === leaderName);
  cluster.run(8);
  cluster.cancel('run-called-off');
  cluster.run(14);
  const rows = cluster.stateService
    .rows()
    .map(({ key, value, revision }) => ({ key, value, stamp: revision }))
    .sort((a, b) => (a.key < b.key ? -1 : 1));
  return { rows, messages: [...messages.values()].slice(-12) };
}

// The recording holds what the old version really stored and sent. `UPDATE_TRACES=1 npm test` records it anew by running the
// old version's core as above.
test('records of the production version are read, and its messages are decoded and encoded to the same bytes', () => {
  const path = 'test/upgrade/recorded.json';
  const text = `${JSON.stringify(recordProduction(), null, 1)}\n`;
  if (process.env.UPDATE_TRACES === '1') writeFileSync(path, text);
  assert.equal(text, readFileSync(path, 'utf8'), `differs from ${path}`);
  const recorded = JSON.parse(text) as ReturnType<typeof recordProduction>;
  const { messages } = recorded;
  const rows = recorded.rows.map(({ key, value, stamp: revision }): StoredKey => ({ key, value, revision }));
  const kinds = new Set(rows.map((row) => row.key.slice(2, 4)));
  for (const kind of ['h/', 'g/', 'j/', 'p/', 'n/', 's/', 'ty']) assert.ok(kinds.has(kind), `no key of kind ${kind}`);
  const controller = new Controller(settings('n0'), 'present');
  controller.receiveSnapshot(rows, Math.max(...rows.map((row) => row.revision)), 0);
  const logs = controller.takeEffects().filter((effect) => effect.type === 'log' && effect.level === 'warn');
  assert.deepEqual(logs, []);
  const { clusterState } = controller;
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

// LATER.md promises that no job with dependencies meets an old controller. If one does, it must not run too early.
test('a job with dependencies is skipped by an old controller, which can still cancel it', () => {
  const { cluster, currentVersion } = productionCluster(4);
  const holder = cluster.controller(holderOf(cluster, 0));
  for (const node of cluster.controllers) if (node !== holder) upgrade(node, currentVersion);
  cluster.run(25);
  const other = cluster.controllers.find((node) => node !== holder) as SimulatedController;
  cluster.submit(job('run-first', { estimatedRunS: 300 }), other);
  cluster.submit(job('run-next'), other, ['run-first']);
  cluster.run(10);
  assert.equal(cluster.machinesRunning('run-next').length, 0);
  assert.equal(cluster.queryStatus('run-next', other), 'queued');
  cluster.cancel('run-next', holder);
  cluster.run(1);
  assert.equal(cluster.queryStatus('run-next', other), 'aborted');
});

/** A cluster with one upgraded controller, the first job of a chain submitted to it, and a second job not submitted yet. */
function clusterWithOneUpgradedController(): SimulatedCluster {
  const { cluster, currentVersion } = productionCluster();
  upgrade(cluster.controller('n0'), currentVersion);
  cluster.run(10);
  cluster.submit(job('run-a', { team: 'blue', estimatedRunS: 30 }), cluster.controller('n0'));
  cluster.specs.set('run-b', job('run-b', { estimatedRunS: 300 }));
  cluster.awaits.set('run-b', ['run-a']);
  return cluster;
}

// LATER.md promises that no new feature is used before all controllers are upgraded. If an upgrade outlasts that promise, these
// are the rules that break: the old version drops the `awaits` of a submission before it stores the job.
test('a chain submitted to an old controller breaks too_early, orphaned and ran_cancelled; submitted to a new one, it breaks no rule', () => {
  const submitB = (cluster: SimulatedCluster, to: string) =>
    cluster.controller(to).submit(cluster.specs.get('run-b') as JobSpec, () => {});
  const earlyStart = clusterWithOneUpgradedController();
  submitB(earlyStart, 'n1');
  assert.throws(() => earlyStart.run(20), /too_early: run-b\/0 starts before run-a is done/);
  const stored = earlyStart.stateService.keys.get('a/j/run-b')?.value as object | undefined;
  assert.ok(stored !== undefined && !('aw' in stored), 'its dependencies are not stored');

  const lateCancellation = clusterWithOneUpgradedController();
  submitB(lateCancellation, 'n1');
  // The rule checker gets the dependency only later: otherwise it would fail the test when the job starts.
  lateCancellation.awaits.delete('run-b');
  lateCancellation.runUntil('the second job runs', () => lateCancellation.runningTasks('run-b') === 1, 20);
  lateCancellation.cancel('run-a', lateCancellation.controller('n0'));
  lateCancellation.run(35);
  const status = lateCancellation.queryStatus('run-b', lateCancellation.controller('n1'));
  lateCancellation.awaits.set('run-b', ['run-a']);
  lateCancellation.now += 2000;
  assert.throws(() => lateCancellation.rules.recordReportedStatus('run-b', status), /orphaned: run-b is reported running/);
  assert.throws(() => lateCancellation.run(1), /ran_cancelled: run-b on/);

  const newController = clusterWithOneUpgradedController();
  submitB(newController, 'n0');
  newController.run(1);
  newController.cancel('run-a', newController.controller('n0'));
  newController.run(40);
  assert.equal(newController.queryStatus('run-b', newController.controller('n0')), 'aborted');
  assert.deepEqual(newController.machinesRunning('run-b'), []);
});
