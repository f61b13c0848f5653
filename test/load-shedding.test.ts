// Overload: heartbeats first, then decisions, then users; connections of users are given up before those of workers.

import assert from 'node:assert/strict';
import net from 'node:net';
import { test } from 'node:test';
import { ConnectionLimiter, LoadShedder } from '@archpost/http-api';
import { PATHS, pack } from '@archpost/protocol';
import { Inbox, TIME_SLICE_MS } from '../packages/server/src/inbox.js';
import { IDLE_HEARTBEAT, type ListeningHttpApi, listeningHttpApi } from './loopback/http-api-server.js';

test('with few sockets left users lose theirs before workers do', async (context) => {
  const connections = new ConnectionLimiter(20);
  const { api, port }: ListeningHttpApi = await listeningHttpApi(context, {
    onRequest: ({ id }) => api.respond(id, 200, {}),
    connections,
  });
  const sockets = Array.from({ length: 17 }, () => net.connect(port, '127.0.0.1'));
  for (let index = 0; index < 500 && connections.openCount < 17; index++) await new Promise((resolve) => setTimeout(resolve, 10));
  const closes = async (path: string) => {
    const response = await fetch(`http://127.0.0.1:${port}${path}`, { method: 'POST', body: new Uint8Array([0x80]) });
    // Read to its end, so that the connection is used again: another one would change the count.
    await response.arrayBuffer();
    return response.headers.get('connection') === 'close';
  };
  assert.equal(await closes('/v2/runs'), false, '18 of 20');
  sockets.push(net.connect(port, '127.0.0.1'));
  for (let index = 0; index < 500 && connections.openCount < 19; index++) await new Promise((resolve) => setTimeout(resolve, 10));
  assert.equal(await closes('/checkin'), false, 'a worker stays with 19 of 20');
  assert.equal(await closes('/v2/runs'), true, 'a user does not');
  for (const socket of sockets) socket.destroy();
});

test('overload: heartbeats first, then decisions, then users, and users who waited too long are refused', async () => {
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

test('a pause of the process is noticed before any input is taken, and status queries come last', () => {
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

// A backlog was taken whole, seconds on a small share of a core: no health check was answered meanwhile, no answer left,
// and the load balancer took every controller for dead.
test('a backlog is taken in slices, heartbeats first, in their order, and says how long it has waited', () => {
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

test('while heartbeats wait a few submissions a second are taken all the same, the others refused', () => {
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

test('load shedding lets heartbeats pass, and refuses users at once when more is asked than can be done', async (context) => {
  const shedding = new LoadShedder(() => 0);
  const seen: string[] = [];
  const { api, port }: ListeningHttpApi = await listeningHttpApi(context, {
    onRequest: (request) => {
      seen.push(request.kind);
      api.respond(request.id, 200, {});
    },
    loadShedder: shedding,
  });
  const call = (path: string, body?: Uint8Array) =>
    fetch(`http://127.0.0.1:${port}${path}`, body ? { method: 'POST', body } : {}).then(async (r) => {
      await r.arrayBuffer();
      return { status: r.status, retry: r.headers.get('retry-after') };
    });
  assert.equal((await call(PATHS.heartbeat, IDLE_HEARTBEAT)).status, 200);
  assert.equal((await call(PATHS.heartbeat, pack({ host: 'n-1' }))).status, 400, 'a field is missing');
  assert.equal((await call(PATHS.heartbeat, new Uint8Array(64 * 1024 + 1))).status, 400, 'over 64 KiB');
  assert.equal((await call(PATHS.jobs, new Uint8Array(64 * 1024 + 1))).status, 400, 'over 64 KiB');
  assert.equal((await call(`${PATHS.jobs}/run-000001`)).status, 200);
  shedding.recordTimerDelay(2000);
  assert.deepEqual(await call(`${PATHS.jobs}/run-000001`), { status: 503, retry: '1' });
  assert.deepEqual(await call(PATHS.jobs, pack({})), { status: 503, retry: '1' });
  assert.equal((await call(PATHS.heartbeat, IDLE_HEARTBEAT)).status, 200, 'reports are taken all the same');
  assert.equal((await call(PATHS.health)).status, 200);
  assert.deepEqual(seen, ['heartbeat', 'statusQuery', 'heartbeat']);
});
