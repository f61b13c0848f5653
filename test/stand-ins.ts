// Stand-ins for what archpost meets, written from PROTOCOL: the state service, the cloud,
// workers and users, joined with real cores in one simulated time. Nothing here is random.
import assert from 'node:assert/strict';
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { Core, type CoreSettings, type Effect } from '@archpost/core';
import {
  type Change,
  type Command,
  decodePeer,
  encodePeer,
  type JobSpec,
  type Listed,
  type MachineType,
  type PeerMessage,
  type PeerStatus,
  type Report,
  type Row,
  type TaskReport,
} from '@archpost/wire';

export const TYPES: MachineType[] = [
  {
    name: 'small',
    cpus: 4,
    gpus: 0,
    memory: 16,
    cacheGb: 20,
    fetchGbPerS: 1,
    price: 1,
    spotPrice: 0.3,
    bootS: 5,
    zones: ['east', 'west'],
  },
  {
    name: 'big',
    cpus: 48,
    gpus: 8,
    memory: 384,
    cacheGb: 100,
    fetchGbPerS: 1,
    price: 20,
    spotPrice: 6,
    bootS: 5,
    zones: ['east', 'west'],
  },
];

export function settings(node: string, nodes = ['n0', 'n1', 'n2']): CoreSettings {
  const zone = (n: string) => (n === 'n1' ? 'west' : 'east');
  return {
    node,
    zone: zone(node),
    nodes: nodes.map((name) => ({ name, zone: zone(name) })),
    shares: nodes.length,
    zones: ['east', 'west'],
    teams: [
      { name: 'red', cpus: 0, cpusMax: 0, gpus: 8, gpusMax: 16 },
      { name: 'blue', cpus: 0, cpusMax: 0, gpus: 8, gpusMax: 16 },
      { name: 'green', cpus: 0, cpusMax: 0, gpus: 8, gpusMax: 8 },
    ],
    objectives: [{ kind: 'wait', cls: 'serve', withinS: 5, afterS: null, share: 0.95, most: null }],
    workers: { reportS: 2, leaseS: 12, gangWaitS: 40, gangPeerS: 4, cancelS: 36 },
    cpuShare: 0.2,
    sockets: 1000,
    state: { rps: 100, writeRps: 60, valueKb: 8, txnOps: 12, next: null },
    cloud: { rps: 6, listLagS: 5 },
    policy: { planWaitS: 10, silentS: 7, hold: true, idleS: 20, maxMachines: 0 },
  };
}

export function job(id: string, over: Partial<JobSpec> = {}): JobSpec {
  return {
    id,
    cls: 'batch',
    team: 'red',
    shape: 'array',
    rank: 1,
    tasks: 1,
    cpus: 2,
    gpus: 0,
    memory: 4,
    image: 'img',
    imageGb: 1,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: false,
    estimateS: 10,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    ...over,
  };
}

const SHAPES = { array: 'sweep', gang: 'gang', service: 'standing' } as const;
const RANKS = ['best_effort', 'standard', 'urgent', 'critical'];

function submission(s: JobSpec): Record<string, unknown> {
  return {
    ref: s.id,
    jobclass: s.cls,
    crew: s.team,
    shape: SHAPES[s.shape],
    rank: RANKS[s.rank],
    pieces: s.tasks,
    cores: s.cpus,
    accelerators: s.gpus,
    memory_gb: s.memory,
    bundle: s.image,
    size_gb: s.imageGb,
    builds: s.types,
    yard: s.zone,
    one_zone: s.oneZone,
    spread: s.spread,
    loaners: s.spot,
    guess_s: s.estimateS,
    snapshot_s: s.checkpointS,
    stow_s: s.saveS,
    due_s: s.deadlineS,
  };
}

interface Key {
  value: unknown;
  stamp: number;
  lease: number | null;
}

/** What the state service takes. Tests lower it, as the service may without notice. */
export interface StandInLimits {
  valueBytes: number;
  txnOps: number;
  writesPerS: number;
}

/** Strongly consistent keys with leases, as PROTOCOL describes them. */
class StateStandIn {
  revision = 1;
  limits: StandInLimits | null = null;
  /** changes that may be made now, of those that the rate allows */
  private allowance = 0;
  private allowedAt = 0;
  /** changes refused because they were too many, and transactions refused as too large */
  limited = 0;
  tooLarge = 0;
  readonly keys = new Map<string, Key>();
  readonly log: Change[] = [];
  readonly leases = new Map<number, { until: number; ttl: number }>();
  private nextLease = 1;

