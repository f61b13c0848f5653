import { isDeepStrictEqual } from 'node:util';
import type { Guard, TxnOutcome, Write } from '@archpost/wire';
import type { Effect, Ms } from './model.js';
import type { Replica } from './replica.js';
import { encodedBytes, type StateSizes } from './state-limits.js';

/**
 * Which writes go first. Users' answers wait for what they asked for, so neither may stand
 * behind a hundred grants; acceptances take half of a transaction at most while others wait.
 */
export const URGENCY = {
  holding: 0,
  cancel: 1,
  accept: 2,
  /** grants, moves, and jobs that are done */
  grant: 3,
  /** tokens to raise, grants to drop, a controller's presence: like grants once they have waited */
  release: 4,
  progress: 5,
  images: 6,
} as const;

/** After this long a release counts as a grant. */
const RELEASE_MS = 300;

/** `dropped`: it was given up, and was not carried out. */
export type WriteOutcome = 'ok' | 'conflict' | 'dropped';

export interface PendingWrite {
  key: string;
  /** evaluated when sent first; undefined removes the key */
  value: (now: Ms) => unknown;
  /** stamp that the key must still have; 0: must not exist */
  guard: number;
  also?: Guard[];
  /** attached to our state lease */
  leased?: boolean;
  /** smaller goes first */
  urgency: number;
  /** what hangs on it has to be done as soon as what users ask for, whatever its urgency was at first */
  pressing?: () => boolean;
  /** dropped unsent after this time */
  until?: Ms;
  done: (outcome: WriteOutcome, stamp: number) => void;
}

/** As the state service returns it: without fields that have no value. */
const plain = (v: unknown): unknown => JSON.parse(JSON.stringify(v));

interface Queued extends PendingWrite {
  /** an earlier send got no answer: it may be applied yet, or be applied already */
  uncertain: boolean;
  /** the state service did not take it together with others */
  alone: boolean;
  /** when it was queued */
  at: Ms;
  sentValue: unknown;
}

/**
 * Groups writes into transactions within the budget. A transaction without an answer is
 * sent again with the same guards: whichever copy comes first wins and the other fails, so
 * a late copy can't undo anything. When the second copy fails, what the key holds tells
 * whether the first was applied.
 */
