import type { Listed, MachineType, PeerDemand, PeerMachine, PeerShare } from '@archpost/wire';
import { Boots } from './boots.js';
import type { Context } from './context.js';
import { type Machine, type Ms, type Need, SCARCE_AFTER_S, TOP_RANK } from './model.js';
import type { Owner } from './owner.js';
import { copies } from './placement.js';
import { KEY } from './table.js';
import { URGENCY } from './writer.js';

export interface Stranger {
  machine: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** Machines of one kind that are to be rented. */
interface Purchase {
  type: string;
  zone: string;
  spot: boolean;
  count: number;
  /** for work of the highest rank */
  urgent: boolean;
}

/** Rentals under way at once. */
const BOOKINGS = 3;

interface Booking {
  type: string;
  zone: string;
  spot: boolean;
  count: number;
  at: Ms;
}

/** Work of a share that waits for room, and how much of it is still unserved on paper. */
interface Want {
  share: number;
  d: PeerDemand;
  left: number;
}

/** A machine given to a share a moment ago. */
interface Granted {
  share: number;
  type: string;
  zone: string;
  spot: boolean;
  at: Ms;
}

/** A granted machine is probed, planned for and told of within this time. */
const GRANT_SHOWS_MS = 1500;

/** Work of the highest rank that waited for so many plan waits gets machines that bear firm work elsewhere. */
const PRESSING_PLAN_WAITS = 1.5;

interface Market {
  notBefore: Ms;
  refusals: number;
  /** the last ordinary request was filled */
  filled: boolean;
}

/** The elected lead: grants machines to shares, moves them, rents and gives back. */
export class Lead {
  private since: Ms = -1;
  private stamp = 0;
  /** machines were granted before this lead began */
  private takenOver = false;
  private counter = 0;
  private lastRound: Ms = -1e12;
  private lastList: Ms = -1e12;
  private listBusy = false;
  private listed = new Map<string, Listed>();
  private listAt: Ms = -1;
  private readonly strangers = new Map<string, { s: Stranger; at: Ms }>();
  private readonly granting = new Set<string>();
  private readonly bookings = new Map<number, Booking>();
  private readonly booting = new Map<string, Booking>();
  private readonly markets = new Map<string, Market>();
  private readonly goneAt = new Map<string, Ms>();
  private readonly returns = new Map<number, string[]>();
  private readonly moves = new Map<string, Ms>();
  private readonly boots = new Boots();
  private readonly failingKinds = new Set<string>();
  private nextRentAt: Ms = 0;
  private readonly movedAt = new Map<string, Ms>();
  private clearedAt: Ms = -1e12;

  constructor(
    private readonly cx: Context,
    private readonly owner: Owner,
  ) {}

  /** Types of which the cloud gave all that was asked for, last time. */
  plenty(): string[] {
    const out = new Set<string>();
    for (const [key, m] of this.markets) if (m.filled) out.add(key.slice(0, key.indexOf('/')));
    return [...out];
  }

  gained(stamp: number, now: Ms): void {
    this.since = now;
    this.takenOver = this.cx.table.machines.size > 0;
    this.stamp = stamp;
    this.counter = 0;
    this.booting.clear();
    this.bookings.clear();
    this.listBusy = false;
    this.listAt = -1;
    this.moves.clear();
  }

  lost(): void {
    this.since = -1;
  }

  get leading(): boolean {
    return this.since >= 0;
  }

  machineGone(name: string, now: Ms): void {
    this.goneAt.set(name, now);
    this.movedAt.delete(name);
    this.booting.delete(name);
    if (this.goneAt.size > 2000) {
      const first = this.goneAt.keys().next().value;
      if (first !== undefined) this.goneAt.delete(first);
    }
  }

  /** A machine that is gone leaves a place that the cloud can fill again. */
  placeFree(m: Machine, now: Ms): void {
    const mk = this.market(this.cx.table.typeNames.name(m.type), this.cx.table.zoneNames.name(m.zone), m.spot);
    mk.notBefore = Math.min(mk.notBefore, now + 500);
    mk.refusals = 0;
  }