  lease(ttl: number, now: number): number {
    const id = this.nextLease++;
    this.leases.set(id, { until: now + ttl, ttl });
    return id;
  }

  extend(id: number, now: number): boolean {
    const l = this.leases.get(id);
    if (!l) return false;
    l.until = now + l.ttl;
    return true;
  }

  expire(now: number): void {
    for (const [id, l] of this.leases) {
      if (now < l.until) continue;
      this.leases.delete(id);
      const gone = [...this.keys].filter(([, k]) => k.lease === id);
      if (gone.length > 0) this.revision++;
      for (const [k] of gone) {
        this.keys.delete(k);
        this.log.push({ key: k, value: undefined, stamp: this.revision });
      }
    }
  }

  /** The refusal of a transaction that exceeds a limit, or null. */
  private exceeds(e: Extract<Effect, { t: 'txn' }>, now: number): { kind: 'invalid' } | { kind: 'limited' } | null {
    if (!this.limits) return null;
    const { valueBytes, txnOps, writesPerS } = this.limits;
    const large = e.writes.some((w) => 'put' in w && JSON.stringify(w.value).length > valueBytes);
    if (large || e.writes.length > txnOps || e.guards.length > 4 * txnOps) {
      this.tooLarge++;
      return { kind: 'invalid' };
    }
    this.allowance = Math.min(writesPerS, this.allowance + ((now - this.allowedAt) / 1000) * writesPerS);
    this.allowedAt = now;
    if (this.allowance < e.writes.length) {
      this.limited++;
      return { kind: 'limited' };
    }
    this.allowance -= e.writes.length;
    return null;
  }

  txn(e: Extract<Effect, { t: 'txn' }>, now: number): Parameters<Core['txnResult']>[1] {
    const refusal = this.exceeds(e, now);
    if (refusal) return refusal;
    const failed = e.guards.filter((g) => (this.keys.get(g.key)?.stamp ?? 0) !== g.stamp).map((g) => g.key);
    for (const w of e.writes) if ('put' in w && w.lease !== undefined && !this.leases.has(w.lease)) return { kind: 'noLease' };
    if (failed.length > 0) return { kind: 'failed', keys: failed };
    this.revision++;
    for (const w of e.writes) {
      if ('put' in w) {
        const value = structuredClone(w.value);
        this.keys.set(w.put, { value, stamp: this.revision, lease: w.lease ?? null });
        this.log.push({ key: w.put, value, stamp: this.revision });
      } else {
        this.keys.delete(w.del);
        this.log.push({ key: w.del, value: undefined, stamp: this.revision });
      }
    }
    return { kind: 'ok', revision: this.revision };
  }

  since(revision: number): Change[] {
    return this.log.filter((c) => c.stamp > revision);
  }

  rows(): Row[] {
    return [...this.keys].map(([key, k]) => ({ key, value: k.value, stamp: k.stamp }));
  }
}

interface WorkerTask extends TaskReport {
  startedAt: number;
}

/** One worker: its lease, its session, the token it obeys, and the tasks it runs. */
export class WorkerStandIn {
  session = 1;
  seq = 0;
  token = 0;
  tasks = new Map<string, WorkerTask>();
  renewedAt: number;
  readonly bornAt: number;
  nextReport = 0;
  target = 0;
  noticeS: number | null = null;
  /** no power, or given back */
  dead = false;
  /** executes nothing and answers nothing, and may go on later */
  hung = false;
  /** commands that arrive only once it goes on */
  held: (() => void)[] = [];
  fails = false;

  constructor(
    readonly cluster: Cluster,
    readonly name: string,
    readonly type: string,
    readonly zone: string,
    readonly spot: boolean,
  ) {
    this.renewedAt = cluster.now;
    this.bornAt = cluster.now;
  }

  /** Loses power and is back at once: its numbers start over and nothing is on it. */
  reboot(): void {
    this.cluster.note(`${this.name} begins again`);
    this.session = 1;
    this.seq = 0;
    this.token = 0;
    this.tasks.clear();
    this.renewedAt = this.cluster.now;
  }

  report(): Report {
    this.seq++;
    return {
      machine: this.name,
      addr: this.name,
      type: this.type,
      zone: this.zone,
      spot: this.spot,
      session: this.session,
      seq: this.seq,
      token: this.token,
      noticeS: this.noticeS,
      tasks: [...this.tasks.values()].map(({ job, index, attempt, state, why, saved }) => ({
        job,
        index,
        attempt,
        state,
        why,
        saved,
      })),
    };
  }

