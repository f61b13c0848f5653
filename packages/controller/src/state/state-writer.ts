import { isDeepStrictEqual } from 'node:util';
import type { Guard, TxnOutcome, Write } from '@archpost/protocol';
import type { Effect, Ms } from '../model/index.js';
import { encodedBytes, type StateSizes } from './limits.js';
import type { Replica } from './replica.js';
import { type PendingWrite, type QueuedWrite, URGENCY, WriteQueue } from './write-queue.js';

/** Transactions under way at once. */
const MOST_UNDER_WAY = 3;

/** A transaction bears values of this size together, or a single one. */
const TRANSACTION_BYTES = 40_000;

/** Conditions in a transaction for each change that it may bear; the service takes four. */
const GUARDS_PER_CHANGE = 3;

/** As the state service returns it: without fields that have no value. */
const plain = (v: unknown): unknown => JSON.parse(JSON.stringify(v));

/** One transaction in the making. */
interface Batch {
  writes: QueuedWrite[];
  keys: Set<string>;
  /** stamps that keys must still have */
  guards: Map<string, number>;
  bytes: number;
  /** changes that it may bear, and of these acceptances */
  room: number;
  acceptances: number;
}

function guardsOf(write: QueuedWrite): Guard[] {
  return [{ key: write.key, stamp: write.guard }, ...(write.also ?? [])];
}

/**
 * Groups writes into transactions within the budget. A transaction without an answer is
 * sent again with the same guards: whichever copy comes first wins and the other fails, so
 * a late copy can't undo anything. When the second copy fails, what the key holds tells
 * whether the first was applied.
 */
export class Writer {
  private readonly queue = new WriteQueue();
  private readonly inflight = new Map<number, { batch: QueuedWrite[]; lease: number | null }>();
  private nextId = 1;
  private rate: number;
  private budget: number;
  private sweptAt: Ms = -1e12;
  private recent = 0;
  private recentAt: Ms = 0;
  private budgetAt: Ms = 0;
  private pauseUntil: Ms = 0;
  private readonly busy = new Set<string>();
  /** changes sent since the last look, by the kind of key */
  private readonly sent = new Map<string, number>();

  constructor(
    private readonly limits: { writesPerS: number } & StateSizes,
    private readonly replica: Replica,
    private readonly emit: (e: Effect) => void,
    private readonly lease: () => number | null,
    private readonly afterBarrier: (now: Ms, run: (now: Ms) => void) => void,
    private readonly leaseGone: () => void,
    private readonly tooLarge: (key: string, bytes: number) => void = () => {},
  ) {
    this.rate = limits.writesPerS;
    this.budget = limits.writesPerS;
  }

  get length(): number {
    return this.queue.length;
  }

  /** Changes a second that this controller could do with: what waits, and what it wrote lately. */
  wanted(now: Ms): number {
    const past = Math.max(0, (now - this.recentAt) / 1000);
    this.recent *= 0.5 ** (past / 2);
    this.recentAt = now;
    return this.queue.length + this.recent / 3;
  }

  /** What of the service's limit this controller may use for now. */
  allow(perS: number): void {
    this.rate = perS;
  }

  /** How many changes of each kind were sent since this was last asked, and what waits. */
  purposes(): Record<string, number> {
    const out: Record<string, number> = { waiting: this.queue.length };
    for (const [kind, n] of this.sent) out[kind] = n;
    this.sent.clear();
    return out;
  }

  add(w: PendingWrite): void {
    this.queue.add({ ...w, uncertain: false, alone: false, sentValue: undefined, at: this.budgetAt }, this.budgetAt);
  }

  flush(now: Ms): void {
    this.budget = Math.min(Math.max(this.limits.writesPerS, 4), this.budget + ((now - this.budgetAt) / 1000) * this.rate);
    this.budgetAt = now;
    if (now - this.sweptAt >= 100) this.sweep(now);
    if (now < this.pauseUntil) return;
    while (this.queue.length > 0 && this.inflight.size < MOST_UNDER_WAY && this.budget >= 1) {
      const { batch, oversize } = this.choose(now);
      for (const w of oversize) this.giveUpTooLarge(w);
      if (batch.writes.length > 0) this.send(batch, now);
      else if (oversize.length === 0) return;
    }
  }

  /** Takes from the queue what goes into the next transaction, and what is too large for any. */
  private choose(now: Ms): { batch: Batch; oversize: QueuedWrite[] } {
    const waiting = this.queue.inOrder(now);
    const batch = this.emptyBatch();
    const oversize: QueuedWrite[] = [];
    for (const w of waiting) {
      if (batch.writes.length >= batch.room || batch.bytes >= TRANSACTION_BYTES) break;
      if (!this.fits(w, batch)) continue;
      // What may have been carried out already is sent again as it was: its own first copy must be known by it.
      if (!w.uncertain) w.sentValue = w.value(now);
      const size = encodedBytes(w.key, w.sentValue);
      if (!w.uncertain && size > this.limits.changeBytes) oversize.push(w);
      else this.put(w, size, batch);
    }
    for (const w of [...batch.writes, ...oversize]) this.queue.remove(w);
    return { batch, oversize };
  }

