/**
 * The writer: the only way in which this controller changes the state service's keys. Owns the queue of writes, decides when a
 * transaction is sent, and handles each write according to the outcome of its transaction.
 */
import { isDeepStrictEqual } from 'node:util';
import type { CompareAndSwapOutcome } from '@archpost/protocol';
import { type Effect, type Milliseconds, NEVER } from '../model/index.js';
import { encodedBytes, isStorable, type StateSizeLimits } from './limits.js';
import type { Replica, ReplicaEntry } from './replica.js';
import { type SentTransaction, TransactionsInFlight } from './transactions-in-flight.js';
import { WriteBatch } from './write-batch.js';
import { WriteBudget } from './write-budget.js';
import { type PendingWrite, type QueuedWrite, WritePriority, WriteQueue } from './write-queue.js';
import { WriteStatistics } from './write-statistics.js';

/** Maximum number of transactions in flight. */
const MAX_CONCURRENT_TRANSACTIONS = 3;

/** Minimum time between two scans of the queue for expired writes. */
const EXPIRY_CHECK_INTERVAL_MS = 100;

/** Pause after a transaction failed and the response named no failed key. Immediate retries would be a busy loop. */
const UNEXPLAINED_FAILURE_PAUSE_MS = 200;

/** Pause after the service refused a transaction or didn't answer. */
const REFUSAL_PAUSE_MS = 300;

/** Size limits of writes and transactions, and this controller's share of the service's rate limit. */
export interface StateWriterLimits extends StateSizeLimits {
  writesPerS: number;
}

/** The operations of the controller that the writer uses. */
export interface StateWriterHost {
  /** receives each written value before the watch reports it */
  readonly replica: Replica;
  emit(effect: Effect): void;
  /** Returns the id of this controller's lease on the state service; null: it has none. */
  leaseId(): number | null;
  /** Calls `run` once the replica holds every change that was committed by `now`. */
  afterBarrier(now: Milliseconds, run: (now: Milliseconds) => void): void;
  /** Called when the state service reports that this controller's current lease has ended. */
  onLeaseLost(): void;
  /** Called when a write was dropped because the service never takes it. Called once for each key of the last ones. */
  onRejected(key: string, bytes: number): void;
}

/** Maximum number of keys whose rejection is remembered, so that it is reported once. */
const MAX_REPORTED_KEYS = 1000;

/** A batch, and the writes found during its selection that the service never takes. */
interface BatchSelection {
  batch: WriteBatch;
  unsendable: QueuedWrite[];
}

/**
 * Groups writes into transactions within the rate limit. A write without a response is sent again with the same conditions:
 * the copy that arrives first succeeds and the other copy fails, so a late copy can't overwrite a later change. When the
 * second copy fails, the value of the key shows whether the first copy was applied.
 */
export class StateWriter {
  private readonly queue = new WriteQueue();
  private readonly inFlight = new TransactionsInFlight();
  private readonly statistics = new WriteStatistics();
  private readonly budget: WriteBudget;
  private readonly reportedKeys = new Set<string>();
  private flushedAt: Milliseconds = 0;
  private expiryCheckedAt: Milliseconds = NEVER;
  private pausedUntil: Milliseconds = 0;

  constructor(
    private readonly limits: StateWriterLimits,
    private readonly host: StateWriterHost,
  ) {
    this.budget = new WriteBudget(limits.writesPerS);
  }

  /** Number of writes that wait to be sent. */
  get queueLength(): number {
    return this.queue.length;
  }

  /**
   * Returns the writes per second that this controller could use: the waiting writes, and its average rate over the last few
   * seconds.
   */
  wantedWritesPerS(now: Milliseconds): number {
    return this.queue.length + this.statistics.recentPerS(now);
  }

  /** Sets the share of the service's rate limit that this controller may use until the next call. */
  setRate(writesPerS: number): void {
    this.budget.setRate(writesPerS);
  }

  /** Returns the number of writes of each kind that were sent since the last call, and the number of waiting writes. */
  takeWriteCounts(): Record<string, number> {
    return { waiting: this.queue.length, ...this.statistics.takeCounts() };
  }

