// Proves that the formats of archpost stay as they are while its sources are renamed and reshaped: every change that
// controllers store and every message that they send one another on simulated days is the same byte for byte, stored
// rows and messages of this version and of the one in production are decoded and encoded alike, and what can't be read
// is passed over as it was. Nothing here depends on the text of a log line or of an error.
//
// test/recorded holds what is compared. `UPDATE_TRACES=1` writes it anew: a difference there is a change of format.
import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { test } from 'node:test';
import {
  Controller,
  type ControllerSettings,
  encodeAcceptedJob,
  encodeCancelledJob,
  encodeDoneJob,
  encodeJobSpec,
  ProgressLayout,
  packBits,
  parseJobPart,
  parseJobRecord,
  stateSizeLimits,
} from '@archpost/controller';
import {
  decodePeerMessage,
  encodePeerMessage,
  type JobSpec,
  type KeyWrite,
  type PeerMessage,
  type StoredKey,
} from '@archpost/protocol';
import { holderOf, job, SimulatedCluster, settings, shardOf, TYPES } from './simulation/index.js';

type Tune = (settings: ControllerSettings) => ControllerSettings;

/** A stored key as it is recorded. */
interface Row {
  key: string;
  value: unknown;
  stamp: number;
}

// ---- The only places that touch a controller's own names

function newController(tune: Tune = (settings) => settings): Controller {
  return new Controller(tune(settings('n0')), 'present');
}

function loadRows(controller: Controller, rows: Row[]): void {
  const keys = rows.map(({ key, value, stamp: revision }): StoredKey => ({ key, value, revision }));
  controller.receiveSnapshot(keys, Math.max(...rows.map((row) => row.stamp)), 0);
}

/** The keys that warnings were logged for since the last call, in their order. */
function warnedKeys(controller: Controller): string[] {
  const warnings = controller
    .takeEffects()
    .flatMap((effect) => (effect.type === 'log' && effect.level === 'warn' ? [effect] : []));
  return warnings.map((warning) => String(warning.fields?.key));
}

/** What a controller has made of the rows, under names of this file. */
function whatIsKnown(controller: Controller): Record<string, unknown> {
  const { clusterState } = controller;
  const jobs = [...clusterState.jobs.values()].map((known) => [
    known.spec.id,
    { state: known.state, done: known.doneCount, mayNotStart: known.isBlocked, types: known.typeIndices?.length ?? null },
  ]);
  const machines = [...clusterState.machines.values()].map((machine) => [
    machine.name,
    {
      share: machine.shard,
      address: machine.address,
      spot: machine.spot,
      moveTo: machine.moveToShard ?? -1,
      retire: machine.isRetired,
      images: machine.images.size,
    },
  ]);
  const holders = [...clusterState.leaseHolders].map(([name, { holder, revision }]) => [
    name,
    `${holder.controller} ${holder.incarnation} ${revision}`,
  ]);
  return {
    jobs: Object.fromEntries(jobs),
    ended: Object.fromEntries(clusterState.finishedJobs),
    machines: Object.fromEntries(machines),
    holders: Object.fromEntries(holders),
    machineTypes: clusterState.machineTypesKnown ? clusterState.machineTypes.filter((type) => type).length : null,
    heardOf: [...controller.peers.keys()],
  };
}

// ---- Recorded data

/** JSON with a line for each value below the given depth, so that a reader sees one row or change a line. */
function formatted(value: unknown, depth: number, indent = ''): string {
  const isOpen = depth > 0 && typeof value === 'object' && value !== null && Object.keys(value).length > 0;
  if (!isOpen) return JSON.stringify(value);
  const inner = `${indent} `;
  const line = (item: unknown) => formatted(item, depth - 1, inner);
  if (Array.isArray(value)) return `[\n${value.map((item) => inner + line(item)).join(',\n')}\n${indent}]`;
  const fields = Object.entries(value as object).map(([name, item]) => `${inner}${JSON.stringify(name)}: ${line(item)}`);
  return `{\n${fields.join(',\n')}\n${indent}}`;
}

function assertAsRecorded(name: string, value: unknown, depth: number): void {
  const path = `test/recorded/${name}.json`;
  const text = `${formatted(value, depth)}\n`;
  if (process.env.UPDATE_TRACES === '1') {
    mkdirSync('test/recorded', { recursive: true });
    writeFileSync(path, text);
  }
  assert.equal(text, readFileSync(path, 'utf8'), `differs from ${path}`);
}

function readRecorded<T>(path: string): T {
  return JSON.parse(readFileSync(path, 'utf8')) as T;
}

/** Whole examples of each kind, and a digest over everything in its order. */
class Recording {
  private static readonly MOST_EXAMPLES = 3;
  readonly examples: Record<string, string[]> = {};
  private readonly digest = createHash('sha256');
  count = 0;