  stranger(s: Stranger, now: Ms): void {
    this.strangers.set(s.machine, { s, at: now });
  }

  strangersNow(now: Ms): Stranger[] {
    for (const [k, v] of this.strangers) if (now - v.at > 4000 || this.cx.table.machines.has(k)) this.strangers.delete(k);
    return [...this.strangers.values()].map((x) => x.s);
  }

  tick(now: Ms): void {
    if (this.since < 0 || !this.cx.leaseValid(now)) return;
    const interval = Math.max(2000, 4000 / this.cx.settings.cloud.rps);
    if (!this.listBusy && now - this.lastList > interval) {
      this.lastList = now;
      this.listBusy = true;
      this.cx.emit({ t: 'list' });
    }
    this.grantStrangers(now);
    // A round weighs all machines: with many of them, rounds are rarer.
    if (now - this.lastRound < 500 + this.cx.table.machines.size || now - this.cx.freshAt > 4000 || this.cx.settling()) return;
    this.lastRound = now;
    const shares = this.shares(now);
    this.move(shares, now);
    if (this.cx.table.typesKnown && this.listAt >= 0) {
      this.rent(shares, now);
      this.tidy(now);
      if (!this.cx.settings.policy.hold) this.giveBackIdle(shares, now);
    }
  }

  // ---- views

  private shares(now: Ms): Map<number, PeerShare> {
    const out = new Map<number, PeerShare>();
    for (const p of this.cx.peers.values()) {
      if (now - p.at > 5000) continue;
      for (const s of p.status.shares) if (this.cx.table.holder(s.share)?.holder.node === p.status.node) out.set(s.share, s);
    }
    for (const share of this.owner.held.keys()) out.set(share, this.owner.share(share, now));
    return out;
  }

  private typeOf(name: string): MachineType | null {
    return this.cx.table.types[this.cx.table.typeNames.find(name)] ?? null;
  }

  private suits(d: PeerDemand, type: string, zone: string, spot: boolean): boolean {
    return (
      (d.types.length === 0 || d.types.includes(type)) &&
      (d.zone === '' || d.zone === zone) &&
      !d.notZones.includes(zone) &&
      (d.spot || !spot)
    );
  }

  // ---- grants

  private grantStrangers(now: Ms): void {
    const { table, writer } = this.cx;
    const all = new Map<string, Stranger>();
    const add = (s: Stranger) => {
      if (table.machines.has(s.machine) || this.granting.has(s.machine)) return;
      const gone = this.goneAt.get(s.machine);
      // A late report of a machine that was given back.
      if (gone === undefined || now - gone >= 120_000) all.set(s.machine, s);
    };
    for (const s of this.strangersNow(now)) add(s);
    for (const p of this.cx.peers.values()) if (now - p.at < 5000) for (const s of p.status.strangers) add(s);
    if (all.size === 0) return;
    const wants = this.wants(this.shares(now));
    for (const g of this.freshGrants(now)) {
      const cap = this.typeOf(g.type);
      if (cap) this.serve(wants, g.share, g, cap);
    }
    for (const s of all.values()) {
      this.granting.add(s.machine);
      const age = this.ageOf(s.machine, now);
      if (age !== null) this.boots.up(s, age, now);
      const share = this.shareInNeed(s, wants) ?? this.shareFor(s.type);
      this.pendingGrants.set(s.machine, { share, type: s.type, zone: s.zone, spot: s.spot, at: now });
      writer.add({
        key: KEY.grant(s.machine),
        value: () => ({ s: share, a: s.addr, t: s.type, z: s.zone, sp: s.spot }),
        guard: 0,
        also: [{ key: KEY.holding('lead'), stamp: this.stamp }],
        urgency: URGENCY.grant,
        until: now + 8000,
        done: () => {
          this.granting.delete(s.machine);
          this.booting.delete(s.machine);
        },
      });
    }
  }

  private readonly pendingGrants = new Map<string, Granted>();

