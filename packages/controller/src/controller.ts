import type { Change, Listed, MachineType, PeerStatus, Report, Row, TxnOutcome } from '@archpost/protocol';
import type { Rentals } from './capacity/autoscaler.js';
import type { Context, Peer } from './context/index.js';
import { ReportForwarding } from './heartbeats/heartbeat-forwarding.js';
import { WorkerReports } from './heartbeats/heartbeat-responder.js';
import { WorkerRouting } from './heartbeats/worker-routing.js';
import { UserRequests } from './jobs/client-requests.js';
import { Vouching } from './leadership/cancellation-freshness.js';
import { Leader } from './leadership/leader.js';
import { Holdings } from './leadership/shard-leases.js';
import { StatusExchange } from './leadership/status-exchange.js';
import type { CoreSettings, Effect, Level, Ms } from './model/index.js';
import { Owner } from './shards/shard-controller.js';
import { type Applied, Table } from './state/cluster-state.js';
import { KEY } from './state/keys.js';
import { ChangeRate, encodedBytes } from './state/limits.js';
import { encodeMachineTypes, encodeMachineTypesParts } from './state/machine-types-record.js';
import { Barriers } from './state/read-barriers.js';
import { Replica } from './state/replica.js';
import { Writer } from './state/state-writer.js';
import { parseStatus } from './state/status-record.js';
import { URGENCY } from './state/write-queue.js';

/** How long a peer's silence is borne before its link counts as down. */
const PEER_SILENT_MS = 3500;

