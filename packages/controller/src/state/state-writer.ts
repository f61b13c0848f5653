/**
 * The writer: the one way in which this controller changes the state service's keys. It owns the queue of writes, decides when
 * a transaction is sent, and does with each write what the outcome of its transaction asks for.
 */
import { isDeepStrictEqual } from 'node:util';
import type { CompareAndSwapOutcome } from '@archpost/protocol';
import { type Effect, type Milliseconds, NEVER } from '../model/index.js';
import { encodedBytes, type StateSizeLimits } from './limits.js';
import type { Replica, ReplicaEntry } from './replica.js';
import { type SentTransaction, TransactionsInFlight } from './transactions-in-flight.js';
import { WriteBatch } from './write-batch.js';
import { WriteBudget } from './write-budget.js';
import { type PendingWrite, type QueuedWrite, WritePriority, WriteQueue } from './write-queue.js';
import { WriteStatistics } from './write-statistics.js';

/** Transactions in flight at once. */
const MAX_CONCURRENT_TRANSACTIONS = 3;

/** Least time between two searches of the queue for writes that have expired. */
const EXPIRY_CHECK_INTERVAL_MS = 100;

/** Nothing is sent for so long after a transaction failed on keys that none of its writes names: retrying at once would spin. */
const UNEXPLAINED_FAILURE_PAUSE_MS = 200;

/** Nothing is sent for so long after the service refused a transaction, or didn't answer. */
const REFUSAL_PAUSE_MS = 300;

/** Sizes of writes and transactions, and this controller's part of the service's rate limit. */
export interface StateWriterLimits extends StateSizeLimits {
  writesPerS: number;
}

/** What the writer needs of its controller. */
export interface StateWriterHost {
  /** takes over what was written, before the watch reports it */
  readonly replica: Replica;
  emit(effect: Effect): void;
  /** our lease at the state service; null: we have none */
  leaseId(): number | null;
  /** Runs `run` once the replica holds everything that was so at this call. */
  afterBarrier(now: Milliseconds, run: (now: Milliseconds) => void): void;
  /** The state service says that the lease that we have now has ended. */
  onLeaseLost(): void;
  /** A write can't be taken by the service and was dropped. Called once for each key. */
  onTooLarge(key: string, bytes: number): void;
}

/** A batch, and what was found on the way that no batch can hold. */
interface BatchSelection {
  batch: WriteBatch;
  oversize: QueuedWrite[];
}

/**
 * Groups writes into transactions within the rate limit. A transaction without an answer is sent again with the same
 * conditions: whichever copy arrives first succeeds and the other fails, so a late copy can't undo anything. When the second
 * copy fails, what the key holds shows whether the first was applied.
 */
export class StateWriter {
  private readonly queue = new WriteQueue();
  private readonly inFlight = new TransactionsInFlight();
  private readonly statistics = new WriteStatistics();
  private readonly budget: WriteBudget;
  private readonly reportedTooLarge = new Set<string>();
  private flushedAt: Milliseconds = 0;
  private expiryCheckedAt: Milliseconds = NEVER;
  private pausedUntil: Milliseconds = 0;

  constructor(
    private readonly limits: StateWriterLimits,
    private readonly host: StateWriterHost,
  ) {
    this.budget = new WriteBudget(limits.writesPerS);
  }

  /** Writes that wait to be sent. */
  get length(): number {
    return this.queue.length;
  }

  /** Writes a second that this controller could use: what waits, and what it wrote in the last few seconds. */
  wantedWritesPerS(now: Milliseconds): number {
    return this.queue.length + this.statistics.recentPerS(now);
  }

  /** What of the service's rate limit this controller may use for now. */
  setRate(writesPerS: number): void {
    this.budget.setRate(writesPerS);
  }

  /** How many writes of each kind were sent since the last call, and how many wait. */
  takeWriteCounts(): Record<string, number> {
    return { waiting: this.queue.length, ...this.statistics.takeCounts() };
  }

  /** Queues a write; it is sent by a later `flush`. */
  add(write: PendingWrite): void {
    const queued = { ...write, mayBeApplied: false, sendAlone: false, sentValue: undefined, queuedAt: this.flushedAt };
    this.queue.add(queued, this.flushedAt);
  }

  /** Sends as much as the limits allow. Called after each input. */
  flush(now: Milliseconds): void {
    this.budget.refill(now);
    this.flushedAt = now;
    if (now - this.expiryCheckedAt >= EXPIRY_CHECK_INTERVAL_MS) this.dropExpired(now);
    if (now < this.pausedUntil) return;
    while (this.queue.length > 0 && this.inFlight.count < MAX_CONCURRENT_TRANSACTIONS && this.budget.available >= 1) {
      const { batch, oversize } = this.selectBatch(now);
      for (const write of oversize) this.dropTooLarge(write);
      if (batch.writes.length > 0) this.send(batch, now);
      else if (oversize.length === 0) return;
    }
  }