  /** What was granted so lately that its share's wants don't show it yet. */
  private freshGrants(now: Ms): Granted[] {
    for (const [name, g] of this.pendingGrants) {
      if (!this.granting.has(name) && now - g.at > GRANT_SHOWS_MS) this.pendingGrants.delete(name);
    }
    return [...this.pendingGrants.values()];
  }

  /** The share whose waiting work the machine serves best; what needs accelerators comes first on those. */
  private shareInNeed(s: Stranger, wants: Want[]): number | null {
    const cap = this.typeOf(s.type);
    if (!cap) return null;
    const fit = (w: Want) => w.left > 0 && copies(w.d, cap) >= 1 && this.suits(w.d, s.type, s.zone, s.spot);
    const w = (cap.gpus > 0 && !s.spot ? wants.find((x) => x.d.gpus > 0 && fit(x)) : undefined) ?? wants.find(fit);
    if (!w) return null;
    this.serve(wants, w.share, s, cap);
    return w.share;
  }

  /** The share that is worst off for this type, by what its teams are guaranteed. */
  private shareFor(type: string): number {
    const { table, settings } = this.cx;
    const cap = this.typeOf(type);
    const have = new Array<number>(settings.shares).fill(0);
    const ti = table.typeNames.index(type);
    for (const m of table.machines.values()) {
      const s = m.moveTo >= 0 ? m.moveTo : m.share;
      if (m.type === ti && s >= 0) have[s] = (have[s] ?? 0) + 1;
    }
    for (const [name, g] of this.pendingGrants)
      if (g.type === type && !table.machines.has(name)) have[g.share] = (have[g.share] ?? 0) + 1;
    const weight = new Array<number>(settings.shares).fill(0);
    settings.teams.forEach((t, i) => {
      const s = table.teamShare[i] ?? 0;
      weight[s] = (weight[s] ?? 0) + ((cap?.gpus ?? 0) > 0 ? t.gpus + 0.1 : 1);
    });
    // A share without teams has no use for machines.
    let best = Math.max(
      0,
      weight.findIndex((w) => w > 0),
    );
    for (let k = best + 1; k < settings.shares; k++) {
      if ((weight[k] as number) <= 0) continue;
      if ((have[k] as number) / (weight[k] as number) < (have[best] as number) / (weight[best] as number)) best = k;
    }
    return best;
  }

  // ---- moves

