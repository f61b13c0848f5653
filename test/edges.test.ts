import assert from 'node:assert/strict';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { type FreeResources, Job, Machine, placeGang, Replica, StateWriter, WritePriority } from '@archpost/controller';
import { HttpApi } from '@archpost/http-api';
import { decodePeerMessage, encodePeerMessage, PATHS, pack, parseChanges, parseSubmission } from '@archpost/protocol';
import { LoadShedder } from '../packages/http-api/src/load-shedder.js';
import { Inbox, TIME_SLICE_MS } from '../packages/server/src/inbox.js';
import { loadSettings } from '../packages/server/src/settings/load-settings.js';
import { SettingsError } from '../packages/server/src/settings/settings-error.js';
import { job, TYPES } from './simulation/index.js';

const SETTINGS = `
host_name = "a"
location = "east"
public_addr = "10.0.0.1:8080"
peer_listen = "10.0.0.1:8081"
unknown_field = "is ignored"
[external]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params]
initial_size = 1
zones = ["east"]
[[params.teams]]
name = "red"
cpus = 0.0
cpus_max = 0.0
gpus = 8.0
gpus_max = 24.0
[params.workers]
report_s = 2.0
lease_s = 12.0
gang_wait_s = 40.0
gang_peer_s = 4.0
cancel_s = 37.0
[params.state]
rps = 100.0
write_rps = 20.0
value_kb = 16.0
txn_ops = 12
[params.cloud]
rps = 6.0
list_lag_s = 5.0
[params.machine_limits]
cpu_share = 0.136
mem_mb = 178.0
max_sockets = 1200
`;

function file(text: string): string {
  const path = join(mkdtempSync(join(tmpdir(), 'archpost-')), 'settings.toml');
  writeFileSync(path, text);
  return path;
}

test('settings: unknown fields are ignored; a bad file is named with its field', () => {
  assert.equal(loadSettings(file(SETTINGS), null).controller.name, 'a');
  const wrong = file(SETTINGS.replace('lease_s = 12.0', 'lease_s = "long"'));
  assert.throws(
    () => loadSettings(wrong, null),
    (e) => e instanceof SettingsError && e.message.includes('params.workers.lease_s') && e.message.includes(wrong),
  );
  assert.throws(() => loadSettings(file('host_name = '), null), /not valid TOML/);
  assert.throws(() => loadSettings('/nowhere/settings.toml', null), /no such file/);
});

test('settings under which rules could not be kept, or nothing be served, are refused by the field', () => {
  const refused = (from: string, to: string, named: RegExp) =>
    assert.throws(
      () => loadSettings(file(SETTINGS.replace(from, to)), null),
      (e) => e instanceof SettingsError && named.test(e.message) && !e.message.includes('\n'),
    );
  refused('cancel_s = 37.0', 'cancel_s = 16.5', /params\.workers\.cancel_s: .*2\.5 s/);
  refused('write_rps = 20.0', 'write_rps = 0.5', /params\.state\.write_rps/);
  refused('mem_mb = 178.0', 'mem_mb = 32.0', /params\.machine_limits\.mem_mb/);
  refused('max_sockets = 1200', 'max_sockets = 40', /params\.machine_limits\.max_sockets/);
  assert.equal(loadSettings(file(SETTINGS.replace('cancel_s = 37.0', 'cancel_s = 17.0')), null).controller.workers.cancelS, 17);
});

test('overload: reports first, then decisions, then users, and users who waited too long are refused', async () => {
  let now = 0;
  const seen: string[] = [];
  const inbox = new Inbox({ clock: () => now, onTurnEnd: () => {}, maxClientRequestAgeMs: 1500, onError: assert.ifError });
  inbox.enqueueMutation(
    () => seen.push('old user'),
    () => seen.push('old user refused'),
  );
  now = 2000;
  for (let index = 0; index < 6; index++) {
    inbox.enqueueMutation(
      () => seen.push(`user ${index}`),
      () => seen.push(`user ${index} refused`),
    );
  }
  inbox.enqueueControlEvent(() => seen.push('decision'));
  inbox.enqueueHeartbeat(() => {
    seen.push('report');
  });
  inbox.runTurn();
  inbox.enqueueHeartbeat(() => seen.push('later report'));
  inbox.runTurn();
  assert.deepEqual(seen, [
    'report',
    'decision',
    'old user refused',
    'user 0',
    'user 1',
    'user 2',
    'later report',
    'user 3',
    'user 4',
    'user 5',
  ]);
});