  add(kind: string, text: string): void {
    this.count++;
    this.digest.update(`${text}\n`);
    this.examples[kind] ??= [];
    const examples = this.examples[kind] as string[];
    if (examples.length < Recording.MOST_EXAMPLES) examples.push(text);
  }

  sha256(): string {
    return this.digest.digest('hex');
  }
}

// ---- Kinds of changes and messages

const JOB_STATES = ['accepted', 'done', 'cancelled', 'accepted, awaits others'];

function kindOfJob(stored: { s: number; x?: unknown }): string {
  return `a/j/ ${JOB_STATES[stored.s]}${stored.x === undefined ? '' : ', lists in parts'}`;
}

function kindOfGrant(stored: { mv?: number; x?: boolean; n?: number }): string {
  const marks = [
    stored.mv === undefined ? [] : ['to be moved'],
    stored.x === undefined ? [] : ['to be given back'],
    stored.n === undefined ? [] : ['written again'],
  ].flat();
  return ['a/g/ granted', ...marks].join(', ');
}

function kindOfChange(write: KeyWrite): string {
  const key = 'put' in write ? write.put : write.del;
  const prefix = key.startsWith('a/types') ? 'a/types' : key.slice(0, 4);
  if (!('put' in write)) return `${prefix} removed`;
  if (prefix === 'a/j/') return kindOfJob(write.value as Parameters<typeof kindOfJob>[0]);
  if (prefix === 'a/g/') return kindOfGrant(write.value as Parameters<typeof kindOfGrant>[0]);
  if (prefix === 'a/p/') return /\.\d+$/.test(key) ? 'a/p/ part of a chunk' : 'a/p/ whole chunk';
  if (prefix === 'a/types') return key === prefix ? 'a/types whole list' : 'a/types part of the list';
  if (prefix === 'a/x/') return 'ty' in (write.value as object) ? 'a/x/ machine types' : 'a/x/ awaited jobs';
  return prefix;
}

const CHANGES = [
  'a/h/',
  'a/h/ removed',
  'a/n/',
  'a/s/',
  'a/c/',
  'a/c/ removed',
  'a/g/ granted',
  'a/g/ granted, to be moved',
  'a/g/ granted, to be given back',
  'a/g/ granted, written again',
  'a/g/ removed',
  'a/j/ accepted',
  'a/j/ accepted, lists in parts',
  'a/j/ accepted, awaits others',
  'a/j/ accepted, awaits others, lists in parts',
  'a/j/ done',
  'a/j/ cancelled',
  'a/p/ whole chunk',
  'a/p/ part of a chunk',
  'a/types whole list',
  'a/types part of the list',
  'a/x/ machine types',
  'a/x/ awaited jobs',
];

/** All that a message tells of; the digest is over whole messages, of which this chooses the examples. */
function kindOfMessage({ status, heartbeat }: PeerMessage): string {
  if (heartbeat) {
    const states = new Set(heartbeat.tasks.map((task) => task.state));
    const notice = heartbeat.preemptionNoticeS === null ? '' : ', with a notice';
    return `report, tasks ${[...states].sort().join(' and ') || 'none'}${notice}`;
  }
  assert.ok(status);
  const lists = {
    machines: status.shards.some((shard) => shard.machines.length > 0),
    demands: status.shards.some((shard) => shard.demands.length > 0),
    running: status.runningJobs.length > 0,
    ungranted: status.unassignedMachines.length > 0,
    heard: status.unchangedHeartbeats.length > 0,
    plenty: status.availableTypes.length > 0,
  };
  const told = Object.entries(lists).flatMap(([name, isTold]) => (isTold ? [name] : []));
  return `status${status.isLeader ? ' of the leader' : ''}, tells ${told.join(' and ') || 'nothing'}`;
}

const MESSAGES = [
  /^report, tasks none$/,
  /^report, tasks .*exited/,
  /^report, tasks .*running/,
  /with a notice/,
  /^status, tells nothing$/,
  /of the leader/,
  /machines/,
  /demands/,
  /running/,
  /ungranted/,
  /heard/,
  /plenty/,
];

// ---- Days

interface Day {
  tune?: Tune;
  run(cluster: SimulatedCluster): void;
}

const NAMES = ['n0', 'n1', 'n2'];

function addMachines(cluster: SimulatedCluster, count: number, type = 'small'): void {
  for (let index = 0; index < count; index++)
    cluster.machine(`m${index}`, type, index % 2 === 0 ? 'east' : 'west', index === count - 1);
}

/** Limits that are announced to fall: long lists and long progress go into parts. */
const fallingTo =
  (valueKib: number): Tune =>
  (settings) => ({ ...settings, state: { ...settings.state, valueKib: 16, next: { valueKib, writesPerTransaction: 4 } } });