  obey(commands: Command[]): void {
    for (const c of commands) {
      const key = `${c.job}/${c.index}/${c.attempt}`;
      const t = this.tasks.get(key);
      if (c.op === 'start' && !t) {
        const spec = this.cluster.specs.get(c.job);
        const state = { job: c.job, index: c.index, attempt: c.attempt, saved: false, startedAt: this.cluster.now };
        const used = [...this.tasks.values()].filter((x) => x.state !== 'exited');
        const cap = TYPES.find((x) => x.name === this.type) as MachineType;
        const sum = (f: (s: JobSpec) => number) =>
          used.reduce((a, x) => a + f(this.cluster.specs.get(x.job) as JobSpec), spec ? f(spec) : 0);
        if (!spec) this.tasks.set(key, { ...state, state: 'exited', why: 'unknown' });
        else if (sum((s) => s.cpus) > cap.cpus || sum((s) => s.gpus) > cap.gpus || sum((s) => s.memory) > cap.memory)
          this.tasks.set(key, { ...state, state: 'exited', why: 'no_room' });
        else {
          this.cluster.started(this, c.job, c.index);
          this.tasks.set(key, { ...state, state: spec.shape === 'gang' && spec.tasks > 1 ? 'waiting' : 'running', why: null });
          this.cluster.note(`${this.name} starts ${c.job}/${c.index}`);
        }
      } else if (c.op === 'stop' && t && t.state !== 'exited') {
        t.state = 'exited';
        t.why = 'stopped';
        this.cluster.note(`${this.name} stops ${c.job}/${c.index}`);
      } else if (c.op === 'forget' && t?.state === 'exited') {
        this.tasks.delete(key);
      }
    }
  }

  command(token: number, session: number, commands: Command[]): Parameters<Core['commandResult']>[1] {
    if (token < this.token || session !== this.session) return { kind: 'stale', report: this.report() };
    this.token = token;
    this.obey(commands);
    this.nextReport = Math.min(this.nextReport, this.cluster.now + 500);
    return { kind: 'ok', report: this.report() };
  }

  tick(): void {
    const { now, leaseMs } = this.cluster;
    if (this.dead || this.hung) return;
    for (const late of this.held.splice(0)) late();
    if (now - this.renewedAt > leaseMs) {
      if (this.tasks.size > 0) this.cluster.note(`${this.name} kills its tasks: lease over`);
      this.tasks.clear();
      this.session++;
      this.renewedAt = now;
    }
    for (const t of this.tasks.values()) {
      const spec = this.cluster.specs.get(t.job) as JobSpec;
      if (t.state === 'waiting') {
        const all = this.cluster.workers.flatMap((w) => (w.dead ? [] : [...w.tasks.values()]));
        if (all.filter((x) => x.job === t.job && x.attempt === t.attempt && x.state !== 'exited').length === spec.tasks)
          t.state = 'running';
      }
      if (t.state !== 'running') continue;
      const over =
        this.fails || this.cluster.mistaken.has(t.job)
          ? 'error'
          : spec.shape !== 'service' && now - t.startedAt >= spec.estimateS * 1000
            ? 'done'
            : null;
      if (!over) continue;
      t.state = 'exited';
      t.why = over;
      if (over === 'done') this.cluster.finished.add(`${t.job}/${t.index}`);
      this.nextReport = Math.min(this.nextReport, now + 500);
    }
    if (now >= this.nextReport) this.send();
  }

  private send(): void {
    const { cluster } = this;
    this.nextReport = cluster.now + 2000;
    const node = cluster.nodes[this.target % cluster.nodes.length] as Node;
    const sentAt = cluster.now;
    const session = this.session;
    const next = () => {
      this.target++;
      this.nextReport = cluster.now + 1000;
    };
    if (!node.up || cluster.mute(this.name) || cluster.cut(node.name, this.name)) return next();
    if (node.frozen) {
      // Nobody answers for 4 s; the report is read when the controller goes on.
      this.target++;
      this.nextReport = cluster.now + 5000;
    }
    const report = this.report();
    cluster.reported?.(report);
    node.report(report, (status, body) => {
      if (this.dead || this.hung || session !== this.session || cluster.now - sentAt > 4000) return;
      if (cluster.deaf(node.name, this.name)) return next();
      if (status === 421 && typeof body.home === 'string') {
        this.target = cluster.nodes.findIndex((n) => n.name === body.home);
        this.nextReport = cluster.now + 100;
      } else if (status !== 200) next();
      else if (typeof body.baton === 'number' && body.baton >= this.token) {
        if (body.baton > this.token) this.nextReport = cluster.now + 500;
        this.token = body.baton;
        this.renewedAt = Math.max(this.renewedAt, sentAt);
        const orders = body.orders as { verb: string; piece: string; try: number }[];
        this.obey(
          orders.map((o) => ({
            op: o.verb === 'run' ? 'start' : o.verb === 'clear' ? 'forget' : 'stop',
            job: o.piece.slice(0, o.piece.lastIndexOf('/')),
            index: Number(o.piece.slice(o.piece.lastIndexOf('/') + 1)),
            attempt: o.try,
            graceS: 0,
          })),
        );
      }
    });
  }
}

