import type { Change, Command, Listed, MachineType, PeerHeard, PeerStatus, Report, Row, TaskReport } from '@archpost/wire';
import { goHome, isStatus, reportAnswer } from '@archpost/wire';
import type { Context, Peer } from './context.js';
import { Desk } from './desk.js';
import { Holdings } from './holdings.js';
import { Lead } from './lead.js';
import type { CoreSettings, Effect, Level, Ms } from './model.js';
import { Owner } from './owner.js';
import type { Rentals } from './rentals.js';
import { Replica } from './replica.js';
import { ChangeRate, encodedBytes } from './state-limits.js';
import { fitStatus } from './stored-status.js';
import { type Applied, KEY, Table } from './table.js';
import { Vouching } from './vouching.js';
import { URGENCY, Writer } from './writer.js';

/** How long a peer's silence is borne before its link counts as down. */
const PEER_SILENT_MS = 3500;

/** A controller that answers so many workers is known to be reached by them. */
const HEARS_WORKERS = 3;

/** How often a worker is sent to one that isn't, to try. */
const TRY_MS = 250;

/** After a pause decisions wait for news for so long; in an outage none come. */
const SETTLE_MS = 3000;

/** Each so many statuses tell of all jobs that run; a peer that missed a change has it within seconds. */
const RUNNING_ALL_EACH = 5;

type Running = ReturnType<Owner['running']>;

/** What a keeper knows of a machine that reports to it. */
interface Heard {
  report: Report;
  at: Ms;
  /** who was last told of it whole; null: nobody */
  to: string | null;
  whole: number;
  wholeAt: Ms;
}

function sameReport(a: Report, b: Report): boolean {
  if (a.session !== b.session || a.token !== b.token || a.addr !== b.addr || a.noticeS !== null || b.noticeS !== null)
    return false;
  if (a.tasks.length !== b.tasks.length) return false;
  for (let i = 0; i < a.tasks.length; i++) {
    const x = a.tasks[i] as TaskReport;
    const y = b.tasks[i] as TaskReport;
    if (x.index !== y.index || x.attempt !== y.attempt || x.state !== y.state || x.job !== y.job) return false;
  }
  return true;
}

/** The watch and the lease's renewals bring an answer more often than this. */
const STORE_SILENT_MS = 4000;

/**
 * One controller's decisions as a state machine. Inputs go in through the methods, each
 * with its time; what is to be sent, written and answered is collected by `drain`.
 */
export class Core implements Context {
  readonly table: Table;
  readonly replica: Replica;
  readonly writer: Writer;
  readonly lease = { permit: null as number | null, validUntil: -1 };
  readonly peers = new Map<string, Peer>();
  freshAt: Ms = -1e12;
  private storeAt: Ms = -1e12;
  readonly desk: Desk;
  readonly owner: Owner;
  readonly lead: Lead;
  readonly holdings: Holdings;
  private readonly vouching: Vouching;
  private readonly changeRate: ChangeRate;
  private effects: Effect[] = [];
  private ids = 1;
  now: Ms = 0;
  private waiters: { from: Ms; run: (now: Ms) => void; until: Ms; late: (() => void) | undefined }[] = [];
  private readonly heard = new Map<string, Heard>();
  private lastStatus: Ms = -1e12;
  private typesAskedAt: Ms = -1e12;

  constructor(
    readonly settings: CoreSettings,
    readonly boot: string,
  ) {
    this.table = new Table(settings);
    this.changeRate = new ChangeRate(settings.state);
    this.replica = new Replica((key, entry) => this.keyChanged(key, entry));
    const share = 0.95 / Math.max(1, settings.nodes.length);
    this.writer = new Writer(
      { writesPerS: Math.max(1, settings.state.writeRps * share), ...this.table.sizes },
      this.replica,
      (e) => this.emit(e),
      () => this.lease.permit,
      (now, run) => this.afterBarrier(now, run),
      () => this.leaseLost(),
      (key, bytes) => this.log('warn', 'a change is too large for the state service', { key, bytes }),
    );
    this.desk = new Desk(this);
    this.owner = new Owner(this);
    this.lead = new Lead(this, this.owner);
    this.holdings = new Holdings(this);
    this.vouching = new Vouching(
      settings.nodes.map((n) => n.name).filter((n) => n !== settings.node),
      boot,
    );
  }