function submitEachShape(cluster: SimulatedCluster): void {
  for (const team of ['red', 'blue', 'green']) {
    cluster.submit(job(`run-${team}-array`, { team, tasks: 6, cpus: 0.5, memory: 1, estimatedRunS: 6 }));
    cluster.submit(
      job(`run-${team}-gang`, { team, shape: 'gang', tasks: 2, cpus: 0.5, memory: 1, oneZone: true, estimatedRunS: 8 }),
    );
  }
  cluster.submit(
    job('run-service', { shape: 'service', priority: 3, jobClass: 'serve', tasks: 2, cpus: 0.5, memory: 1, spread: true }),
  );
}

function workAndTrouble(cluster: SimulatedCluster): void {
  addMachines(cluster, 6);
  cluster.run(15);
  submitEachShape(cluster);
  cluster.submit(
    job('run-called-off', { tasks: 3, estimatedRunS: 300, machineTypes: ['small'], zone: 'east', deadlineS: 900.5 }),
  );
  cluster.submit(job('run-partly', { tasks: 9, cpus: 4, memory: 1, estimatedRunS: 5, allowsSpot: true }));
  cluster.submit(job('run-next', { estimatedRunS: 3, checkpointIntervalS: 1, checkpointSaveS: 0.5 }), cluster.controllers[1], [
    'run-red-array',
    'run-partly',
  ]);
  // The leader alone is not heard by the others, so that they tell it by way of the state service.
  const leader = holderOf(cluster, 'lead');
  cluster.isPartitioned = (a, b) => NAMES.includes(a) && NAMES.includes(b) && (a === leader) !== (b === leader);
  cluster.run(8);
  cluster.cancel('run-called-off');
  cluster.run(14);
  cluster.isPartitioned = () => false;
  cluster.machine('late', 'small', 'west');
  cluster.run(3);
  // Commands that are lost raise the token of their machine.
  cluster.losesCommands = (_node, machine) => machine === 'm1';
  cluster.submit(job('run-lost', { team: 'blue', tasks: 12, cpus: 1, estimatedRunS: 4 }));
  cluster.run(8);
  cluster.losesCommands = () => false;
  const noticed = cluster.worker('m5');
  assert.ok(noticed);
  noticed.preemptionNoticeS = 10;
  cluster.run(15);
  // A machine that hangs goes back, and with it what is stored of it.
  const hung = cluster.worker('m2');
  assert.ok(hung);
  hung.hung = true;
  cluster.run(20);
  cluster.controller(holderOf(cluster, 0)).crash();
  cluster.run(25);
  for (const node of cluster.controllers) if (!node.up) node.restart();
  cluster.run(30);
}

function machinesThatMove(cluster: SimulatedCluster): void {
  addMachines(cluster, 6);
  cluster.run(15);
  for (const team of ['red', 'blue', 'green']) {
    cluster.submit(job(`run-${team}`, { team, tasks: 12, cpus: 2, memory: 1, estimatedRunS: 4 }));
    cluster.runUntil('all is done, on machines of other shares too', () => cluster.allTasksDone(`run-${team}`), 90);
  }
  cluster.run(90);
}

function progressInParts(cluster: SimulatedCluster): void {
  addMachines(cluster, 6);
  cluster.runUntilSettled();
  // All but the last 500 tasks are done, and stored as one whole chunk.
  const spec = job('run-large', { tasks: 9000, cpus: 0.5, memory: 0.1, estimatedRunS: 4 });
  cluster.specs.set(spec.id, spec);
  for (let index = 0; index < 8500; index++) cluster.finished.add(`run-large/${index}`);
  putRow(cluster, 'a/p/run-large/0', 'f'.repeat(8500 / 4));
  putRow(cluster, 'a/j/run-large', { s: 0, t: 0, sp: encodeJobSpec(spec) });
  cluster.runUntil('the rest is done', () => cluster.allTasksDone('run-large'), 200);
  cluster.run(5);
}

function putRow(cluster: SimulatedCluster, key: string, value: unknown): void {
  cluster.stateService.compareAndSwap(
    { type: 'compareAndSwap', id: 0, conditions: [], writes: [{ put: key, value }] },
    cluster.now,
  );
}

function listsInParts(cluster: SimulatedCluster): void {
  addMachines(cluster, 4);
  cluster.runUntilSettled();
  const types = [...Array.from({ length: 63 }, (_, index) => `none-${index}-${'x'.repeat(60)}`), 'small'];
  const first = Array.from({ length: 90 }, (_, index) => `run-${String(index).padStart(20, '0')}`);
  for (const id of first) cluster.submit(job(id, { estimatedRunS: 1, cpus: 0.1, memory: 0.1 }));
  cluster.submit(job('run-types', { machineTypes: types, estimatedRunS: 3 }));
  cluster.submit(job('run-chain', { machineTypes: types, estimatedRunS: 300 }), cluster.controllers[1], first);
  cluster.submit(job('run-off', { machineTypes: types, estimatedRunS: 300 }), cluster.controllers[2], first);
  cluster.cancel('run-off');
  cluster.runUntil('it runs', () => cluster.runningTasks('run-chain') === 1, 120);
  assert.ok(shardOf(cluster, 'run-chain') >= 0);
}