  /** Free machines, or such as bear lesser work only, go where work has no room. */
  private move(shares: Map<number, PeerShare>, now: Ms): void {
    const { table } = this.cx;
    for (const [name, at] of this.moves) {
      const m = table.machines.get(name);
      if (!m || (m.moveTo < 0 && now - at > 3000)) this.moves.delete(name);
    }
    const wants = this.wants(shares);
    for (const g of this.freshGrants(now)) {
      const cap = this.typeOf(g.type);
      if (cap) this.serve(wants, g.share, g, cap);
    }
    const taken = new Set<string>();
    // What is on its way already serves the first who want it.
    for (const [name] of this.moves) {
      const m = table.machines.get(name);
      if (!m || m.moveTo < 0 || !m.cap) continue;
      this.serve(wants, m.moveTo, { type: m.cap.name, zone: table.zoneNames.name(m.zone), spot: m.spot }, m.cap);
      taken.add(name);
    }
    const idle = (s: PeerShare) =>
      s.machines.filter(
        (p) => p.tasks === 0 && table.machines.get(p.name)?.spot === false && table.machines.get(p.name)?.cap?.gpus === 0,
      ).length;
    let budget = 6;
    for (const w of wants) {
      if (budget <= 0) break;
      const options: { m: Machine; p: PeerMachine; score: number }[] = [];
      for (const s of shares.values()) {
        if (s.share === w.share) continue;
        // A share in the same need keeps what it has.
        const rival = s.demands.some(
          (d) => d.rank > w.d.rank || (d.rank === w.d.rank && (d.within || !w.d.within) && d.waitS > 0.2),
        );
        for (const p of s.machines) {
          const m = table.machines.get(p.name);
          if (!m || m.share !== s.share || m.moveTo >= 0 || m.retire || taken.has(p.name) || !m.cap) continue;
          // A machine that was moved lately, or bears services that would have to move, stays
          // for a while: going to and fro would serve nobody.
          const moved = this.movedAt.get(p.name) ?? -1e12;
          if (now - moved < (p.tasks > 0 ? 30_000 : 3000)) continue;
          if (p.services > 0 && (w.d.waitS < 3 || now - this.clearedAt < 3000)) continue;
          if (p.firmRank >= w.d.rank || copies(w.d, m.cap) < 1) continue;
          if (!this.suits(w.d, m.cap.name, table.zoneNames.name(m.zone), m.spot)) continue;
          if (
            rival &&
            s.demands.some(
              (d) =>
                d.rank >= w.d.rank &&
                this.suits(d, (m.cap as MachineType).name, table.zoneNames.name(m.zone), m.spot) &&
                copies(d, m.cap as MachineType) >= 1,
            )
          )
            continue;
          // Machines with accelerators that may not be had again stay for what needs them, unless
          // the most urgent work has found nothing else for a while.
          const scarce = m.cap.gpus > 0 && !m.spot && !this.cx.plenty(m.cap.name) && table.gpuShares.has(s.share);
          // Work on them gives way only to what has pressed for longer than its own share needs to clear one.
          const pressing =
            w.d.rank >= TOP_RANK &&
            w.d.waitS > PRESSING_PLAN_WAITS * this.cx.settings.policy.planWaitS &&
            w.left * 2 >= copies(w.d, m.cap);
          if (w.d.gpus === 0 && scarce && (w.d.rank < TOP_RANK || w.d.waitS < SCARCE_AFTER_S || (p.tasks > 0 && !pressing)))
            continue;
          if (p.firmRank >= TOP_RANK - 1 && !pressing) continue;
          // Ordinary machines stay for what can't use others.
          if (w.d.spot && !m.spot && w.d.gpus === 0 && idle(s) <= 3) continue;
          if (w.d.gpus === 0 && m.cap.gpus > 0 && w.d.rank < 2 && p.tasks > 0) continue;
          const n = copies(w.d, m.cap);
          options.push({
            m,
            p,
            score:
              p.services * 200 +
              (p.tasks > 0 ? 100 + 10 * p.tasks : 0) +
              (w.d.gpus === 0 && m.cap.gpus > 0 ? 50 : 0) -
              Math.min(n, w.left),
          });
        }
      }
      options.sort((a, b) => a.score - b.score);
      for (const o of options) {
        if (w.left <= 0 || budget <= 0) break;
        taken.add(o.m.name);
        budget--;
        w.left -= copies(w.d, o.m.cap as MachineType);
        this.order(o.m, w.share, now);
        if (o.p.services === 0) continue;
        this.clearedAt = now;
        break;
      }
    }
  }

  /** What waits for room, the most urgent first. */
  private wants(shares: Map<number, PeerShare>): Want[] {
    const out: Want[] = [];
    for (const s of shares.values()) {
      for (const d of s.demands) if (d.waitS > 0.2) out.push({ share: s.share, d, left: d.count });
    }
    return out.sort((a, b) => b.d.rank - a.d.rank || Number(b.d.within) - Number(a.d.within) || b.d.waitS - a.d.waitS);
  }

  private serve(wants: Want[], share: number, m: { type: string; zone: string; spot: boolean }, cap: MachineType): void {
    const free: Need = { cpus: cap.cpus, gpus: cap.gpus, memory: cap.memory };
    for (const w of wants) {
      if (w.share !== share || w.left <= 0) continue;
      if (!this.suits(w.d, m.type, m.zone, m.spot)) continue;
      const n = Math.min(w.left, copies(w.d, free));
      w.left -= n;
      free.cpus -= n * w.d.cpus;
      free.gpus -= n * w.d.gpus;
      free.memory -= n * w.d.memory;
    }
  }