test('after a pause of the process it is told of it first, whatever comes first, and questions come last', () => {
  let now = 0;
  const seen: string[] = [];
  const inbox = new Inbox({
    clock: () => now,
    onTurnEnd: () => {},
    maxClientRequestAgeMs: 1500,
    onProcessPause: (ms) => seen.push(`stood still for ${ms}`),
    onError: assert.ifError,
  });
  inbox.enqueueStatusQuery(
    () => seen.push('old question'),
    () => seen.push('old question refused'),
  );
  inbox.enqueueHeartbeat(() => {
    seen.push('report');
    // It stands still in the middle of its inputs.
    now += 5000;
  });
  inbox.enqueueControlEvent(() => seen.push('decision'));
  inbox.runTurn();
  inbox.enqueueStatusQuery(
    () => seen.push('question'),
    () => seen.push('question refused'),
  );
  inbox.enqueueMutation(
    () => seen.push('submission'),
    () => seen.push('submission refused'),
  );
  now += 100;
  inbox.runTurn();
  assert.deepEqual(seen, ['report', 'stood still for 5000', 'decision', 'old question refused', 'submission', 'question']);
});

const wireJob = {
  ref: 'run-000412',
  jobclass: 'train',
  crew: 'red',
  shape: 'gang',
  rank: 'urgent',
  pieces: 16,
  cores: 8.0,
  accelerators: 1.0,
  memory_gb: 64.0,
  bundle: 'img-07',
  size_gb: 6.2,
  builds: ['g8'],
  yard: null,
  one_zone: true,
  spread: false,
  loaners: true,
  guess_s: 240.0,
  snapshot_s: 30.0,
  stow_s: 4.0,
  due_s: 900.0,
};

test('a submission is checked field by field; null may be omitted, unknown fields are ignored', () => {
  const { yard: _, ...omitted } = wireJob;
  assert.ok('spec' in parseSubmission({ ...omitted, more: 1 }));
  for (const [field, value] of [
    ['ref', 'job-1'],
    ['pieces', 0],
    ['pieces', 100_001],
    ['pieces', 1.5],
    ['shape', 'circle'],
    ['rank', 3],
    ['cores', -1],
    ['builds', 'g8'],
    ['loaners', 'yes'],
  ] as const) {
    assert.deepEqual(parseSubmission({ ...wireJob, [field]: value }), { field });
  }
  const { cores: _c, ...missing } = wireJob;
  assert.deepEqual(parseSubmission(missing), { field: 'cores' });
});

test('a removed key has no value in the changes, and must not stop the watch', () => {
  const r = parseChanges({ ledger: 433, log: [{ remove: 'a/d', stamp: 432 }] });
  assert.deepEqual(r, { revision: 433, changes: [{ key: 'a/d', value: undefined, revision: 432 }] });
});

test('a report passed on between controllers arrives as it was', () => {
  const report = {
    machine: 'n-1',
    address: '10.1.0.1:9000',
    type: 'g8',
    zone: 'a',
    spot: false,
    agentEpoch: 2,
    sequence: 70_000,
    fencingToken: 2 ** 40,
    preemptionNoticeS: null,
    tasks: [
      { job: 'run-1', index: 3, attempt: 2 ** 45 + 1, state: 'exited' as const, exitReason: 'done' as const, saved: false },
    ],
  };
  assert.deepEqual(decodePeerMessage(encodePeerMessage({ node: 'a', status: null, heartbeat: report })).heartbeat, report);
});

