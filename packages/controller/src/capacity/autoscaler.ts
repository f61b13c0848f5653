import {
  type Listed,
  type MachineType,
  MOST_LISTED,
  MOST_RENTED,
  MOST_RETURNED,
  type PeerDemand,
  type PeerShare,
} from '@archpost/protocol';
import type { Context } from '../context/index.js';
import { type Machine, type Ms, TOP_RANK } from '../model/index.js';
import { copies } from '../scheduling/placement.js';
import { Boots } from './boot-time-estimator.js';
import { type Kind, kindKey, suits, typeOf } from './demand.js';

/** Machines of one kind that are to be rented. */
interface Purchase extends Kind {
  count: number;
  /** for work of the highest rank */
  urgent: boolean;
}

/** Work of the lowest rank that found no room for so long gets ordinary machines too. */
const LOW_RANK_S = 60;

/** Rentals under way at once. */
const BOOKINGS = 3;

/** How often the cloud is asked what there is, and the part of its requests that this may take. */
const LIST_MS = 2000;
const LIST_SHARE_OF_REQUESTS = 0.25;

/** What is said of a machine that was given back may be old for this long. */
const GONE_MS = 120_000;

/** A machine that was rented is in a list after this long. */
const SHOWN_MS = 60_000;

/** A machine that runs and that no controller has heard is given back once a lead has listened for so long. */
const UNHEARD_MS = 60_000;

/** A machine that was given back may still be listed for so long. */
const RETURN_SHOWS_MS = 60_000;

/** Machines that one demand may ask for in a round: so many, or one for each so many that there are. */
const MOST_FOR_DEMAND = 40;
const MACHINES_PER_PURCHASE = 25;

interface Booking extends Kind {
  count: number;
  at: Ms;
}

interface Market {
  notBefore: Ms;
  refusals: number;
  /** the last ordinary request was filled */
  filled: boolean;
}

/** What is rented from the cloud, what is on its way, and what never came up. */
export class Rentals {
  private since: Ms = -1;
  private stamp = 0;
  /** machines were granted before this lead began */
  private takenOver = false;
  private counter = 0;
  private lastList: Ms = -1e12;
  private listBusy = false;
  private listed = new Map<string, Listed>();
  private listAt: Ms = -1;
  private readonly bookings = new Map<number, Booking>();
  private readonly booting = new Map<string, Booking>();
  private readonly markets = new Map<string, Market>();
  private readonly goneAt = new Map<string, Ms>();
  private readonly returns = new Map<number, string[]>();
  private readonly boots = new Boots();
  private readonly failingKinds = new Set<string>();
  private nextRentAt: Ms = 0;

  constructor(
    private readonly context: Context,
    /** is a grant for the machine under way? */
    private readonly granting: (machine: string) => boolean,
    /** what was granted so lately that wants don't show it yet */
    private readonly freshGrants: (now: Ms) => Kind[],
    private readonly cutZone: (zone: string) => boolean,
  ) {}

  gained(stamp: number, now: Ms): void {
    this.since = now;
    this.takenOver = this.context.table.machines.size > 0;
    this.stamp = stamp;
    this.counter = 0;
    this.booting.clear();
    this.bookings.clear();
    this.listBusy = false;
    this.listAt = -1;
  }

  /** The cloud has been asked what there is, since this lead began. */
  get known(): boolean {
    return this.listAt >= 0;
  }

  askList(now: Ms): void {
    if (this.listBusy || now - this.lastList <= this.listIntervalMs) return;
    this.lastList = now;
    this.listBusy = true;
    this.context.emit({ t: 'list' });
  }

  /** A list of many machines takes many requests, and may take a part of them only: rentals and returns need the rest. */
  private get listIntervalMs(): Ms {
    const pages = Math.max(1, Math.ceil(this.listed.size / MOST_LISTED));
    return Math.max(LIST_MS, (pages * 1000) / (LIST_SHARE_OF_REQUESTS * this.context.settings.cloud.rps));
  }

  /** A machine is up: how long that took says how long others may take. */
  up(machine: string, kind: Kind, now: Ms): void {
    const age = this.ageOf(machine, now);
    if (age !== null) this.boots.up(kind, age, now);
  }

  granted(machine: string): void {
    this.booting.delete(machine);
  }

  /** It was given back so lately that what is said of it may be old. */
  goneLately(machine: string, now: Ms): boolean {
    const gone = this.goneAt.get(machine);
    return gone !== undefined && now - gone < GONE_MS;
  }

  gone(machine: string, now: Ms): void {
    this.goneAt.delete(machine);
    this.goneAt.set(machine, now);
    this.booting.delete(machine);
    // In the order in which they were last told of: the oldest come first.
    for (const [name, at] of this.goneAt) {
      if (now - at < GONE_MS) break;
      this.goneAt.delete(name);
    }
  }