  /** What became of the transaction `id`. One that isn't in flight is passed over. */
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

  /** Takes from the queue what goes into the next transaction, and what is too large for any. */
  private selectBatch(now: Milliseconds): BatchSelection {
    const waiting = this.queue.inOrder(now);
    const batch = this.createBatch();
    const oversize: QueuedWrite[] = [];
    for (const write of waiting) {
      if (batch.isFull) break;
      if (!this.isSendable(write) || !batch.accepts(write)) continue;
      // What may have been applied already is sent again as it was, so that its first copy is recognized by its value.
      if (!write.mayBeApplied) write.sentValue = write.value(now);
      const bytes = encodedBytes(write.key, write.sentValue);
      if (!write.mayBeApplied && bytes > this.limits.maxWriteBytes) oversize.push(write);
      else batch.add(write, bytes);
    }
    for (const write of batch.writes) this.queue.remove(write);
    for (const write of oversize) this.queue.remove(write);
    return { batch, oversize };
  }

  private createBatch(): WriteBatch {
    const { writesPerTransaction } = this.limits;
    const maxWrites = Math.min(writesPerTransaction, this.budget.available);
    const othersWait = this.queue.count(WritePriority.assignment) + this.queue.count(WritePriority.release) > 0;
    const maxAcceptances = othersWait ? Math.max(1, Math.floor(maxWrites / 2)) : maxWrites;
    return new WriteBatch({ writesPerTransaction, maxWrites, maxAcceptances });
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

  /** Drops what has waited too long to be sent. */
  private dropExpired(now: Milliseconds): void {
    this.expiryCheckedAt = now;
    for (const write of this.queue.takeExpired(now)) write.onOutcome('dropped');
  }

  /** The service would refuse it, or has: reported once for each key, and not tried again. */
  private dropTooLarge(write: QueuedWrite): void {
    if (!this.reportedTooLarge.has(write.key)) this.host.onTooLarge(write.key, encodedBytes(write.key, write.sentValue));
    this.reportedTooLarge.add(write.key);
    write.onOutcome('dropped');
  }

  // ---- outcomes

  /** The replica holds all writes before the first `onOutcome` is called. */
  private handleSuccess(writes: readonly QueuedWrite[], revision: number): void {
    for (const write of writes) {
      if (write.sentValue === undefined) this.host.replica.remove(write.key, revision);
      else this.host.replica.set(write.key, write.sentValue, revision);
    }
    for (const write of writes) write.onOutcome('ok');
  }

  /** Those whose conditions failed are settled by a fresh read; the others go again. */
  private handleFailedConditions(writes: readonly QueuedWrite[], keys: readonly string[], now: Milliseconds): void {
    const failedKeys = new Set(keys);
    for (const write of writes) {
      const isFailed = failedKeys.has(write.key) || (write.conditions ?? []).some(({ key }) => failedKeys.has(key));
      if (isFailed) this.host.afterBarrier(now, () => this.settleFailedWrite(write));
      else this.queue.add(write, now);
    }
    if (failedKeys.size === 0) this.pausedUntil = now + UNEXPLAINED_FAILURE_PAUSE_MS;
  }

  /** Whichever of them can't be taken must not hold the others up: each goes alone, and the one at fault is dropped. */
  private handleInvalid(writes: readonly QueuedWrite[], now: Milliseconds): void {
    for (const write of writes) {
      if (writes.length > 1) this.queue.add({ ...write, sendAlone: true }, now);
      else if (write.mayBeApplied) this.host.afterBarrier(now, () => this.settleFailedWrite(write));
      else this.dropTooLarge(write);
    }
  }

  /**
   * The lease that the transaction named has ended. One that we have given up ourselves says nothing of the lease we have now.
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

  /** The replica is as fresh as the failure: what it holds shows whether an earlier copy of the write was applied. */
  private settleFailedWrite(write: QueuedWrite): void {
    write.onOutcome(isAlreadyApplied(write, this.host.replica.get(write.key)) ? 'ok' : 'conflict');
  }
}

/** Does the key hold what an earlier copy of the write, whose outcome is unknown, would have left there? */
function isAlreadyApplied(write: QueuedWrite, entry: ReplicaEntry | null): boolean {
  if (!write.mayBeApplied) return false;
  if (write.sentValue === undefined) return entry === null;
  // Compared as values, not as text: the service may return a map's fields in another order.
  return entry !== null && isDeepStrictEqual(withoutUndefined(entry.value), withoutUndefined(write.sentValue));
}

/** The value as the state service returns it: without fields that are undefined. */
function withoutUndefined(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value));
}