function room(name: string, type: number, zone: number): FreeResources {
  const capacity = TYPES[type];
  assert.ok(capacity);
  const machine = new Machine(name, '', type, zone, false, capacity);
  return { machine, cpus: capacity.cpus, gpus: capacity.gpus, memory: capacity.memory };
}

test('a gang takes the finest layer, and in it the smallest domain that holds it', () => {
  // Zone 0 has three small machines, zone 1 two, and one big one.
  const candidates = [room('a', 0, 0), room('b', 0, 0), room('c', 0, 0), room('d', 0, 1), room('e', 0, 1), room('f', 1, 1)];
  const place = (tasks: number, oneZone = false) => {
    const spec = job('run-g', { shape: 'gang', tasks, cpus: 4, oneZone });
    return placeGang(new Job(spec, 0, 0, null, -1, 0), tasks, candidates, () => 0)?.map((machine) => machine.name) ?? null;
  };
  assert.deepEqual(place(1), ['f'], 'one machine is the smallest domain');
  assert.deepEqual(place(12), new Array(12).fill('f'));
  assert.deepEqual(place(14)?.sort(), [...new Array(12).fill('f'), 'd', 'e'].sort(), 'one zone before all zones');
  assert.equal(place(17)?.length, 17, 'all zones at last');
  assert.equal(place(17, true), null, 'never across zones if the job forbids it');
});

test('a write without an answer is sent again, and its own first copy is no conflict', () => {
  const replica = new Replica(() => {}, assert.ifError);
  const sent: number[] = [];
  const outcomes: string[] = [];
  const writer = new StateWriter(
    { writesPerS: 10, writesPerTransaction: 4, maxWriteBytes: 8192 },
    {
      replica,
      emit: (effect) => {
        if (effect.type === 'compareAndSwap') sent.push(effect.id);
      },
      leaseId: () => null,
      afterBarrier: (now, run) => run(now),
      onLeaseLost: () => {},
      onTooLarge: () => {},
    },
  );
  writer.add({
    key: 'a/x',
    value: () => ({ v: 1 }),
    expectedRevision: 0,
    priority: WritePriority.assignment,
    onOutcome: (outcome) => outcomes.push(outcome),
  });
  writer.flush(0);
  writer.handleOutcome(sent[0] as number, { kind: 'unknown' }, 1500);
  writer.flush(2000);
  assert.equal(sent.length, 2);
  // The first copy was carried out after all; the second one fails on it.
  replica.set('a/x', { v: 1 }, 7);
  writer.handleOutcome(sent[1] as number, { kind: 'failed', keys: ['a/x'] }, 2100);
  assert.deepEqual(outcomes, ['ok']);
});

test('cancellations and acceptances do not stand behind a hundred grants, nor grants behind acceptances', () => {
  const sent: string[][] = [];
  let now = 0;
  const writer = new StateWriter(
    { writesPerS: 12, writesPerTransaction: 12, maxWriteBytes: 8192 },
    {
      replica: new Replica(() => {}, assert.ifError),
      emit: (effect) => {
        if (effect.type === 'compareAndSwap')
          sent.push(effect.writes.map((write) => ('put' in write ? write.put : write.del).slice(2, 3)));
      },
      leaseId: () => null,
      afterBarrier: (_now, run) => run(now),
      onLeaseLost: () => {},
      onTooLarge: () => {},
    },
  );
  const add = (kind: string, count: number, urgency: number) => {
    for (let index = 0; index < count; index++)
      writer.add({ key: `a/${kind}/${index}`, value: () => 1, expectedRevision: 0, priority: urgency, onOutcome: () => {} });
  };
  add('g', 100, WritePriority.assignment);
  now = 500;
  writer.flush(now);
  add('j', 40, WritePriority.acceptance);
  add('c', 1, WritePriority.cancellation);
  now = 1500;
  writer.flush(now);
  const count = (kind: string) => sent[1]?.filter((k) => k === kind).length;
  assert.deepEqual([count('c'), count('j'), count('g')], [1, 6, 5]);
});