/** One version of what runs in a controller. */
export interface Version {
  Core: typeof Core;
  encodePeer: typeof encodePeer;
  decodePeer: typeof decodePeer;
}

const PRESENT: Version = { Core, encodePeer, decodePeer };

/** A controller: a core with its edges simulated. */
export class Node {
  core: Core;
  /** what it runs from its next start on */
  version: Version = PRESENT;
  /** what it runs now */
  running: Version = PRESENT;
  up = true;
  /** it stands still: nothing is read or sent, and its clock goes on */
  frozen = false;
  private frozenAt = 0;
  private backlog: { run: () => void; lost: () => void }[] = [];
  /** the state service refuses this node alone */
  refused = false;
  /** its watch brings nothing for now, while all else at the state service goes on */
  lagging = false;
  private permit: number | null = null;
  private renewAt = 0;
  private loadedAt = -1;
  private boots = 0;
  private answers = new Map<number, (status: number, body: Record<string, unknown>) => void>();
  private nextAnswer = 1;
  private asked = 0;

  constructor(
    readonly cluster: Cluster,
    readonly name: string,
  ) {
    this.core = this.fresh();
  }

  private fresh(): Core {
    this.running = this.version;
    return new this.running.Core(this.cluster.tune(settings(this.name, this.cluster.names)), `${this.name}-${this.boots++}`);
  }

  crash(): void {
    this.frozen = false;
    this.backlog = [];
    this.up = false;
    this.cluster.note(`${this.name} crashes`);
  }

  restart(): void {
    this.core = this.fresh();
    this.permit = null;
    this.renewAt = 0;
    this.loadedAt = -1;
    this.answers.clear();
    this.asked = 0;
    this.up = true;
    this.cluster.note(`${this.name} restarts`);
  }

  freeze(): void {
    this.frozen = true;
    this.frozenAt = this.cluster.now;
    this.cluster.note(`${this.name} stands still`);
  }

  /** Goes on: what came meanwhile is read, oldest first, before anything new is known; or it is lost. */
  thaw(lost = false): void {
    this.frozen = false;
    this.cluster.note(`${this.name} goes on`);
    this.core.paused(this.cluster.now - this.frozenAt, this.cluster.now);
    // What was lost is missed by this process' own timers.
    for (const input of this.backlog.splice(0)) lost ? input.lost() : input.run();
    this.run();
  }

  private input(run: () => void, lost: () => void = () => {}): void {
    if (this.frozen) {
      this.backlog.push({ run, lost });
      return;
    }
    run();
    this.run();
  }

  private wait(then: (status: number, body: Record<string, unknown>) => void): number {
    const id = this.nextAnswer++;
    this.answers.set(id, then);
    return id;
  }

  report(r: Report, then: (status: number, body: Record<string, unknown>) => void): void {
    const id = this.wait(then);
    this.input(() => this.core.report(id, r, this.cluster.now));
  }

  submit(s: JobSpec, then: (status: number, body: Record<string, unknown>) => void, without = ''): void {
    const body = submission(s);
    delete body[without];
    const awaits = this.cluster.awaits.get(s.id);
    if (awaits) body.awaits = awaits;
    this.input(() => this.core.submit(this.wait(then), body, this.cluster.now, this.cluster.now));
  }

  poll(id: string, then: (status: number, body: Record<string, unknown>) => void): void {
    this.input(() => this.core.poll(this.wait(then), id, this.cluster.now));
  }

  cancel(id: string, then: (status: number, body: Record<string, unknown>) => void): void {
    this.input(() => this.core.cancel(this.wait(then), id, this.cluster.now));
  }

