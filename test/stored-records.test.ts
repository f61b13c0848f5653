// Reading of stored records: in any order, with unreadable ones skipped, and jobs restored from their records.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CloudClient } from '@archpost/cloud-client';
import { Controller, encodeJobSpec, Replica } from '@archpost/controller';
import { MAX_RESPONSE_BYTES, MAX_RESPONSE_CONTAINERS, pack } from '@archpost/protocol';
import { StateServiceClient } from '@archpost/state-client';
import { Inbox } from '../packages/server/src/inbox.js';
import { createServer, listen } from './loopback/http.js';
import { waitForCount } from './scenarios/loopback-fixtures.js';
import { holderOf, job, settings, shardOf, smallCluster } from './simulation/index.js';

test('unreadable records are skipped, and other records are not affected, also at a restart', () => {
  const cluster = smallCluster(4);
  cluster.submit(job('run-a', { tasks: 2, estimatedRunS: 30 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-a') === 2);
  const conditions = { type: 'compareAndSwap' as const, id: 0, conditions: [] };
  const unreadable: [string, unknown][] = [
    ['a/j/run-odd', { s: 0, t: 0 }],
    ['a/j/run-null', null],
    ['a/g/odd', 5],
    ['a/h/7', null],
    ['a/s/n1', 'odd'],
    ['a/p/run-a/x', 7],
    ['a/zzz', [1]],
  ];
  for (const [put, value] of unreadable)
    cluster.stateService.compareAndSwap({ ...conditions, writes: [{ put, value }] }, cluster.now);
  cluster.run(2);
  const holder = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-a')));
  holder.crash();
  cluster.run(0.2);
  holder.restart();
  cluster.runUntil('done', () => cluster.queryStatus('run-a', holder) === 'done', 60);
  cluster.submit(job('run-b', { estimatedRunS: 2 }), holder);
  cluster.runUntil('done', () => cluster.queryStatus('run-b', holder) === 'done', 30);
});

/** One stored record. Lists of them are in the order in which the state service stored them. */
type Stored = [key: string, value: unknown];

const accepted = (id: string, aw: string[] = []): Stored => [
  `a/j/${id}`,
  aw.length > 0 ? { s: 3, t: 0, sp: encodeJobSpec(job(id)), aw } : { s: 0, t: 0, sp: encodeJobSpec(job(id)) },
];

const done = (id: string): Stored => [`a/j/${id}`, { s: 1, t: 0, n: 1, e: 0 }];

const cancelled = (id: string): Stored => [`a/j/${id}`, { s: 2, t: 0, sp: encodeJobSpec(job(id)) }];

/** Two chains that share a job: one loses its first job, the other continues. One job is done before another depends on it. */
const HISTORY: Stored[] = [
  accepted('run-a'),
  accepted('run-d'),
  accepted('run-m', ['run-a']),
  accepted('run-b', ['run-d', 'run-m']),
  cancelled('run-a'),
  done('run-d'),
  accepted('run-e', ['run-d']),
];

/** The state of each job in a controller. */
function jobStates(controller: Controller, ids: string[]): Record<string, string> {
  const { jobs, finishedJobs } = controller.clusterState;
  return Object.fromEntries(ids.map((id) => [id, finishedJobs.get(id) ?? (jobs.get(id)?.isBlocked ? 'waits' : 'may start')]));
}

function* permutations<T>(list: readonly T[]): Generator<T[]> {
  if (list.length === 0) yield [];
  for (const [index, first] of list.entries())
    for (const rest of permutations([...list.slice(0, index), ...list.slice(index + 1)])) yield [first, ...rest];
}

/** Reads the records in every order, and all of them again at the end. The states of the jobs have to be the same. */
function assertInEveryOrder(history: Stored[], expected: Record<string, string>): void {
  const stamped = history.map(([key, value], index) => ({ key, value, revision: index + 1 }));
  const rows = [...new Map(stamped.map((row) => [row.key, row])).values()];
  for (const order of permutations(stamped)) {
    const controller = new Controller(settings('n0'), 'boot');
    for (const { key, value, revision } of order) controller.replica.set(key, value, revision);
    const orderText = order.map((row) => `${row.key} ${row.revision}`).join(', ');
    assert.deepEqual(jobStates(controller, Object.keys(expected)), expected, orderText);
    controller.receiveSnapshot(rows, stamped.length, 100);
    assert.deepEqual(jobStates(controller, Object.keys(expected)), expected, `read again: ${orderText}`);
  }
}

// The states must not depend on the order in which records are read: a controller reads its own writes before older writes of
// other controllers.
test('whatever the order in which records are read, and read again, the same jobs wait, may start and are cancelled', () => {
  assertInEveryOrder(HISTORY, {
    'run-a': 'cancelled',
    'run-b': 'cancelled',
    'run-d': 'done',
    'run-e': 'may start',
    'run-m': 'cancelled',
  });
});

test('a list of dependencies in parts is known once all parts are read, in any order', () => {
  const inParts: Stored = ['a/j/run-p', { s: 3, t: 0, sp: encodeJobSpec(job('run-p')), aw: ['run-d'], x: { k: 'group', n: 2 } }];
  const part = (index: number, id: string): Stored => [`a/x/run-p/group/${index}`, { aw: [id] }];
  const common = [accepted('run-d'), done('run-d'), inParts, part(0, 'run-d')];
  assertInEveryOrder(common, { 'run-p': 'waits' });
  assertInEveryOrder([...common, part(1, 'run-d')], { 'run-p': 'may start' });
  assertInEveryOrder([...common, part(1, 'run-open')], { 'run-p': 'waits' });
  assertInEveryOrder([...common, part(1, 'run-a'), cancelled('run-a')], { 'run-p': 'cancelled' });
});

// Guards against a record that is left half read after unreadable progress: the job would have no dependencies.
test('a job whose progress cannot be read has the dependencies of its record', () => {
  for (const digits of ['not digits', 7, null]) {
    const controller = new Controller(settings('n0'), 'boot');
    controller.replica.set('a/p/run-m/0', digits, 1);
    controller.replica.set('a/p/run-m/odd', 'ff', 2);
    for (const [index, [key, value]] of HISTORY.slice(0, 3).entries()) controller.replica.set(key, value, index + 3);
    assert.equal(controller.clusterState.jobs.get('run-m')?.isBlocked, true);
    assert.equal(controller.clusterState.jobs.get('run-a')?.isBlocked, false);
    controller.replica.set(...cancelled('run-a'), 9);
    assert.equal(controller.clusterState.finishedJobs.get('run-m'), 'cancelled');
  }
});

// Guards against a job that is found on a machine before its record is processed and enters the cluster state without its
// dependencies.
test('a job enters the registry only from its record, also if a machine reports it first', () => {
  const controller = new Controller(settings('n0'), 'boot');
  for (const [index, [key, value]] of HISTORY.slice(0, 4).entries()) controller.replica.set(key, value, index + 1);
  controller.clusterState.jobs.delete('run-m');
  const job = controller.clusterState.restoreJob('run-m', controller.replica.get('a/j/run-m'), 100);
  assert.equal(job?.isBlocked, true);
  assert.equal(controller.clusterState.restoreJob('run-never', null, 100), null);
});

// Guards against a failed input that discards all inputs queued behind it: changes that are lost this way are never read again.
test('a failed input affects no other input, and a change that cannot be processed no other change of its batch', () => {
  const seen: string[] = [];
  const failed: unknown[] = [];
  const inbox = new Inbox({
    clock: () => 0,
    onTurnEnd: () => seen.push('carried out'),
    maxClientRequestAgeMs: 1500,
    onError: (error) => failed.push(error),
  });
  inbox.enqueueControlEvent(() => seen.push('first'));
  inbox.enqueueControlEvent(() => {
    throw new Error('odd');
  });
  inbox.enqueueControlEvent(() => seen.push('last'));
  inbox.runTurn();
  assert.deepEqual(seen, ['first', 'last', 'carried out']);
  assert.equal(failed.length, 1);

  const read: string[] = [];
  const errors: string[] = [];
  const replica = new Replica(
    (key) => {
      if (key === 'a/odd') throw new Error('odd');
      read.push(key);
    },
    (key) => errors.push(key),
  );
  const change = (key: string, revision: number) => ({ key, value: {}, revision });
  replica.apply([change('a/1', 1), change('a/odd', 2), change('a/2', 3)], 3);
  replica.reset([change('a/1', 1), change('a/odd', 4), change('a/3', 5)], 5);
  assert.deepEqual(read, ['a/1', 'a/2', 'a/3', 'a/2']);
  assert.deepEqual(errors, ['a/odd', 'a/odd']);
});

// Finished jobs leave the cluster state of all controllers but the lease holder. Guards against a new lease holder that finds a
// task of a cancelled job and counts the time of the cancellation anew.
test('the time of a cancellation counts from its first reading, also if a task of the job is found later', () => {
  const controller = new Controller(settings('n0'), 'boot');
  const [key, value] = accepted('run-a');
  controller.receiveChanges([{ key, value, revision: 1 }], 1, 900, 1000);
  controller.receiveChanges([{ key, value: cancelled('run-a')[1], revision: 2 }], 2, 1900, 2000);
  assert.equal(controller.clusterState.jobs.has('run-a'), false, 'nothing is left to do for it here');
  assert.equal(controller.clusterState.restoreJob('run-a', controller.replica.get(key), 30_000)?.cancelledAt, 2000);
});

test('a paged list is read whole: a refused page is requested again, and an unreadable one is reported', async () => {
  let requestCount = 0;
  let isReadable = true;
  const host = (index: number) => ({
    ref: `n-${index}`,
    build: 'small',
    yard: 'east',
    loaners: false,
    status: 'running',
    age_s: 1,
  });
  const server = createServer(({ query }) => {
    requestCount++;
    if (query.get('since') === null) return { status: 200, body: { hosts: [host(1)], has_next: true } };
    if (requestCount === 2) return { status: 429, body: {} };
    return { status: 200, body: isReadable ? { hosts: [host(2)], has_next: false } : { hosts: 'none' } };
  });
  const cloud = new CloudClient(await listen(server), 100);
  const unreadable: string[] = [];
  cloud.unreadable$.subscribe((what) => unreadable.push(what));
  assert.deepEqual(
    (await cloud.listMachines())?.map(({ machine }) => machine),
    ['n-1', 'n-2'],
  );
  isReadable = false;
  assert.equal(await cloud.listMachines(), null);
  assert.deepEqual(unreadable, ['machine list']);
  cloud.close();
  server.close();
  server.closeAllConnections();
});

test('all keys are loaded although one page fails at first', async () => {
  let pages = 0;
  const server = createServer(({ path, query }) => {
    if (path === '/leases') return { status: 200, body: { permit: 1 } };
    if (path === '/changes') return { status: 200, body: { ledger: 9, log: [] } };
    pages++;
    if (pages === 2) return { status: 503, body: {} };
    const isFirst = query.get('since') === null;
    const row = { k: isFirst ? 'a/1' : 'a/2', v: 1, stamp: 1 };
    return { status: 200, body: { rows: [row], has_next: isFirst, ledger: 9 } };
  });
  const store = new StateServiceClient({
    address: await listen(server),
    keyPrefix: 'a/',
    requestsPerS: 100,
    leaseMs: 5000,
    clockDrift: 0.002,
  });
  const keys = await new Promise<string[]>((resolve) => {
    store.snapshot$.subscribe(({ rows }) => resolve(rows.map(({ key }) => key)));
    store.start();
  });
  assert.deepEqual(keys, ['a/1', 'a/2']);
  assert.equal(pages, 3, 'the first page is not read again');
  store.close();
  server.close();
  server.closeAllConnections();
});

test('a list of changes that is too large or too complex is replaced by the pages of the keys', async (context) => {
  const tooLarge = Buffer.alloc(MAX_RESPONSE_BYTES + 1);
  const tooComplex = pack({ ledger: 9, log: Array(MAX_RESPONSE_CONTAINERS).fill([]) });
  for (const body of [tooLarge, tooComplex]) {
    let changeRequests = 0;
    const server = createServer(
      ({ path }) => {
        if (path === '/leases') return { status: 200, body: { permit: 1 } };
        if (path === '/changes') return { status: 200, body: { ledger: 9, log: [] } };
        return { status: 200, body: { rows: [{ k: 'a/1', v: 1, stamp: 9 }], has_next: false, ledger: 9 } };
      },
      // The changes since the first page are few, those of the first watch many.
      (path) => (path === '/changes' && ++changeRequests === 2 ? body : null),
    );
    const store = new StateServiceClient({
      address: await listen(server),
      keyPrefix: 'a/',
      requestsPerS: 100,
      leaseMs: 5000,
      clockDrift: 0.002,
    });
    context.after(() => {
      store.close();
      server.close();
      server.closeAllConnections();
    });
    let snapshots = 0;
    store.snapshot$.subscribe(() => snapshots++);
    store.start();
    await waitForCount('the keys are read again', 2, () => snapshots);
  }
});
