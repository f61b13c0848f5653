// Connections on which workers send heartbeats, and other connections to the same listener.

import assert from 'node:assert/strict';
import net from 'node:net';
import { type TestContext, test } from 'node:test';
import { type ApiRequest, ConnectionLimiter, type HttpApi } from '@archpost/http-api';
import { PATHS, pack, unpackMap } from '@archpost/protocol';
import { HttpListener } from '../packages/http-api/src/http-listener.js';
import { IDLE_HEARTBEAT, type ListeningHttpApi, listeningHttpApi } from './loopback/http-api-server.js';

function request(body: Uint8Array, start = `POST ${PATHS.heartbeat}`, headers = ''): Buffer {
  const head = `${start} HTTP/1.1\r\nHost: c\r\n${headers}Content-Length: ${body.length}\r\n\r\n`;
  return Buffer.concat([Buffer.from(head, 'latin1'), body]);
}

interface Reply {
  status: number;
  head: string;
  body: Record<string, unknown> | null;
}

/** A client that sends raw bytes and reads HTTP responses. */
class RawClient {
  private received = Buffer.alloc(0);
  private wake: () => void = () => {};
  isClosed = false;

  constructor(readonly socket: net.Socket) {
    socket.on('data', (chunk: Buffer) => {
      this.received = Buffer.concat([this.received, chunk]);
      this.wake();
    });
    socket.on('close', () => {
      this.isClosed = true;
      this.wake();
    });
    socket.on('error', () => {});
  }

  /** Resolves with the next response, or with null if the connection is closed instead. */
  async reply(): Promise<Reply | null> {
    for (;;) {
      const end = this.received.indexOf('\r\n\r\n');
      const head = this.received.subarray(0, Math.max(0, end)).toString('latin1');
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
      if (end >= 0 && this.received.length >= end + 4 + length) {
        const body = this.received.subarray(end + 4, end + 4 + length);
        this.received = this.received.subarray(end + 4 + length);
        return { status: Number(head.split(' ')[1]), head: head.toLowerCase(), body: unpackMap(body) };
      }
      if (this.isClosed) return null;
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
    }
  }

  async closed(): Promise<void> {
    while (!this.isClosed)
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
  }
}

interface TestServer {
  api: HttpApi;
  /** requests that the HTTP API passed on, in order */
  requests: ApiRequest[];
  /** whether the test itself sends the responses */
  isHeld: boolean;
  connect(): Promise<RawClient>;
}

async function startServer(context: TestContext, connections = new ConnectionLimiter(100)): Promise<TestServer> {
  const requests: ApiRequest[] = [];
  const { api, port }: ListeningHttpApi = await listeningHttpApi(context, {
    onRequest: (each) => {
      requests.push(each);
      if (!server.isHeld) api.respond(each.id, 200, { kind: each.kind });
    },
    connections,
  });
  const connect = () =>
    new Promise<RawClient>((resolve) => {
      const socket = net.connect(port, '127.0.0.1', () => resolve(new RawClient(socket)));
    });
  const server: TestServer = { api, requests, isHeld: false, connect };
  return server;
}