  tick(): void {
    if (!this.up || this.frozen) return;
    const { now, state } = this.cluster;
    if (!this.cluster.stateDown && !this.refused) {
      if (now >= this.renewAt) {
        this.renewAt = now + 3000;
        if (this.permit === null || !state.extend(this.permit, now)) {
          if (this.permit !== null) this.core.leaseState(null, 0, now);
          this.permit = state.lease(18_000, now);
        }
        this.core.leaseState(this.permit, now + 17_900, now);
      }
      if (this.loadedAt < 0) {
        this.loadedAt = now;
        this.core.types(TYPES, now);
        this.core.loaded(state.rows(), state.revision, now);
      }
      if (!this.lagging) this.core.changes(state.since(this.core.replica.revision), state.revision, now, now);
    }
    this.core.tick(now);
    this.run();
  }

  run(): void {
    for (const e of this.core.drain()) this.effect(e);
  }

  /** A message as the other controller reads it: by way of its bytes where the two run different versions. */
  private sent(to: Node, message: PeerMessage): PeerMessage {
    this.cluster.peerBytes?.(this.running.encodePeer(message));
    if (to.running === this.running) return structuredClone(message);
    return to.running.decodePeer(this.running.encodePeer(message));
  }

  private effect(e: Effect): void {
    const { cluster, core } = this;
    const later = (ms: number, f: () => void, lost: () => void = f) =>
      cluster.at(cluster.now + ms, () => {
        if (this.up && this.core === core) this.input(f, lost);
      });
    if (e.t === 'answer') {
      const then = this.answers.get(e.id);
      this.answers.delete(e.id);
      then?.(e.status, e.body as Record<string, unknown>);
    } else if (e.t === 'txn') {
      for (const w of e.writes) {
        const kind = ('put' in w ? w.put : w.del).slice(2, 3);
        cluster.changes.set(kind, (cluster.changes.get(kind) ?? 0) + 1);
      }
      if (cluster.stateDown || this.refused) return later(20, () => core.txnResult(e.id, { kind: 'refused' }, cluster.now));
      const apply = () => cluster.state.txn(e, cluster.now);
      if (cluster.loseTxn?.(e, apply)) return later(1500, () => core.txnResult(e.id, { kind: 'unknown' }, cluster.now));
      const r = apply();
      later(
        cluster.answerMs(this.name),
        () => core.txnResult(e.id, r, cluster.now),
        () => core.txnResult(e.id, { kind: 'unknown' }, cluster.now),
      );
    } else if (e.t === 'command') {
      const question = e.commands.length === 0 ? 1 : 0;
      cluster.commands += 1 - question;
      this.asked += question;
      cluster.mostAsked = Math.max(cluster.mostAsked, this.asked);
      const w = cluster.worker(e.machine);
      const astray = cluster.deaf(this.name, e.machine) || cluster.commandsLost(this.name, e.machine);
      if (!w || w.dead || w.hung || cluster.cut(this.name, e.machine) || astray) {
        if (w?.hung) w.held.push(() => void w.command(e.token, e.session, e.commands));
        // The network may deliver what was given up, long after.
        else if (w && cluster.lateMs) {
          cluster.at(cluster.now + cluster.lateMs(), () => {
            const arrives = () => void w.command(e.token, e.session, e.commands);
            if (w.hung) w.held.push(arrives);
            else if (!w.dead) arrives();
          });
        }
        return later(2500, () => {
          this.asked -= question;
          core.commandResult(e.id, { kind: 'lost' }, cluster.now);
        });
      }
      const answered = (r: Parameters<Core['commandResult']>[1]) => () => {
        this.asked -= question;
        core.commandResult(e.id, r, cluster.now);
      };
      const r = w.command(e.token, e.session, e.commands);
      const unreadable = r.kind === 'ok' && cluster.garbled(this.name, e.machine);
      later(10, answered(unreadable ? { ...r, report: null } : r), answered({ kind: 'lost' }));
    } else if (e.t === 'ask') {
      const w = cluster.worker(e.addr);
      const ok = w !== undefined && !w.dead && !w.hung && !cluster.cut(this.name, w.name) && !cluster.deaf(this.name, w.name);
      later(ok ? 10 : 1500, () => core.asked(e.id, ok, cluster.now));
    } else if (e.t === 'status') {
      cluster.statuses++;
      cluster.statusBytes += encodePeer({ node: this.name, status: e.status, report: null }).length;
      const n = cluster.node(e.to);
      const copy = this.sent(n, { node: this.name, status: e.status, report: null }).status as PeerStatus;
      if (n.up && !cluster.cut(this.name, n.name) && !cluster.unheard(this.name, n.name)) {
        const arrives = () => n.up && n.input(() => n.core.peerStatus(copy, cluster.now));
        if (cluster.held(this.name, n.name)) cluster.at(cluster.now + 15_000, arrives);
        else arrives();
      }
    } else if (e.t === 'relay') {
      cluster.relays++;
      const n = cluster.node(e.to);
      if (n.up && !cluster.cut(this.name, n.name)) {
        const report = this.sent(n, { node: this.name, status: null, report: e.report }).report as Report;
        n.input(() => n.core.relayed(report, cluster.now));
      }
    } else if (e.t === 'barrier') {
      cluster.barriers++;
    } else if (e.t === 'return') {
      if (cluster.cloudDown) return later(100, () => core.returned(e.id, false, cluster.now));
      for (const name of e.machines) cluster.remove(name);
      later(100, () => core.returned(e.id, true, cluster.now));
    } else if (e.t === 'list') {
      const list = cluster.cloudDown ? null : cluster.listing();
      later(100, () => core.listed(list, cluster.now));
    } else if (e.t === 'rent') {
      cluster.rents.push({ type: e.rental.type, spot: e.rental.spot, at: cluster.now });
      const machines = cluster.rent(e.rental.type, e.rental.zone, e.rental.spot, e.rental.count);
      later(100, () => core.rented(e.id, machines ? { kind: 'ok', machines } : { kind: 'full' }, cluster.now));
    } else if (e.t === 'types') later(50, () => core.types(TYPES, cluster.now));
  }
}