function machineTypesInParts(cluster: SimulatedCluster): void {
  addMachines(cluster, 3);
  cluster.run(20);
}

/** The cloud rents machines out, and the leader tells which types it still has. */
function rentedMachines(cluster: SimulatedCluster): void {
  cluster.bootTimeMs = () => 3000;
  addMachines(cluster, 3);
  cluster.run(20);
  cluster.submit(job('run-rented', { tasks: 12, cpus: 4, memory: 4, estimatedRunS: 20, priority: 2 }));
  cluster.run(40);
  cluster.submit(job('run-gang', { shape: 'gang', tasks: 3, cpus: 4, memory: 1, estimatedRunS: 10, priority: 2 }));
  cluster.run(60);
}

const DAYS: Record<string, Day> = {
  'work and trouble of each kind': { run: workAndTrouble },
  'machines that move and go back': {
    tune: (settings) => ({ ...settings, policy: { ...settings.policy, holdSpareCapacity: false, idleS: 10, maxMachines: null } }),
    run: machinesThatMove,
  },
  'rented machines': {
    tune: (settings) => ({ ...settings, policy: { ...settings.policy, maxMachines: null } }),
    run: rentedMachines,
  },
  'progress in parts': { tune: fallingTo(2), run: progressInParts },
  'lists of jobs in parts': { tune: fallingTo(2), run: listsInParts },
  'machine types in parts': { tune: fallingTo(0.3), run: machineTypesInParts },
};

interface RecordedDay {
  changes: { count: number; sha256: string; examples: Record<string, string[]> };
  messages: { count: number; sha256: string; examples: Record<string, string[]> };
  rows: Row[];
  known: Record<string, unknown>;
}

function play({ tune, run }: Day): RecordedDay {
  const cluster = new SimulatedCluster(NAMES, tune);
  const changes = new Recording();
  const messages = new Recording();
  const { stateService: state } = cluster;
  const carryOut = state.compareAndSwap.bind(state);
  state.compareAndSwap = (transaction, now) => {
    for (const write of transaction.writes) changes.add(kindOfChange(write), JSON.stringify(write));
    return carryOut(transaction, now);
  };
  cluster.onPeerMessage = (bytes) => messages.add(kindOfMessage(decodePeerMessage(bytes)), Buffer.from(bytes).toString('hex'));
  run(cluster);
  const rows = state
    .rows()
    .map(({ key, value, revision }): Row => ({ key, value, stamp: revision }))
    .sort((a, b) => (a.key < b.key ? -1 : 1));
  const reader = newController(tune);
  loadRows(reader, rows);
  assert.deepEqual(warnedKeys(reader), []);
  return {
    changes: { count: changes.count, sha256: changes.sha256(), examples: changes.examples },
    messages: { count: messages.count, sha256: messages.sha256(), examples: messages.examples },
    rows,
    known: whatIsKnown(reader),
  };
}

const played = Object.fromEntries(Object.entries(DAYS).map(([name, day]) => [name, play(day)]));

const days = Object.values(played);

for (const [name, day] of Object.entries(played)) {
  const file = `day-${name.replaceAll(' ', '-')}`;
  test(`${name}: every stored change and every message is as recorded, and the rows are read alike`, () => {
    assertAsRecorded(file, day, 4);
  });
}

test('the recorded days have changes of every kind, and messages of every kind', () => {
  const changes = new Set(days.flatMap((day) => Object.keys(day.changes.examples)));
  for (const kind of CHANGES) assert.ok(changes.has(kind), `no change of kind ${kind} among ${[...changes].join('; ')}`);
  const messages = [...new Set(days.flatMap((day) => Object.keys(day.messages.examples)))];
  for (const kind of MESSAGES)
    assert.ok(
      messages.some((known) => kind.test(known)),
      `no message ${kind} among ${messages.join('; ')}`,
    );
});

// ---- Decoded and encoded again

const production = readRecorded<{ rows: Row[]; messages: string[] }>('test/upgrade/recorded.json');

test('rows of the version in production are read without a warning, and read as recorded', () => {
  const controller = newController();
  loadRows(controller, production.rows);
  assert.deepEqual(warnedKeys(controller), []);
  assertAsRecorded('known-of-production', whatIsKnown(controller), 2);
});

