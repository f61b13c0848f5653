// Overload: heartbeats come first, then control events, then users; connections of users are closed before those of workers.

import assert from 'node:assert/strict';
import net from 'node:net';
import { test } from 'node:test';
import { ConnectionLimiter, LoadShedder } from '@archpost/http-api';
import { PATHS, pack } from '@archpost/protocol';
import { Inbox, TIME_SLICE_MS } from '../packages/server/src/inbox.js';
import { IDLE_HEARTBEAT, type ListeningHttpApi, listeningHttpApi } from './loopback/http-api-server.js';

test('with few sockets left, connections of users are closed before those of workers', async (context) => {
  const connections = new ConnectionLimiter(20);
  const { api, port }: ListeningHttpApi = await listeningHttpApi(context, {
    onRequest: ({ id }) => api.respond(id, 200, {}),
    connections,
  });
  const sockets = Array.from({ length: 17 }, () => net.connect(port, '127.0.0.1'));
  for (let index = 0; index < 500 && connections.openCount < 17; index++) await new Promise((resolve) => setTimeout(resolve, 10));
  const closesConnection = async (path: string) => {
    const response = await fetch(`http://127.0.0.1:${port}${path}`, { method: 'POST', body: new Uint8Array([0x80]) });
    // The body is read to its end so that the connection is reused: a new connection would change the count.
    await response.arrayBuffer();
    return response.headers.get('connection') === 'close';
  };
  assert.equal(await closesConnection('/v2/runs'), false, '18 of 20');
  sockets.push(net.connect(port, '127.0.0.1'));
  for (let index = 0; index < 500 && connections.openCount < 19; index++) await new Promise((resolve) => setTimeout(resolve, 10));
  assert.equal(await closesConnection('/checkin'), false, 'a worker keeps its connection at 19 of 20');
  assert.equal(await closesConnection('/v2/runs'), true, 'a user does not keep its connection');
  for (const socket of sockets) socket.destroy();
});

test('in overload heartbeats are processed first, then control events, then users, and users who waited too long are refused', async () => {
  let now = 0;
  const processed: string[] = [];
  const inbox = new Inbox({ clock: () => now, onTurnEnd: () => {}, maxClientRequestAgeMs: 1500, onError: assert.ifError });
  inbox.enqueueMutation(
    () => processed.push('old user'),
    () => processed.push('old user refused'),
  );
  now = 2000;
  for (let index = 0; index < 6; index++) {
    inbox.enqueueMutation(
      () => processed.push(`user ${index}`),
      () => processed.push(`user ${index} refused`),
    );
  }
  inbox.enqueueControlEvent(() => processed.push('control event'));
  inbox.enqueueHeartbeat(() => {
    processed.push('heartbeat');
  });
  inbox.runTurn();
  inbox.enqueueHeartbeat(() => processed.push('later heartbeat'));
  inbox.runTurn();
  assert.deepEqual(processed, [
    'heartbeat',
    'control event',
    'old user refused',
    'user 0',
    'user 1',
    'user 2',
    'later heartbeat',
    'user 3',
    'user 4',
    'user 5',
  ]);
});

test('a pause of the process is noticed before the next input is processed, and status queries come last', () => {
  let now = 0;
  const processed: string[] = [];
  const inbox = new Inbox({
    clock: () => now,
    onTurnEnd: () => {},
    maxClientRequestAgeMs: 1500,
    onProcessPause: (ms) => processed.push(`paused for ${ms} ms`),
    onError: assert.ifError,
  });
  inbox.enqueueStatusQuery(
    () => processed.push('old status query'),
    () => processed.push('old status query refused'),
  );
  inbox.enqueueHeartbeat(() => {
    processed.push('heartbeat');
    // The process pauses while it processes its inputs.
    now += 5000;
  });
  inbox.enqueueControlEvent(() => processed.push('control event'));
  inbox.runTurn();
  inbox.enqueueStatusQuery(
    () => processed.push('status query'),
    () => processed.push('status query refused'),
  );
  inbox.enqueueMutation(
    () => processed.push('submission'),
    () => processed.push('submission refused'),
  );
  now += 100;
  inbox.runTurn();
  assert.deepEqual(processed, [
    'heartbeat',
    'paused for 5000 ms',
    'control event',
    'old status query refused',
    'submission',
    'status query',
  ]);
});

// A backlog was processed in one turn, which took seconds on a small share of a core: meanwhile no health check was answered and
// no response was sent, and the load balancer considered every controller dead.
test('a backlog is processed in time slices, heartbeats first, in order, and its queue delay is reported', () => {
  let now = 0;
  const processed: string[] = [];
  const inbox = new Inbox({
    clock: () => now,
    onTurnEnd: () => processed.push('responses are sent'),
    maxClientRequestAgeMs: 1500,
    onError: assert.ifError,
  });
  const input = (name: string) => () => {
    now += 0.4 * TIME_SLICE_MS;
    processed.push(name);
  };
  for (let index = 0; index < 5; index++) inbox.enqueueHeartbeat(input(`heartbeat ${index}`));
  inbox.enqueueControlEvent(input('control event 0'));
  now += 50;
  assert.equal(inbox.queueDelayMs, 50);
  inbox.runTurn();
  inbox.enqueueHeartbeat(input('heartbeat 5'));
  inbox.runTurn();
  inbox.runTurn();
  assert.deepEqual(processed, [
    'heartbeat 0',
    'heartbeat 1',
    'heartbeat 2',
    'control event 0',
    'responses are sent',
    'heartbeat 3',
    'heartbeat 4',
    'heartbeat 5',
    'responses are sent',
    'responses are sent',
  ]);
  assert.equal(inbox.queueDelayMs, 0);
});

test('while heartbeats wait, a few submissions per second are still admitted and the others refused', () => {
  let now = 0;
  const shedding = new LoadShedder(() => now, 2);
  shedding.recordTimerDelay(2000);
  const admissions = () => Array.from({ length: 4 }, () => shedding.admitMutation());
  assert.deepEqual(admissions(), [true, true, false, false]);
  now = 500;
  assert.deepEqual(admissions(), [true, false, false, false]);
  now = 60_000;
  assert.deepEqual(admissions(), [true, true, false, false], 'the burst limit holds after a long time');
  assert.deepEqual(shedding.takeRejectedCounts(), { statusQueries: 0, mutations: 7 });
});

test('load shedding admits heartbeats and refuses requests of users at once in overload', async (context) => {
  const shedding = new LoadShedder(() => 0);
  const processed: string[] = [];
  const { api, port }: ListeningHttpApi = await listeningHttpApi(context, {
    onRequest: (request) => {
      processed.push(request.kind);
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
  assert.equal((await call(PATHS.heartbeat, IDLE_HEARTBEAT)).status, 200, 'heartbeats are still processed');
  assert.equal((await call(PATHS.health)).status, 200);
  assert.deepEqual(processed, ['heartbeat', 'statusQuery', 'heartbeat']);
});