export class Writer {
  private queue: Queued[] = [];
  private readonly inflight = new Map<number, { batch: Queued[]; lease: number | null }>();
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
    this.queue.push({ ...w, uncertain: false, alone: false, sentValue: undefined, at: this.budgetAt });
  }

  flush(now: Ms): void {
    this.budget = Math.min(Math.max(this.limits.writesPerS, 4), this.budget + ((now - this.budgetAt) / 1000) * this.rate);
    this.budgetAt = now;
    if (now - this.sweptAt >= 100) this.sweep(now);
    if (now < this.pauseUntil) return;
    while (this.queue.length > 0 && this.inflight.size < 3 && this.budget >= 1) {
      this.sortQueue(now);
      const room = Math.min(this.limits.txnOps, this.budget);
      const others = this.queue.some((w) => w.urgency === URGENCY.grant || w.urgency === URGENCY.release);
      let accepts = others ? Math.max(1, Math.floor(room / 2)) : room;
      const batch: Queued[] = [];
      const rest: Queued[] = [];
      const keys = new Set<string>();
      const guards = new Map<string, number>();
      let bytes = 0;
      const oversize: Queued[] = [];
      for (const w of this.queue) {
        const wanted = [{ key: w.key, stamp: w.guard }, ...(w.also ?? [])];
        const fits =
          batch.length < room &&
          !(batch.length > 0 && (w.alone || batch[0]?.alone)) &&
          !(w.urgency === URGENCY.accept && accepts < 1) &&
          !keys.has(w.key) &&
          !this.busy.has(w.key) &&
          bytes < 40_000 &&
          guards.size + wanted.length <= 3 * this.limits.txnOps &&
          wanted.every((g) => (guards.get(g.key) ?? g.stamp) === g.stamp) &&
          !(w.leased && this.lease() === null);
        if (!fits) {
          rest.push(w);
          continue;
        }
        // What may have been carried out already is sent again as it was: its own first copy must be known by it.
        if (!w.uncertain) w.sentValue = w.value(now);
        const size = encodedBytes(w.key, w.sentValue);
        if (!w.uncertain && size > this.limits.changeBytes) {
          oversize.push(w);
          continue;
        }
        if (w.urgency === URGENCY.accept) accepts--;
        bytes += size;
        keys.add(w.key);
        const kind = w.key.slice(2, 3);
        this.sent.set(kind, (this.sent.get(kind) ?? 0) + 1);
        for (const g of wanted) guards.set(g.key, g.stamp);
        batch.push(w);
      }
      this.queue = rest;
      for (const w of oversize) this.giveUpTooLarge(w);
      if (batch.length === 0 && oversize.length > 0) continue;
      if (batch.length === 0) return;
      this.budget -= batch.length;
      this.wanted(now);
      this.recent += batch.length;
      const id = this.nextId++;
      const lease = this.lease();
      this.inflight.set(id, { batch, lease });
      for (const k of keys) this.busy.add(k);
      this.emit({
        t: 'txn',
        id,
        guards: [...guards].map(([key, stamp]) => ({ key, stamp })),
        writes: batch.map((w): Write => {
          if (w.sentValue === undefined) return { del: w.key };
          return w.leased && lease !== null ? { put: w.key, value: w.sentValue, lease } : { put: w.key, value: w.sentValue };
        }),
      });
    }
  }

  /** What comes first is sent first; of two alike, the older. */
  private sortQueue(now: Ms): void {
    const urgency = new Map(this.queue.map((w) => [w, this.urgencyNow(w, now)]));
    const urgencyOf = (w: Queued) => urgency.get(w) ?? w.urgency;
    this.queue.sort((a, b) => urgencyOf(a) - urgencyOf(b) || a.at - b.at);
  }

  private urgencyNow(w: Queued, now: Ms): number {
    if (w.pressing?.()) return Math.min(w.urgency, URGENCY.cancel);
    return w.urgency === URGENCY.release && now - w.at > RELEASE_MS ? URGENCY.grant : w.urgency;
  }

  /** Gives up on what has waited too long. */
  private sweep(now: Ms): void {
    this.sweptAt = now;
    const over = this.queue.filter((w) => w.until !== undefined && now > w.until && !w.uncertain);
    if (over.length === 0) return;
    const gone = new Set(over);
    this.queue = this.queue.filter((w) => !gone.has(w));
    for (const w of over) w.done('dropped', 0);
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
        else this.queue.push(w);
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
        else this.queue.push(w);
      }
    }
    this.flush(now);
  }

  /** Whichever of them can't be taken must not keep the others back: each goes by itself, and it is given up. */
  private invalid(batch: Queued[], now: Ms): void {
    for (const w of batch) {
      if (batch.length > 1) this.queue.push({ ...w, alone: true });
      else if (w.uncertain) this.afterBarrier(now, () => this.conflict(w));
      else this.giveUpTooLarge(w);
    }
  }

  private readonly reportedTooLarge = new Set<string>();

  /** The service would refuse it, or has: told once for each key, and not tried again. */
  private giveUpTooLarge(w: Queued): void {
    if (!this.reportedTooLarge.has(w.key)) this.tooLarge(w.key, encodedBytes(w.key, w.sentValue));
    this.reportedTooLarge.add(w.key);
    w.done('dropped', 0);
  }

  private conflict(w: Queued): void {
    const e = this.replica.get(w.key);
    const same =
      w.uncertain &&
      // Not by its text: the service may return a map's fields in another order.
      (w.sentValue === undefined ? e === null : e !== null && isDeepStrictEqual(plain(e.value), plain(w.sentValue)));
    w.done(same ? 'ok' : 'conflict', e?.stamp ?? 0);
  }
}