test('messages between controllers, of this version and the one in production, are decoded and encoded to the same bytes', () => {
  const present = days.flatMap((day) => Object.values(day.messages.examples).flat());
  for (const hex of [...present, ...production.messages])
    assert.equal(Buffer.from(encodePeerMessage(decodePeerMessage(Buffer.from(hex, 'hex')))).toString('hex'), hex);
});

/** Values that the recorded days don't reach: every field is set, and every state of a task is told. */
const FULL_MESSAGES: PeerMessage[] = [
  {
    node: 'n1',
    status: {
      node: 'n1',
      shards: [
        {
          shard: 2,
          machines: [
            {
              name: 'm1',
              freeCpus: 0.5,
              freeGpus: 1,
              freeMemory: 2.25,
              tasks: 3,
              protectedPriority: -1,
              idleS: 4.5,
              services: 5,
            },
          ],
          demands: [
            {
              cpus: 1.5,
              gpus: 2,
              memory: 3.5,
              types: ['small', 'big'],
              zone: 'east',
              spot: true,
              priority: 3,
              withinQuota: true,
              count: 70_000,
              gang: true,
              waitS: 4.5,
              slackS: -5.5,
              excludedZones: ['west'],
            },
          ],
        },
      ],
      runningJobs: [{ job: 'run-a', count: 1, done: 2, failed: 3 }],
      runningJobsComplete: true,
      unassignedMachines: [{ machine: 'm2', address: '10.0.0.2:80', type: 'small', zone: 'west', spot: true }],
      unchangedHeartbeats: [{ machine: 'm3', agentEpoch: 2 ** 40, sequence: 2 ** 33, forwardedSequence: 7 }],
      availableTypes: ['big'],
      isLeader: true,
      mayAnswerWorkers: true,
      reachesWorkers: true,
      wantedWritesPerS: 11,
      stateServiceAnswers: true,
      heardWorkers: 12,
      replicaLoaded: true,
      cancellationRevision: 2 ** 35,
      ping: 'n1-0/1',
      echo: 'n0-0/2',
    },
    heartbeat: null,
  },
  ...[null, 0, 9.5].map(
    (preemptionNoticeS): PeerMessage => ({
      node: 'n2',
      status: null,
      heartbeat: {
        machine: 'm1',
        address: '10.0.0.1:80',
        type: 'small',
        zone: 'east',
        spot: true,
        agentEpoch: 2 ** 40,
        sequence: 2 ** 33,
        fencingToken: 2 ** 45,
        preemptionNoticeS,
        tasks: [
          { job: 'run-a', index: 0, attempt: 2 ** 34, state: 'waiting', exitReason: null, saved: false },
          { job: 'run-a', index: 1, attempt: 2, state: 'running', exitReason: null, saved: true },
          { job: 'run-b', index: 70_000, attempt: 3, state: 'exited', exitReason: 'no_room', saved: false },
        ],
      },
    }),
  ),
];

test('messages with every field set are encoded to the recorded bytes, and decoded to what they were', () => {
  const encoded = FULL_MESSAGES.map((message) => Buffer.from(encodePeerMessage(message)).toString('hex'));
  assertAsRecorded('full-messages', encoded, 1);
  for (const [index, hex] of encoded.entries())
    assert.deepEqual(decodePeerMessage(Buffer.from(hex, 'hex')), FULL_MESSAGES[index]);
});

/** The value of a job's record as its codec encodes what it decodes of it. */
function encodedAgain(key: string, value: unknown): unknown {
  const decoded = parseJobRecord(value);
  if (decoded.state === 'cancelled') return encodeCancelledJob(key, { ...(value as object), s: 0 }, 100_000);
  if (decoded.state === 'done') return encodeDoneJob(decoded.submittedAt, decoded.tasks, decoded.endedAt ?? Number.NaN);
  const encoded = encodeAcceptedJob(
    key,
    { spec: decoded.spec as JobSpec, awaits: decoded.awaits ?? [], submittedAt: decoded.submittedAt },
    100_000,
  );
  assert.deepEqual(encoded?.parts, []);
  return encoded?.record;
}

test('records of jobs without parts are decoded and encoded to the same JSON text', () => {
  const rows = [...days.flatMap((day) => day.rows), ...production.rows].filter((row) => row.key.startsWith('a/j/'));
  const states = new Set<string>();
  for (const { key, value } of rows) {
    const record = value as { s: number; e?: number; x?: unknown };
    if (record.x !== undefined) continue;
    states.add(JOB_STATES[record.s] as string);
    // The version in production doesn't store when a job was done.
    if (record.s === 1 && record.e === undefined) {
      assert.equal(parseJobRecord(value).state, 'done');
      assert.equal(parseJobRecord(value).endedAt, null);
    } else assert.equal(JSON.stringify(encodedAgain(key, value)), JSON.stringify(value), key);
  }
  assert.deepEqual([...states].sort(), ['accepted', 'cancelled', 'done']);
});