  // ---- context

  emit(e: Effect): void {
    this.effects.push(e);
  }

  log(level: Level, msg: string, data?: Record<string, unknown>): void {
    this.effects.push(data ? { t: 'log', level, msg, data } : { t: 'log', level, msg });
  }

  drain(): Effect[] {
    const out = this.effects;
    this.effects = [];
    return out;
  }

  nextId(): number {
    return this.ids++;
  }

  leaseValid(now: Ms): boolean {
    return this.lease.permit !== null && now < this.lease.validUntil;
  }

  peerAlive(node: string, now: Ms): boolean {
    const p = this.peers.get(node);
    return p?.up === true && now - p.at < PEER_SILENT_MS;
  }

  /** Runs once the replica holds everything that was so when this was called. */
  afterBarrier(now: Ms, run: (now: Ms) => void, until = Number.POSITIVE_INFINITY, late?: () => void): void {
    this.waiters.push({ from: now, run, until, late });
    this.emit({ t: 'barrier', soon: true });
  }

  gained(holding: string, stamp: number): void {
    if (holding === 'lead') this.lead.gained(stamp, this.now);
    else this.owner.gained(Number(holding), stamp, this.now);
  }

  lost(holding: string): void {
    if (holding === 'lead') this.lead.lost();
    else this.owner.lost(Number(holding));
  }

  reach(): boolean {
    return this.owner.fleet.reach;
  }

  acts(share: number): boolean {
    return this.holdings.active(String(share), this.now);
  }

  settled(share: number): boolean {
    return this.owner.settled(share);
  }

  planSoon(): void {
    this.owner.planSoon();
  }

  plenty(type: string): boolean {
    if (this.lead.leading) return this.lead.rentals.plenty().includes(type);
    for (const p of this.peers.values()) if (p.status.lead) return p.status.plenty.includes(type);
    return false;
  }

  // ---- the state service

  private keyChanged(key: string, entry: { value: unknown; stamp: number } | null): void {
    if (!key.startsWith(KEY.root)) return;
    if (key.startsWith(KEY.status('')) && entry) this.statusByState(entry.value as PeerStatus);
    const c = this.read(key, entry);
    if (!c) return;
    if (c.holding !== undefined) this.holdings.changed(c.holding);
    if (c.machine) {
      if (c.machine.share < 0) {
        this.lead.machineGone(c.machine.name, this.now);
        this.lead.rentals.placeFree(c.machine, this.now);
      }
      this.owner.machineChanged(c.machine, c.moved === true, this.now);
    }
    if (c.unreadable) this.log('warn', 'a stored record can not be read', { key, error: `${c.unreadable} can not be read` });
    for (const job of c.jobs ?? []) this.owner.jobChanged(job);
  }

  /** One record that can't be read, of another version say, must not keep the rest from being read. */
  private read(key: string, entry: { value: unknown; stamp: number } | null): Applied | null {
    try {
      return this.table.apply(key, entry, this.now);
    } catch (e) {
      this.log('warn', 'a stored record can not be read', { key, error: String(e) });
      return null;
    }
  }

  loaded(rows: Row[], revision: number, now: Ms): void {
    this.now = now;
    this.replica.reset(rows, revision);
    this.after(now);
  }

  /** Changes read by a request that was sent at `asOf`. */
  changes(list: Change[], revision: number, asOf: Ms, now: Ms): void {
    this.now = now;
    this.replica.apply(list, revision);
    if (asOf > this.freshAt) this.freshAt = asOf;
    this.storeAt = now;
    const due = this.waiters.filter((w) => w.from <= asOf);
    if (due.length > 0) {
      this.waiters = this.waiters.filter((w) => w.from > asOf);
      for (const w of due) w.run(now);
    }
    this.desk.fresh(asOf);
    this.after(now);
  }