  private emptyBatch(): Batch {
    const room = Math.min(this.limits.txnOps, this.budget);
    const others = this.queue.count(URGENCY.grant) + this.queue.count(URGENCY.release) > 0;
    const acceptances = others ? Math.max(1, Math.floor(room / 2)) : room;
    return { writes: [], keys: new Set(), guards: new Map(), bytes: 0, room, acceptances };
  }

  private fits(w: QueuedWrite, { writes, keys, guards, acceptances }: Batch): boolean {
    if (writes.length > 0 && (w.alone || writes[0]?.alone)) return false;
    if (w.urgency === URGENCY.accept && acceptances < 1) return false;
    if (keys.has(w.key) || this.busy.has(w.key)) return false;
    if (w.leased && this.lease() === null) return false;
    const wanted = guardsOf(w);
    if (guards.size + wanted.length > GUARDS_PER_CHANGE * this.limits.txnOps) return false;
    return wanted.every((guard) => (guards.get(guard.key) ?? guard.stamp) === guard.stamp);
  }

  private put(w: QueuedWrite, size: number, batch: Batch): void {
    if (w.urgency === URGENCY.accept) batch.acceptances--;
    batch.bytes += size;
    batch.keys.add(w.key);
    for (const { key, stamp } of guardsOf(w)) batch.guards.set(key, stamp);
    batch.writes.push(w);
    const kind = w.key.slice(2, 3);
    this.sent.set(kind, (this.sent.get(kind) ?? 0) + 1);
  }

  private send({ writes, keys, guards }: Batch, now: Ms): void {
    this.budget -= writes.length;
    this.wanted(now);
    this.recent += writes.length;
    const id = this.nextId++;
    const lease = this.lease();
    this.inflight.set(id, { batch: writes, lease });
    for (const key of keys) this.busy.add(key);
    this.emit({
      t: 'txn',
      id,
      guards: [...guards].map(([key, stamp]) => ({ key, stamp })),
      writes: writes.map((w): Write => {
        if (w.sentValue === undefined) return { del: w.key };
        return w.leased && lease !== null ? { put: w.key, value: w.sentValue, lease } : { put: w.key, value: w.sentValue };
      }),
    });
  }

  /** Gives up on what has waited too long. */
  private sweep(now: Ms): void {
    this.sweptAt = now;
    for (const w of this.queue.takeExpired(now)) w.done('dropped', 0);
  }

  result(id: number, r: TxnOutcome, now: Ms): void {
    const sent = this.inflight.get(id);
    if (!sent) return;
    const { batch, lease } = sent;
    this.inflight.delete(id);
    for (const w of batch) this.busy.delete(w.key);
    if (r.kind === 'ok') {
      for (const w of batch) {
        if (w.sentValue === undefined) this.replica.remove(w.key, r.revision);
        else this.replica.set(w.key, w.sentValue, r.revision);
      }
      for (const w of batch) w.done('ok', r.revision);
    } else if (r.kind === 'failed') {
      const failed = new Set(r.keys);
      for (const w of batch) {
        const hit = failed.has(w.key) || (w.also ?? []).some((g) => failed.has(g.key));
        if (hit) this.afterBarrier(now, () => this.conflict(w));
        else this.queue.add(w, now);
      }
      // Should the answer name no key of ours, retrying at once would spin.
      if (failed.size === 0) this.pauseUntil = now + 200;
    } else if (r.kind === 'invalid') {
      this.invalid(batch, now);
    } else {
      // One of a lease that we have given up ourselves says nothing of the lease we have now.
      if (r.kind === 'noLease' && lease !== null && lease === this.lease()) this.leaseGone();
      else if (r.kind !== 'noLease') this.pauseUntil = now + 300;
      for (const w of batch) {
        if (r.kind === 'unknown') w.uncertain = true;
        if (r.kind === 'noLease' && w.leased) w.done('conflict', 0);
        else this.queue.add(w, now);
      }
    }
    this.flush(now);
  }

  /** Whichever of them can't be taken must not keep the others back: each goes by itself, and it is given up. */
  private invalid(batch: QueuedWrite[], now: Ms): void {
    for (const w of batch) {
      if (batch.length > 1) this.queue.add({ ...w, alone: true }, now);
      else if (w.uncertain) this.afterBarrier(now, () => this.conflict(w));
      else this.giveUpTooLarge(w);
    }
  }

  private readonly reportedTooLarge = new Set<string>();

  /** The service would refuse it, or has: told once for each key, and not tried again. */
  private giveUpTooLarge(w: QueuedWrite): void {
    if (!this.reportedTooLarge.has(w.key)) this.tooLarge(w.key, encodedBytes(w.key, w.sentValue));
    this.reportedTooLarge.add(w.key);
    w.done('dropped', 0);
  }

  private conflict(w: QueuedWrite): void {
    const e = this.replica.get(w.key);
    const same =
      w.uncertain &&
      // Not by its text: the service may return a map's fields in another order.
      (w.sentValue === undefined ? e === null : e !== null && isDeepStrictEqual(plain(e.value), plain(w.sentValue)));
    w.done(same ? 'ok' : 'conflict', e?.stamp ?? 0);
  }
}
