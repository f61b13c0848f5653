/**
 * The HTTP interface to users and workers. It decodes requests, admits or rejects them, and passes admitted ones to its
 * `onRequest` callback with an id, by which their response is sent. Frequent requests (heartbeats, status queries, health
 * checks) bypass Express.
 */
import type http from 'node:http';
import type net from 'node:net';
import {
  BodyBuffer,
  decodeMap,
  type Heartbeat,
  MAX_BODY_BYTES,
  type MapFault,
  PATHS,
  pack,
  parseHeartbeat,
} from '@archpost/protocol';
import type express from 'express';
import { type ClientKind, ConnectionLimiter } from './connection-limiter.js';
import { createExpressApp } from './express-app.js';
import { HttpListener } from './http-listener.js';
import type { LoadShedder } from './load-shedder.js';
import { PendingRequests } from './pending-requests.js';
import { HttpResponder, type Responder } from './responder.js';

/** An admitted request. Its id is passed to `HttpApi.respond` to respond to it. */
export type ApiRequest =
  | { kind: 'heartbeat'; id: number; heartbeat: Heartbeat }
  /** `bytes`: the body, not decoded: a decoded one takes many times as much while the request waits. null: there is none */
  | { kind: 'submit'; id: number; bytes: Buffer | null }
  | { kind: 'statusQuery'; id: number; job: string }
  | { kind: 'cancel'; id: number; job: string };

/** The path of a status query is this prefix followed by the job's id. */
const STATUS_QUERY_PREFIX = `${PATHS.jobs}/`;

/** A path with such a character has a percent-encoded job id or is no status query; Express handles it. */
const NON_JOB_ID_CHARACTER = /[^\w-]/;

/** The body of health check responses, whose status code contains the result. */
const EMPTY_BODY = {};

const OVERLOADED_BODY = { error: 'overloaded' };

/** `Retry-After` of requests that are rejected under load, in seconds. */
const OVERLOADED_RETRY_S = 1;

/** Why a heartbeat can't be decoded. */
export type HeartbeatFault = MapFault | 'too large' | 'invalid field';

/** The callbacks and the limits of the interface. */
export interface HttpApiOptions {
  /** called with each admitted request; the callee responds to it by `HttpApi.respond` */
  onRequest(request: ApiRequest): void;
  /** whether health checks get status 200 rather than 503 */
  isReady(): boolean;
  loadShedder: LoadShedder;
  /** called with the client's address when a heartbeat can't be decoded */
  onMalformedHeartbeat?(from: string, fault: HeartbeatFault): void;
  /** the default doesn't limit connections */
  connections?: ConnectionLimiter;
}

/** Owns the listening server and all connections of users and workers. */
export class HttpApi {
  readonly connections: ConnectionLimiter;
  private readonly pendingRequests = new PendingRequests();
  private readonly app: express.Express;
  private readonly listener: HttpListener;
  private lastEncodedBody: unknown;
  private lastEncodedBytes: Buffer = Buffer.alloc(0);

  constructor(private readonly options: HttpApiOptions) {
    this.connections = options.connections ?? new ConnectionLimiter(Number.POSITIVE_INFINITY);
    this.app = createExpressApp({
      health: (response) => this.respondHealth(response),
      submit: (response, body) => this.submit(response, body),
      queryStatus: (response, job) => this.queryStatus(response, job),
      cancel: (response, job) => this.cancel(response, job),
      reject: (response, status, error) => this.send(new HttpResponder(response), status, { error }),
    });
    this.listener = new HttpListener({
      onHeartbeat: (connection, body) => this.receiveHeartbeat(connection, body, connection.socket),
      onOtherRequest: (request, response) => this.dispatch(request, response),
    });
  }

  /** Starts to listen. Rejects if the server can't listen on the address. */
  listen(host: string, port: number): Promise<net.Server> {
    const { server } = this.listener;
    return new Promise((resolve, reject) => {
      this.connections.attach(server);
      server.once('error', reject);
      server.listen(port, host, () => resolve(server));
    });
  }

  /** Stops listening and destroys every connection. */
  close(): void {
    this.listener.close();
  }

  /**
   * Responds to a request. Does nothing if its client has disconnected.
   *
   * @param body is encoded as MessagePack. The object must not be modified afterwards: its encoding is cached by identity
   */
  respond(id: number, status: number, body: unknown, retryAfterS?: number): void {
    const pending = this.pendingRequests.take(id);
    if (!pending) return;
    if (pending.job !== null && status !== 503) this.options.loadShedder.recordStatusResponse(pending.job);
    this.send(pending.responder, status, body, retryAfterS, pending.clientKind);
  }

