/** The simulated state service with the HTTP interface of PROTOCOL, on loopback. */
import type { KeyWrite, RevisionCondition } from '@archpost/protocol';
import { SimulatedStateService } from '../simulation/state-service.js';
import { type BodyReplacement, createServer, type LoopbackRequest, type LoopbackResponse, listen } from './http.js';

const MAX_ROWS_PER_PAGE = 1000;
const LEASE_EXPIRY_INTERVAL_MS = 50;

interface WireWrite {
  write?: string;
  remove?: string;
  v?: unknown;
  permit?: number;
}

function decodeWrite({ write, remove, v, permit: leaseId }: WireWrite): KeyWrite {
  if (write === undefined) return { del: remove as string };
  return leaseId === undefined ? { put: write, value: v } : { put: write, value: v, lease: leaseId };
}

/** Serves the state service's HTTP interface on a free port. */
export class StateServer {
  readonly state = new SimulatedStateService();
  /** replaces the bodies of responses */
  bodyReplacement: BodyReplacement = () => null;
  private readonly server = createServer(
    (request) => this.handle(request),
    (path) => this.bodyReplacement(path),
  );
  private readonly watchers = new Set<() => void>();
  private readonly expiryTimer = setInterval(() => this.applyStep(() => this.state.expire(Date.now())), LEASE_EXPIRY_INTERVAL_MS);

  /** Starts listening. Returns the address. */
  listen(): Promise<string> {
    return listen(this.server);
  }

  /** Closes the server and its connections, and wakes all watchers. */
  close(): void {
    clearInterval(this.expiryTimer);
    for (const wake of [...this.watchers]) wake();
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Runs the step, and wakes all watchers if it changed the revision. */
  private applyStep<T>(step: () => T): T {
    const before = this.state.revision;
    const result = step();
    if (this.state.revision !== before) for (const wake of [...this.watchers]) wake();
    return result;
  }

  private handle(request: LoopbackRequest): LoopbackResponse | Promise<LoopbackResponse> {
    const { path } = request;
    if (path === '/txn') return this.transaction(request);
    if (path === '/changes') return this.changes(request);
    if (path === '/keys') return this.rows(request);
    if (path.startsWith('/leases')) return this.lease(request);
    return { status: 400, body: {} };
  }

  private transaction({ body }: LoopbackRequest): LoopbackResponse {
    const conditions = (body.guards as { k: string; stamp: number }[]).map(
      ({ k: key, stamp: revision }): RevisionCondition => ({ key, revision }),
    );
    const writes = ((body.writes ?? []) as WireWrite[]).map(decodeWrite);
    const outcome = this.applyStep(() =>
      this.state.compareAndSwap({ type: 'compareAndSwap', id: 0, conditions, writes }, Date.now()),
    );
    if (outcome.kind === 'ok') return { status: 200, body: { ledger: outcome.revision } };
    if (outcome.kind === 'failed') return { status: 409, body: { failed: outcome.keys, ledger: this.state.revision } };
    return { status: 400, body: { error: outcome.kind === 'noLease' ? 'no such lease' : outcome.kind } };
  }

  private lease({ path, body }: LoopbackRequest): LoopbackResponse {
    const id = Number(path.split('/')[2] ?? 0);
    if (id === 0) return { status: 200, body: { permit: this.state.lease(Number(body.ttl_ms), Date.now()) } };
    return this.state.extend(id, Date.now()) ? { status: 200, body: {} } : { status: 404, body: {} };
  }

  private rows({ query }: LoopbackRequest): LoopbackResponse {
    const starts = query.get('starts') ?? '';
    const since = query.get('since') ?? '';
    const keys = [...this.state.keys.keys()].filter((key) => key.startsWith(starts) && key > since).sort();
    const page = keys.slice(0, Math.min(MAX_ROWS_PER_PAGE, Number(query.get('most') ?? MAX_ROWS_PER_PAGE)));
    const rows = page.map((key) => ({ k: key, v: this.state.keys.get(key)?.value, stamp: this.state.keys.get(key)?.revision }));
    return { status: 200, body: { rows, has_next: page.length < keys.length, ledger: this.state.revision } };
  }

  private async changes({ query }: LoopbackRequest): Promise<LoopbackResponse> {
    const since = Number(query.get('since'));
    const starts = query.get('starts') ?? '';
    const until = Date.now() + Number(query.get('wait_ms') ?? 0);
    const newChanges = () => this.state.changesSince(since).filter(({ key }) => key.startsWith(starts));
    while (newChanges().length === 0 && Date.now() < until) await this.nextChange(until - Date.now());
    const log = newChanges().map(({ key, value, revision }) =>
      value === undefined ? { remove: key, stamp: revision } : { write: key, v: value, stamp: revision },
    );
    return { status: 200, body: { ledger: this.state.revision, log } };
  }

  private nextChange(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.watchers.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, timeoutMs);
      this.watchers.add(wake);
    });
  }
}