/** The whole world. Every step checks the rules that can be seen from the workers. */
export class Cluster {
  now = 0;
  readonly leaseMs = 12_000;
  readonly state = new StateStandIn();
  readonly nodes: Node[];
  readonly workers: WorkerStandIn[] = [];
  readonly specs = new Map<string, JobSpec>();
  /** the jobs that a job awaits, as its user says at each submission */
  readonly awaits = new Map<string, string[]>();
  readonly cancelledAt = new Map<string, number>();
  readonly finished = new Set<string>();
  /** jobs submitted with a mistake: their tasks fail wherever they start */
  readonly mistaken = new Set<string>();
  stateDown = false;
  cloudDown = false;
  /** says whether a transaction's answer is lost; `apply` carries it out, now or later */
  loseTxn: ((e: Extract<Effect, { t: 'txn' }>, apply: () => void) => boolean) | null = null;
  /** commands that were lost arrive after so long all the same; null: never */
  lateMs: (() => number) | null = null;
  /** true if the two can't reach each other */
  cut: (a: string, b: string) => boolean = () => false;
  /** true if what this controller sends doesn't reach the machine, though its reports arrive */
  deaf: (node: string, machine: string) => boolean = () => false;
  /** true if direct commands to it are lost, while its reports are answered */
  commandsLost: (node: string, machine: string) => boolean = () => false;
  /** true if what the first controller tells the second is lost, though not the other way round */
  unheard: (from: string, to: string) => boolean = () => false;
  /** true if it comes late */
  held: (from: string, to: string) => boolean = () => false;
  /** true if the machine's answers to commands, which it carries out, can't be read */
  garbled: (node: string, machine: string) => boolean = () => false;
  /** true if the machine reaches no controller, though direct commands reach it */
  mute: (machine: string) => boolean = () => false;
  /** sees every message between controllers as it leaves */
  peerBytes: ((bytes: Uint8Array) => void) | null = null;
  /** sees every report as it leaves, to deliver copies late */
  reported: ((r: Report) => void) | null = null;
  /** how long the answer to a transaction takes, once it is carried out */
  answerMs: (node: string) => number = () => 10;
  /** the cloud has machines left: they are up so long after they were rented */
  bootMs: (() => number) | null = null;
  private rented = 0;
  /** reports passed on whole by keepers */
  relays = 0;
  /** bytes of statuses between controllers, and how many were sent */
  statusBytes = 0;
  statuses = 0;
  /** changes sent to the state service, by the kind of key */
  readonly changes = new Map<string, number>();
  /** readings of the state service that were asked for, and commands with something in them */
  barriers = 0;
  commands = 0;
  /** what was asked of the cloud, which has nothing left */
  readonly rents: { type: string; spot: boolean; at: number }[] = [];
  /** questions under way to workers, the most at once at any controller */
  mostAsked = 0;
  trace: string[] = [];
  private queue: { at: number; run: () => void }[] = [];
  private readonly byName = new Map<string, WorkerStandIn>();