  txnResult(id: number, r: Parameters<Writer['result']>[1], now: Ms): void {
    this.now = now;
    if (r.kind !== 'refused' && r.kind !== 'unknown') this.storeAt = now;
    if (r.kind === 'limited') this.changeRate.refused(now);
    this.writer.result(id, r, now);
    this.after(now);
  }

  /** The lease stands until `validUntil` at least; null: there is none. */
  leaseState(permit: number | null, validUntil: Ms, now: Ms): void {
    this.now = now;
    if (permit === null) {
      if (this.lease.permit !== null) this.leaseLost();
      return;
    }
    if (this.lease.permit !== null && this.lease.permit !== permit) this.leaseLost();
    // It was renewed, so it never ended and nobody can have taken what is attached to it: what is
    // held goes on. An outage longer than the lease cost all machines a round of questions before.
    else if (this.lease.permit === permit && now >= this.lease.validUntil) {
      this.log('info', 'state lease stands after all', { seconds: Math.round((now - this.lease.validUntil) / 1000) });
      this.owner.paused(now - this.lease.validUntil, now);
    }
    this.storeAt = now;
    this.lease.permit = permit;
    this.lease.validUntil = validUntil;
    this.after(now);
  }

  private leaseLost(): void {
    this.log('warn', 'state lease lost');
    this.lease.permit = null;
    this.lease.validUntil = -1;
    this.holdings.dropAll();
  }

  // ---- users

  submit(id: number, body: Record<string, unknown> | null, now: Ms, wall: number): void {
    this.now = now;
    this.desk.submit(id, body, now, wall);
    this.after(now);
  }

  poll(id: number, job: string, now: Ms): void {
    this.now = now;
    this.desk.poll(id, job, now);
  }

  cancel(id: number, job: string, now: Ms): void {
    this.now = now;
    this.desk.cancel(id, job, now);
    this.after(now);
  }

  /**
   * Ready for users: what the state service holds is known. In an outage that all share it
   * stays so; a controller that alone has lost the service says no, so that its users'
   * connections leave it.
   */
  get ready(): boolean {
    if (!this.replica.loaded || !this.table.typesKnown) return false;
    if (this.storeOk(this.now)) return true;
    let any = false;
    for (const [node, p] of this.peers) {
      if (!this.peerAlive(node, this.now)) continue;
      any = true;
      if (p.status.storeOk) return false;
    }
    return any || this.settings.nodes.length === 1;
  }

  /** The state service has answered lately. */
  storeOk(now: Ms): boolean {
    return now - this.storeAt < STORE_SILENT_MS;
  }

  // ---- workers

  report(id: number, r: Report, now: Ms): void {
    this.now = now;
    if (!this.mayKeep(now)) {
      this.toWorker(id, 503, { error: 'not entitled' });
      return;
    }
    const m = this.table.machines.get(r.machine);
    if (!m) {
      this.lead.stranger({ machine: r.machine, addr: r.addr, type: r.type, zone: r.zone, spot: r.spot }, now);
      this.toWorker(id, 421, goHome(null));
      this.after(now);
      return;
    }
    const holder = this.table.holder(m.share)?.holder.node ?? null;
    // It has been told a higher token than is known here: whatever is answered, it drops, and
    // stays here while its lease runs out. Another controller must answer it.
    if (r.token > this.table.token(m)) {
      this.toWorker(id, 503, { error: 'not entitled' });
      return;
    }
    // Workers stay with a controller of their own zone: a cut between zones then costs
    // them nothing, where finding another controller could take longer than their lease.
    const near = this.nearNode(r.zone, holder, now);
    if (near !== this.settings.node && this.mayLeave(r, now) && this.maySend(r.machine, near, now)) {
      this.toWorker(id, 421, goHome(near));
      return;
    }
    this.served.set(r.machine, now);
    if (this.owner.work.holds(m.share, now)) this.owner.reports.observe(m, r, now);
    // A keeper: the work must not die because its owner did, or can't be reached from here.
    else this.hear(r, holder, now);
    this.toWorker(id, 200, reportAnswer(this.table.token(m), this.cancelledOf(r)));
    this.after(now);
  }

