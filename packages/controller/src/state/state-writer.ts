import { isDeepStrictEqual } from 'node:util';
import type { CompareAndSwapOutcome, KeyWrite, RevisionCondition } from '@archpost/protocol';
import { type Effect, type Milliseconds, NEVER } from '../model/index.js';
import { encodedBytes, type StateSizeLimits } from './limits.js';
import type { Replica } from './replica.js';
import { type PendingWrite, type QueuedWrite, WritePriority, WriteQueue } from './write-queue.js';

/** Transactions under way at once. */
const MAX_CONCURRENT_TRANSACTIONS = 3;

/** A transaction bears values of this size together, or a single one. */
const MAX_TRANSACTION_BYTES = 40_000;

/** Conditions in a transaction for each change that it may bear; the service takes four. */
const CONDITIONS_PER_WRITE = 3;

/** As the state service returns it: without fields that have no value. */
const withoutUndefined = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

/** One transaction in the making. */
interface Batch {
  writes: QueuedWrite[];
  keys: Set<string>;
  /** stamps that keys must still have */
  conditions: Map<string, number>;
  bytes: number;
  /** changes that it may bear, and of these acceptances */
  maxWrites: number;
  maxAcceptances: number;
}

function conditionsOf(write: QueuedWrite): RevisionCondition[] {
  return [{ key: write.key, revision: write.expectedRevision }, ...(write.conditions ?? [])];
}

/**
 * Groups writes into transactions within the budget. A transaction without an answer is
 * sent again with the same guards: whichever copy comes first wins and the other fails, so
 * a late copy can't undo anything. When the second copy fails, what the key holds tells
 * whether the first was applied.
 */
export class StateWriter {
  private readonly queue = new WriteQueue();
  private readonly transactions = new Map<number, { batch: QueuedWrite[]; leaseId: number | null }>();
  private nextId = 1;
  private rate: number;
  private budget: number;
  private expiredAt: Milliseconds = NEVER;
  private recentWrites = 0;
  private recentWritesAt: Milliseconds = 0;
  private budgetRefilledAt: Milliseconds = 0;
  private pausedUntil: Milliseconds = 0;
  private readonly keysInFlight = new Set<string>();
  /** changes sent since the last look, by the kind of key */
  private readonly sentByKind = new Map<string, number>();

  constructor(
    private readonly limits: { writesPerS: number } & StateSizeLimits,
    private readonly replica: Replica,
    private readonly emit: (effect: Effect) => void,
    private readonly leaseId: () => number | null,
    private readonly afterBarrier: (now: Milliseconds, run: (now: Milliseconds) => void) => void,
    private readonly onLeaseLost: () => void,
    private readonly onTooLarge: (key: string, bytes: number) => void = () => {},
  ) {
    this.rate = limits.writesPerS;
    this.budget = limits.writesPerS;
  }

  get length(): number {
    return this.queue.length;
  }

  /** Changes a second that this controller could do with: what waits, and what it wrote lately. */
  wantedWritesPerS(now: Milliseconds): number {
    const past = Math.max(0, (now - this.recentWritesAt) / 1000);
    this.recentWrites *= 0.5 ** (past / 2);
    this.recentWritesAt = now;
    return this.queue.length + this.recentWrites / 3;
  }

  /** What of the service's limit this controller may use for now. */
  setRate(perS: number): void {
    this.rate = perS;
  }

  /** How many changes of each kind were sent since this was last asked, and what waits. */
  takeWriteCounts(): Record<string, number> {
    const result: Record<string, number> = { waiting: this.queue.length };
    for (const [kind, count] of this.sentByKind) result[kind] = count;
    this.sentByKind.clear();
    return result;
  }

  add(write: PendingWrite): void {
    this.queue.add(
      { ...write, mayBeApplied: false, sendAlone: false, sentValue: undefined, queuedAt: this.budgetRefilledAt },
      this.budgetRefilledAt,
    );
  }

  flush(now: Milliseconds): void {
    this.budget = Math.min(Math.max(this.limits.writesPerS, 4), this.budget + ((now - this.budgetRefilledAt) / 1000) * this.rate);
    this.budgetRefilledAt = now;
    if (now - this.expiredAt >= 100) this.dropExpired(now);
    if (now < this.pausedUntil) return;
    while (this.queue.length > 0 && this.transactions.size < MAX_CONCURRENT_TRANSACTIONS && this.budget >= 1) {
      const { batch, oversize } = this.nextBatch(now);
      for (const write of oversize) this.dropTooLarge(write);
      if (batch.writes.length > 0) this.send(batch, now);
      else if (oversize.length === 0) return;
    }
  }

  /** Takes from the queue what goes into the next transaction, and what is too large for any. */
  private nextBatch(now: Milliseconds): { batch: Batch; oversize: QueuedWrite[] } {
    const waiting = this.queue.inOrder(now);
    const batch = this.emptyBatch();
    const oversize: QueuedWrite[] = [];
    for (const write of waiting) {
      if (batch.writes.length >= batch.maxWrites || batch.bytes >= MAX_TRANSACTION_BYTES) break;
      if (!this.fitsBatch(write, batch)) continue;
      // What may have been carried out already is sent again as it was: its own first copy must be known by it.
      if (!write.mayBeApplied) write.sentValue = write.value(now);
      const size = encodedBytes(write.key, write.sentValue);
      if (!write.mayBeApplied && size > this.limits.maxWriteBytes) oversize.push(write);
      else this.addToBatch(write, size, batch);
    }
    for (const write of [...batch.writes, ...oversize]) this.queue.remove(write);
    return { batch, oversize };
  }

