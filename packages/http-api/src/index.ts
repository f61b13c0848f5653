import type http from 'node:http';
import type net from 'node:net';
import { type Heartbeat, MAX_BODY_BYTES, PATHS, pack, parseHeartbeat, unpackMap } from '@archpost/protocol';
import express from 'express';
import { type Client, Connections } from './connections.js';
import { Front } from './front.js';
import type { ReportConnection } from './report-connection.js';
import { HttpResponder, type Responder } from './responder.js';
import { Shedding } from './shedding.js';

export { Connections, Shedding };

/** What the edge hands on. Each carries the id that its answer must bear. */
export type Request =
  | { kind: 'report'; id: number; report: Heartbeat }
  | { kind: 'submit'; id: number; body: Record<string, unknown> | null }
  | { kind: 'poll'; id: number; job: string }
  | { kind: 'cancel'; id: number; job: string };

/** Questions about one job: what follows is its id, and nothing else. */
const QUESTION = `${PATHS.jobs}/`;

/** The body of an answer about health: its status says all. */
const UP = {};

/** The answer to who is refused at the door. */
const OVERLOADED = { error: 'overloaded' };

/** A request that was handed on and waits for its answer. */
interface OpenRequest {
  responder: Responder;
  client: Client;
  /** the job that it asks about */
  job: string | null;
}

/** The HTTP interface to users and workers. */
export class Api {
  private readonly open = new Map<number, OpenRequest>();
  private nextId = 1;
  readonly app: express.Express;
  private readonly front: Front;
  /** what was answered last: questions about one job share their answer, and its bytes */
  private lastBody: unknown;
  private lastBytes: Buffer = Buffer.alloc(0);

  constructor(
    private readonly handle: (request: Request) => void,
    private readonly healthy: () => boolean,
    private readonly shedding: Shedding,
    private readonly unreadable: (from: string) => void = () => {},
    readonly connections = new Connections(Number.POSITIVE_INFINITY),
  ) {
    const app = express();
    this.app = app;
    this.front = new Front({
      report: (connection: ReportConnection, body) => this.report(connection, body, connection.socket),
      request: (req, res) => this.request(req, res),
    });
    app.disable('x-powered-by');
    app.disable('etag');
    app.set('query parser', false);
    app.set('case sensitive routing', true);
    const raw = express.raw({ type: () => true, limit: MAX_BODY_BYTES, inflate: false });

    app.get(PATHS.up, (_req, res) => this.health(res));
    app.post(PATHS.jobs, raw, (req, res) => {
      this.handle({
        kind: 'submit',
        id: this.keep(new HttpResponder(res)),
        body: Buffer.isBuffer(req.body) ? unpackMap(req.body) : null,
      });
    });
    // Most questions don't come this way: see `question`.
    app.get(`${PATHS.jobs}/:id`, (req, res) => this.ask(res, String(req.params.id)));
    app.post(`${PATHS.jobs}/:id/cancel`, raw, (req, res) =>
      this.handle({ kind: 'cancel', id: this.keep(new HttpResponder(res)), job: String(req.params.id) }),
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
        this.reply(new HttpResponder(res), 405, { error: 'method not allowed' });
      });
    }
    app.use((_req, res) => this.reply(new HttpResponder(res), 404, { error: 'no such path' }));
    app.use((error: { status?: number }, _req: express.Request, res: express.Response, _next: express.NextFunction) => {
      this.reply(new HttpResponder(res), 400, { error: error.status === 413 ? 'the body is too large' : 'malformed request' });
    });
  }

  listen(host: string, port: number): Promise<net.Server> {
    const { server } = this.front;
    return new Promise((resolve, reject) => {
      this.connections.watch(server);
      server.once('error', reject);
      server.listen(port, host, () => resolve(server));
    });
  }

  /** Listens no more, and ends every connection. */
  close(): void {
    this.front.close();
  }

  private request(req: http.IncomingMessage, res: http.ServerResponse): void {
    if (req.method === 'POST' && req.url === PATHS.report) this.reportByHttp(req, res);
    else if (req.method === 'GET' && req.url?.startsWith(QUESTION)) this.question(req, res);
    else if (req.method === 'GET' && req.url === PATHS.up) this.health(res);
    else if (req.url?.startsWith(PATHS.jobs) && !this.shedding.request()) this.refuse(req, res);
    else this.app(req, res);
  }

  private health(res: http.ServerResponse): void {
    this.reply(new HttpResponder(res), this.healthy() ? 200 : 503, UP);
  }

  /** A report on a connection that began with something else. */
  private reportByHttp(req: http.IncomingMessage, res: http.ServerResponse): void {
    const parts: Buffer[] = [];
    let size = 0;
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= MAX_BODY_BYTES) parts.push(chunk);
    });
    req.on('end', () => {
      this.report(new HttpResponder(res), size <= MAX_BODY_BYTES ? Buffer.concat(parts) : null, req.socket);
    });
  }

  /** A worker's report; null: its body is too large. */
  private report(responder: Responder, bytes: Buffer | null, socket: net.Socket): void {
    const body = bytes && unpackMap(bytes);
    const heartbeat = body && parseHeartbeat(body);
    if (!heartbeat) {
      this.unreadable(`${socket.remoteAddress}`);
      return this.reply(responder, 400, { error: 'not a report' }, undefined, 'worker');
    }
    this.handle({ kind: 'report', id: this.keep(responder, null, 'worker'), report: heartbeat });
  }

  /**
   * Nor do questions, which come eight times as often at times: the framework would cost each
   * several times what is done for it. A path that isn't plain is left to it.
   */
  private question(req: http.IncomingMessage, res: http.ServerResponse): void {
    const job = (req.url as string).slice(QUESTION.length);
    if (/[^\w-]/.test(job)) return this.app(req, res);
    req.resume();
    this.ask(res, job);
  }

  private ask(res: http.ServerResponse, job: string): void {
    const responder = new HttpResponder(res);
    if (this.shedding.question(job)) this.handle({ kind: 'poll', id: this.keep(responder, job), job });
    else this.reply(responder, 503, OVERLOADED, 1);
  }

  private refuse(req: http.IncomingMessage, res: http.ServerResponse): void {
    req.resume();
    this.reply(new HttpResponder(res), 503, OVERLOADED, 1);
  }

  private keep(responder: Responder, job: string | null = null, client: Client = 'user'): number {
    const id = this.nextId++;
    this.open.set(id, { responder, client, job });
    responder.whenGone(() => this.open.delete(id));
    return id;
  }

  /** Answers a request that was handed on. */
  answer(id: number, status: number, body: unknown, retryAfterS?: number): void {
    const asked = this.open.get(id);
    if (!asked) return;
    this.open.delete(id);
    if (asked.job !== null && status !== 503) this.shedding.told(asked.job);
    this.reply(asked.responder, status, body, retryAfterS, asked.client);
  }

  private reply(responder: Responder, status: number, body: unknown, retryAfterS?: number, client: Client = 'user'): void {
    if (body !== this.lastBody) {
      this.lastBody = body;
      this.lastBytes = pack(body);
    }
    responder.send({ status, body: this.lastBytes, retryAfterS, isLast: !this.connections.mayStay(client) });
  }
}