  /**
   * What a report names of cancelled jobs is stopped by the answer, whoever gives it: a direct command may
   * not get through where the answer does, and the answer is what lets the work live on.
   */
  private cancelledOf(r: Report): Command[] {
    const stops: Command[] = [];
    for (const t of r.tasks) {
      if (t.state !== 'exited' && this.table.finals.get(t.job) === 'cancelled')
        stops.push({ op: 'stop', job: t.job, index: t.index, attempt: t.attempt, graceS: 0 });
    }
    return stops;
  }

  private toWorker(id: number, status: number, body: unknown): void {
    this.told.set(status, (this.told.get(status) ?? 0) + 1);
    this.emit({ t: 'answer', id, status, body });
  }

  /**
   * May workers' reports be answered here, so that their leases go on? For as long as a
   * cancellation that we can't have learned of would still be kept: what we last let go on
   * ends by its worker's lease in time. Without a lease no command of ours goes out
   * meanwhile, and nobody counts a worker's lease as over.
   */
  private mayKeep(now: Ms): boolean {
    if (!this.replica.loaded) return false;
    const { cancelS, leaseS, reportS } = this.settings.workers;
    const sure = Math.max(this.freshAt, this.vouching.since(now));
    return now - sure < (cancelS - leaseS - reportS) * 1000;
  }

  /** A late copy must not make a silent machine seem alive: only what is newer counts. */
  private hear(r: Report, holder: string | null, now: Ms): void {
    const old = this.heard.get(r.machine);
    if (old && (r.session < old.report.session || (r.session === old.report.session && r.seq <= old.report.seq))) return;
    const h: Heard = { report: r, at: now, to: old?.to ?? null, whole: old?.whole ?? -1, wholeAt: old?.wholeAt ?? -1e12 };
    this.heard.set(r.machine, h);
    if (holder === null || holder === this.settings.node || !this.peerAlive(holder, now)) {
      h.to = null;
      return;
    }
    // What changes is passed on at once, whole; that nothing did goes with the status.
    if (old && h.to === holder && sameReport(old.report, r) && now - h.wholeAt < 5 * this.settings.workers.reportS * 1000) return;
    h.to = holder;
    h.whole = r.seq;
    h.wholeAt = now;
    this.emit({ t: 'relay', to: holder, report: r });
  }

  /** The machines heard here lately, by who holds them. */
  private heardLately(now: Ms): Map<string, PeerHeard[]> {
    const out = new Map<string, PeerHeard[]>();
    for (const [machine, h] of this.heard) {
      if (now - h.at < 4000) {
        const m = this.table.machines.get(machine);
        const holder = m && this.table.holder(m.share)?.holder.node;
        if (!holder) continue;
        const list = out.get(holder) ?? [];
        if (list.length === 0) out.set(holder, list);
        list.push({ machine, session: h.report.session, seq: h.report.seq, whole: h.to === holder ? h.whole : h.report.seq });
      }
      // Kept for as long as late copies of it may come.
      else if (now - h.at > 10 * this.settings.workers.leaseS * 1000) this.heard.delete(machine);
    }
    return out;
  }

  /**
   * A worker that is sent away and comes back got no answer there, and its lease runs: it is
   * sent once, then answered here. Nor are more than a few sent, to try, to a controller that
   * hears no workers: one that had lost them all was still thought well, and 115 leases ran
   * out on the way to it and back.
   */
  private maySend(machine: string, to: string, now: Ms): boolean {
    const sent = this.sentAway.get(machine);
    if (sent?.to === to && now - sent.at < 4 * this.settings.workers.leaseS * 1000) return false;
    const hears = this.peers.get(to)?.status.hears ?? 0;
    if (hears < HEARS_WORKERS) {
      if (now - this.triedAt < TRY_MS) return false;
      this.triedAt = now;
    }
    this.sentAway.set(machine, { to, at: now });
    return true;
  }

