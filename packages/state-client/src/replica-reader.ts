/** Reads the data of a replica of the controllers' keys: all keys once, and then their changes. */
import { Delay, monotonicMs } from '@archpost/http-client';
import {
  changesPath,
  type KeyChange,
  type KeyPage,
  keyPagePath,
  parseChanges,
  parseKeyPage,
  type StoredKey,
} from '@archpost/protocol';
import { Subject } from 'rxjs';
import { ReadBarrier } from './read-barrier.js';
import type { StateServiceConnection } from './state-service-connection.js';

/** All keys. Pages may include changes made after the revision of the first page; these changes are emitted again. */
export interface Snapshot {
  rows: StoredKey[];
  /** revision of the first page */
  revision: number;
}

/** All changes after the previously emitted ones. */
export interface ReplicaChanges {
  changes: KeyChange[];
  /** revision up to which the replica is complete */
  revision: number;
  /** start of the read, in milliseconds of the monotonic clock; the replica is at least as recent as this */
  asOf: number;
}

/** Maximum wait of the service for a change, in seconds. It bounds the age of the replica while nothing changes. */
export const MAX_WATCH_WAIT_S = 2.5;
const MAX_WATCH_WAIT_MS = MAX_WATCH_WAIT_S * 1000;

/** Time allowed for a watch response beyond the requested wait. */
const WATCH_GRACE_MS = 2000;
const FIRST_CHANGES_TIMEOUT_MS = 2000;
const BARRIER_TIMEOUT_MS = 1200;

/** Wait after a failed read. */
const RETRY_MS = 300;

const KEYS_PER_PAGE = 1000;
const PAGE_TIMEOUT_MS = 3000;
/** Attempts to read each page after the first one, because a failure discards the pages that were already read. */
const PAGE_ATTEMPTS = 3;
const PAGE_RETRY_MS = 200;

/**
 * The watch, barriers and writes share the request budget: one request in three reopens the watch. The pause before the watch
 * is reopened stays within the two bounds.
 */
const REQUESTS_PER_WATCH = 3;
const MIN_WATCH_PAUSE_MS = 40;
const MAX_WATCH_PAUSE_MS = 250;

/** Interval between reads for barriers, as a multiple of the watch pause. */
const BARRIER_INTERVAL_FACTOR = 1.5;

type ReadResult = 'ok' | 'compacted' | 'failed';

/** Loads all keys with a prefix, watches their changes, and reloads the keys when the service no longer has all changes. */
export class ReplicaReader {
  readonly snapshot$ = new Subject<Snapshot>();
  readonly changes$ = new Subject<ReplicaChanges>();
  private readonly delay = new Delay();
  private readonly barrier: ReadBarrier;
  private readonly watchPauseMs: number;
  /** revision up to which changes were emitted; 0: the keys are not loaded */
  private revision = 0;
  private newestReadAt = -1;

  constructor(
    private readonly connection: StateServiceConnection,
    private readonly prefix: string,
    requestsPerS: number,
  ) {
    this.watchPauseMs = Math.max(MIN_WATCH_PAUSE_MS, Math.min(MAX_WATCH_PAUSE_MS, (1000 * REQUESTS_PER_WATCH) / requestsPerS));
    const reads = {
      newestReadAt: () => this.newestReadAt,
      read: async () => (await this.readChanges(0, BARRIER_TIMEOUT_MS)) !== 'failed',
    };
    this.barrier = new ReadBarrier(reads, BARRIER_INTERVAL_FACTOR * this.watchPauseMs);
  }

  /** Starts the reads. */
  start(): void {
    void this.run();
  }

  /**
   * Requests a read of changes that begins after this call: immediately if urgent, otherwise only if the watch does not read
   * soon.
   */
  requestReadBarrier(isUrgent: boolean): void {
    this.barrier.request(isUrgent, this.revision !== 0);
  }

  /** Stops all reads, and ends all waits. */
  close(): void {
    this.delay.close();
    this.barrier.close();
  }

  private async run(): Promise<void> {
    while (!this.delay.isClosed) {
      if (await this.load()) await this.watch();
      else await this.delay.wait(RETRY_MS);
    }
  }

  /** Emits all keys, and the changes since the first page was read. Resolves with false if a read failed. */
  private async load(): Promise<boolean> {
    const rows: StoredKey[] = [];
    let firstRevision: number | null = null;
    let after = '';
    for (;;) {
      const page = await this.readPage(after);
      if (!page) return false;
      firstRevision ??= page.revision;
      rows.push(...page.rows);
      if (!page.hasMore || page.rows.length === 0) break;
      after = page.rows[page.rows.length - 1]?.key ?? '';
    }
    this.revision = firstRevision;
    this.snapshot$.next({ rows, revision: firstRevision });
    return (await this.readChanges(0, FIRST_CHANGES_TIMEOUT_MS)) === 'ok';
  }

  private async readPage(after: string): Promise<KeyPage | null> {
    const path = keyPagePath(this.prefix, after, KEYS_PER_PAGE);
    for (let attemptsLeft = after === '' ? 1 : PAGE_ATTEMPTS; attemptsLeft > 0; attemptsLeft--) {
      await this.connection.budget.take();
      const response = await this.connection.get(path, PAGE_TIMEOUT_MS);
      const page = this.connection.parse(response, 'keys', parseKeyPage);
      if (page || response?.status === 200) return page;
      await this.delay.wait(PAGE_RETRY_MS);
    }
    return null;
  }

  /** Emits changes until the service no longer has all of them. */
  private async watch(): Promise<void> {
    while (!this.delay.isClosed) {
      const result = await this.readChanges(MAX_WATCH_WAIT_MS, MAX_WATCH_WAIT_MS + WATCH_GRACE_MS);
      if (result === 'compacted') return;
      await this.delay.wait(result === 'ok' ? this.watchPauseMs : RETRY_MS);
    }
  }

  private async readChanges(waitMs: number, timeoutMs: number): Promise<ReadResult> {
    await this.connection.budget.take();
    const asOf = monotonicMs();
    const response = await this.connection.get(changesPath(this.prefix, this.revision, waitMs), timeoutMs);
    // The pages of keys are smaller than the changes may be.
    if (response?.status === 410 || response?.isTooLarge) return 'compacted';
    const page = this.connection.parse(response, 'changes', parseChanges);
    if (!page) return 'failed';
    this.revision = Math.max(this.revision, page.revision);
    this.newestReadAt = Math.max(this.newestReadAt, asOf);
    this.changes$.next({ changes: page.changes, revision: page.revision, asOf });
    return 'ok';
  }
}
