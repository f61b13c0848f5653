// Connections on which workers send heartbeats, and those that are no worker's.

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

/** A client that speaks bytes. */
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

  /** The next answer; null: the connection was closed instead. */
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

interface Door {
  api: HttpApi;
  /** what was handed on, in order */
  requests: ApiRequest[];
  /** answers are given by the test itself */
  isHeld: boolean;
  connect(): Promise<RawClient>;
}

async function door(context: TestContext, connections = new ConnectionLimiter(100)): Promise<Door> {
  const requests: ApiRequest[] = [];
  const { api, port }: ListeningHttpApi = await listeningHttpApi(context, {
    onRequest: (each) => {
      requests.push(each);
      if (!opened.isHeld) api.respond(each.id, 200, { kind: each.kind });
    },
    connections,
  });
  const connect = () =>
    new Promise<RawClient>((resolve) => {
      const socket = net.connect(port, '127.0.0.1', () => resolve(new RawClient(socket)));
    });
  const opened: Door = { api, requests, isHeld: false, connect };
  return opened;
}

test('heartbeats, whole and in pieces, are taken one after the other on one connection', async (context) => {
  const { api, requests, connect } = await door(context);
  const client = await connect();
  client.socket.write(request(IDLE_HEARTBEAT));
  const first = await client.reply();
  assert.equal(first?.status, 200);
  assert.deepEqual(first?.body, { kind: 'heartbeat' });
  assert.doesNotMatch(first?.head ?? '', /connection: close/);
  // Cut within the head, and within the body.
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

const LONGEST_BODY = 64 * 1024;

test('what is no heartbeat is answered: other requests on the same connection, bodies too large, malformed ones', async (context) => {
  const { connect } = await door(context);
  const mixed = await connect();
  mixed.socket.write(request(IDLE_HEARTBEAT));
  assert.equal((await mixed.reply())?.status, 200);
  mixed.socket.write(`GET ${PATHS.health} HTTP/1.1\r\nHost: c\r\n\r\n`);
  assert.equal((await mixed.reply())?.status, 200);
  mixed.socket.write(request(IDLE_HEARTBEAT));
  assert.deepEqual((await mixed.reply())?.body, { kind: 'heartbeat' }, 'by the HTTP server from then on');
  mixed.socket.write(request(pack({}), 'POST /elsewhere'));
  assert.equal((await mixed.reply())?.status, 404);

  const user = await connect();
  user.socket.write(`GET ${PATHS.jobs}/run-000001 HTTP/1.1\r\nHost: c\r\n\r\n`);
  assert.deepEqual((await user.reply())?.body, { kind: 'statusQuery' });

  const large = await connect();
  large.socket.write(request(Buffer.alloc(LONGEST_BODY + 1)));
  assert.equal((await large.reply())?.status, 400);
  large.socket.write(request(IDLE_HEARTBEAT));
  assert.equal((await large.reply())?.status, 200, 'the connection goes on');

  const chunked = await connect();
  const head = `POST ${PATHS.heartbeat} HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked\r\n\r\n${IDLE_HEARTBEAT.length.toString(16)}\r\n`;
  chunked.socket.write(Buffer.concat([Buffer.from(head), IDLE_HEARTBEAT, Buffer.from('\r\n0\r\n\r\n')]));
  assert.equal((await chunked.reply())?.status, 200);

  const rubbish = await connect();
  rubbish.socket.write(`POST ${PATHS.heartbeat} HTTP/1.1\r\nContent-Length: none of it\r\n\r\n`);
  assert.notEqual((await rubbish.reply())?.status, 200);
  const other = await connect();
  other.socket.write('no HTTP at all\r\n\r\n');
  assert.equal((await other.reply())?.status, 400);
});

test('what comes before the last heartbeat was answered ends the connection; the answer is then dropped', async (context) => {
  const opened = await door(context);
  const { api, requests, connect } = opened;
  opened.isHeld = true;
  const together = await connect();
  together.socket.write(Buffer.concat([request(IDLE_HEARTBEAT), request(IDLE_HEARTBEAT)]));
  await together.closed();
  assert.equal(requests.length, 1, 'one at a time');
  const flood = await connect();
  flood.socket.write(request(IDLE_HEARTBEAT));
  while (requests.length < 2) await new Promise((resolve) => setTimeout(resolve, 5));
  flood.socket.write(Buffer.alloc(4 * LONGEST_BODY));
  await flood.closed();
  for (const { id } of requests) api.respond(id, 200, {});
  const next = await connect();
  next.socket.write(request(IDLE_HEARTBEAT));
  while (requests.length < 3) await new Promise((resolve) => setTimeout(resolve, 5));
  api.respond(requests[2]?.id ?? 0, 200, {});
  assert.equal((await next.reply())?.status, 200, 'others are served');
});

test('a connection is closed when its client says so, and beyond the sockets that workers may have', async (context) => {
  const connections = new ConnectionLimiter(4);
  const { connect } = await door(context, connections);
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

// The HTTP server behind the listener listens nowhere, and Node looks for half requests only at servers that do: such a
// connection was kept for ever.
test('a connection with no request, or half of one, is closed after a while', async (context) => {
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
  const halfQuestion = connect(`GET ${PATHS.jobs}/run-000001 HTTP/1.1\r\nHost: c\r\n`);
  const more = setInterval(() => halfQuestion.socket.write('X-More: 1\r\n'), 20);
  context.after(() => clearInterval(more));
  await Promise.all([silent.closed(), halfQuestion.closed()]);
});

// A heartbeat with a negative length, or one that is no number, waited ten seconds for a body that can't come, and its connection
// was closed without an answer; one with a length and chunks was taken, though two readers could cut its body differently.
test('a heartbeat whose body has no certain length is answered 400 and its connection is closed', async (context) => {
  const { requests, connect } = await door(context);
  const odd: [string, string[]][] = [
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
  for (const [what, headers] of odd) {
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
  assert.equal((await good.reply())?.status, 200, 'others are served');
});