  private order(m: Machine, share: number, now: Ms): void {
    this.movedAt.set(m.name, now);
    this.moves.set(m.name, now);
    this.cx.log('debug', 'move', { machine: m.name, from: m.share, to: share });
    this.cx.writer.add({
      key: KEY.grant(m.name),
      value: () => ({ ...this.cx.table.grantOf(m), mv: share }),
      guard: m.grantStamp,
      also: [{ key: KEY.holding('lead'), stamp: this.stamp }],
      urgency: URGENCY.grant,
      until: now + 4000,
      done: (o) => {
        if (o !== 'ok') this.moves.delete(m.name);
      },
    });
  }

  // ---- the cloud

  list(machines: Listed[] | null, now: Ms): void {
    this.listBusy = false;
    if (!machines || this.since < 0) return;
    this.listed = new Map(machines.map((m) => [m.machine, m]));
    this.listAt = now;
    for (const name of this.listed.keys()) this.booting.delete(name);
  }

  private market(type: string, zone: string, spot: boolean): Market {
    const key = `${type}/${zone}/${spot}`;
    let m = this.markets.get(key);
    if (!m) {
      m = { notBefore: 0, refusals: 0, filled: false };
      this.markets.set(key, m);
    }
    return m;
  }

  /** How long ago it was asked for, as far as is known. */
  private ageOf(machine: string, now: Ms): Ms | null {
    const b = this.booting.get(machine);
    if (b) return now - b.at;
    const l = this.listed.get(machine);
    return l ? l.ageS * 1000 + (now - this.listAt) : null;
  }

  private bootLimitMs(type: string, now: Ms): Ms {
    return this.boots.limitMs(type, this.typeOf(type)?.bootS ?? 60, now);
  }

  /** Room that is on its way: rented machines that nobody has been granted yet. */
  private onTheWay(now: Ms): { type: string; zone: string; spot: boolean }[] {
    const out: { type: string; zone: string; spot: boolean }[] = [];
    const late: Listed[] = [];
    for (const b of this.booting.values()) out.push(b);
    for (const b of this.bookings.values()) for (let i = 0; i < b.count; i++) out.push(b);
    for (const l of this.listed.values()) {
      if (l.state === 'failed' || this.cx.table.machines.has(l.machine) || this.goneAt.has(l.machine)) continue;
      if (l.ageS * 1000 + (now - this.listAt) < this.bootLimitMs(l.type, now)) out.push(l);
      else late.push(l);
    }
    this.boots.setLate(late);
    return out;
  }

  private rent(shares: Map<number, PeerShare>, now: Ms): void {
    // A new lead doesn't know what the last one rented: the list will tell.
    if (now - this.since < 2000 * this.cx.settings.cloud.listLagS + 2000 && this.takenOver) return;
    if (now < this.nextRentAt) return;
    const { settings, table } = this.cx;
    const max = settings.policy.maxMachines;
    let held = table.machines.size + this.onTheWay(now).length;
    // What a wave of losses took from services is asked for at once, all kinds: a round each would
    // add seconds to the boot time that everybody waits for. For the rest one kind a round will
    // do: what comes free meanwhile need not be rented.
    let first = true;
    for (const want of settings.policy.hold ? this.wantToHold(shares, now) : this.wantByNeed(shares, now)) {
      if (this.bookings.size >= BOOKINGS || (max !== null && held >= max)) return;
      if (!first && !want.urgent) continue;
      first = false;
      const most = this.fails(want, now) ? 2 : 50;
      const count = Math.max(1, Math.min(want.count, most, max === null ? 50 : max - held));
      held += count;
      const id = this.cx.nextId();
      const request = `r-${this.stamp}-${++this.counter}`;
      const { type, zone, spot } = want;
      this.bookings.set(id, { type, zone, spot, count, at: now });
      this.cx.log('info', 'renting', { request, type, zone, spot, count });
      this.cx.emit({ t: 'rent', id, rental: { request, type, zone, spot, count } });
      this.nextRentAt = now + Math.max(300, 1000 / settings.cloud.rps);
    }
  }

