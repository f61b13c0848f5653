/**
 * The state service of PROTOCOL ("Controller nodes -> state service"): keys, leases, transactions, changes, and its limits on
 * values, transactions, requests and changes a second.
 */
import { createServer, listen } from './http.mjs';

const MAX_ROWS = 1000;
const MAX_PAGE_BYTES = 512 * 1024;
const KEPT_CHANGES = 10_000;
const LEASE_CHECK_MS = 20;
const MAX_TRANSACTION_BYTES = 64 * 1024;

/** Allows `perSecond` a second, with bursts of one second's worth. */
class Rate {
  constructor(perSecond) {
    this.perSecond = perSecond;
    this.tokens = perSecond;
    this.at = performance.now();
  }

  take(count) {
    const now = performance.now();
    this.tokens = Math.min(this.perSecond, this.tokens + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}

const sizeOf = (value) => Buffer.byteLength(JSON.stringify(value) ?? '');

export class StateService {
  /** `ledger`: the number of changes so far; `rps`, `writeRps`, `valueKb`, `txnOps`: its limits */
  constructor({ ledger = 0, rps, writeRps, valueKb, txnOps }) {
    this.ledger = ledger;
    this.keys = new Map();
    this.leases = new Map();
    this.changes = [];
    this.forgottenUpTo = ledger;
    this.nextLease = 1;
    this.watchers = new Set();
    this.requests = new Rate(rps);
    this.writes = new Rate(writeRps);
    this.valueKb = valueKb;
    this.txnOps = txnOps;
    /** set to a function of the request that returns true for requests that get 503 */
    this.isOut = () => false;
    this.server = createServer((request) => this.handle(request));
    this.timer = setInterval(() => this.expireLeases(), LEASE_CHECK_MS);
  }

  async start() {
    this.address = await listen(this.server);
    return this.address;
  }

  close() {
    clearInterval(this.timer);
    for (const wake of [...this.watchers]) wake();
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Sets keys that were written earlier, each by a change of its own, which nobody watches any more. */
  preload(rows) {
    for (const [key, value] of rows) this.keys.set(key, { value, stamp: ++this.ledger, lease: null });
    this.forgottenUpTo = this.ledger;
    this.sortedKeys = null;
  }

  handle(request) {
    if (this.isOut(request)) return { status: 503, body: { error: 'trouble' } };
    if (!this.requests.take(1)) return { status: 429, body: { error: 'too many requests' } };
    const { method, path } = request;
    if (path === '/keys') return this.page(request);
    if (path === '/changes') return this.readChanges(request);
    if (path === '/txn') return this.transaction(request);
    if (path.startsWith('/keys/')) return this.read(decodeURI(path.slice('/keys/'.length)));
    if (path.startsWith('/leases')) return this.lease(method, path, request.body);
    return { status: 400, body: { error: 'no such path' } };
  }

  read(key) {
    const entry = this.keys.get(key);
    if (!entry) return { status: 404, body: { ledger: this.ledger } };
    return { status: 200, body: { k: key, v: entry.value, stamp: entry.stamp, permit: entry.lease } };
  }

  page({ query }) {
    const starts = query.get('starts') ?? '';
    const since = query.get('since') ?? '';
    const most = Math.min(MAX_ROWS, Number(query.get('most') ?? MAX_ROWS));
    this.sortedKeys ??= [...this.keys.keys()].sort();
    const rows = [];
    let bytes = 0;
    let hasNext = false;
    for (let index = firstAfter(this.sortedKeys, since); index < this.sortedKeys.length; index++) {
      const key = this.sortedKeys[index];
      if (!key.startsWith(starts)) continue;
      const { value, stamp } = this.keys.get(key);
      const row = { k: key, v: value, stamp };
      bytes += sizeOf(row) + 1;
      if (rows.length >= most || (bytes > MAX_PAGE_BYTES && rows.length > 0)) {
        hasNext = true;
        break;
      }
      rows.push(row);
    }
    return { status: 200, body: { rows, has_next: hasNext, ledger: this.ledger } };
  }

  async readChanges({ query }) {
    const since = Number(query.get('since'));
    const starts = query.get('starts') ?? '';
    const until = performance.now() + Math.min(60_000, Number(query.get('wait_ms') ?? 0));
    for (;;) {
      if (since < this.forgottenUpTo) return { status: 410, body: { error: 'too old' } };
      const log = this.changesAfter(since, starts);
      const leftMs = until - performance.now();
      if (log.length > 0 || leftMs <= 0) return { status: 200, body: { ledger: this.ledger, log } };
      await this.nextChange(leftMs);
    }
  }

  changesAfter(since, starts) {
    const log = [];
    for (let index = this.changes.length - 1; index >= 0 && this.changes[index].stamp > since; index--) {
      const change = this.changes[index];
      if ((change.write ?? change.remove).startsWith(starts)) log.push(change);
    }
    return log.reverse();
  }

  nextChange(timeoutMs) {
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

  transaction({ body: { guards = [], writes = [] } }) {
    const isTooLarge = writes.some((write) => sizeOf(write.v) > this.valueKb * 1024);
    if (isTooLarge || writes.length > this.txnOps || guards.length > 4 * this.txnOps || sizeOf({ guards, writes }) > MAX_TRANSACTION_BYTES)
      return { status: 400, body: { error: 'too large' } };
    if (!this.writes.take(writes.length)) return { status: 429, body: { error: 'too many changes' } };
    for (const { write, permit } of writes)
      if (write !== undefined && permit != null && !this.leases.has(permit)) return { status: 400, body: { error: 'no such lease' } };
    const failed = guards.filter(({ k, stamp }) => (this.keys.get(k)?.stamp ?? 0) !== stamp).map(({ k }) => k);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.ledger } };
    if (writes.length > 0) this.commit(writes);
    return { status: 200, body: { ledger: this.ledger } };
  }

  commit(writes) {
    const stamp = ++this.ledger;
    for (const { write, remove, v, permit } of writes) {
      const key = write ?? remove;
      const before = this.keys.get(key);
      if (before?.lease != null) this.leases.get(before.lease)?.keys.delete(key);
      if (write === undefined) {
        if (!before) continue;
        this.keys.delete(key);
        this.changes.push({ remove: key, stamp });
      } else {
        this.keys.set(key, { value: v, stamp, lease: permit ?? null });
        if (permit != null) this.leases.get(permit).keys.add(key);
        this.changes.push({ write: key, v, stamp });
      }
      if ((write === undefined) !== (before === undefined)) this.sortedKeys = null;
    }
    while (this.changes.length > KEPT_CHANGES) this.forgottenUpTo = this.changes.shift().stamp;
    for (const wake of [...this.watchers]) wake();
  }

  lease(method, path, body) {
    const [, , id, verb] = path.split('/');
    if (id === undefined) {
      const permit = this.nextLease++;
      this.leases.set(permit, { ttlMs: body.ttl_ms, endsAt: performance.now() + body.ttl_ms, keys: new Set() });
      return { status: 200, body: { permit } };
    }
    const lease = this.leases.get(Number(id));
    if (!lease) return { status: 404, body: { error: 'no such lease' } };
    if (method === 'DELETE') this.endLease(Number(id), lease);
    else if (verb === 'extend') lease.endsAt = performance.now() + lease.ttlMs;
    return { status: 200, body: { permit: Number(id) } };
  }

  expireLeases() {
    const now = performance.now();
    for (const [id, lease] of this.leases) if (now > lease.endsAt) this.endLease(id, lease);
  }

  endLease(id, lease) {
    this.leases.delete(id);
    if (lease.keys.size > 0) this.commit([...lease.keys].map((key) => ({ remove: key })));
  }
}

function firstAfter(sorted, key) {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (sorted[middle] > key) high = middle;
    else low = middle + 1;
  }
  return low;
}
