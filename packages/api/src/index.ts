import http from 'node:http';
import { MAX_BODY, PATHS, pack, parseReport, type Report, unpackMap } from '@archpost/wire';
import express from 'express';
import { type Client, Connections } from './connections.js';
import { Shedding } from './shedding.js';

export { Connections, Shedding };

/** What the edge hands on. Each carries the id that its answer must bear. */
export type Request =
  | { kind: 'report'; id: number; report: Report }
  | { kind: 'submit'; id: number; body: Record<string, unknown> | null }
  | { kind: 'poll'; id: number; job: string }
  | { kind: 'cancel'; id: number; job: string };

/** Questions about one job: what follows is its id, and nothing else. */
const QUESTION = `${PATHS.jobs}/`;

/** A connection that says nothing, or takes nothing, for this long is closed; workers report every few seconds. */
const MUTE_MS = 10_000;
const IDLE_MS = 75_000;

/** The answer to who is refused at the door. */
const OVERLOADED = { error: 'overloaded' };

/** A request that was handed on and waits for its answer. */
interface OpenRequest {
  res: http.ServerResponse;
  client: Client;
  /** the job that it asks about */
  job: string | null;
}

/** The HTTP interface to users and workers. */
export class Api {
  private readonly open = new Map<number, OpenRequest>();
  private nextId = 1;
  readonly app: express.Express;
  /** what was answered last: questions about one job share their answer, and its bytes */
  private lastBody: unknown;
  private lastBytes: Buffer = Buffer.alloc(0);

  constructor(
    private readonly handle: (r: Request) => void,
    private readonly healthy: () => boolean,
    private readonly shedding: Shedding,
    private readonly unreadable: (from: string) => void = () => {},
    readonly connections = new Connections(Number.POSITIVE_INFINITY),
  ) {
    const app = express();
    this.app = app;
    app.disable('x-powered-by');
    app.disable('etag');
    app.set('query parser', false);
    app.set('case sensitive routing', true);
    const raw = express.raw({ type: () => true, limit: MAX_BODY, inflate: false });

    app.get(PATHS.up, (_req, res) => this.reply(res, this.healthy() ? 200 : 503, {}));
    app.post(PATHS.jobs, raw, (req, res) => {
      this.handle({ kind: 'submit', id: this.keep(res), body: Buffer.isBuffer(req.body) ? unpackMap(req.body) : null });
    });
    // Most questions don't come this way: see `question`.
    app.get(`${PATHS.jobs}/:id`, (req, res) => this.ask(res, String(req.params.id)));
    app.post(`${PATHS.jobs}/:id/cancel`, raw, (req, res) =>
      this.handle({ kind: 'cancel', id: this.keep(res), job: String(req.params.id) }),
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
        this.reply(res, 405, { error: 'method not allowed' });
      });
    }
    app.use((_req, res) => this.reply(res, 404, { error: 'no such path' }));
    app.use((err: { status?: number }, _req: express.Request, res: express.Response, _next: express.NextFunction) => {
      this.reply(res, 400, { error: err.status === 413 ? 'the body is too large' : 'malformed request' });
    });
  }

  listen(host: string, port: number): Promise<http.Server> {
    return new Promise((resolve, reject) => {
      const server = http.createServer({ connectionsCheckingInterval: MUTE_MS / 2 }, (req, res) => {
        if (req.method === 'POST' && req.url === PATHS.report) this.report(req, res);
        else if (req.method === 'GET' && req.url?.startsWith(QUESTION)) this.question(req, res);
        else if (req.url?.startsWith(PATHS.jobs) && !this.shedding.request()) this.refuse(req, res);
        else this.app(req, res);
      });
      this.connections.watch(server);
      server.listen(port, host);
      server.keepAliveTimeout = IDLE_MS;
      server.requestTimeout = MUTE_MS;
      server.headersTimeout = MUTE_MS;
      server.timeout = IDLE_MS;
      server.once('error', reject);
      server.once('listening', () => resolve(server));
    });
  }

  /**
   * Workers' reports, by far the most frequent requests, come by no framework: express costs
   * them more than all that is done with them, of a small share of a core.
   */
  private report(req: http.IncomingMessage, res: http.ServerResponse): void {
    const parts: Buffer[] = [];
    let size = 0;
    req.on('data', (d: Buffer) => {
      size += d.length;
      if (size <= MAX_BODY) parts.push(d);
    });
    req.on('end', () => {
      const body = size <= MAX_BODY ? unpackMap(parts.length === 1 ? (parts[0] as Buffer) : Buffer.concat(parts)) : null;
      const report = body && parseReport(body);
      if (!report) {
        this.unreadable(`${req.socket.remoteAddress}`);
        return this.reply(res, 400, { error: 'not a report' }, undefined, 'worker');
      }
      this.handle({ kind: 'report', id: this.keep(res, null, 'worker'), report });
    });
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
    if (this.shedding.question(job)) this.handle({ kind: 'poll', id: this.keep(res, job), job });
    else this.reply(res, 503, OVERLOADED, 1);
  }

  private refuse(req: http.IncomingMessage, res: http.ServerResponse): void {
    req.resume();
    this.reply(res, 503, OVERLOADED, 1);
  }

  private keep(res: http.ServerResponse, job: string | null = null, client: Client = 'user'): number {
    const id = this.nextId++;
    this.open.set(id, { res, client, job });
    res.once('close', () => this.open.delete(id));
    return id;
  }

  /** Answers a request that was handed on. */
  answer(id: number, status: number, body: unknown, retryAfterS?: number): void {
    const asked = this.open.get(id);
    if (!asked) return;
    this.open.delete(id);
    if (asked.job !== null && status !== 503) this.shedding.told(asked.job);
    this.reply(asked.res, status, body, retryAfterS, asked.client);
  }

  private reply(res: http.ServerResponse, status: number, body: unknown, retryAfterS?: number, client: Client = 'user'): void {
    if (res.headersSent || res.destroyed) return;
    if (body !== this.lastBody) {
      this.lastBody = body;
      this.lastBytes = pack(body);
    }
    const bytes = this.lastBytes;
    res.statusCode = status;
    res.setHeader('content-type', 'application/msgpack');
    res.setHeader('content-length', bytes.length);
    if (!this.connections.mayStay(client)) res.setHeader('connection', 'close');
    if (retryAfterS !== undefined) res.setHeader('retry-after', String(retryAfterS));
    res.end(bytes);
  }
}
