import type http from 'node:http';
import type net from 'node:net';
import { type Heartbeat, MAX_BODY_BYTES, PATHS, pack, parseHeartbeat, unpackMap } from '@archpost/protocol';
import express from 'express';
import { type ClientKind, ConnectionLimiter } from './connection-limiter.js';
import type { HeartbeatConnection } from './heartbeat-connection.js';
import { HttpListener } from './http-listener.js';
import type { LoadShedder } from './load-shedder.js';
import { HttpResponder, type Responder } from './responder.js';

/** What the edge hands on. Each carries the id that its answer must bear. */
export type ApiRequest =
  | { kind: 'heartbeat'; id: number; heartbeat: Heartbeat }
  | { kind: 'submit'; id: number; body: Record<string, unknown> | null }
  | { kind: 'statusQuery'; id: number; job: string }
  | { kind: 'cancel'; id: number; job: string };

/** Questions about one job: what follows is its id, and nothing else. */
const STATUS_QUERY_PREFIX = `${PATHS.jobs}/`;

/** The body of an answer about health: its status says all. */
const EMPTY_BODY = {};

/** The answer to who is refused at the door. */
const OVERLOADED_BODY = { error: 'overloaded' };

/** A request that was handed on and waits for its answer. */
interface PendingRequest {
  responder: Responder;
  clientKind: ClientKind;
  /** the job that it asks about */
  job: string | null;
}

/** The HTTP interface to users and workers. */
export class HttpApi {
  private readonly pendingRequests = new Map<number, PendingRequest>();
  private nextId = 1;
  readonly app: express.Express;
  private readonly listener: HttpListener;
  /** what was answered last: questions about one job share their answer, and its bytes */
  private lastEncodedBody: unknown;
  private lastEncodedBytes: Buffer = Buffer.alloc(0);

  constructor(
    private readonly onRequest: (request: ApiRequest) => void,
    private readonly isReady: () => boolean,
    private readonly loadShedder: LoadShedder,
    private readonly onMalformedHeartbeat: (from: string) => void = () => {},
    readonly connections = new ConnectionLimiter(Number.POSITIVE_INFINITY),
  ) {
    const app = express();
    this.app = app;
    this.listener = new HttpListener({
      onHeartbeat: (connection: HeartbeatConnection, body) => this.receiveHeartbeat(connection, body, connection.socket),
      onOtherRequest: (req, res) => this.dispatch(req, res),
    });
    app.disable('x-powered-by');
    app.disable('etag');
    app.set('query parser', false);
    app.set('case sensitive routing', true);
    const raw = express.raw({ type: () => true, limit: MAX_BODY_BYTES, inflate: false });

    app.get(PATHS.up, (_req, res) => this.respondHealth(res));
    app.post(PATHS.jobs, raw, (req, res) => {
      this.onRequest({
        kind: 'submit',
        id: this.registerPending(new HttpResponder(res)),
        body: Buffer.isBuffer(req.body) ? unpackMap(req.body) : null,
      });
    });
    // Most questions don't come this way: see `receiveStatusQuery`.
    app.get(`${PATHS.jobs}/:id`, (req, res) => this.queryStatus(res, String(req.params.id)));
    app.post(`${PATHS.jobs}/:id/cancel`, raw, (req, res) =>
      this.onRequest({ kind: 'cancel', id: this.registerPending(new HttpResponder(res)), job: String(req.params.id) }),
    );
    const methods: [string, string][] = [
      [PATHS.report, 'POST'],
      [PATHS.up, 'GET'],
      [PATHS.jobs, 'POST'],
      [`${PATHS.jobs}/:id`, 'GET'],
      [`${PATHS.jobs}/:id/cancel`, 'POST'],
    ];
    for (const [path, allow] of methods) {
      app.all(path, (_req, res) => {
        res.setHeader('allow', allow);
        this.send(new HttpResponder(res), 405, { error: 'method not allowed' });
      });
    }
    app.use((_req, res) => this.send(new HttpResponder(res), 404, { error: 'no such path' }));
    app.use((error: { status?: number }, _req: express.Request, res: express.Response, _next: express.NextFunction) => {
      this.send(new HttpResponder(res), 400, { error: error.status === 413 ? 'the body is too large' : 'malformed request' });
    });
  }