  private options(): { type: MachineType; zone: string; spot: boolean }[] {
    const out: { type: MachineType; zone: string; spot: boolean }[] = [];
    for (const type of this.cx.table.types) {
      if (!type) continue;
      for (const zone of type.zones.length > 0 ? type.zones : this.cx.settings.zones) {
        for (const spot of [false, true]) out.push({ type, zone, spot });
      }
    }
    return out;
  }

  /** No price among the objectives: hold spare room of every kind that is used. */
  private wantToHold(shares: Map<number, PeerShare>, now: Ms): Purchase[] {
    const room = new Map<string, { all: number; free: number }>();
    for (const s of shares.values()) {
      for (const p of s.machines) {
        const m = this.cx.table.machines.get(p.name);
        if (!m?.cap) continue;
        const r = room.get(m.cap.name) ?? { all: 0, free: 0 };
        r.all += m.cap.cpus;
        r.free += m.cap.gpus > 0 ? (m.cap.cpus * p.freeGpus) / m.cap.gpus : p.freeCpus;
        room.set(m.cap.name, r);
      }
    }
    const unmet = [...shares.values()].flatMap((s) => s.demands);
    const coming = this.onTheWay(now);
    let best: (Omit<Purchase, 'urgent'> & { score: number }) | null = null;
    for (const o of this.options()) {
      const mk = this.market(o.type.name, o.zone, o.spot);
      if (now < mk.notBefore) continue;
      const r = room.get(o.type.name) ?? { all: 0, free: 0 };
      const due = coming.filter((c) => c.type === o.type.name).length * o.type.cpus;
      const asked = unmet.filter((d) => copies(d, o.type) >= 1 && this.suits(d, o.type.name, o.zone, o.spot));
      const spare = (r.free + due) / Math.max(1, r.all + due);
      if (asked.length === 0 && spare > 0.4) continue;
      const zoneCount = [...this.cx.table.machines.values()].filter(
        (m) => m.cap?.name === o.type.name && this.cx.table.zoneNames.name(m.zone) === o.zone,
      ).length;
      const score = asked.length * 10 - zoneCount - (o.spot ? 1 : 0);
      if (!best || score > best.score) best = { type: o.type.name, zone: o.zone, spot: o.spot, count: 4, score };
    }
    return best ? [{ type: best.type, zone: best.zone, spot: best.spot, count: best.count, urgent: false }] : [];
  }

  /** Money is an objective: rent for what waits, the cheapest kind per task. */
  private wantByNeed(shares: Map<number, PeerShare>, now: Ms): Purchase[] {
    const coming: { c: { type: string; zone: string; spot: boolean; idle?: boolean }; t: MachineType | null }[] = [
      ...this.onTheWay(now),
      ...this.freshGrants(now),
    ].map((c) => ({ c, t: this.typeOf(c.type) }));
    // Idle machines of other shares are about to be moved to where they are wanted.
    for (const s of shares.values()) {
      for (const p of s.machines) {
        const m = this.cx.table.machines.get(p.name);
        if (!m?.cap || m.spot || m.retire || p.tasks > 0 || (p.firmRank >= 0 && m.moveTo < 0)) continue;
        coming.push({ c: { type: m.cap.name, zone: this.cx.table.zoneNames.name(m.zone), spot: false, idle: true }, t: m.cap });
      }
    }
    const free = coming
      .filter((x) => x.t)
      .map((x) => ({ ...x, cpus: x.t?.cpus ?? 0, gpus: x.t?.gpus ?? 0, memory: x.t?.memory ?? 0 }));
    const wants = [...shares.values()].flatMap((s) => s.demands).sort((a, b) => b.rank - a.rank || b.waitS - a.waitS);
    const cheapest = Math.min(...this.options().map((o) => (o.spot ? Number.POSITIVE_INFINITY : o.type.price / o.type.cpus)));
    // All wants are fitted, on paper, into what is coming and what would be rented for them.
    const buy = new Map<string, Purchase>();
    const inZone = new Map<string, number>();
    for (const m of this.cx.table.machines.values()) {
      const z = this.cx.table.zoneNames.name(m.zone);
      inZone.set(z, (inZone.get(z) ?? 0) + 1);
    }
    for (const d of wants) {
      let left = d.count;
      const fill = () => {
        for (const f of free) {
          if (left <= 0) return;
          if (!this.suits(d, f.c.type, f.c.zone, f.c.spot)) continue;
          if (f.c.idle && d.gpus === 0 && (d.rank < 2 || (f.t?.gpus ?? 0) > 0)) continue;
          const n = Math.min(left, copies(d, f));
          left -= n;
          f.cpus -= n * d.cpus;
          f.gpus -= n * d.gpus;
          f.memory -= n * d.memory;
        }
      };
      fill();
      if (d.waitS < 1) continue;
      for (let more = 0; left > 0 && more < 40; more++) {
        const o = this.cheapestFor(d, left, cheapest, inZone, now);
        if (!o) break;
        const c = { type: o.type.name, zone: o.zone, spot: o.spot };
        const key = `${c.type}/${c.zone}/${c.spot}`;
        const b = buy.get(key) ?? { ...c, count: 0, urgent: false };
        b.count++;
        b.urgent ||= d.rank >= TOP_RANK;
        buy.set(key, b);
        inZone.set(c.zone, (inZone.get(c.zone) ?? 0) + 1);
        free.push({ c, t: o.type, cpus: o.type.cpus, gpus: o.type.gpus, memory: o.type.memory });
        fill();
      }
    }
    return [...buy.values()];
  }