  /** Queues a write. A later `flush` sends it. */
  add(write: PendingWrite): void {
    const queued = { ...write, mayBeApplied: false, sendAlone: false, sentValue: undefined, queuedAt: this.flushedAt };
    this.queue.add(queued, this.flushedAt);
  }

  /** Sends as many writes as the limits allow. Called after each input. */
  flush(now: Milliseconds): void {
    this.budget.refill(now);
    this.flushedAt = now;
    if (now - this.expiryCheckedAt >= EXPIRY_CHECK_INTERVAL_MS) this.dropExpired(now);
    if (now < this.pausedUntil) return;
    while (this.queue.length > 0 && this.inFlight.count < MAX_CONCURRENT_TRANSACTIONS && this.budget.available >= 1) {
      const { batch, unsendable } = this.selectBatch(now);
      for (const write of unsendable) this.reject(write);
      if (batch.writes.length > 0) this.send(batch, now);
      else if (unsendable.length === 0) return;
    }
  }

  /** Handles the outcome of the transaction `id`. The outcome of a transaction that isn't in flight is ignored. */
  handleOutcome(id: number, outcome: CompareAndSwapOutcome, now: Milliseconds): void {
    const transaction = this.inFlight.take(id);
    if (!transaction) return;
    const { writes } = transaction;
    switch (outcome.kind) {
      case 'ok':
        this.handleSuccess(writes, outcome.revision);
        break;
      case 'failed':
        this.handleFailedConditions(writes, outcome.keys, now);
        break;
      case 'invalid':
        this.handleInvalid(writes, now);
        break;
      case 'noLease':
        this.handleLeaseNotFound(transaction, now);
        break;
      case 'refused':
      case 'limited':
        this.handleRefusal(writes, now);
        break;
      case 'unknown':
        for (const write of writes) write.mayBeApplied = true;
        this.handleRefusal(writes, now);
        break;
      default:
        outcome satisfies never;
    }
    this.flush(now);
  }

  // ---- sending

  /** Removes from the queue the writes for the next transaction, and the writes that the service never takes. */
  private selectBatch(now: Milliseconds): BatchSelection {
    const waiting = this.queue.inOrder(now);
    const batch = this.createBatch();
    const unsendable: QueuedWrite[] = [];
    for (const write of waiting) {
      if (batch.isFull) break;
      if (!this.isSendable(write) || !batch.accepts(write)) continue;
      // A write that may already be applied is sent again with the same value, so that its first copy is recognized by it.
      if (!write.mayBeApplied) write.sentValue = write.value(now);
      const bytes = encodedBytes(write.key, write.sentValue);
      if (write.mayBeApplied || this.isTaken(write, bytes)) batch.add(write, bytes);
      else unsendable.push(write);
    }
    for (const write of batch.writes) this.queue.remove(write);
    for (const write of unsendable) this.queue.remove(write);
    return { batch, unsendable };
  }

  private createBatch(): WriteBatch {
    const { writesPerTransaction } = this.limits;
    const maxWrites = Math.min(writesPerTransaction, this.budget.available);
    const hasWaitingAssignments = this.queue.count(WritePriority.assignment) + this.queue.count(WritePriority.release) > 0;
    const maxAcceptances = hasWaitingAssignments ? Math.max(1, Math.floor(maxWrites / 2)) : maxWrites;
    return new WriteBatch({ writesPerTransaction, maxWrites, maxAcceptances });
  }

  /** Whether the service takes the write as it is. `bytes`: its encoded size. */
  private isTaken({ key, sentValue }: QueuedWrite, bytes: number): boolean {
    return bytes <= this.limits.maxWriteBytes && isStorable(key, sentValue);
  }

  private isSendable(write: QueuedWrite): boolean {
    if (this.inFlight.writesKey(write.key)) return false;
    return !write.attachedToLease || this.host.leaseId() !== null;
  }

  private send(batch: WriteBatch, now: Milliseconds): void {
    this.budget.spend(batch.writes.length);
    this.statistics.recordSent(batch.writes, now);
    const leaseId = this.host.leaseId();
    const id = this.inFlight.add({ writes: batch.writes, leaseId });
    this.host.emit(batch.toEffect(id, leaseId));
  }