  listen(host: string, port: number): Promise<net.Server> {
    const { server } = this.listener;
    return new Promise((resolve, reject) => {
      this.connections.attach(server);
      server.once('error', reject);
      server.listen(port, host, () => resolve(server));
    });
  }

  /** Listens no more, and ends every connection. */
  close(): void {
    this.listener.close();
  }

  private dispatch(req: http.IncomingMessage, res: http.ServerResponse): void {
    if (req.method === 'POST' && req.url === PATHS.report) this.receiveHeartbeatOverHttp(req, res);
    else if (req.method === 'GET' && req.url?.startsWith(STATUS_QUERY_PREFIX)) this.receiveStatusQuery(req, res);
    else if (req.method === 'GET' && req.url === PATHS.up) this.respondHealth(res);
    else if (req.url?.startsWith(PATHS.jobs) && !this.loadShedder.admitMutation()) this.rejectOverloaded(req, res);
    else this.app(req, res);
  }

  private respondHealth(res: http.ServerResponse): void {
    this.send(new HttpResponder(res), this.isReady() ? 200 : 503, EMPTY_BODY);
  }

  /** A report on a connection that began with something else. */
  private receiveHeartbeatOverHttp(req: http.IncomingMessage, res: http.ServerResponse): void {
    const parts: Buffer[] = [];
    let size = 0;
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= MAX_BODY_BYTES) parts.push(chunk);
    });
    req.on('end', () => {
      this.receiveHeartbeat(new HttpResponder(res), size <= MAX_BODY_BYTES ? Buffer.concat(parts) : null, req.socket);
    });
  }

  /** A worker's report; null: its body is too large. */
  private receiveHeartbeat(responder: Responder, bytes: Buffer | null, socket: net.Socket): void {
    const body = bytes && unpackMap(bytes);
    const heartbeat = body && parseHeartbeat(body);
    if (!heartbeat) {
      this.onMalformedHeartbeat(`${socket.remoteAddress}`);
      return this.send(responder, 400, { error: 'not a report' }, undefined, 'worker');
    }
    this.onRequest({ kind: 'heartbeat', id: this.registerPending(responder, null, 'worker'), heartbeat });
  }

  /**
   * Nor do questions, which come eight times as often at times: the framework would cost each
   * several times what is done for it. A path that isn't plain is left to it.
   */
  private receiveStatusQuery(req: http.IncomingMessage, res: http.ServerResponse): void {
    const job = (req.url as string).slice(STATUS_QUERY_PREFIX.length);
    if (/[^\w-]/.test(job)) return this.app(req, res);
    req.resume();
    this.queryStatus(res, job);
  }

  private queryStatus(res: http.ServerResponse, job: string): void {
    const responder = new HttpResponder(res);
    if (this.loadShedder.admitStatusQuery(job))
      this.onRequest({ kind: 'statusQuery', id: this.registerPending(responder, job), job });
    else this.send(responder, 503, OVERLOADED_BODY, 1);
  }

  private rejectOverloaded(req: http.IncomingMessage, res: http.ServerResponse): void {
    req.resume();
    this.send(new HttpResponder(res), 503, OVERLOADED_BODY, 1);
  }

  private registerPending(responder: Responder, job: string | null = null, client: ClientKind = 'user'): number {
    const id = this.nextId++;
    this.pendingRequests.set(id, { responder, clientKind: client, job });
    responder.onDisconnect(() => this.pendingRequests.delete(id));
    return id;
  }

  /** Answers a request that was handed on. */
  respond(id: number, status: number, body: unknown, retryAfterS?: number): void {
    const pending = this.pendingRequests.get(id);
    if (!pending) return;
    this.pendingRequests.delete(id);
    if (pending.job !== null && status !== 503) this.loadShedder.recordAnswered(pending.job);
    this.send(pending.responder, status, body, retryAfterS, pending.clientKind);
  }

  private send(responder: Responder, status: number, body: unknown, retryAfterS?: number, client: ClientKind = 'user'): void {
    if (body !== this.lastEncodedBody) {
      this.lastEncodedBody = body;
      this.lastEncodedBytes = pack(body);
    }
    responder.send({ status, body: this.lastEncodedBytes, retryAfterS, closeConnection: !this.connections.mayKeepAlive(client) });
  }
}