  constructor(
    readonly names = ['n0', 'n1', 'n2'],
    readonly tune: (s: CoreSettings) => CoreSettings = (s) => s,
  ) {
    this.nodes = names.map((n) => new Node(this, n));
  }

  worker(name: string): WorkerStandIn | undefined {
    return this.byName.get(name);
  }

  node(name: string): Node {
    return this.nodes.find((n) => n.name === name) as Node;
  }

  note(text: string): void {
    this.trace.push(`${(this.now / 1000).toFixed(1).padStart(6)} ${text}`);
  }

  at(when: number, run: () => void): void {
    this.queue.push({ at: when, run });
  }

  machine(name: string, type = 'small', zone = 'east', spot = false): WorkerStandIn {
    const w = new WorkerStandIn(this, name, type, zone, spot);
    this.workers.push(w);
    this.byName.set(name, w);
    return w;
  }

  /** Machines of the cloud, up after a while; null: it has none. */
  rent(type: string, zone: string, spot: boolean, count: number): string[] | null {
    if (!this.bootMs || this.cloudDown) return null;
    const names = Array.from({ length: count }, () => `r${this.rented++}`);
    for (const name of names) this.at(this.now + this.bootMs(), () => void this.machine(name, type, zone, spot));
    return names;
  }

  /** What the cloud lists: in this stand-in only what it rented out itself. */
  listing(): Listed[] {
    if (!this.bootMs) return [];
    return this.workers
      .filter((w) => !w.dead)
      .map((w) => ({
        machine: w.name,
        addr: w.name,
        type: w.type,
        zone: w.zone,
        spot: w.spot,
        state: 'running' as const,
        ageS: (this.now - w.bornAt) / 1000,
      }));
  }

  remove(name: string): void {
    const w = this.byName.get(name);
    if (!w) return;
    w.dead = true;
    w.tasks.clear();
    this.note(`${name} is given back`);
  }

  run(seconds: number): void {
    const end = this.now + seconds * 1000;
    while (this.now < end) {
      this.now += 100;
      const due = this.queue.filter((q) => q.at <= this.now).sort((a, b) => a.at - b.at);
      this.queue = this.queue.filter((q) => q.at > this.now);
      for (const q of due) q.run();
      // After an outage all leases have their full time again.
      if (this.stateDown) for (const l of this.state.leases.values()) l.until = this.now + l.ttl;
      else this.state.expire(this.now);
      for (const w of this.workers) w.tick();
      for (const n of this.nodes) n.tick();
      this.check();
    }
  }

  /** Runs until the condition holds; fails if it doesn't within the time. */
  until(what: string, holds: () => boolean, seconds = 60): void {
    const end = this.now + seconds * 1000;
    while (!holds()) {
      assert.ok(this.now < end, `not within ${seconds} s: ${what}\n${this.trace.join('\n')}`);
      this.run(0.1);
    }
  }

  submit(s: JobSpec, at = this.nodes.find((n) => n.up) as Node, awaits: string[] = []): void {
    this.specs.set(s.id, s);
    if (awaits.length > 0) this.awaits.set(s.id, awaits);
    let status = 0;
    at.submit(s, (code) => {
      status = code;
    });
    this.until(`${s.id} accepted`, () => status !== 0, 6);
    this.note(`user told ${status} for ${s.id}`);
  }

  cancel(id: string, at = this.nodes.find((n) => n.up) as Node): void {
    let told = '';
    at.cancel(id, (_code, body) => {
      told = String(body.status ?? body.error);
    });
    this.until(`${id} cancelled`, () => told !== '', 6);
    if (told === 'aborted') this.cancelledAt.set(id, this.now);
    this.note(`user told ${told} for ${id}`);
  }

  /** What a user is told: status code and state. */
  ask(id: string, at = this.nodes.find((n) => n.up) as Node): string {
    let said = '';
    at.poll(id, (code, body) => {
      said = code === 200 ? String(body.status) : String(code);
    });
    this.until(`${id} answered`, () => said !== '', 6);
    return said;
  }

  on(id: string): string[] {
    return this.workers
      .filter((w) => !w.dead && [...w.tasks.values()].some((t) => t.job === id && t.state !== 'exited'))
      .map((w) => w.name);
  }

  running(id: string): number {
    return this.workers.reduce(
      (n, w) => n + (w.dead ? 0 : [...w.tasks.values()].filter((t) => t.job === id && t.state === 'running').length),
      0,
    );
  }

