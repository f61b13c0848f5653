import type { Context } from '../context/index.js';
import type { Ms } from '../model/index.js';
import { KEY } from '../state/keys.js';
import { encodeHolder, encodePresence, isPresenceOf } from '../state/lease-record.js';
import { URGENCY } from '../state/write-queue.js';

/** A share goes home when it has been at rest for this long. */
const SETTLED_MS = 4000;

/** A share that doesn't come to rest goes home after this long all the same. */
const UNSETTLED_MS = 60_000;

/**
 * Who holds which share, and the lead. A key per holding names its holder and is attached
 * to the holder's state lease: it disappears when the lease does. Each restart writes its
 * own keys anew (same node, other boot), so that the token rises and nothing that the dead
 * process left under way is obeyed; other nodes wait until the key is gone.
 */
export class Holdings {
  private readonly absentSince = new Map<string, Ms>();
  private readonly writing = new Set<string>();
  private readonly claiming = new Set<string>();
  /** stamp under which each holding is ours */
  readonly mine = new Map<string, number>();
  private releasing = new Set<string>();
  private readonly homeSeen = new Map<string, Ms>();
  private readonly settledSince = new Map<string, Ms>();

  constructor(private readonly context: Context) {}

  /**
   * A holding is acted for only while the lease surely stands, and no more once its release has been
   * queued: that may be carried out while its answer is late, and the next holder counts on nothing of
   * ours being started after its own claim.
   */
  active(name: string, now: Ms): boolean {
    return this.mine.has(name) && !this.releasing.has(name) && this.context.leaseValid(now);
  }

  private home(name: string): string {
    const nodes = this.context.settings.nodes;
    const i = name === 'lead' ? nodes.length - 1 : Number(name) % nodes.length;
    return nodes[i]?.name ?? this.context.settings.node;
  }

  names(): string[] {
    const out = ['lead'];
    for (let i = 0; i < this.context.settings.shares; i++) out.push(String(i));
    return out;
  }

  changed(name: string): void {
    const cur = this.context.table.holders.get(name);
    const me = this.context.settings.node;
    if (cur && cur.holder.node === me && cur.holder.boot === this.context.boot) {
      if (!this.mine.has(name)) this.releasing.delete(name);
      if (this.mine.get(name) !== cur.stamp) {
        this.mine.set(name, cur.stamp);
        this.context.log('info', 'holding gained', { holding: name, stamp: cur.stamp });
        this.context.gained(name, cur.stamp);
      }
    } else if (this.mine.delete(name)) {
      this.releasing.delete(name);
      this.context.log('info', 'holding lost', { holding: name, to: cur?.holder.node ?? null });
      this.context.lost(name);
    }
  }

  dropAll(): void {
    for (const name of [...this.mine.keys()]) {
      this.mine.delete(name);
      this.context.lost(name);
    }
    this.releasing.clear();
  }

  /** Waiting for a holder to be gone starts where it was: its own time stood still. */
  paused(ms: Ms): void {
    for (const list of [this.absentSince, this.homeSeen, this.settledSince])
      for (const [name, at] of list) list.set(name, at + ms);
  }

  tick(now: Ms): void {
    const context = this.context;
    if (!context.replica.loaded || !context.leaseValid(now) || context.lease.permit === null) return;
    const me = context.settings.node;
    if (!context.reach()) this.releaseShares(now);
    this.sign(now);
    for (const name of this.names()) {
      const cur = context.table.holders.get(name);
      if (cur) {
        this.absentSince.delete(name);
        // Ours from before a restart, or from before our lease seemed over (the service was
        // away for long, and kept it): taken anew, so that the token rises.
        if (cur.holder.node === me && !this.mine.has(name)) this.claim(name, cur.stamp, now);
        continue;
      }
      if (this.mine.has(name) || (name !== 'lead' && !context.reach())) continue;
      const since = this.absentSince.get(name) ?? now;
      this.absentSince.set(name, since);
      // A live home node claims first; the others in turn, those with the least to hold first.
      const rank = context.settings.nodes.findIndex((n) => n.name === me);
      const home = this.home(name);
      // What is being claimed counts as held, so that a lead and a share don't go to one together.
      const count = this.mine.size + this.claiming.size;
      const wait = home === me ? 0 : (this.mayHold(home, now) ? 3000 : 200) + 400 * count + 150 * rank;
      if (now - since >= wait) this.claim(name, 0, now);
    }
    this.giveHome(now);
  }