  private fails(k: { type: string; zone: string; spot: boolean }, now: Ms): boolean {
    const fails = this.boots.failing(k, this.bootLimitMs(k.type, now), now);
    const name = `${k.type}/${k.zone}/${k.spot}`;
    if (fails === this.failingKinds.has(name)) return fails;
    if (fails) this.failingKinds.add(name);
    else this.failingKinds.delete(name);
    this.cx.log('info', fails ? 'machines of a kind do not come up' : 'machines of a kind come up again', { ...k });
    return fails;
  }

  /** The kind of machine that serves most of these tasks for the money, if any is worth it. */
  private cheapestFor(d: PeerDemand, left: number, cheapest: number, inZone: Map<string, number>, now: Ms) {
    let best: { type: MachineType; zone: string; spot: boolean; score: number } | null = null;
    for (const o of this.options()) {
      const n = copies(d, o.type);
      if (n < 1 || !this.suits(d, o.type.name, o.zone, o.spot)) continue;
      if (now < this.market(o.type.name, o.zone, o.spot).notBefore) continue;
      const hourly = o.spot ? o.type.spotPrice : o.type.price;
      // Work that can wait doesn't take a dear machine: a cheap one may come free in time.
      if (d.gpus === 0 && d.rank < 2 && hourly / o.type.cpus > 3 * cheapest && d.slackS > o.type.bootS + 25) continue;
      // What boots in a zone that is cut off is of no use until the cut is over.
      const late = this.owner.fleet.cut(o.zone) ? 10 : 1;
      // Where boots fail, what boots well is worth more, while there is any.
      const fails = this.fails({ type: o.type.name, zone: o.zone, spot: o.spot }, now) ? 2 : 1;
      const score = (hourly / Math.min(n, left)) * (1 + 0.001 * (inZone.get(o.zone) ?? 0)) * late * fails;
      if (!best || score < best.score) best = { ...o, score };
    }
    return best;
  }

  rented(id: number, r: { kind: 'ok'; machines: string[] } | { kind: 'full' | 'unknown' }, now: Ms): void {
    const b = this.bookings.get(id);
    if (!b) return;
    this.bookings.delete(id);
    const mk = this.market(b.type, b.zone, b.spot);
    if (r.kind === 'ok') {
      for (const name of r.machines) if (!this.listed.has(name)) this.booting.set(name, { ...b, count: 1, at: now });
      mk.filled = !b.spot && r.machines.length >= b.count;
      mk.refusals = r.machines.length < b.count ? 1 : 0;
      mk.notBefore = r.machines.length < b.count ? now + 15_000 : now;
      // A kind whose boots fail is asked for again now and then only.
      if (this.fails(b, now)) mk.notBefore = now + this.bootLimitMs(b.type, now) / 2;
    } else if (r.kind === 'full') {
      mk.refusals++;
      mk.filled = false;
      mk.notBefore = now + Math.min(this.longestPause(), 10_000 * 2 ** Math.min(4, mk.refusals));
    } else {
      // It may have been carried out: what came of it shows in the list.
      mk.notBefore = now + 2000 * this.cx.settings.cloud.listLagS + 3000;
    }
  }