  private emptyBatch(): Batch {
    const remaining = Math.min(this.limits.writesPerTransaction, this.budget);
    const others = this.queue.count(WritePriority.assignment) + this.queue.count(WritePriority.release) > 0;
    const acceptances = others ? Math.max(1, Math.floor(remaining / 2)) : remaining;
    return { writes: [], keys: new Set(), conditions: new Map(), bytes: 0, maxWrites: remaining, maxAcceptances: acceptances };
  }

  private fitsBatch(write: QueuedWrite, { writes, keys, conditions, maxAcceptances: acceptances }: Batch): boolean {
    if (writes.length > 0 && (write.sendAlone || writes[0]?.sendAlone)) return false;
    if (write.priority === WritePriority.acceptance && acceptances < 1) return false;
    if (keys.has(write.key) || this.keysInFlight.has(write.key)) return false;
    if (write.attachedToLease && this.leaseId() === null) return false;
    const wanted = conditionsOf(write);
    if (conditions.size + wanted.length > CONDITIONS_PER_WRITE * this.limits.writesPerTransaction) return false;
    return wanted.every((condition) => (conditions.get(condition.key) ?? condition.revision) === condition.revision);
  }

  private addToBatch(write: QueuedWrite, size: number, batch: Batch): void {
    if (write.priority === WritePriority.acceptance) batch.maxAcceptances--;
    batch.bytes += size;
    batch.keys.add(write.key);
    for (const { key, revision } of conditionsOf(write)) batch.conditions.set(key, revision);
    batch.writes.push(write);
    const kind = write.key.slice(2, 3);
    this.sentByKind.set(kind, (this.sentByKind.get(kind) ?? 0) + 1);
  }

  private send({ writes, keys, conditions }: Batch, now: Milliseconds): void {
    this.budget -= writes.length;
    this.wantedWritesPerS(now);
    this.recentWrites += writes.length;
    const id = this.nextId++;
    const lease = this.leaseId();
    this.transactions.set(id, { batch: writes, leaseId: lease });
    for (const key of keys) this.keysInFlight.add(key);
    this.emit({
      type: 'compareAndSwap',
      id,
      conditions: [...conditions].map(([key, revision]) => ({ key, revision })),
      writes: writes.map((write): KeyWrite => {
        if (write.sentValue === undefined) return { del: write.key };
        return write.attachedToLease && lease !== null
          ? { put: write.key, value: write.sentValue, lease }
          : { put: write.key, value: write.sentValue };
      }),
    });
  }

  /** Gives up on what has waited too long. */
  private dropExpired(now: Milliseconds): void {
    this.expiredAt = now;
    for (const write of this.queue.takeExpired(now)) write.onOutcome('dropped', 0);
  }

  handleOutcome(id: number, outcome: CompareAndSwapOutcome, now: Milliseconds): void {
    const sent = this.transactions.get(id);
    if (!sent) return;
    const { batch, leaseId: lease } = sent;
    this.transactions.delete(id);
    for (const write of batch) this.keysInFlight.delete(write.key);
    if (outcome.kind === 'ok') {
      for (const write of batch) {
        if (write.sentValue === undefined) this.replica.remove(write.key, outcome.revision);
        else this.replica.set(write.key, write.sentValue, outcome.revision);
      }
      for (const write of batch) write.onOutcome('ok', outcome.revision);
    } else if (outcome.kind === 'failed') {
      const failed = new Set(outcome.keys);
      for (const write of batch) {
        const hit = failed.has(write.key) || (write.conditions ?? []).some((condition) => failed.has(condition.key));
        if (hit) this.afterBarrier(now, () => this.resolveConflict(write));
        else this.queue.add(write, now);
      }
      // Should the answer name no key of ours, retrying at once would spin.
      if (failed.size === 0) this.pausedUntil = now + 200;
    } else if (outcome.kind === 'invalid') {
      this.retryOneByOne(batch, now);
    } else {
      // One of a lease that we have given up ourselves says nothing of the lease we have now.
      if (outcome.kind === 'noLease' && lease !== null && lease === this.leaseId()) this.onLeaseLost();
      else if (outcome.kind !== 'noLease') this.pausedUntil = now + 300;
      for (const write of batch) {
        if (outcome.kind === 'unknown') write.mayBeApplied = true;
        if (outcome.kind === 'noLease' && write.attachedToLease) write.onOutcome('conflict', 0);
        else this.queue.add(write, now);
      }
    }
    this.flush(now);
  }

  /** Whichever of them can't be taken must not keep the others back: each goes by itself, and it is given up. */
  private retryOneByOne(batch: QueuedWrite[], now: Milliseconds): void {
    for (const write of batch) {
      if (batch.length > 1) this.queue.add({ ...write, sendAlone: true }, now);
      else if (write.mayBeApplied) this.afterBarrier(now, () => this.resolveConflict(write));
      else this.dropTooLarge(write);
    }
  }

  private readonly reportedTooLarge = new Set<string>();

  /** The service would refuse it, or has: told once for each key, and not tried again. */
  private dropTooLarge(write: QueuedWrite): void {
    if (!this.reportedTooLarge.has(write.key)) this.onTooLarge(write.key, encodedBytes(write.key, write.sentValue));
    this.reportedTooLarge.add(write.key);
    write.onOutcome('dropped', 0);
  }

  private resolveConflict(write: QueuedWrite): void {
    const entry = this.replica.get(write.key);
    const same =
      write.mayBeApplied &&
      // Not by its text: the service may return a map's fields in another order.
      (write.sentValue === undefined
        ? entry === null
        : entry !== null && isDeepStrictEqual(withoutUndefined(entry.value), withoutUndefined(write.sentValue)));
    write.onOutcome(same ? 'ok' : 'conflict', entry?.revision ?? 0);
  }
}
