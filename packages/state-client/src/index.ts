import { Budget, Client, sleep, steady } from '@archpost/http-client';
import type {
  CompareAndSwapOutcome,
  KeyChange,
  KeyWrite,
  RevisionCondition,
  ServiceResponse,
  StoredKey,
} from '@archpost/protocol';
import {
  encodeCompareAndSwap,
  encodeLeaseRequest,
  isLeaseNotFound,
  PATHS,
  pack,
  parseChanges,
  parseFailedKeys,
  parseLease,
  parseRevision,
  parseRows,
  readResponse,
  unpackMap,
} from '@archpost/protocol';
import { Subject } from 'rxjs';

export interface StateServiceEvents {
  snapshot: { rows: StoredKey[]; revision: number };
  changes: { changes: KeyChange[]; revision: number; asOf: number };
  lease: { leaseId: number | null; validUntil: number };
}

/** A wait this long bounds how old the copy can be when nothing changes. */
export const WATCH_S = 2.5;
const WATCH_MS = WATCH_S * 1000;

/** Questions wait for the watch this long, of the two seconds that users give them. */
const MAX_BARRIER_DELAY_MS = 350;

/** Keys in a page, how long one may take, and how often one after the first is asked for. */
const KEYS_PER_PAGE = 1000;
const PAGE_TIMEOUT_MS = 3000;
const PAGE_ATTEMPTS = 3;
const PAGE_RETRY_MS = 200;

/** Connections to the state service: watch, barrier, lease, transactions, and calls that hang. */
export const STATE_SOCKETS = 16;

/** The state service: one lease, one copy of our keys kept up by a watch, transactions. */
export class StateServiceClient {
  readonly snapshot$ = new Subject<StateServiceEvents['snapshot']>();
  readonly changes$ = new Subject<StateServiceEvents['changes']>();
  readonly lease$ = new Subject<StateServiceEvents['lease']>();
  readonly unreadable$ = new Subject<string>();
  private readonly client: Client;
  private readonly budget: Budget;
  private revision = 0;
  /** when a reading was asked for last, and by when it is to begin */
  private requestedAt = -1;
  private readDueAt = Number.POSITIVE_INFINITY;
  /** the newest reading that was answered began then */
  private newestReadAt = -1;
  private closed = false;
  private isReadingForBarrier = false;
  private lastBarrierReadAt = 0;
  private readonly pauseMs: number;

  constructor(
    address: string,
    private readonly prefix: string,
    requestsPerS: number,
    private readonly ttlMs: number,
    private readonly clockDrift: number,
  ) {
    this.client = new Client(address, STATE_SOCKETS);
    this.budget = new Budget(requestsPerS, steady);
    // Watch, barriers and writes share the budget: a third of it for re-opening the watch.
    this.pauseMs = Math.max(40, Math.min(250, 3000 / requestsPerS));
  }

  /** Ends what goes on by itself. */
  close(): void {
    this.closed = true;
    this.client.close();
  }

  start(): void {
    void this.keepLease();
    void this.keepReplica();
  }

  private async get(path: string, timeoutMs: number): Promise<ServiceResponse> {
    const outcome = await this.client.call({ method: 'GET', path, timeoutMs });
    return outcome.kind === 'answer' ? { status: outcome.status, body: unpackMap(outcome.body) } : { status: 0, body: null };
  }

  // ---- the lease

  private async keepLease(): Promise<void> {
    let leaseId: number | null = null;
    const every = Math.min(this.ttlMs / 6, 2500);
    while (!this.closed) {
      this.budget.force();
      const at = steady();
      const path: string = leaseId === null ? PATHS.leases : `${PATHS.leases}/${leaseId}/extend`;
      const body = pack(leaseId === null ? encodeLeaseRequest(this.ttlMs) : {});
      const outcome = await this.client.call({ method: 'POST', path, body, timeoutMs: 2000 });
      let wait = 400;
      if (outcome.kind === 'answer' && outcome.status === 200) {
        if (leaseId === null) leaseId = parseLease(unpackMap(outcome.body) ?? {});
        if (leaseId !== null) {
          // Counted from the sending, on a clock that may run fast or slow.
          this.lease$.next({ leaseId, validUntil: at + this.ttlMs * (1 - this.clockDrift) - 20 });
          wait = every;
        }
      } else if (outcome.kind === 'answer' && (outcome.status === 404 || outcome.status === 400) && leaseId !== null) {
        leaseId = null;
        this.lease$.next({ leaseId: null, validUntil: 0 });
        wait = 0;
      }
      await sleep(wait);
    }
  }

  // ---- the copy

  private async keepReplica(): Promise<void> {
    while (!this.closed) {
      if (!(await this.loadAllKeys())) {
        await sleep(300);
        continue;
      }
      while (!this.closed) {
        const result = await this.readChanges(WATCH_MS, WATCH_MS + 2000);
        if (result === 'old') break;
        await sleep(result === 'ok' ? this.pauseMs : 300);
      }
    }
  }