  broken(what: string): never {
    assert.fail(`${what}\n${this.trace.join('\n')}`);
  }

  /** All tasks of the job are done. */
  allDone(id: string): boolean {
    const spec = this.specs.get(id);
    if (!spec) return false;
    const done = Array.from({ length: spec.tasks }, (_, i) => this.finished.has(`${id}/${i}`));
    // A gang completes together: if one task is done, all are.
    return spec.shape === 'gang' ? done.some((x) => x) : done.every((x) => x);
  }

  /** ran_twice, wrong_place and too_early, at the moment of each start. */
  started(w: WorkerStandIn, id: string, index: number): void {
    const spec = this.specs.get(id) as JobSpec;
    for (const other of this.awaits.get(id) ?? [])
      if (!this.allDone(other)) this.broken(`too_early: ${id}/${index} starts before ${other} is done`);
    const live = this.workers.filter((x) => !x.dead);
    for (const x of live) {
      for (const t of x.tasks.values()) {
        if (t.job !== id || t.state === 'exited') continue;
        if (t.index === index) this.broken(`ran_twice: ${id}/${index} on ${x.name} and ${w.name}`);
        if (spec.oneZone && x.zone !== w.zone) this.broken(`wrong_place: ${id} in two zones`);
      }
    }
    const inZone = live.reduce(
      (n, x) => n + (x.zone === w.zone ? [...x.tasks.values()].filter((t) => t.job === id && t.state !== 'exited').length : 0),
      0,
    );
    if (spec.spread && inZone >= Math.ceil(spec.tasks / 2)) this.broken(`wrong_place: ${id} not spread`);
    if (spec.zone !== null && spec.zone !== w.zone) this.broken(`wrong_place: ${id} in ${w.zone}`);
    if (spec.types !== null && !spec.types.includes(w.type)) this.broken(`wrong_place: ${id} on a ${w.type}`);
    if (w.spot && !spec.spot) this.broken(`wrong_place: ${id} on a spot machine`);
    const told = this.cancelledAt.get(id);
    if (told !== undefined && this.now - told > 36_000) this.broken(`ran_cancelled: ${id} starts`);
  }

  private check(): void {
    const use = new Map<string, number>();
    for (const w of this.workers) {
      if (w.dead) continue;
      for (const t of w.tasks.values()) {
        if (t.state === 'exited') continue;
        const spec = this.specs.get(t.job) as JobSpec;
        use.set(spec.team, (use.get(spec.team) ?? 0) + spec.gpus);
        const told = this.cancelledAt.get(t.job);
        if (told !== undefined && this.now - told > 36_000) this.broken(`ran_cancelled: ${t.job} on ${w.name}`);
      }
    }
    for (const t of this.tune(settings('n0', this.names)).teams) {
      if ((use.get(t.name) ?? 0) > t.gpusMax) this.broken(`quota: ${t.name}`);
    }
  }

  /** Controllers up, machines granted and answering. */
  settle(): void {
    this.until(
      'all machines granted',
      () => this.workers.every((w) => w.dead || [...this.nodes].some((n) => n.up && n.core.table.machines.get(w.name)?.resolved)),
      40,
    );
    this.run(1);
    this.trace = [];
  }
}

/** Small machines in both zones by turns, granted and answering. */
export function smallCluster(machines: number): Cluster {
  const c = new Cluster();
  for (let i = 0; i < machines; i++) c.machine(`m${i}`, 'small', i % 2 === 0 ? 'east' : 'west');
  c.settle();
  return c;
}

const anyUp = (c: Cluster) => c.nodes.find((n) => n.up);

/** The share that a job belongs to, and the controller that holds a share, as any controller sees it. */
export const shareOf = (c: Cluster, id: string): number => anyUp(c)?.core.table.jobs.get(id)?.share ?? -1;
export const holderOf = (c: Cluster, share: number | 'lead'): string => anyUp(c)?.core.table.holder(share)?.holder.node ?? '';

/**
 * Compares what happened with the trace kept under test/traces, which is there to be read.
 * UPDATE_TRACES=1 writes it anew: look at what changed before committing it.
 */
export function kept(c: Cluster, name: string): void {
  const path = `test/traces/${name}.txt`;
  const text = `${c.trace.join('\n')}\n`;
  if (process.env.UPDATE_TRACES === '1') {
    mkdirSync('test/traces', { recursive: true });
    writeFileSync(path, text);
  }
  assert.equal(text, readFileSync(path, 'utf8'), `differs from ${path}`);
}