  /** Shows the others that our lease stands, whether or not we hold anything. */
  private sign(now: Ms): void {
    const key = KEY.presence(this.context.settings.node);
    const cur = this.context.replica.get(key);
    if (this.writing.has(key) || (cur && isPresenceOf(cur.value, this.context.boot))) return;
    this.writing.add(key);
    this.context.writer.add({
      key,
      value: () => encodePresence(this.context.boot),
      guard: cur?.stamp ?? 0,
      leased: true,
      urgency: URGENCY.release,
      until: now + 5000,
      done: () => this.writing.delete(key),
    });
  }

  private claim(name: string, guard: number, now: Ms): void {
    const context = this.context;
    if (this.writing.has(name) || now - context.freshAt > 3000) return;
    this.writing.add(name);
    if (guard === 0) this.claiming.add(name);
    context.writer.add({
      key: KEY.holding(name === 'lead' ? 'lead' : Number(name)),
      value: () => encodeHolder({ node: context.settings.node, boot: context.boot }),
      guard,
      leased: true,
      urgency: URGENCY.holding,
      until: now + 5000,
      done: () => {
        this.writing.delete(name);
        this.claiming.delete(name);
      },
    });
  }

  /** Hands a share back to its home node once that is alive again and holds nothing. */
  private giveHome(now: Ms): void {
    const context = this.context;
    for (const name of this.mine.keys()) {
      const home = this.home(name);
      if (name === 'lead' || home === context.settings.node || this.releasing.has(name)) continue;
      const idle = this.mayHold(home, now) && ![...context.table.holders.values()].some((h) => h.holder.node === home);
      if (!idle) {
        this.homeSeen.delete(home);
        continue;
      }
      const since = this.homeSeen.get(home) ?? now;
      this.homeSeen.set(home, since);
      // A change of holder stops starts until all machines have answered anew: not while a share
      // is still finding its feet, after a cut say, unless that takes for ever.
      if (!context.settled(Number(name))) this.settledSince.delete(name);
      else if (!this.settledSince.has(name)) this.settledSince.set(name, now);
      const settled = this.settledSince.get(name);
      if (now - since < UNSETTLED_MS && (settled === undefined || now - settled < SETTLED_MS)) continue;
      this.settledSince.delete(name);
      context.log('info', 'handing share home', { share: name, to: home });
      this.release(name, now);
      return;
    }
  }

  private release(name: string, now: Ms): void {
    this.releasing.add(name);
    this.context.writer.add({
      key: KEY.holding(Number(name)),
      value: () => undefined,
      guard: this.mine.get(name) ?? 0,
      urgency: URGENCY.holding,
      until: now + 5000,
      done: (o) => {
        if (o !== 'ok') this.releasing.delete(name);
      },
    });
  }

  /** Is it seen to hold shares well: alive, with its lease and its workers? */
  private mayHold(node: string, now: Ms): boolean {
    const s = this.context.peers.get(node)?.status;
    return this.context.peerAlive(node, now) && s?.entitled === true && s.storeOk && s.reach;
  }

  /** Our workers can't be reached from here: others take the shares over, if any is there to. */
  private releaseShares(now: Ms): void {
    if (!this.context.settings.nodes.some((n) => n.name !== this.context.settings.node && this.mayHold(n.name, now))) return;
    for (const name of this.mine.keys()) {
      if (name === 'lead' || this.releasing.has(name)) continue;
      this.context.log('info', 'releasing a share whose workers can not be reached', { share: name });
      this.release(name, now);
    }
  }
}