  private async loadAllKeys(): Promise<boolean> {
    const rows: StoredKey[] = [];
    let since = '';
    let first = -1;
    for (;;) {
      const page = await this.readPage(since);
      if (!page) return false;
      if (first < 0) first = page.revision;
      rows.push(...page.rows);
      if (!page.more || page.rows.length === 0) break;
      since = page.rows[page.rows.length - 1]?.key ?? '';
    }
    // Pages can be of different times: what changed since the first one comes by the watch.
    this.revision = first;
    this.snapshot$.next({ rows, revision: first });
    const result = await this.readChanges(0, 2000);
    return result === 'ok';
  }

  /** A page of all keys; a later one is asked for again, since all that came before it would be lost. */
  private async readPage(since: string): Promise<ReturnType<typeof parseRows>> {
    const at = since === '' ? '' : `&since=${since}`;
    const path = `${PATHS.keys}?starts=${this.prefix}${at}&most=${KEYS_PER_PAGE}`;
    for (let attemptsLeft = since === '' ? 1 : PAGE_ATTEMPTS; attemptsLeft > 0; attemptsLeft--) {
      await this.budget.take();
      const answer = await this.get(path, PAGE_TIMEOUT_MS);
      const page = this.parse(answer, 'keys', parseRows);
      if (page || answer.status === 200) return page;
      await sleep(PAGE_RETRY_MS);
    }
    return null;
  }

  private parse<T>(answer: ServiceResponse, what: string, parse: (body: Record<string, unknown>) => T | null): T | null {
    return readResponse(answer, parse, () => this.unreadable$.next(what));
  }

  private async readChanges(waitMs: number, timeoutMs: number): Promise<'ok' | 'old' | 'failed'> {
    await this.budget.take();
    const asOf = steady();
    const response = await this.get(`${PATHS.changes}?starts=${this.prefix}&since=${this.revision}&wait_ms=${waitMs}`, timeoutMs);
    if (response.status === 410) return 'old';
    const page = this.parse(response, 'changes', parseChanges);
    if (!page) return 'failed';
    if (page.revision > this.revision) this.revision = page.revision;
    if (asOf > this.newestReadAt) this.newestReadAt = asOf;
    this.changes$.next({ changes: page.changes, revision: page.revision, asOf });
    return 'ok';
  }

  /**
   * Reads once more, newer than this call. Calls are batched. What can wait a moment is mostly
   * answered by the watch, which is opened anew after each change.
   */
  readBarrier(isUrgent: boolean): void {
    this.requestedAt = steady();
    this.readDueAt = Math.min(this.readDueAt, this.requestedAt + (isUrgent ? 0 : MAX_BARRIER_DELAY_MS));
    if (this.isReadingForBarrier || this.revision === 0) return;
    this.isReadingForBarrier = true;
    void this.readUntilFresh();
  }

  private async readUntilFresh(): Promise<void> {
    while (this.requestedAt > this.newestReadAt) {
      const wait = Math.max(this.lastBarrierReadAt + 1.5 * this.pauseMs, this.readDueAt) - steady();
      if (wait > 0) {
        await sleep(Math.min(wait, 1.5 * this.pauseMs));
        continue;
      }
      this.readDueAt = Number.POSITIVE_INFINITY;
      this.lastBarrierReadAt = steady();
      const result = await this.readChanges(0, 1200);
      if (result === 'failed') await sleep(200);
    }
    this.readDueAt = Number.POSITIVE_INFINITY;
    this.isReadingForBarrier = false;
  }

  // ---- writing

  async compareAndSwap(conditions: RevisionCondition[], writes: KeyWrite[]): Promise<CompareAndSwapOutcome> {
    await this.budget.take();
    const outcome = await this.client.call({
      method: 'POST',
      path: PATHS.compareAndSwap,
      body: pack(encodeCompareAndSwap(conditions, writes)),
      timeoutMs: 1500,
    });
    if (outcome.kind === 'refused') return { kind: 'refused' };
    if (outcome.kind === 'lost') return { kind: 'unknown' };
    const body = unpackMap(outcome.body) ?? {};
    if (outcome.status === 200) {
      const revision = parseRevision(body);
      return revision === null ? { kind: 'unknown' } : { kind: 'ok', revision };
    }
    if (outcome.status === 409) return { kind: 'failed', keys: parseFailedKeys(body) };
    if (outcome.status === 400) return { kind: isLeaseNotFound(body) ? 'noLease' : 'invalid' };
    if (outcome.status === 429) return { kind: 'limited' };
    return outcome.status === 503 ? { kind: 'refused' } : { kind: 'unknown' };
  }
}
