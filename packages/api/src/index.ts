import http from 'node:http';
import { MAX_BODY, PATHS, pack, parseReport, type Report, unpackMap } from '@archpost/wire';
import express from 'express';

/** What the edge hands on. Each carries the id that its answer must bear. */
export type Request =
  | { kind: 'report'; id: number; report: Report }
  | { kind: 'submit'; id: number; body: Record<string, unknown> | null }
  | { kind: 'poll'; id: number; job: string }
  | { kind: 'cancel'; id: number; job: string };

/** The HTTP interface to users and workers. */
export class Api {
  private readonly open = new Map<number, http.ServerResponse>();
  private nextId = 1;
  readonly app: express.Express;

  constructor(
    private readonly handle: (r: Request) => void,
    private readonly healthy: () => boolean,
    /** more is asked than can be done: users are refused at the door */
    private readonly behind: () => boolean = () => false,
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
    app.get(`${PATHS.jobs}/:id`, (req, res) => this.handle({ kind: 'poll', id: this.keep(res), job: String(req.params.id) }));
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
      const server = http.createServer((req, res) => {
        if (req.method === 'POST' && req.url === PATHS.report) this.report(req, res);
        else if (req.url?.startsWith(PATHS.jobs) && this.behind()) this.refuse(req, res);
        else this.app(req, res);
      });
      server.listen(port, host);
      server.keepAliveTimeout = 75_000;
      server.requestTimeout = 15_000;
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
      if (!report) return this.reply(res, 400, { error: 'not a report' });
      this.handle({ kind: 'report', id: this.keep(res), report });
    });
  }

  private refuse(req: http.IncomingMessage, res: http.ServerResponse): void {
    req.resume();
    this.reply(res, 503, { error: 'overloaded' }, 1);
  }

  private keep(res: http.ServerResponse): number {
    const id = this.nextId++;
    this.open.set(id, res);
    res.once('close', () => this.open.delete(id));
    return id;
  }

  /** Answers a request that was handed on. */
  answer(id: number, status: number, body: unknown, retryAfterS?: number): void {
    const res = this.open.get(id);
    if (!res) return;
    this.open.delete(id);
    this.reply(res, status, body, retryAfterS);
  }

  private reply(res: http.ServerResponse, status: number, body: unknown, retryAfterS?: number): void {
    if (res.headersSent || res.destroyed) return;
    const bytes = pack(body);
    res.statusCode = status;
    res.setHeader('content-type', 'application/msgpack');
    res.setHeader('content-length', bytes.length);
    if (retryAfterS !== undefined) res.setHeader('retry-after', String(retryAfterS));
    res.end(bytes);
  }
}
