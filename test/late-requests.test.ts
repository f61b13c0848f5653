// Requests of a process that is delayed itself: a response that it reads too late must not count as a failure of the server.
//
// A controller that ran for 20 ms of each 0.8 s released 111 of 600 healthy machines (tools/measure.mjs starvation controller
// 780 800 600 2 60 1010 20, beside other load). The reasons of these releases were not recorded, so the following faults are
// suspected to be the cause, not shown: a connection that the worker had accepted, but that this process noticed only after the
// timeout, counted as refused by the worker; a request sent just before its timeout counted as unanswered at once; and the
// grace period of a late timer ended before sockets were read, since timers run first in a turn of the event loop.

import assert from 'node:assert/strict';
import net from 'node:net';
import { type TestContext, test } from 'node:test';
import { HttpClient } from '@archpost/http-client';

const RESPONSE = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

/** Starts a server on loopback that passes each request to `onRequest`; returns its address. */
async function listen(context: TestContext, onRequest: (socket: net.Socket) => void): Promise<string> {
  const server = net.createServer((socket) => socket.on('data', () => onRequest(socket)));
  context.after(() => server.close());
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

/** Blocks the event loop. */
function block(ms: number): void {
  const until = process.hrtime.bigint() + BigInt(ms) * 1_000_000n;
  while (process.hrtime.bigint() < until);
}

function createClient(context: TestContext, address: string): HttpClient {
  const client = new HttpClient(address, 1);
  context.after(() => client.close());
  return client;
}

test('a connection that this process notices only after the timeout does not count as refused by the server', async (context) => {
  const address = await listen(context, (socket) => socket.end(RESPONSE));
  const outcome = createClient(context, address).call({ method: 'GET', path: '/', timeoutMs: 100 });
  // The connection is requested in the next turn; the kernel accepts it while this process is blocked.
  await new Promise((resolve) => process.nextTick(resolve));
  block(700);
  const { kind, ...details } = await outcome;
  assert.deepEqual({ kind, ...details }, { kind: 'notSent', isOwnDelay: true });
});

test('a connection that is refused as nobody listens counts as refused by the server, however late this process is', async (context) => {
  const address = await listen(context, () => {});
  const closed = net.createServer();
  await new Promise<void>((resolve) => closed.listen(0, '127.0.0.1', resolve));
  const { port } = closed.address() as net.AddressInfo;
  await new Promise((resolve) => closed.close(resolve));
  assert.notEqual(address, `127.0.0.1:${port}`);
  const outcome = createClient(context, `127.0.0.1:${port}`).call({ method: 'GET', path: '/', timeoutMs: 100 });
  await new Promise((resolve) => process.nextTick(resolve));
  block(700);
  assert.deepEqual(await outcome, { kind: 'notSent', isOwnDelay: false });
});

test('a request that is sent late gets part of its timeout from then on', async (context) => {
  const timeoutMs = 1000;
  let answered = false;
  const address = await listen(context, (socket) => {
    // The server takes 0.3 of the timeout to answer, which ends after the timeout of the request.
    setTimeout(() => {
      answered = true;
      socket.end(RESPONSE);
    }, 0.3 * timeoutMs);
  });
  const outcome = createClient(context, address).call({ method: 'GET', path: '/', timeoutMs });
  await new Promise((resolve) => process.nextTick(resolve));
  block(0.9 * timeoutMs);
  assert.equal((await outcome).kind, 'response');
  assert.ok(answered);
});