  /**
   * A worker that bears work and comes from elsewhere got no answer there, and part of its lease
   * is gone: it is answered here first and sent with its next report, so that trying the other
   * controller once more costs it no lease.
   */
  private mayLeave(r: Report, now: Ms): boolean {
    return r.tasks.length === 0 || now - (this.served.get(r.machine) ?? -1e12) < 2000 * this.settings.workers.reportS;
  }

  /** Workers answered here lately. */
  private hears(now: Ms): number {
    for (const [machine, at] of this.served) if (now - at > 2 * this.settings.workers.reportS * 1000) this.served.delete(machine);
    for (const [machine, { at }] of this.sentAway)
      if (now - at > 4 * this.settings.workers.leaseS * 1000) this.sentAway.delete(machine);
    return this.served.size;
  }

  private readonly served = new Map<string, Ms>();
  private readonly sentAway = new Map<string, { to: string; at: Ms }>();
  private triedAt: Ms = -1e12;

  /** The controller that a worker of this zone should report to, as far as is seen from here. */
  private nearNode(zone: string, holder: string | null, now: Ms): string {
    const me = this.settings.node;
    // One that the state service refuses answers no worker, so none must be sent to it.
    const alive = (n: string) => {
      const s = this.peers.get(n)?.status;
      return n === me || (this.peerAlive(n, now) && s?.entitled === true && s.reach);
    };
    const zoneOf = (n: string) => this.settings.nodes.find((x) => x.name === n)?.zone;
    if (holder !== null && zoneOf(holder) === zone && alive(holder)) return holder;
    if (this.settings.zone === zone) return me;
    const near = this.settings.nodes.find((n) => n.zone === zone && alive(n.name));
    if (near) return near.name;
    return holder !== null && alive(holder) ? holder : me;
  }

  /** A report that a keeper passed on. */
  relayed(r: Report, now: Ms): void {
    this.now = now;
    const m = this.table.machines.get(r.machine);
    if (!m || this.table.holder(m.share)?.holder.node !== this.settings.node || !this.owner.work.holds(m.share, now)) return;
    this.owner.reports.observe(m, r, now);
    // Workers of our own zone report here, unless this controller or the machine is apart.
    if (r.zone === this.settings.zone) this.owner.reports.doubt(m, now);
    this.after(now);
  }

  commandResult(id: number, r: Parameters<Owner['commands']['result']>[1], now: Ms): void {
    this.now = now;
    this.owner.commands.result(id, r, now);
    this.after(now);
  }

  /** Whether a worker answered the question that `ask` put. */
  asked(id: number, ok: boolean, now: Ms): void {
    this.now = now;
    this.owner.fleet.asked(id, ok);
  }

  // ---- cloud

  types(list: MachineType[] | null, now: Ms): void {
    this.now = now;
    if (!list || list.length === 0) return;
    this.table.setTypes(list);
    const known = this.replica.get(KEY.types) ?? this.replica.get(KEY.typesPart(0));
    if (!known && this.replica.loaded) this.storeTypes(list, now);
    this.after(now);
  }

  /** Kept for a start while the cloud's interface is down; in parts where the list outgrows a value. */
  private storeTypes(list: MachineType[], now: Ms): void {
    const { changeBytes } = this.table.sizes;
    if (encodedBytes(KEY.types, list) <= changeBytes) return this.storeOnce(KEY.types, list, now);
    list.forEach((type, index) => {
      this.storeOnce(KEY.typesPart(index), { count: list.length, list: [type] }, now);
    });
  }

  private storeOnce(key: string, value: unknown, now: Ms): void {
    this.writer.add({ key, value: () => value, guard: 0, urgency: URGENCY.progress, until: now + 10_000, done: () => {} });
  }

  listed(machines: Listed[] | null, now: Ms): void {
    this.now = now;
    this.lead.rentals.list(machines, this.lead.leading, now);
  }

  rented(id: number, r: Parameters<Rentals['rented']>[1], now: Ms): void {
    this.now = now;
    this.lead.rentals.rented(id, r, now);
    this.after(now);
  }

  returned(id: number, ok: boolean, now: Ms): void {
    this.now = now;
    if (!this.lead.rentals.returned(id, ok, now)) this.owner.fleet.returned(id, ok, now);
    this.after(now);
  }