test('a record that awaits others is decoded and encoded to the same JSON text', () => {
  const changes = days.flatMap((day) => day.changes.examples['a/j/ accepted, awaits others'] ?? []);
  assert.ok(changes.length > 0);
  for (const text of changes) {
    const { put, value } = JSON.parse(text) as { put: string; value: unknown };
    assert.equal(JSON.stringify(encodedAgain(put, value)), JSON.stringify(value));
  }
});

test('a record whose lists are in parts is decoded with its parts, and encoded to the same record and parts', () => {
  const rows = (played['lists of jobs in parts'] as RecordedDay).rows;
  const { maxWriteBytes } = stateSizeLimits(fallingTo(2)(settings('n0')).state);
  let compared = 0;
  for (const { key, value } of rows.filter((row) => row.key.startsWith('a/j/'))) {
    const decoded = parseJobRecord(value);
    if (decoded.state !== 'live' || decoded.parts === null) continue;
    const spec = decoded.spec as JobSpec;
    const { group, count } = decoded.parts;
    const stored = Array.from(
      { length: count },
      (_, index) => rows.find((row) => row.key === `a/x/${spec.id}/${group}/${index}`)?.value,
    );
    const parts = stored.map(parseJobPart);
    const types = [...(spec.machineTypes ?? []), ...parts.flatMap((part) => part.types)];
    const awaits = [...(decoded.awaits ?? []), ...parts.flatMap((part) => part.awaits)];
    const encoded = encodeAcceptedJob(
      key,
      { spec: { ...spec, machineTypes: types }, awaits, submittedAt: decoded.submittedAt },
      maxWriteBytes,
    );
    assert.equal(JSON.stringify(encoded), JSON.stringify({ record: value, parts: stored, group }));
    compared++;
  }
  assert.ok(compared > 0);
});

test('progress, in whole chunks and in parts, is decoded and encoded to the same digits', () => {
  let compared = 0;
  const compare = (rows: Row[], tune: Tune) => {
    const { state } = tune(settings('n0'));
    const layout = new ProgressLayout(state.valueKib, stateSizeLimits(state).maxWriteBytes);
    for (const { key, value } of rows.filter((row) => row.key.startsWith('a/p/'))) {
      const name = key.slice(key.lastIndexOf('/') + 1);
      const from = layout.firstTask(name) as number;
      const to = from + 4 * String(value).length;
      const done = new Uint8Array(to);
      for (const task of layout.parse(name, value)) done[task] = 1;
      assert.equal(packBits(done, from, to), value, key);
      compared++;
    }
  };
  for (const [name, { tune }] of Object.entries(DAYS))
    compare((played[name] as RecordedDay).rows, tune ?? ((settings) => settings));
  compare(production.rows, (settings) => settings);
  assert.ok(compared >= 4, `${compared}`);
});

test('tasks are laid out over the same progress keys for each limit and number of tasks', () => {
  const layouts = [0.25, 1, 2, 8, 16, 256].flatMap((valueKb) =>
    [valueKb, 2, 0.3].map((changeKb) => {
      const layout = new ProgressLayout(valueKb, changeKb * 1024 - 64);
      const parts = [1, 4, 513, 9000, 70_000].map((tasks) => layout.parts(tasks));
      const digest = createHash('sha256').update(JSON.stringify(parts)).digest('hex');
      return { valueKb, changeKb, names: parts.map((list) => `${list.length}: ${list.at(-1)?.name}`), sha256: digest };
    }),
  );
  assertAsRecorded('progress-layouts', layouts, 1);
});

// ---- What can't be read

const SPEC = encodeJobSpec(job('run-bad', { tasks: 9, machineTypes: ['small'] }));
const GRANT = { s: 0, a: 'bad', t: 'small', z: 'east', sp: false };
const PARTS = { s: 0, t: 5, sp: SPEC, x: { k: 'group', n: 1 } };
const STATUS_ROW = (played['work and trouble of each kind'] as RecordedDay).rows.find((row) => row.key.startsWith('a/s/'));

function without(value: object, ...names: string[]): object {
  return Object.fromEntries(Object.entries(value).filter(([name]) => !names.includes(name)));
}

/** Values that are of a wrong type wherever they are stored. */
const WRONG: unknown[] = [null, 7, true, 'text', '', [], {}, [null], [7]];