  private dispatch(request: http.IncomingMessage, response: http.ServerResponse): void {
    if (request.method === 'POST' && request.url === PATHS.heartbeat) this.readHeartbeat(request, response);
    else if (request.method === 'GET' && request.url?.startsWith(STATUS_QUERY_PREFIX))
      this.receiveStatusQuery(request, request.url, response);
    else if (request.method === 'GET' && request.url === PATHS.health) this.respondHealth(response);
    else if (request.url?.startsWith(PATHS.jobs) && !this.options.loadShedder.admitMutation())
      this.rejectOverloaded(request, response);
    else this.app(request, response);
  }

  private respondHealth(response: http.ServerResponse): void {
    this.send(new HttpResponder(response), this.options.isReady() ? 200 : 503, EMPTY_BODY);
  }

  private submit(response: http.ServerResponse, bytes: Buffer | null): void {
    const id = this.pendingRequests.add(new HttpResponder(response), 'user', null);
    this.options.onRequest({ kind: 'submit', id, bytes });
  }

  private cancel(response: http.ServerResponse, job: string): void {
    const id = this.pendingRequests.add(new HttpResponder(response), 'user', null);
    this.options.onRequest({ kind: 'cancel', id, job });
  }

  /** Reads a heartbeat on a connection that Node's HTTP server serves, because its first request was not a heartbeat. */
  private readHeartbeat(request: http.IncomingMessage, response: http.ServerResponse): void {
    const body = new BodyBuffer(MAX_BODY_BYTES);
    request.on('data', (chunk: Buffer) => body.append(chunk));
    request.on('end', () => this.receiveHeartbeat(new HttpResponder(response), body.take(), request.socket));
  }

  /** `bytes`: null if the body is too large. */
  private receiveHeartbeat(responder: Responder, bytes: Buffer | null, socket: net.Socket): void {
    const heartbeat = decodeHeartbeat(bytes);
    if (typeof heartbeat === 'string') {
      this.options.onMalformedHeartbeat?.(`${socket.remoteAddress}`, heartbeat);
      return this.send(responder, 400, { error: 'not a report' }, undefined, 'worker');
    }
    this.options.onRequest({ kind: 'heartbeat', id: this.pendingRequests.add(responder, 'worker', null), heartbeat });
  }

  /**
   * Processes a status query. If the path contains a plain job id, Express is bypassed, because it would take several times as
   * much CPU time as the query itself. At peak load, queries arrive at eight times the usual rate.
   */
  private receiveStatusQuery(request: http.IncomingMessage, path: string, response: http.ServerResponse): void {
    const job = path.slice(STATUS_QUERY_PREFIX.length);
    if (NON_JOB_ID_CHARACTER.test(job)) return this.app(request, response);
    request.resume();
    this.queryStatus(response, job);
  }

  private queryStatus(response: http.ServerResponse, job: string): void {
    const responder = new HttpResponder(response);
    if (this.options.loadShedder.admitStatusQuery(job))
      this.options.onRequest({ kind: 'statusQuery', id: this.pendingRequests.add(responder, 'user', job), job });
    else this.send(responder, 503, OVERLOADED_BODY, OVERLOADED_RETRY_S);
  }

  private rejectOverloaded(request: http.IncomingMessage, response: http.ServerResponse): void {
    request.resume();
    this.send(new HttpResponder(response), 503, OVERLOADED_BODY, OVERLOADED_RETRY_S);
  }

  private send(responder: Responder, status: number, body: unknown, retryAfterS?: number, clientKind: ClientKind = 'user'): void {
    const closeConnection = !this.connections.mayKeepAlive(clientKind);
    responder.send({ status, body: this.encodeBody(body), retryAfterS, closeConnection });
  }

  /** Reuses the last encoding, because consecutive queries about one job get the same body object. */
  private encodeBody(body: unknown): Buffer {
    if (body !== this.lastEncodedBody) {
      this.lastEncodedBody = body;
      this.lastEncodedBytes = pack(body);
    }
    return this.lastEncodedBytes;
  }
}

/** Decodes a heartbeat, or returns why it can't be decoded. `bytes`: null if the body is too large. */
function decodeHeartbeat(bytes: Buffer | null): Heartbeat | HeartbeatFault {
  if (bytes === null) return 'too large';
  const decoded = decodeMap(bytes);
  if (decoded.kind === 'malformed') return decoded.fault;
  return parseHeartbeat(decoded.map) ?? 'invalid field';
}
