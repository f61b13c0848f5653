/** Sends requests as raw bytes to the HTTP interface of a controller in a simulated cluster, and reads the responses. */

import assert from 'node:assert/strict';
import net from 'node:net';
import type { TestContext } from 'node:test';
import type { Controller } from '@archpost/controller';
import { type ApiRequest, decodeSubmissionBody } from '@archpost/http-api';
import { unpack } from '@archpost/protocol';
import { listeningHttpApi } from '../loopback/http-api-server.js';
import { type SimulatedCluster, smallCluster } from '../simulation/index.js';
import type { Table } from './recorded-results.js';

/** The first request identifier of these tests, above the identifiers that simulated users are given. */
const FIRST_REQUEST_ID = 1_000_000;

/** Simulated seconds after which a request without a response fails the test. */
const SIMULATED_RESPONSE_TIMEOUT_S = 10;

function submitJob(controller: Controller, id: number, bytes: Buffer | null, now: number): void {
  const { map, fault } = decodeSubmissionBody(bytes);
  controller.submitJob(id, map, now, now, fault !== 'invalid text');
}

/** Passes a request to a controller of a simulated cluster and runs the cluster until the request is answered. */
function deliverRequest(cluster: SimulatedCluster, request: ApiRequest, isAnswered: () => boolean): void {
  const { controller } = cluster.controller('n0');
  const id = FIRST_REQUEST_ID + request.id;
  const { now } = cluster;
  if (request.kind === 'heartbeat') controller.receiveHeartbeat(id, request.heartbeat, now);
  else if (request.kind === 'submit') submitJob(controller, id, request.bytes, now);
  else if (request.kind === 'statusQuery') controller.queryJobStatus(id, request.job, now);
  else controller.cancelJob(id, request.job, now);
  cluster.controller('n0').applyEffects();
  cluster.runUntil(`a response to ${request.kind}`, isAnswered, SIMULATED_RESPONSE_TIMEOUT_S);
}

/** Opens the HTTP interface of a controller with four machines in a simulated cluster; returns its port. */
async function openController(context: TestContext): Promise<number> {
  const cluster = smallCluster(4);
  const { controller } = cluster.controller('n0');
  const takeEffects = controller.takeEffects.bind(controller);
  const answered = new Set<number>();
  const { api, port } = await listeningHttpApi(context, {
    onRequest: (request) => deliverRequest(cluster, request, () => answered.has(request.id)),
  });
  controller.takeEffects = () => {
    const effects = takeEffects();
    for (const effect of effects) {
      if (effect.type !== 'respond' || effect.id < FIRST_REQUEST_ID) continue;
      answered.add(effect.id - FIRST_REQUEST_ID);
      api.respond(effect.id - FIRST_REQUEST_ID, effect.status, effect.body, effect.retryAfterS);
    }
    return effects;
  };
  return port;
}

const SOCKET_TIMEOUT_MS = 20_000;

/** The end of a chunked body; some responses that Node generates itself are chunked. */
const LAST_CHUNK = '0\r\n\r\n';

/** Encodes a request with a Content-Length header and a body. */
export function request(method: string, path: string, body: Uint8Array = Buffer.alloc(0), headers: string[] = []): Buffer {
  const lines = [`${method} ${path} HTTP/1.1`, 'Host: c', ...headers, `Content-Length: ${body.length}`];
  return Buffer.concat([Buffer.from(`${lines.join('\r\n')}\r\n\r\n`, 'latin1'), body]);
}

/** Encodes a request whose head is given line by line. */
export const rawRequest = (lines: string[], body: Uint8Array = Buffer.alloc(0)): Buffer =>
  Buffer.concat([Buffer.from(`${lines.join('\r\n')}\r\n\r\n`, 'latin1'), body]);

/** A response as it is recorded, without its date header. */
interface Reply {
  status: string;
  headers: string[];
  body: string;
  decoded: unknown;
}

function decodeBody(body: Buffer): unknown {
  try {
    return unpack(body);
  } catch {
    return body.toString('latin1');
  }
}

/** Returns the response if it is complete, else null. */
function parseReply(bytes: Buffer, hasBody: boolean, isClosed: boolean): Reply | null {
  const end = bytes.indexOf('\r\n\r\n');
  if (end < 0) return null;
  const [status, ...headers] = bytes.subarray(0, end).toString('latin1').split('\r\n');
  const rest = bytes.subarray(end + 4);
  if (status?.includes(' 100 ')) return parseReply(rest, hasBody, isClosed);
  const length = headers.map((line) => /^content-length: (\d+)$/i.exec(line)?.[1]).find((each) => each !== undefined);
  const isComplete =
    length === undefined ? isClosed || rest.toString('latin1').endsWith(LAST_CHUNK) : rest.length >= Number(length);
  if (hasBody && !isComplete) return null;
  return {
    status: status as string,
    headers: headers.filter((line) => !/^date:/i.test(line)),
    body: rest.toString('hex'),
    decoded: decodeBody(rest),
  };
}

/** Sends bytes on a new connection; resolves with the first response, or states that the connection was closed without one. */
function exchange(port: number, bytes: Buffer): Promise<Reply | 'closed without an answer'> {
  const hasBody = !bytes.subarray(0, 5).equals(Buffer.from('HEAD '));
  return new Promise((resolve, reject) => {
    let received = Buffer.alloc(0);
    const socket = net.connect(port, '127.0.0.1', () => socket.write(bytes));
    const end = (reply: Reply | 'closed without an answer') => {
      socket.destroy();
      resolve(reply);
    };
    socket.setTimeout(SOCKET_TIMEOUT_MS, () => reject(new Error(`no response to ${bytes.subarray(0, 60).toString('latin1')}`)));
    socket.on('error', () => {});
    socket.on('data', (chunk: Buffer) => {
      received = Buffer.concat([received, chunk]);
      const reply = parseReply(received, hasBody, false);
      if (reply) end(reply);
    });
    socket.on('close', () => end(parseReply(received, hasBody, true) ?? 'closed without an answer'));
  });
}

/** Sends the requests one after another to one new controller; returns its responses by the titles of the requests. */
export async function responsesTo(context: TestContext, requests: [string, Buffer][]): Promise<Table> {
  const port = await openController(context);
  const table: Table = {};
  for (const [title, bytes] of requests) {
    assert.ok(!(title in table), `two requests have the title ${title}`);
    table[title] = await exchange(port, bytes);
  }
  return table;
}