  // ---- peers

  peerStatus(status: PeerStatus, now: Ms): void {
    this.now = now;
    const running = status.runningAll ? new Map() : (this.peers.get(status.node)?.running ?? new Map());
    for (const { job, ...r } of status.running) {
      if (r.count > 0 || r.done > 0 || r.failed > 0) running.set(job, r);
      else running.delete(job);
    }
    this.peers.set(status.node, { status, running, at: now, up: true });
    this.vouching.heard(status, this.replica.revision);
    for (const h of status.heard) this.owner.reports.unchanged(h, status.node, now);
    this.after(now);
  }

  peerDown(node: string, now: Ms): void {
    this.now = now;
    const p = this.peers.get(node);
    if (p) p.up = false;
  }

  /** Used only while the link itself is silent: it is slower, and costs writes. */
  private statusByState(status: PeerStatus): void {
    if (!isStatus(status) || status.node === this.settings.node || this.peerAlive(status.node, this.now)) return;
    if (!this.replica.loaded) return;
    this.peers.set(status.node, { status, running: this.peers.get(status.node)?.running ?? new Map(), at: this.now, up: false });
  }

  /**
   * A zone that is cut off still reaches the state service: without this, the lead would
   * neither grant its new machines nor rent for its waiting work until the cut ends.
   */
  private tellByState(now: Ms): void {
    const lead = this.table.holder('lead')?.holder.node ?? null;
    if (lead === null || lead === this.settings.node || this.peerAlive(lead, now)) return;
    if (!this.replica.loaded || !this.leaseValid(now) || this.telling || now - this.toldAt < 2000) return;
    this.toldAt = now;
    this.telling = true;
    const key = KEY.status(this.settings.node);
    const full: PeerStatus = { ...this.status(now), heard: this.heardLately(now).get(lead) ?? [] };
    const status = fitStatus(key, full, this.table.sizes.changeBytes);
    this.writer.add({
      key,
      value: () => status,
      guard: this.replica.get(key)?.stamp ?? 0,
      urgency: URGENCY.progress,
      until: now + 2000,
      done: () => {
        this.telling = false;
      },
    });
  }

  /** answers to workers since the last look, by status */
  private readonly told = new Map<number, number>();
  private lastFigures: Ms = 0;
  /**
   * The limit on changes goes to those who have something to write: a part to each in any
   * case, the rest by what each says it wants. What a controller that isn't heard uses is
   * not known: an equal share is left to it.
   */
  private shareWrites(now: Ms): void {
    const n = Math.max(1, this.settings.nodes.length);
    const all = this.changeRate.perSecond(now) * 0.95;
    const floor = (0.3 * all) / n;
    const mine = this.writer.wanted(now);
    let free = all - floor;
    let wanted = mine;
    for (const node of this.settings.nodes) {
      if (node.name === this.settings.node) continue;
      const heard = this.peerAlive(node.name, now);
      free -= heard ? floor : all / n;
      if (heard) wanted += this.peers.get(node.name)?.status.writes ?? 0;
    }
    this.writer.allow(Math.max(1, floor + (wanted > 0 ? (free * mine) / wanted : free / n)));
  }

  /** To each other controller what concerns it: the lead alone decides over machines. */
  private tell(now: Ms): void {
    const full = this.status(now);
    const all = this.owner.running();
    full.runningAll = this.tells++ % RUNNING_ALL_EACH === 0;
    full.running = full.runningAll ? [...all].map(([job, r]) => ({ job, ...r })) : this.runningChanged(all);
    this.runningTold = all;
    const heard = this.heardLately(now);
    const lead = this.table.holder('lead')?.holder.node ?? null;
    for (const { name } of this.settings.nodes) {
      if (name === this.settings.node) continue;
      const own: PeerStatus = { ...full, heard: heard.get(name) ?? [], ...this.vouching.toTell(name, now) };
      if (lead !== null && name !== lead) {
        own.shares = [];
        own.strangers = [];
      }
      this.emit({ t: 'status', to: name, status: own });
    }
  }