  /** Types of which the cloud gave all that was asked for, last time. */
  plenty(): string[] {
    const out = new Set<string>();
    for (const [key, m] of this.markets) if (m.filled) out.add(key.slice(0, key.indexOf('/')));
    return [...out];
  }

  /** A machine that is gone leaves a place that the cloud can fill again. */
  placeFree(m: Machine, now: Ms): void {
    const mk = this.market(this.context.table.typeNames.name(m.type), this.context.table.zoneNames.name(m.zone), m.spot);
    mk.notBefore = Math.min(mk.notBefore, now + 500);
    mk.refusals = 0;
  }

  list(machines: Listed[] | null, leading: boolean, now: Ms): void {
    this.listBusy = false;
    if (!machines || !leading) return;
    this.listed = new Map(machines.map((m) => [m.machine, m]));
    this.listAt = now;
    for (const name of this.listed.keys()) this.booting.delete(name);
  }

  private market(type: string, zone: string, spot: boolean): Market {
    const key = kindKey({ type, zone, spot });
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
    return l ? this.listedAge(l, now) : null;
  }

  /** The list told how old it was then. */
  private listedAge(l: Listed, now: Ms): Ms {
    return l.ageS * 1000 + (now - this.listAt);
  }

  private bootLimitMs(type: string, now: Ms): Ms {
    return this.boots.limitMs(type, typeOf(this.context, type)?.bootS ?? 60, now);
  }

  /** Room that is on its way: rented machines that nobody has been granted yet. */
  onTheWay(now: Ms): Kind[] {
    const out: Kind[] = [];
    const late: Listed[] = [];
    for (const b of this.booting.values()) out.push(b);
    for (const b of this.bookings.values()) for (let i = 0; i < b.count; i++) out.push(b);
    for (const l of this.listed.values()) {
      if (l.state === 'failed' || this.context.table.machines.has(l.machine) || this.goneAt.has(l.machine)) continue;
      if (this.listedAge(l, now) < this.bootLimitMs(l.type, now)) out.push(l);
      else late.push(l);
    }
    this.boots.setLate(late);
    return out;
  }