/** For each key, values as they could come from a newer version or a fault, beside those of a wrong type. */
const MALFORMED: Record<string, unknown[]> = {
  'a/h/0': [{ node: 'n0' }, { boot: 'b' }, { node: 7, boot: 'b' }, { node: 'n0', boot: 'b', newer: 1 }],
  'a/h/lead': [{ node: 'n0' }, { node: 'n0', boot: null }],
  'a/h/99': [{ node: 'unknown', boot: 'b' }],
  'a/g/bad': [
    without(GRANT, 's'),
    without(GRANT, 'a'),
    without(GRANT, 't'),
    without(GRANT, 'z'),
    without(GRANT, 'sp'),
    { ...GRANT, s: '0' },
    { ...GRANT, s: 99 },
    { ...GRANT, s: null },
    { ...GRANT, t: 7 },
    { ...GRANT, t: 'unknown' },
    { ...GRANT, z: null },
    { ...GRANT, mv: 'x' },
    { ...GRANT, mv: null, x: null },
    { ...GRANT, newer: { deep: 1 } },
    { ...GRANT, mv: 2, x: true, n: 5 },
  ],
  'a/j/run-bad': [
    { s: 0, t: 5 },
    { s: 0, t: 5, sp: null },
    { s: 0, t: 5, sp: 'spec' },
    { s: 0, t: 5, sp: without(SPEC, 'id') },
    { s: 0, t: '5', sp: SPEC },
    { s: 0, sp: SPEC },
    { s: 0, t: null, sp: SPEC, n: null, e: null },
    { s: 4, t: 5, sp: SPEC },
    { s: '0', t: 5, sp: SPEC },
    { t: 5, sp: SPEC },
    { s: 0, t: 5, sp: SPEC, newer: 1 },
    { s: 0, t: 5, sp: { ...SPEC, newer: 1 } },
    { s: 0, t: 5, sp: SPEC, n: 'x' },
    { s: 0, t: 5, sp: SPEC, e: 'x' },
    { s: 3, t: 5, sp: SPEC },
    { s: 3, t: 5, sp: SPEC, aw: null },
    { s: 3, t: 5, sp: SPEC, aw: 'run-a' },
    { s: 3, t: 5, sp: SPEC, aw: [7] },
    { s: 3, t: 5, sp: SPEC, aw: [] },
    { s: 3, t: 5, sp: SPEC, aw: ['run-unknown'] },
    { ...PARTS, x: null },
    { ...PARTS, x: { k: 7, n: 1 } },
    { ...PARTS, x: { k: 'group', n: 0 } },
    { ...PARTS, x: { k: 'group', n: 1.5 } },
    { ...PARTS, x: { k: 'group' } },
    PARTS,
    { s: 1 },
    { s: 1, t: 5, n: 'x' },
    { s: 1, t: 5, n: 9, e: 6, newer: 1 },
    { s: 2 },
    { s: 2, t: 5, sp: 7 },
    { s: 2, t: 5, sp: SPEC, aw: 7 },
  ],
  'a/p/run-good/0': ['f', 'g', 'F', 'f ', 'fx', '0x', 'f'.repeat(5000), ['f']],
  'a/p/run-good/x': ['f'],
  'a/p/run-good/': ['f'],
  'a/p/run-good/-1': ['f'],
  'a/p/run-good/0.5': ['f', 'z'],
  'a/p/run-good/0.x': ['f'],
  'a/p/run-good/1e3': ['f'],
  'a/p/run-good/99999999999999999999': ['f'],
  'a/p/run-unknown/0': ['f', 'g'],
  'a/p/run-good': ['f'],
  'a/types': [[{}], [{ name: 7 }], TYPES.slice(1), TYPES.map((type) => ({ ...type, newer: 1 }))],
  'a/types/0': [
    { count: 2 },
    { list: TYPES },
    { count: '1', list: TYPES },
    { count: 1, list: {} },
    { count: 2, list: TYPES.slice(1) },
    { count: 1, list: TYPES, newer: 1 },
  ],
  'a/types/x': [{ count: 1, list: TYPES }],
  'a/x/run-good/group/0': [{ ty: 'small' }, { ty: [7] }, { aw: 'x' }, { aw: [null] }, { ty: null, aw: null }, { newer: 1 }],
  'a/x/run-parts/group/0': [{ ty: 'small' }, { ty: [7] }, { aw: [null] }, { ty: null, aw: null }, { ty: ['big'], newer: 1 }],
  'a/x/run-parts/group/x': [{ ty: ['big'] }],
  'a/x/run-parts': [{ ty: ['big'] }],
  'a/n/n1': [{ node: 'n1' }],
  'a/s/n1': [
    ...(STATUS_ROW ? [STATUS_ROW.value, without(STATUS_ROW.value as object, 'shares')] : []),
    { ...(STATUS_ROW?.value as object), shares: [{}] },
    { ...(STATUS_ROW?.value as object), shares: [null] },
    { ...(STATUS_ROW?.value as object), running: null },
    { ...(STATUS_ROW?.value as object), newer: 1 },
    { ...(STATUS_ROW?.value as object), node: 7 },
  ],
  'a/c/good': [[['img']], [['img', 'x']], [[7, 1]], [['img', 1, 'newer']], [['img', 1], null]],
  'a/newer/x': [{ any: 1 }],
  'b/other': [{ any: 1 }],
};

