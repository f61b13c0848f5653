/**
 * A stand-in of the state service of PROTOCOL: keys with revisions, transactions, leases, watches. `gate`, if set, sees each
 * request first and may answer it: a refusal, a delay, or no answer.
 */
import { serve, sleep } from './http.mjs';

const KEPT_CHANGES = 10_000;
const MAX_ITEMS = 1000;
const MAX_PAGE_BYTES = 512 * 1024;

export class StateService {
  ledger = 0;
  keys = new Map();
  log = [];
  leases = new Map();
  nextLease = 1;
  watchers = new Set();
  /** revisions after which the open watches wait */
  waiting = new Map();
  nextWatch = 1;
  /** number of times that changes were asked for that are not kept any more */
  tooOld = 0;
  /** (request) => answer, promise of one, or undefined: served as usual */
  gate = null;
  /** called with each applied change */
  onChange = () => {};

  async listen(host) {
    this.timer = setInterval(() => this.expireLeases(), 50);
    ({ server: this.server, address: this.address } = await serve((request) => this.handle(request), host));
    return this.address;
  }

  close() {
    clearInterval(this.timer);
    this.server?.close();
    this.server?.closeAllConnections();
  }

  async handle(request) {
    const early = await this.gate?.(request);
    if (early !== undefined && early !== null) return early;
    return this.serveRequest(request);
  }

  serveRequest(request) {
    const { method, path, query, body } = request;
    if (path === '/txn') return this.transaction(body);
    if (path === '/changes') return this.changes(request);
    if (path === '/keys') return this.list(query);
    if (path.startsWith('/keys/')) return this.read(path.slice('/keys/'.length));
    if (path === '/leases' && method === 'POST') return this.grant(body);
    const [, , id, verb] = path.split('/');
    if (verb === 'extend') return this.extend(Number(id));
    if (method === 'DELETE') return this.endLease(Number(id));
    return { status: 400, body: { error: 'malformed' } };
  }

  change(entry) {
    this.log.push(entry);
    if (this.log.length > KEPT_CHANGES) this.log.shift();
    this.onChange(entry);
  }

  wake() {
    for (const wake of [...this.watchers]) wake();
  }

  transaction({ guards = [], writes = [] }) {
    this.expireLeases();
    for (const { permit } of writes)
      if (permit !== undefined && permit !== null && !this.leases.has(permit))
        return { status: 400, body: { error: 'no such lease' } };
    const failed = guards.filter(({ k, stamp }) => (this.keys.get(k)?.stamp ?? 0) !== stamp).map(({ k }) => k);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.ledger } };
    if (writes.length === 0) return { status: 200, body: { ledger: this.ledger } };
    this.ledger++;
    for (const { write, remove, v, permit } of writes) {
      if (write !== undefined && write !== null) this.put(write, v, permit ?? null);
      else this.remove(remove);
    }
    this.wake();
    return { status: 200, body: { ledger: this.ledger } };
  }

  put(k, v, permit) {
    this.detach(k);
    this.keys.set(k, { v, stamp: this.ledger, permit });
    if (permit !== null) this.leases.get(permit).keys.add(k);
    this.change({ write: k, v, stamp: this.ledger });
  }

  remove(k) {
    if (!this.keys.has(k)) return;
    this.detach(k);
    this.keys.delete(k);
    this.change({ remove: k, stamp: this.ledger });
  }

  detach(k) {
    const permit = this.keys.get(k)?.permit ?? null;
    if (permit !== null) this.leases.get(permit)?.keys.delete(k);
  }

  grant({ ttl_ms: ttlMs }) {
    const id = this.nextLease++;
    this.leases.set(id, { ttlMs, endsAt: Date.now() + ttlMs, keys: new Set() });
    return { status: 200, body: { permit: id } };
  }

  extend(id) {
    this.expireLeases();
    const lease = this.leases.get(id);
    if (!lease) return { status: 404, body: {} };
    lease.endsAt = Date.now() + lease.ttlMs;
    return { status: 200, body: {} };
  }

  endLease(id) {
    const lease = this.leases.get(id);
    if (!lease) return { status: 404, body: {} };
    this.leases.delete(id);
    if (lease.keys.size > 0) {
      this.ledger++;
      for (const k of [...lease.keys]) {
        this.keys.delete(k);
        this.change({ remove: k, stamp: this.ledger });
      }
      this.wake();
    }
    return { status: 200, body: {} };
  }

  expireLeases() {
    const now = Date.now();
    for (const [id, { endsAt }] of this.leases) if (now >= endsAt) this.endLease(id);
  }

  /** After an outage all leases have their full time again. */
  renewAllLeases() {
    for (const lease of this.leases.values()) lease.endsAt = Date.now() + lease.ttlMs;
  }

  read(k) {
    const entry = this.keys.get(k);
    if (!entry) return { status: 404, body: { ledger: this.ledger } };
    return { status: 200, body: { k, v: entry.v, stamp: entry.stamp, permit: entry.permit } };
  }

  list(query) {
    const starts = query.get('starts') ?? '';
    const since = query.get('since') ?? '';
    const most = Math.min(MAX_ITEMS, Number(query.get('most') ?? MAX_ITEMS));
    const names = this.namesAfter(starts, since);
    const rows = [];
    let bytes = 0;
    for (const k of names) {
      const { v, stamp } = this.keys.get(k);
      bytes += JSON.stringify(v).length + k.length + 40;
      if (rows.length >= most || (bytes > MAX_PAGE_BYTES && rows.length > 0)) break;
      rows.push({ k, v, stamp });
    }
    return { status: 200, body: { rows, has_next: rows.length < names.length, ledger: this.ledger } };
  }

  /** The names with the prefix that follow `since`, sorted. The whole order is kept until a key comes or goes. */
  namesAfter(starts, since) {
    if (this.sortedAt !== `${this.ledger}/${this.keys.size}`) {
      this.sorted = [...this.keys.keys()].sort();
      this.sortedAt = `${this.ledger}/${this.keys.size}`;
    }
    let low = 0;
    let high = this.sorted.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.sorted[middle] > since) high = middle;
      else low = middle + 1;
    }
    return this.sorted.slice(low).filter((k) => k.startsWith(starts));
  }

  /** How many open watches have been told of all changes. */
  watchesUpToDate() {
    return [...this.waiting.values()].filter((since) => since >= this.ledger).length;
  }

  changesAfter(since, starts) {
    return this.log.filter(({ write, remove, stamp }) => stamp > since && (write ?? remove).startsWith(starts));
  }

  async changes({ query }) {
    const since = Number(query.get('since'));
    const starts = query.get('starts') ?? '';
    const until = Date.now() + Math.min(60_000, Number(query.get('wait_ms') ?? 0));
    const isLost = () => (this.log[0]?.stamp ?? 0) > since + 1 && this.ledger > since && this.log.length >= KEPT_CHANGES;
    if (isLost()) {
      this.tooOld++;
      return { status: 410, body: {} };
    }
    const watch = this.nextWatch++;
    while (this.changesAfter(since, starts).length === 0 && Date.now() < until) {
      this.waiting.set(watch, since);
      await this.nextChange(until - Date.now());
    }
    this.waiting.delete(watch);
    return { status: 200, body: { ledger: this.ledger, log: this.changesAfter(since, starts) } };
  }

  nextChange(timeoutMs) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.watchers.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.max(1, timeoutMs));
      this.watchers.add(wake);
    });
  }
}

export { sleep };
