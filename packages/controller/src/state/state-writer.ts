import { isDeepStrictEqual } from 'node:util';
import type { CompareAndSwapOutcome, KeyWrite, RevisionCondition } from '@archpost/protocol';
import type { Effect, Milliseconds } from '../model/index.js';
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
const withoutUndefined = (v: unknown): unknown => JSON.parse(JSON.stringify(v));

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
  private expiredAt: Milliseconds = -1e12;
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
    private readonly emit: (e: Effect) => void,
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
    const out: Record<string, number> = { waiting: this.queue.length };
    for (const [kind, n] of this.sentByKind) out[kind] = n;
    this.sentByKind.clear();
    return out;
  }

  add(w: PendingWrite): void {
    this.queue.add(
      { ...w, mayBeApplied: false, sendAlone: false, sentValue: undefined, queuedAt: this.budgetRefilledAt },
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
      for (const w of oversize) this.dropTooLarge(w);
      if (batch.writes.length > 0) this.send(batch, now);
      else if (oversize.length === 0) return;
    }
  }

  /** Takes from the queue what goes into the next transaction, and what is too large for any. */
  private nextBatch(now: Milliseconds): { batch: Batch; oversize: QueuedWrite[] } {
    const waiting = this.queue.inOrder(now);
    const batch = this.emptyBatch();
    const oversize: QueuedWrite[] = [];
    for (const w of waiting) {
      if (batch.writes.length >= batch.maxWrites || batch.bytes >= MAX_TRANSACTION_BYTES) break;
      if (!this.fitsBatch(w, batch)) continue;
      // What may have been carried out already is sent again as it was: its own first copy must be known by it.
      if (!w.mayBeApplied) w.sentValue = w.value(now);
      const size = encodedBytes(w.key, w.sentValue);
      if (!w.mayBeApplied && size > this.limits.maxWriteBytes) oversize.push(w);
      else this.addToBatch(w, size, batch);
    }
    for (const w of [...batch.writes, ...oversize]) this.queue.remove(w);
    return { batch, oversize };
  }

  private emptyBatch(): Batch {
    const room = Math.min(this.limits.writesPerTransaction, this.budget);
    const others = this.queue.count(WritePriority.assignment) + this.queue.count(WritePriority.release) > 0;
    const acceptances = others ? Math.max(1, Math.floor(room / 2)) : room;
    return { writes: [], keys: new Set(), conditions: new Map(), bytes: 0, maxWrites: room, maxAcceptances: acceptances };
  }

  private fitsBatch(w: QueuedWrite, { writes, keys, conditions: guards, maxAcceptances: acceptances }: Batch): boolean {
    if (writes.length > 0 && (w.sendAlone || writes[0]?.sendAlone)) return false;
    if (w.priority === WritePriority.acceptance && acceptances < 1) return false;
    if (keys.has(w.key) || this.keysInFlight.has(w.key)) return false;
    if (w.attachedToLease && this.leaseId() === null) return false;
    const wanted = conditionsOf(w);
    if (guards.size + wanted.length > CONDITIONS_PER_WRITE * this.limits.writesPerTransaction) return false;
    return wanted.every((guard) => (guards.get(guard.key) ?? guard.revision) === guard.revision);
  }

  private addToBatch(w: QueuedWrite, size: number, batch: Batch): void {
    if (w.priority === WritePriority.acceptance) batch.maxAcceptances--;
    batch.bytes += size;
    batch.keys.add(w.key);
    for (const { key, revision } of conditionsOf(w)) batch.conditions.set(key, revision);
    batch.writes.push(w);
    const kind = w.key.slice(2, 3);
    this.sentByKind.set(kind, (this.sentByKind.get(kind) ?? 0) + 1);
  }

  private send({ writes, keys, conditions: guards }: Batch, now: Milliseconds): void {
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
      conditions: [...guards].map(([key, revision]) => ({ key, revision })),
      writes: writes.map((w): KeyWrite => {
        if (w.sentValue === undefined) return { del: w.key };
        return w.attachedToLease && lease !== null
          ? { put: w.key, value: w.sentValue, lease }
          : { put: w.key, value: w.sentValue };
      }),
    });
  }

  /** Gives up on what has waited too long. */
  private dropExpired(now: Milliseconds): void {
    this.expiredAt = now;
    for (const w of this.queue.takeExpired(now)) w.onOutcome('dropped', 0);
  }

  handleOutcome(id: number, r: CompareAndSwapOutcome, now: Milliseconds): void {
    const sent = this.transactions.get(id);
    if (!sent) return;
    const { batch, leaseId: lease } = sent;
    this.transactions.delete(id);
    for (const w of batch) this.keysInFlight.delete(w.key);
    if (r.kind === 'ok') {
      for (const w of batch) {
        if (w.sentValue === undefined) this.replica.remove(w.key, r.revision);
        else this.replica.set(w.key, w.sentValue, r.revision);
      }
      for (const w of batch) w.onOutcome('ok', r.revision);
    } else if (r.kind === 'failed') {
      const failed = new Set(r.keys);
      for (const w of batch) {
        const hit = failed.has(w.key) || (w.conditions ?? []).some((g) => failed.has(g.key));
        if (hit) this.afterBarrier(now, () => this.resolveConflict(w));
        else this.queue.add(w, now);
      }
      // Should the answer name no key of ours, retrying at once would spin.
      if (failed.size === 0) this.pausedUntil = now + 200;
    } else if (r.kind === 'invalid') {
      this.retryOneByOne(batch, now);
    } else {
      // One of a lease that we have given up ourselves says nothing of the lease we have now.
      if (r.kind === 'noLease' && lease !== null && lease === this.leaseId()) this.onLeaseLost();
      else if (r.kind !== 'noLease') this.pausedUntil = now + 300;
      for (const w of batch) {
        if (r.kind === 'unknown') w.mayBeApplied = true;
        if (r.kind === 'noLease' && w.attachedToLease) w.onOutcome('conflict', 0);
        else this.queue.add(w, now);
      }
    }
    this.flush(now);
  }

  /** Whichever of them can't be taken must not keep the others back: each goes by itself, and it is given up. */
  private retryOneByOne(batch: QueuedWrite[], now: Milliseconds): void {
    for (const w of batch) {
      if (batch.length > 1) this.queue.add({ ...w, sendAlone: true }, now);
      else if (w.mayBeApplied) this.afterBarrier(now, () => this.resolveConflict(w));
      else this.dropTooLarge(w);
    }
  }

  private readonly reportedTooLarge = new Set<string>();

  /** The service would refuse it, or has: told once for each key, and not tried again. */
  private dropTooLarge(w: QueuedWrite): void {
    if (!this.reportedTooLarge.has(w.key)) this.onTooLarge(w.key, encodedBytes(w.key, w.sentValue));
    this.reportedTooLarge.add(w.key);
    w.onOutcome('dropped', 0);
  }

  private resolveConflict(w: QueuedWrite): void {
    const e = this.replica.get(w.key);
    const same =
      w.mayBeApplied &&
      // Not by its text: the service may return a map's fields in another order.
      (w.sentValue === undefined
        ? e === null
        : e !== null && isDeepStrictEqual(withoutUndefined(e.value), withoutUndefined(w.sentValue)));
    w.onOutcome(same ? 'ok' : 'conflict', e?.revision ?? 0);
  }
}