// A backlog was taken whole, seconds on a small share of a core: no health check was answered meanwhile, no answer left,
// and the load balancer took every controller for dead.
test('a backlog is taken in slices, reports first, in their order, and says how long it has waited', () => {
  let now = 0;
  const taken: string[] = [];
  const inbox = new Inbox({
    clock: () => now,
    onTurnEnd: () => taken.push('answers leave'),
    maxClientRequestAgeMs: 1500,
    onError: assert.ifError,
  });
  const input = (name: string) => () => {
    now += 0.4 * TIME_SLICE_MS;
    taken.push(name);
  };
  for (let index = 0; index < 5; index++) inbox.enqueueHeartbeat(input(`report ${index}`));
  inbox.enqueueControlEvent(input('decision 0'));
  now += 50;
  assert.equal(inbox.queueDelayMs, 50);
  inbox.runTurn();
  inbox.enqueueHeartbeat(input('report 5'));
  inbox.runTurn();
  inbox.runTurn();
  assert.deepEqual(taken, [
    'report 0',
    'report 1',
    'report 2',
    'decision 0',
    'answers leave',
    'report 3',
    'report 4',
    'report 5',
    'answers leave',
    'answers leave',
  ]);
  assert.equal(inbox.queueDelayMs, 0);
});

test('while reports wait a few submissions a second are taken all the same, the others refused', () => {
  let now = 0;
  const shedding = new LoadShedder(() => now, 2);
  shedding.recordTimerDelay(2000);
  const tries = () => Array.from({ length: 4 }, () => shedding.admitMutation());
  assert.deepEqual(tries(), [true, true, false, false]);
  now = 500;
  assert.deepEqual(tries(), [true, false, false, false]);
  now = 60_000;
  assert.deepEqual(tries(), [true, true, false, false], 'no more at once after a long time');
  assert.deepEqual(shedding.takeRejectedCounts(), { statusQueries: 0, mutations: 7 });
});

test('at the door: reports pass by, users are refused at once when more is asked than can be done', async () => {
  const shedding = new LoadShedder(() => 0);
  const seen: string[] = [];
  const api: HttpApi = new HttpApi(
    (request) => {
      seen.push(request.kind);
      api.respond(request.id, 200, {});
    },
    () => true,
    shedding,
  );
  const server = await api.listen('127.0.0.1', 0);
  const { port } = server.address() as { port: number };
  const call = (path: string, body?: Uint8Array) =>
    fetch(`http://127.0.0.1:${port}${path}`, body ? { method: 'POST', body } : {}).then(async (r) => {
      await r.arrayBuffer();
      return { status: r.status, retry: r.headers.get('retry-after') };
    });
  const report = pack({
    host: 'n-1',
    address: '1.2.3.4:5',
    build: 'g8',
    yard: 'a',
    loaners: false,
    shift: 1,
    tally: 1,
    pieces: [],
  });
  try {
    assert.equal((await call(PATHS.report, report)).status, 200);
    assert.equal((await call(PATHS.report, pack({ host: 'n-1' }))).status, 400, 'a field is missing');
    assert.equal((await call(PATHS.report, new Uint8Array(64 * 1024 + 1))).status, 400, 'over 64 KiB');
    assert.equal((await call(PATHS.jobs, new Uint8Array(64 * 1024 + 1))).status, 400, 'over 64 KiB');
    assert.equal((await call(`${PATHS.jobs}/run-000001`)).status, 200);
    shedding.recordTimerDelay(2000);
    assert.deepEqual(await call(`${PATHS.jobs}/run-000001`), { status: 503, retry: '1' });
    assert.deepEqual(await call(PATHS.jobs, pack({})), { status: 503, retry: '1' });
    assert.equal((await call(PATHS.report, report)).status, 200, 'reports are taken all the same');
    assert.equal((await call(PATHS.up)).status, 200);
    assert.deepEqual(seen, ['heartbeat', 'statusQuery', 'heartbeat']);
  } finally {
    api.close();
  }
});