/** What is loaded with each malformed value, and must be read all the same. */
const GOOD_ROWS: Row[] = [
  { key: 'a/g/good', value: { ...GRANT, a: 'good' }, stamp: 2 },
  { key: 'a/j/run-good', value: { s: 0, t: 5, sp: encodeJobSpec(job('run-good', { tasks: 40_000 })) }, stamp: 3 },
  { key: 'a/j/run-parts', value: { ...PARTS, sp: { ...SPEC, id: 'run-parts' } }, stamp: 4 },
];

interface Outcome {
  value: string;
  warnedOf: string[];
  /** of what is known, the parts that differ from the load of the good rows alone */
  known: Record<string, unknown>;
}

const GOOD_ALONE = (() => {
  const controller = newController();
  loadRows(controller, GOOD_ROWS);
  return whatIsKnown(controller);
})();

function differences(known: Record<string, unknown>): Record<string, unknown> {
  return Object.fromEntries(
    Object.entries(known).filter(([name, value]) => JSON.stringify(value) !== JSON.stringify(GOOD_ALONE[name])),
  );
}

/** A value of each kind that is stored last is read after the good rows, one that is stored first before them. */
function outcomeOf(key: string, value: unknown, isFirst: boolean): Outcome {
  const controller = newController();
  const row = { key, value, stamp: isFirst ? 1 : 9 };
  loadRows(controller, isFirst ? [row, ...GOOD_ROWS] : [...GOOD_ROWS, row]);
  const text = JSON.stringify(value);
  const outcome = {
    value: text.length > 600 ? `${text.slice(0, 60)}... (${text.length} characters)` : text,
    warnedOf: warnedKeys(controller),
    known: differences(whatIsKnown(controller)),
  };
  const { jobs, machines } = whatIsKnown(controller) as { jobs: Record<string, unknown>; machines: Record<string, unknown> };
  assert.ok('run-good' in jobs && 'run-parts' in jobs, `jobs beside ${key} ${text}`);
  // What is read of a machine's images belongs to its grant.
  if (key !== 'a/c/good') assert.ok('good' in machines, `the machine beside ${key} ${text}`);
  return outcome;
}

for (const [order, isFirst] of [
  ['before', true],
  ['after', false],
] as const) {
  test(`malformed values ${order} good rows: as many warnings as recorded for their keys, and the good rows are read`, () => {
    const outcomes = Object.entries(MALFORMED).map(([key, values]): [string, Outcome[]] => [
      key,
      [...WRONG, ...values].map((value) => outcomeOf(key, value, isFirst)),
    ]);
    assertAsRecorded(`malformed-${order}-good-rows`, Object.fromEntries(outcomes), 2);
  });
}

/** How a message is read: its bytes when it is encoded again, or that it is refused. */
function outcomeOfBytes(bytes: Buffer): string {
  let message: PeerMessage;
  try {
    message = decodePeerMessage(bytes);
  } catch {
    return 'refused';
  }
  return `read as ${Buffer.from(encodePeerMessage(message)).toString('hex')}`;
}

test('malformed messages between controllers are refused or read as recorded', () => {
  const samples = production.messages.map((hex) => Buffer.from(hex, 'hex'));
  const shortest = samples.reduce((least, bytes) => (bytes.length < least.length ? bytes : least));
  const alone = [
    '',
    'ff',
    '00',
    '0a',
    '0a05',
    '1a026e',
    '1a036e30',
    '08',
    '0801',
    '2a00',
    '1a026e30',
    '22026e30',
    '0a00',
    '1200',
  ];
  const outcomes = Object.fromEntries(alone.map((hex) => [hex, outcomeOfBytes(Buffer.from(hex, 'hex'))]));
  const isReadTo = Array.from({ length: shortest.length + 1 }, (_, length) =>
    outcomeOfBytes(shortest.subarray(0, length)) === 'refused' ? '-' : 'r',
  ).join('');
  const flipped = samples.map((bytes) => {
    const digest = createHash('sha256');
    for (let at = 0; at < bytes.length; at++) {
      const changed = Buffer.from(bytes);
      changed[at] = (changed[at] as number) ^ 0xff;
      digest.update(`${outcomeOfBytes(changed)}\n`);
    }
    return digest.digest('hex');
  });
  const newerField = Buffer.concat([shortest, Buffer.from('f2070161', 'hex')]);
  assert.equal(outcomeOfBytes(newerField), outcomeOfBytes(shortest), 'a newer field is passed over');
  assertAsRecorded('malformed-messages', { alone: outcomes, shortest: shortest.toString('hex'), isReadTo, flipped }, 2);
});