test('heartbeats, whole and in fragments, are processed one after another on one connection', async (context) => {
  const { api, requests, connect } = await startServer(context);
  const client = await connect();
  client.socket.write(request(IDLE_HEARTBEAT));
  const first = await client.reply();
  assert.equal(first?.status, 200);
  assert.deepEqual(first?.body, { kind: 'heartbeat' });
  assert.doesNotMatch(first?.head ?? '', /connection: close/);
  // Split within the head, and within the body.
  const bytes = request(IDLE_HEARTBEAT);
  for (const [from, to] of [
    [0, 40],
    [40, bytes.length - 5],
    [bytes.length - 5, bytes.length],
  ]) {
    client.socket.write(bytes.subarray(from, to));
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  assert.equal((await client.reply())?.status, 200);
  assert.deepEqual(
    requests.map(({ kind }) => kind),
    ['heartbeat', 'heartbeat'],
  );
  api.close();
  await client.closed();
});

const MAX_BODY_BYTES = 64 * 1024;

test('other requests on a heartbeat connection, oversized bodies and malformed requests get a response', async (context) => {
  const { connect } = await startServer(context);
  const mixed = await connect();
  mixed.socket.write(request(IDLE_HEARTBEAT));
  assert.equal((await mixed.reply())?.status, 200);
  mixed.socket.write(`GET ${PATHS.health} HTTP/1.1\r\nHost: c\r\n\r\n`);
  assert.equal((await mixed.reply())?.status, 200);
  mixed.socket.write(request(IDLE_HEARTBEAT));
  assert.deepEqual((await mixed.reply())?.body, { kind: 'heartbeat' }, 'answered by the HTTP server from now on');
  mixed.socket.write(request(pack({}), 'POST /elsewhere'));
  assert.equal((await mixed.reply())?.status, 404);

  const user = await connect();
  user.socket.write(`GET ${PATHS.jobs}/run-000001 HTTP/1.1\r\nHost: c\r\n\r\n`);
  assert.deepEqual((await user.reply())?.body, { kind: 'statusQuery' });

  const large = await connect();
  large.socket.write(request(Buffer.alloc(MAX_BODY_BYTES + 1)));
  assert.equal((await large.reply())?.status, 400);
  large.socket.write(request(IDLE_HEARTBEAT));
  assert.equal((await large.reply())?.status, 200, 'the connection stays open');

  const chunked = await connect();
  const head = `POST ${PATHS.heartbeat} HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked\r\n\r\n${IDLE_HEARTBEAT.length.toString(16)}\r\n`;
  chunked.socket.write(Buffer.concat([Buffer.from(head), IDLE_HEARTBEAT, Buffer.from('\r\n0\r\n\r\n')]));
  assert.equal((await chunked.reply())?.status, 200);

  const invalidLength = await connect();
  invalidLength.socket.write(`POST ${PATHS.heartbeat} HTTP/1.1\r\nContent-Length: none of it\r\n\r\n`);
  assert.notEqual((await invalidLength.reply())?.status, 200);
  const notHttp = await connect();
  notHttp.socket.write('no HTTP at all\r\n\r\n');
  assert.equal((await notHttp.reply())?.status, 400);
});

test('bytes that arrive before the last heartbeat is answered close the connection, and its response is dropped', async (context) => {
  const server = await startServer(context);
  const { api, requests, connect } = server;
  server.isHeld = true;
  const pipelining = await connect();
  pipelining.socket.write(Buffer.concat([request(IDLE_HEARTBEAT), request(IDLE_HEARTBEAT)]));
  await pipelining.closed();
  assert.equal(requests.length, 1, 'one heartbeat at a time');
  const flooding = await connect();
  flooding.socket.write(request(IDLE_HEARTBEAT));
  while (requests.length < 2) await new Promise((resolve) => setTimeout(resolve, 5));
  flooding.socket.write(Buffer.alloc(4 * MAX_BODY_BYTES));
  await flooding.closed();
  for (const { id } of requests) api.respond(id, 200, {});
  const next = await connect();
  next.socket.write(request(IDLE_HEARTBEAT));
  while (requests.length < 3) await new Promise((resolve) => setTimeout(resolve, 5));
  api.respond(requests[2]?.id ?? 0, 200, {});
  assert.equal((await next.reply())?.status, 200, 'a new connection is served');
});

test('a connection is closed if its client asks for it, or if workers use more sockets than they may', async (context) => {
  const connections = new ConnectionLimiter(4);
  const { connect } = await startServer(context, connections);
  const leaving = await connect();
  leaving.socket.write(request(IDLE_HEARTBEAT, undefined, 'Connection: close\r\n'));
  assert.match((await leaving.reply())?.head ?? '', /connection: close/);
  await leaving.closed();
  const staying = await Promise.all([connect(), connect(), connect(), connect()]);
  while (connections.openCount < 4) await new Promise((resolve) => setTimeout(resolve, 5));
  staying[0]?.socket.write(request(IDLE_HEARTBEAT));
  assert.match((await staying[0]?.reply())?.head ?? '', /connection: close/);
  await staying[0]?.closed();
  while (connections.openCount === 4) await new Promise((resolve) => setTimeout(resolve, 5));
  staying[1]?.socket.write(request(IDLE_HEARTBEAT));
  assert.doesNotMatch((await staying[1]?.reply())?.head ?? '', /connection: close/);
});

// The HTTP server behind the listener doesn't listen itself, and Node closes incomplete requests only of servers that listen:
// such a connection was kept for ever.
test('a connection with no request or an incomplete one is closed after a timeout', async (context) => {
  const listener = new HttpListener({ onHeartbeat: assert.fail, onOtherRequest: assert.fail }, 100);
  context.after(() => listener.close());
  await new Promise<void>((resolve) => listener.server.listen(0, '127.0.0.1', resolve));
  const { port } = listener.server.address() as net.AddressInfo;
  const connect = (start: string) => {
    const client = new RawClient(net.connect(port, '127.0.0.1'));
    client.socket.write(start);
    return client;
  };
  const silent = connect('');
  const incomplete = connect(`GET ${PATHS.jobs}/run-000001 HTTP/1.1\r\nHost: c\r\n`);
  const headerTimer = setInterval(() => incomplete.socket.write('X-More: 1\r\n'), 20);
  context.after(() => clearInterval(headerTimer));
  await Promise.all([silent.closed(), incomplete.closed()]);
});

// A heartbeat whose length was negative or no number waited ten seconds for a body that couldn't arrive, and its connection was
// closed without a response; one with both a length and chunks was accepted, though two HTTP parsers may delimit its body
// differently.
test('a heartbeat whose body length is invalid or ambiguous is answered 400 and its connection is closed', async (context) => {
  const { requests, connect } = await startServer(context);
  const invalidHeaders: [string, string[]][] = [
    ['negative', ['Content-Length: -1']],
    ['no number', ['Content-Length: x']],
    ['empty', ['Content-Length:']],
    ['with a sign', ['Content-Length: +5']],
    ['hexadecimal', ['Content-Length: 0x5']],
    ['with an exponent', ['Content-Length: 1e1']],
    ['not whole', ['Content-Length: 1.5']],
    ['two that differ', ['Content-Length: 1', 'Content-Length: 2']],
    ['two in one', ['Content-Length: 5, 6']],
    ['a length and chunks', [`Content-Length: ${IDLE_HEARTBEAT.length}`, 'Transfer-Encoding: chunked']],
    ['an unknown transfer encoding', ['Transfer-Encoding: odd']],
  ];
  for (const [what, headers] of invalidHeaders) {
    const client = await connect();
    client.socket.write(`POST ${PATHS.heartbeat} HTTP/1.1\r\nHost: c\r\n${headers.join('\r\n')}\r\n\r\n`);
    const reply = await client.reply();
    assert.equal(reply?.status, 400, what);
    assert.match(reply?.head ?? '', /connection: close/i, what);
    await client.closed();
  }
  assert.equal(requests.length, 0);
  const good = await connect();
  good.socket.write(request(IDLE_HEARTBEAT));
  assert.equal((await good.reply())?.status, 200, 'a new connection is served');
});