  /** With a swarm of small jobs all of them, each time, to everybody, would cost more than all else told. */
  private runningChanged(all: Running): PeerStatus['running'] {
    const out: PeerStatus['running'] = [];
    for (const [job, r] of all) {
      const old = this.runningTold.get(job);
      if (old?.count !== r.count || old.done !== r.done || old.failed !== r.failed) out.push({ job, ...r });
    }
    for (const job of this.runningTold.keys()) if (!all.has(job)) out.push({ job, count: 0, done: 0, failed: 0 });
    return out;
  }

  private runningTold: Running = new Map();
  private tells = 0;
  private telling = false;
  private toldAt: Ms = -1e12;

  private status(now: Ms): PeerStatus {
    return {
      node: this.settings.node,
      shares: [...this.owner.held.keys()].map((s) => this.owner.share(s, now)),
      running: [],
      runningAll: false,
      strangers: this.lead.strangersNow(now),
      heard: [],
      plenty: this.lead.leading ? this.lead.rentals.plenty() : [],
      lead: this.lead.leading,
      entitled: this.mayKeep(now),
      reach: this.owner.fleet.reach,
      writes: Math.round(this.writer.wanted(now)),
      storeOk: this.storeOk(now),
      hears: this.hears(now),
      loaded: this.replica.loaded,
      cancelStamp: this.table.cancelStamp,
      ping: '',
      echo: '',
    };
  }

  // ---- time

  /**
   * This process stood still until now, for so long. Everybody else went on: what was silent
   * meanwhile was not heard because of this, and says nothing about workers, peers or the state
   * service. What is decided waits until news from after the pause are in (`settling`). Leases
   * and the age of what was confirmed are not touched: they did run out.
   */
  paused(ms: Ms, now: Ms): void {
    this.now = now;
    this.log(ms > 3000 ? 'info' : 'debug', 'stood still', {
      seconds: Math.round(ms / 100) / 10,
      leaseStands: this.leaseValid(now),
    });
    this.pausedAt = now;
    if (this.storeAt > 0) this.storeAt += ms;
    for (const p of this.peers.values()) p.at += ms;
    for (const h of this.heard.values()) h.at += ms;
    for (const [machine, at] of this.served) this.served.set(machine, at + ms);
    for (const [node, at] of this.table.absentSince) this.table.absentSince.set(node, at + ms);
    this.holdings.paused(ms);
    this.owner.paused(ms, now);
  }

  private pausedAt: Ms = -1e12;

  settling(): boolean {
    return this.freshAt < this.pausedAt && this.now - this.pausedAt < SETTLE_MS;
  }

  /** `wall`: the time of day, to which stored times of submissions and ends refer. */
  tick(now: Ms, wall: Ms = now): void {
    this.now = now;
    this.table.wallOffset = wall - now;
    const late = this.waiters.filter((w) => now > w.until);
    if (late.length > 0) {
      this.waiters = this.waiters.filter((w) => now <= w.until);
      for (const w of late) w.late?.();
    }
    if (this.waiters.length > 0 || this.desk.asking) this.emit({ t: 'barrier', soon: this.waiters.length > 0 });
    this.desk.tick(now);
    this.holdings.tick(now);
    this.owner.tick(now);
    this.lead.tick(now);
    const wantTypes = !this.table.typesKnown || this.lead.leading;
    if (wantTypes && now - this.typesAskedAt > (this.table.typesKnown ? 60_000 : 1500)) {
      this.typesAskedAt = now;
      this.emit({ t: 'types' });
    }
    if (now - this.lastFigures > 10_000) {
      this.lastFigures = now;
      this.log('debug', 'figures', {
        changes: this.writer.purposes(),
        workers: Object.fromEntries(this.told),
        jobs: this.table.jobs.size,
        machines: this.table.machines.size,
        barriers: this.waiters.length,
      });
      this.told.clear();
    }
    this.shareWrites(now);
    if (now - this.lastStatus > 700) {
      this.lastStatus = now;
      this.tell(now);
    }
    this.tellByState(now);
    this.after(now);
  }

  private after(now: Ms): void {
    this.writer.flush(now);
  }
}