/** After a pause decisions wait for news for so long; in an outage none come. */
const SETTLE_MS = 3000;

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
  readonly userRequests: UserRequests;
  readonly owner: Owner;
  readonly leader: Leader;
  readonly holdings: Holdings;
  private readonly vouching: Vouching;
  private readonly changeRate: ChangeRate;
  private readonly forwarding: ReportForwarding;
  private readonly workerReports: WorkerReports;
  private readonly barriers = new Barriers();
  private readonly routing: WorkerRouting;
  private readonly statuses: StatusExchange;
  private effects: Effect[] = [];
  private ids = 1;
  now: Ms = 0;
  private typesAskedAt: Ms = -1e12;

  constructor(
    readonly settings: CoreSettings,
    readonly boot: string,
  ) {
    this.table = new Table(settings);
    this.changeRate = new ChangeRate(settings.state);
    this.replica = new Replica(
      (key, entry) => this.keyChanged(key, entry),
      (key, error) => this.log('warn', 'a change could not be taken', { key, error: String(error) }),
    );
    const share = 0.95 / Math.max(1, settings.nodes.length);
    this.writer = new Writer(
      { writesPerS: Math.max(1, settings.state.writeRps * share), ...this.table.sizes },
      this.replica,
      (e) => this.emit(e),
      () => this.lease.permit,
      (now, run) => this.afterBarrier(now, run),
      () => this.leaseLost(),
      (key, bytes) => this.log('warn', 'a change can not be stored', { key, bytes }),
    );
    this.userRequests = new UserRequests(this);
    this.owner = new Owner(this);
    this.leader = new Leader(this, this.owner);
    this.holdings = new Holdings(this);
    this.vouching = new Vouching(
      settings.nodes.map((n) => n.name).filter((n) => n !== settings.node),
      boot,
    );
    this.forwarding = new ReportForwarding(this);
    this.routing = new WorkerRouting(this);
    const { owner, leader, forwarding, routing, vouching } = this;
    this.workerReports = new WorkerReports(this, { owner, leader, forwarding, routing, vouching });
    const mayAnswerWorkers = (now: Ms) => this.workerReports.mayAnswer(now);
    this.statuses = new StatusExchange(this, { owner, leader, forwarding, routing, vouching, mayAnswerWorkers });
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
    this.barriers.add(now, run, until, late);
    this.emit({ t: 'barrier', soon: true });
  }

  gained(holding: string, stamp: number): void {
    if (holding === 'lead') this.leader.gained(stamp, this.now);
    else this.owner.gained(Number(holding), stamp, this.now);
  }

  lost(holding: string): void {
    if (holding === 'lead') this.leader.lost();
    else this.owner.lost(Number(holding));
  }

  reach(): boolean {
    return this.owner.fleet.reachability.reachable;
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
    if (this.leader.leading) return this.leader.rentals.plenty().includes(type);
    for (const p of this.peers.values()) if (p.status.lead) return p.status.plenty.includes(type);
    return false;
  }

  // ---- the state service

  private keyChanged(key: string, entry: { value: unknown; stamp: number } | null): void {
    if (!key.startsWith(KEY.root)) return;
    if (key.startsWith(KEY.status('')) && entry) this.statusByState(entry.value);
    const c = this.read(key, entry);
    if (!c) return;
    if (c.holding !== undefined) this.holdings.changed(c.holding);
    if (c.machine) {
      if (c.machine.share < 0) {
        this.leader.machineGone(c.machine.name, this.now);
        this.leader.rentals.placeFree(c.machine, this.now);
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
    this.barriers.fresh(asOf, now);
    this.userRequests.fresh(asOf);
    this.after(now);
  }

  txnResult(id: number, r: TxnOutcome, now: Ms): void {
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
    this.userRequests.submit(id, body, now, wall);
    this.after(now);
  }

  poll(id: number, job: string, now: Ms): void {
    this.now = now;
    this.userRequests.poll(id, job, now);
  }

  cancel(id: number, job: string, now: Ms): void {
    this.now = now;
    this.userRequests.cancel(id, job, now);
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

  report(id: number, report: Report, now: Ms): void {
    this.now = now;
    this.workerReports.receive(id, report, now);
    this.after(now);
  }

  /** A report that another controller answered and passed on. */
  relayed(report: Report, now: Ms): void {
    this.now = now;
    this.workerReports.relayed(report, now);
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
    this.owner.fleet.reachability.asked(id, ok);
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
    const whole = encodeMachineTypes(list);
    if (encodedBytes(KEY.types, whole) <= changeBytes) return this.storeOnce(KEY.types, whole, now);
    encodeMachineTypesParts(list).forEach((part, index) => {
      this.storeOnce(KEY.typesPart(index), part, now);
    });
  }

  private storeOnce(key: string, value: unknown, now: Ms): void {
    this.writer.add({ key, value: () => value, guard: 0, urgency: URGENCY.progress, until: now + 10_000, done: () => {} });
  }

  listed(machines: Listed[] | null, now: Ms): void {
    this.now = now;
    this.leader.rentals.list(machines, this.leader.leading, now);
  }

  rented(id: number, r: Parameters<Rentals['rented']>[1], now: Ms): void {
    this.now = now;
    this.leader.rentals.rented(id, r, now);
    this.after(now);
  }

  returned(id: number, ok: boolean, now: Ms): void {
    this.now = now;
    if (!this.leader.rentals.returned(id, ok, now)) this.owner.fleet.returned(id, ok, now);
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
  private statusByState(stored: unknown): void {
    const status = parseStatus(stored);
    if (status === null || status.node === this.settings.node || this.peerAlive(status.node, this.now)) return;
    if (!this.replica.loaded) return;
    this.peers.set(status.node, { status, running: this.peers.get(status.node)?.running ?? new Map(), at: this.now, up: false });
  }

  private lastFigures: Ms = 0;
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
    this.forwarding.paused(ms);
    this.routing.paused(ms);
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
    this.barriers.expire(now);
    const soon = this.barriers.size > 0;
    if (soon || this.userRequests.asking) this.emit({ t: 'barrier', soon });
    this.userRequests.tick(now);
    this.holdings.tick(now);
    this.owner.tick(now);
    this.leader.tick(now);
    const wantTypes = !this.table.typesKnown || this.leader.leading;
    if (wantTypes && now - this.typesAskedAt > (this.table.typesKnown ? 60_000 : 1500)) {
      this.typesAskedAt = now;
      this.emit({ t: 'types' });
    }
    if (now - this.lastFigures > 10_000) {
      this.lastFigures = now;
      this.log('debug', 'figures', {
        changes: this.writer.purposes(),
        workers: this.workerReports.takeCounts(),
        jobs: this.table.jobs.size,
        machines: this.table.machines.size,
        barriers: this.barriers.size,
      });
    }
    this.writer.allow(this.statuses.shareOfChanges(this.changeRate.perSecond(now), now));
    this.statuses.tick(now);
    this.after(now);
  }

  private after(now: Ms): void {
    this.writer.flush(now);
  }
}