  /**
   * Kinds that are sold out are asked for again as often as a quarter of the cloud's limit
   * allows: machines that others gave up, or that died, come back unannounced. At 90 s each,
   * four accelerator machines stayed unrented for a minute while 29 gangs waited.
   */
  private longestPause(): Ms {
    return Math.max(10_000, Math.min(90_000, (this.options().length * 4000) / this.cx.settings.cloud.rps));
  }

  /** Machines that never come up, or that failed and nobody has been granted, go back. */
  private tidy(now: Ms): void {
    if (this.returns.size > 0) return;
    const back: string[] = [];
    for (const l of this.listed.values()) {
      if (this.cx.table.machines.has(l.machine) || this.granting.has(l.machine)) continue;
      const age = l.ageS + (now - this.listAt) / 1000;
      const gone = this.goneAt.get(l.machine);
      if (l.state === 'failed' || age > (2 * this.bootLimitMs(l.type, now)) / 1000) {
        if (gone !== undefined && now - gone < 60_000) continue;
        back.push(l.machine);
      }
    }
    for (const [name, b] of this.booting) if (now - b.at > 60_000) this.booting.delete(name);
    if (back.length === 0) return;
    const some = back.slice(0, 50);
    const id = this.cx.nextId();
    this.returns.set(id, some);
    this.cx.log('info', 'returning machines that never came up', { machines: some });
    this.cx.emit({ t: 'return', id, machines: some });
  }

  returned(id: number, ok: boolean, now: Ms): boolean {
    const names = this.returns.get(id);
    if (!names) return false;
    this.returns.delete(id);
    if (ok) for (const n of names) this.machineGone(n, now);
    return true;
  }

  /**
   * What costs little may stay idle for longer: it saves little, and to have it again takes
   * its boot time, paid and waited for. The dearest kind goes back first.
   */
  private patience(cap: MachineType | null, spot: boolean): number {
    if (!cap) return 1;
    const dearest = Math.max(...this.options().map((o) => o.type.price));
    return Math.min(8, Math.sqrt(dearest / Math.max(1e-6, spot ? cap.spotPrice : cap.price)));
  }

  private giveBackIdle(shares: Map<number, PeerShare>, now: Ms): void {
    const demands = [...shares.values()].flatMap((s) => s.demands);
    let budget = 3;
    for (const s of shares.values()) {
      for (const p of s.machines) {
        const m = this.cx.table.machines.get(p.name);
        if (!m || budget <= 0 || p.tasks > 0 || m.moveTo >= 0 || m.retire || p.firmRank > 0) continue;
        const cap = m.cap;
        if (p.idleS < this.cx.settings.policy.idleS * this.patience(cap, m.spot)) continue;
        if (
          cap &&
          demands.some(
            (d) =>
              copies(d, cap) >= 1 &&
              this.suits(d, cap.name, this.cx.table.zoneNames.name(m.zone), m.spot) &&
              // It has been idle all the while: lesser work doesn't take a dear machine for itself.
              (d.gpus > 0 || d.rank > 1 || cap.gpus === 0 || m.spot),
          )
        )
          continue;
        budget--;
        this.cx.log('info', 'not needed', { machine: m.name, idleS: Math.round(p.idleS) });
        this.cx.writer.add({
          key: KEY.grant(m.name),
          value: () => ({ ...this.cx.table.grantOf(m), x: true }),
          guard: m.grantStamp,
          also: [{ key: KEY.holding('lead'), stamp: this.stamp }],
          urgency: URGENCY.progress,
          until: now + 4000,
          done: () => {},
        });
      }
    }
  }
}