  rent(shares: Map<number, PeerShare>, now: Ms): void {
    // A new lead doesn't know what the last one rented: the list will tell.
    if (now - this.since < 2000 * this.context.settings.cloud.listLagS + 2000 && this.takenOver) return;
    if (now < this.nextRentAt) return;
    const { settings, table } = this.context;
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
      const most = this.fails(want, now) ? 2 : MOST_RENTED;
      const count = Math.max(1, Math.min(want.count, most, max === null ? MOST_RENTED : max - held));
      held += count;
      const id = this.context.nextId();
      const request = `r-${this.stamp}-${++this.counter}`;
      const { type, zone, spot } = want;
      this.bookings.set(id, { type, zone, spot, count, at: now });
      this.context.log('info', 'renting', { request, type, zone, spot, count });
      this.context.emit({ t: 'rent', id, rental: { request, type, zone, spot, count } });
      this.nextRentAt = now + Math.max(300, 1000 / settings.cloud.rps);
    }
  }

  options(): { type: MachineType; zone: string; spot: boolean }[] {
    const out: { type: MachineType; zone: string; spot: boolean }[] = [];
    for (const type of this.context.table.types) {
      if (!type) continue;
      for (const zone of type.zones.length > 0 ? type.zones : this.context.settings.zones) {
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
        const m = this.context.table.machines.get(p.name);
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
      const asked = unmet.filter((d) => copies(d, o.type) >= 1 && suits(d, o.type.name, o.zone, o.spot));
      const spare = (r.free + due) / Math.max(1, r.all + due);
      if (asked.length === 0 && spare > 0.4) continue;
      const zoneCount = [...this.context.table.machines.values()].filter(
        (m) => m.cap?.name === o.type.name && this.context.table.zoneNames.name(m.zone) === o.zone,
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
    ].map((c) => ({ c, t: typeOf(this.context, c.type) }));
    // Idle machines of other shares are about to be moved to where they are wanted.
    for (const s of shares.values()) {
      for (const p of s.machines) {
        const m = this.context.table.machines.get(p.name);
        if (!m?.cap || m.spot || m.retire || p.tasks > 0 || (p.firmRank >= 0 && m.moveTo < 0)) continue;
        coming.push({
          c: { type: m.cap.name, zone: this.context.table.zoneNames.name(m.zone), spot: false, idle: true },
          t: m.cap,
        });
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
    for (const m of this.context.table.machines.values()) {
      const z = this.context.table.zoneNames.name(m.zone);
      inZone.set(z, (inZone.get(z) ?? 0) + 1);
    }
    for (const d of wants) {
      let left = d.count;
      const fill = () => {
        for (const f of free) {
          if (left <= 0) return;
          if (!suits(d, f.c.type, f.c.zone, f.c.spot)) continue;
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
      for (let more = 0; left > 0 && more < this.mostForDemand; more++) {
        const o = this.cheapestFor(d, left, cheapest, inZone, now);
        if (!o) break;
        const c = { type: o.type.name, zone: o.zone, spot: o.spot };
        const key = kindKey(c);
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

  /** A wave of losses takes a part of all machines: what one demand may ask for in a round grows with them. */
  private get mostForDemand(): number {
    return Math.max(MOST_FOR_DEMAND, this.context.table.machines.size / MACHINES_PER_PURCHASE);
  }

  /** By then a rented machine is in a list, if it is there: some lists are as late as twice the lag. */
  private get shownMs(): Ms {
    return Math.max(SHOWN_MS, 2 * this.listIntervalMs + 2000 * this.context.settings.cloud.listLagS);
  }

  private fails(k: Kind, now: Ms): boolean {
    const fails = this.boots.failing(k, this.bootLimitMs(k.type, now), now);
    const name = kindKey(k);
    if (fails === this.failingKinds.has(name)) return fails;
    if (fails) this.failingKinds.add(name);
    else this.failingKinds.delete(name);
    this.context.log('info', fails ? 'machines of a kind do not come up' : 'machines of a kind come up again', { ...k });
    return fails;
  }

  /** The kind of machine that serves most of these tasks for the money, if any is worth it. */
  private cheapestFor(d: PeerDemand, left: number, cheapest: number, inZone: Map<string, number>, now: Ms) {
    let best: { type: MachineType; zone: string; spot: boolean; score: number } | null = null;
    for (const o of this.options()) {
      const n = copies(d, o.type);
      if (n < 1 || !suits(d, o.type.name, o.zone, o.spot)) continue;
      if (now < this.market(o.type.name, o.zone, o.spot).notBefore) continue;
      const hourly = o.spot ? o.type.spotPrice : o.type.price;
      // Work that can wait doesn't take a dear machine: a cheap one may come free in time.
      if (d.gpus === 0 && d.rank < 2 && hourly / o.type.cpus > 3 * cheapest && d.slackS > o.type.bootS + 25) continue;
      // The lowest rank lives on what is idle and what is cheap; an ordinary machine only so that it
      // begins at all, and none with accelerators.
      const dear = hourly / o.type.cpus > (o.type.gpus > 0 ? 1 : 3) * cheapest;
      if (d.rank === 0 && d.gpus === 0 && (dear || (!o.spot && d.waitS < LOW_RANK_S))) continue;
      // What boots in a zone that is cut off is of no use until the cut is over.
      const late = this.cutZone(o.zone) ? 10 : 1;
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
      mk.notBefore = now + 2000 * this.context.settings.cloud.listLagS + 3000;
    }
  }

  /**
   * Kinds that are sold out are asked for again as often as a quarter of the cloud's limit
   * allows: machines that others gave up, or that died, come back unannounced. At 90 s each,
   * four accelerator machines stayed unrented for a minute while 29 gangs waited.
   */
  private longestPause(): Ms {
    return Math.max(10_000, Math.min(90_000, (this.options().length * 4000) / this.context.settings.cloud.rps));
  }

  /** Machines that never come up, or that failed and nobody has been granted, go back. */
  tidy(now: Ms): void {
    if (this.returns.size > 0) return;
    const back: string[] = [];
    for (const l of this.listed.values()) {
      if (this.context.table.machines.has(l.machine) || this.granting(l.machine)) continue;
      const gone = this.goneAt.get(l.machine);
      if (gone !== undefined && now - gone < RETURN_SHOWS_MS) continue;
      if (this.isOverdue(l, now)) back.push(l.machine);
    }
    for (const [name, b] of this.booting) if (now - b.at > this.shownMs) this.booting.delete(name);
    if (back.length === 0) return;
    const some = back.slice(0, MOST_RETURNED);
    const id = this.context.nextId();
    this.returns.set(id, some);
    this.context.log('info', 'returning machines that never came up', { machines: some });
    this.context.emit({ t: 'return', id, machines: some });
  }

  /**
   * Failed, or not up for twice as long as its type takes. One that the cloud says runs has a worker that may not have
   * come to this lead yet: the first lead over machines that had been up for long gave back all that had not reported
   * within its first second.
   */
  private isOverdue(listed: Listed, now: Ms): boolean {
    if (listed.state === 'failed') return true;
    if (this.listedAge(listed, now) <= 2 * this.bootLimitMs(listed.type, now)) return false;
    return listed.state !== 'running' || now - this.since > UNHEARD_MS;
  }

  returned(id: number, ok: boolean, now: Ms): boolean {
    const names = this.returns.get(id);
    if (!names) return false;
    this.returns.delete(id);
    if (ok) for (const n of names) this.gone(n, now);
    return true;
  }
}