  /** Drops the queued writes that have expired. */
  private dropExpired(now: Milliseconds): void {
    this.expiryCheckedAt = now;
    for (const write of this.queue.takeExpired(now)) write.onOutcome('dropped');
  }

  /** Drops a write that the service would reject, or has rejected. It is reported once for each key and not retried. */
  private reject(write: QueuedWrite): void {
    if (!this.reportedKeys.has(write.key)) this.host.onRejected(write.key, encodedBytes(write.key, write.sentValue));
    if (this.reportedKeys.size >= MAX_REPORTED_KEYS) this.reportedKeys.clear();
    this.reportedKeys.add(write.key);
    write.onOutcome('rejected');
  }

  // ---- outcomes

  /** Updates the replica with all writes before the first `onOutcome` is called. */
  private handleSuccess(writes: readonly QueuedWrite[], revision: number): void {
    for (const write of writes) {
      if (write.sentValue === undefined) this.host.replica.remove(write.key, revision);
      else this.host.replica.set(write.key, write.sentValue, revision);
    }
    for (const write of writes) write.onOutcome('ok');
  }

  /** Resolves the writes whose conditions failed, once a fresh read is available. Queues the other writes again. */
  private handleFailedConditions(writes: readonly QueuedWrite[], keys: readonly string[], now: Milliseconds): void {
    const failedKeys = new Set(keys);
    for (const write of writes) {
      const isFailed = failedKeys.has(write.key) || (write.conditions ?? []).some(({ key }) => failedKeys.has(key));
      if (isFailed) this.host.afterBarrier(now, () => this.resolveFailedWrite(write));
      else this.queue.add(write, now);
    }
    if (failedKeys.size === 0) this.pausedUntil = now + UNEXPLAINED_FAILURE_PAUSE_MS;
  }

  /**
   * Sends each write again alone, so that an invalid write does not block the others. An invalid write that was sent alone is
   * rejected, or, if an earlier copy of it may be applied, resolved after a fresh read.
   */
  private handleInvalid(writes: readonly QueuedWrite[], now: Milliseconds): void {
    for (const write of writes) {
      if (writes.length > 1) this.queue.add({ ...write, sendAlone: true }, now);
      else if (write.mayBeApplied) this.host.afterBarrier(now, () => this.resolveFailedWrite(write));
      else this.reject(write);
    }
  }

  /**
   * Handles the end of the lease that the transaction named. If this controller gave up that lease before, its current lease
   * isn't affected.
   */
  private handleLeaseNotFound({ writes, leaseId }: SentTransaction, now: Milliseconds): void {
    if (leaseId !== null && leaseId === this.host.leaseId()) this.host.onLeaseLost();
    for (const write of writes) {
      if (write.attachedToLease) write.onOutcome('conflict');
      else this.queue.add(write, now);
    }
  }

  private handleRefusal(writes: readonly QueuedWrite[], now: Milliseconds): void {
    this.pausedUntil = now + REFUSAL_PAUSE_MS;
    for (const write of writes) this.queue.add(write, now);
  }

  /**
   * Determines the outcome of a failed write after a fresh read: the replica then shows whether an earlier copy of the write was
   * applied.
   */
  private resolveFailedWrite(write: QueuedWrite): void {
    write.onOutcome(isAlreadyApplied(write, this.host.replica.get(write.key)) ? 'ok' : 'conflict');
  }
}

/** Whether the entry matches the result of an earlier copy of the write whose outcome is unknown. */
function isAlreadyApplied(write: QueuedWrite, entry: ReplicaEntry | null): boolean {
  if (!write.mayBeApplied) return false;
  if (write.sentValue === undefined) return entry === null;
  // Compared as values, not as text: the service may return an object's fields in another order.
  return entry !== null && isDeepStrictEqual(withoutUndefined(entry.value), withoutUndefined(write.sentValue));
}

/** Returns the value as the state service returns it, without undefined fields. */
function withoutUndefined(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value));
}
