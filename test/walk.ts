// A seeded random walk: users go on submitting, asking and calling off while troubles meet in pairs, and
// every rule of PROTOCOL that can be seen from workers and users is checked after each step.
import type { CoreSettings } from '@archpost/core';
import type { JobSpec } from '@archpost/wire';
import { Cluster, job, type Node, type Version } from './stand-ins.js';

/** Numbers that look random and are the same for the same seed. */
function numbers(seed: number): () => number {
  let a = seed >>> 0;
  return () => {
    a = (a + 0x6d2b79f5) >>> 0;
    let t = Math.imul(a ^ (a >>> 15), 1 | a);
    t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t;
    return ((t ^ (t >>> 14)) >>> 0) / 4294967296;
  };
}

/** What users were told of a job, by whichever controller. */
interface Told {
  accepted: boolean;
  final: 'done' | 'aborted' | null;
  cancelAsked: boolean;
  /** the last time that anybody got an answer about it */
  answeredAt: number;
}

const TEAMS = ['red', 'blue', 'green'] as const;

export const TROUBLES = [
  'outage',
  'refused',
  'crash',
  'crash all',
  'bounce',
  'freeze',
  'hang',
  'deaf',
  'mute',
  'commands lost',
  'commands late',
  'zone cut',
  'peers cut',
  'alone with its workers',
  'lost answers',
  'late writes',
  'slow answers',
  'watch lags',
  'late reports',
  'cloud down',
  'machine dies',
  'machines begin again',
  'cancel now',
] as const;
export type Trouble = (typeof TROUBLES)[number];

/** What a walk has beside troubles. */
export interface WalkOptions {
  /** troubles that may come */
  only?: readonly Trouble[];
  /** jobs that await others */
  pipelines?: boolean;
  /** the version that all controllers run at first; one after another they get the present one */
  from?: Version;
  /** limits that the state service has once all controllers are new */
  next?: { valueKb: number; txnOps: number; writeRps: number };
  /** machines at the start, instead of a handful */
  machines?: { small: number; big: number };
  /** settings that differ from those of the stand-ins */
  tune?: (s: CoreSettings) => CoreSettings;
  /** work at full rate, beside what users do anyway */
  load?: WalkLoad;
  /** inputs that a controller has processor time for in a tenth of a second */
  inputsPerTick?: number;
}

/** Work that comes at full rate. */
export interface WalkLoad {
  /** chains of four to seven jobs, submitted one after another */
  chainsPerS: number;
  /** jobs of one task */
  singlesPerS: number;
  /** part of the singles that is cancelled, and of the chains, at any of their jobs */
  cancelled: number;
}

/** Questions that a user asks at once when all is over. */
const ASKED_AT_ONCE = 20;

/** From here on, and with so much time between them, controllers get the present version. */
const UPGRADE_AT_MS = 15_000;
const UPGRADE_EACH_MS = 12_000;

/** One walk: its cluster, its users and what they were told. */
export class Walk {
  readonly c: Cluster;
  private readonly random: () => number;
  private readonly told = new Map<string, Told>();
  private jobs = 0;
  /** what undoes each trouble under way */
  private readonly undo: { at: number; run: () => void }[] = [];
  private copies: 'none' | 'late' | 'for the next leader' = 'none';
  private readonly kept: (() => void)[] = [];

  private readonly only: readonly Trouble[];

  constructor(
    seed: number,
    private readonly options: WalkOptions = {},
  ) {
    this.only = options.only ?? TROUBLES;
    this.random = numbers(seed);
    const { small, big } = options.machines ?? { small: 8, big: 3 };
    const tune = options.tune ?? ((s) => s);
    this.c = new Cluster(undefined, (s) =>
      tune({
        ...s,
        state: { ...s.state, next: options.next ?? null },
        policy: { ...s.policy, hold: false, idleS: 60, maxMachines: small + big + 7 },
      }),
    );
    if (options.from) this.startWith(options.from);
    for (let i = 0; i < small; i++) this.c.machine(`m${i}`, 'small', i % 2 === 0 ? 'east' : 'west');
    for (let i = 0; i < big; i++) this.c.machine(`g${i}`, 'big', i % 2 === 0 ? 'east' : 'west');
    for (const n of this.c.nodes) n.inputsPerTick = options.inputsPerTick ?? Number.POSITIVE_INFINITY;
    this.c.bootMs = () => 1000 + 5000 * this.random();
    this.c.settle();
    this.c.reported = (r) => {
      if (this.copies === 'none' || this.random() > 0.2) return;
      const copy = structuredClone(r);
      const send = () => {
        for (const n of this.c.nodes) if (n.up) n.report(copy, () => {});
      };
      if (this.copies === 'late') this.c.at(this.c.now + 2000 + 20_000 * this.random(), send);
      else if (this.kept.length < 200) this.kept.push(send);
    };
  }

  private startWith(old: Version): void {
    this.c.nodes.forEach((n, i) => {
      const present = n.version;
      n.version = old;
      n.restart();
      this.c.at(UPGRADE_AT_MS + i * UPGRADE_EACH_MS, () => {
        n.version = present;
        if (n.up) n.crash();
        n.restart();
      });
    });
  }

  /** Nothing new is asked, and no limit falls, before all controllers have the present version. */
  private get upgraded(): boolean {
    return !this.options.from || this.c.nodes.every((n) => n.running !== this.options.from);
  }

  private int(n: number): number {
    return Math.floor(this.random() * n);
  }

  private pick<T>(list: readonly T[]): T {
    return list[this.int(list.length)] as T;
  }

  private node(): Node | undefined {
    const up = this.c.nodes.filter((n) => n.up);
    return up.length > 0 ? this.pick(up) : undefined;
  }

  // ---- users

  private broken(what: string): never {
    return this.c.broken(what);
  }

  /** Compares an answer with what was told before it was asked for. */
  private hears(id: string, before: Told, status: number, said: string): void {
    if (status === 503 || status === 429) return;
    const t = this.told.get(id) as Told;
    t.answeredAt = this.c.now;
    if (before.accepted && (status === 404 || status === 400 || status === 422))
      this.broken(`forgotten: ${id} answered ${status}`);
    // No user of a walk submits what can't run, nor names what was never accepted.
    if (status === 422) this.broken(`forgotten: ${id} refused`);
    if (status !== 200 && status !== 201) return;
    if (before.final && said !== before.final) this.broken(`went_back: ${id} was ${before.final}, is called ${said}`);
    if (said === 'aborted' && !this.mayBeCancelled(id)) this.broken(`went_back: ${id} called cancelled, its user didn't`);
    if (said === 'done') {
      const spec = this.c.specs.get(id);
      const all = spec ? Array.from({ length: spec.tasks }, (_, i) => this.c.finished.has(`${id}/${i}`)) : [];
      if (!(spec?.shape === 'gang' ? all.some((x) => x) : all.every((x) => x))) this.broken(`not_done: ${id} is called done`);
    }
    if (said === 'done' || said === 'aborted') t.final = said;
    t.accepted = true;
    this.c.rules.told(id, said);
  }

  /** Its user asked to cancel it, or one that it needs. */
  private mayBeCancelled(id: string): boolean {
    return this.told.get(id)?.cancelAsked === true || this.awaited(id).some((other) => this.mayBeCancelled(other));
  }

  /** A job that it needs was told to be cancelled. */
  private needsCancelled(id: string): boolean {
    return this.awaited(id).some((other) => this.told.get(other)?.final === 'aborted' || this.needsCancelled(other));
  }

  private awaited(id: string): string[] {
    return this.c.awaits.get(id) ?? [];
  }

  /** Half of the jobs need a few of those that were accepted lately, in whatever state these are. */
  private chooseAwaited(id: string): void {
    if (!this.options.pipelines || !this.upgraded || this.random() < 0.5) return;
    const known = [...this.told].filter(([other, t]) => t.accepted && this.c.specs.get(other)?.shape !== 'service').slice(-8);
    if (known.length === 0) return;
    const names = Array.from({ length: 1 + this.int(3) }, () => this.pick(known)[0]);
    this.c.awaits.set(id, [...new Set(names)]);
  }

  private asks(kind: 'submit' | 'poll' | 'cancel', id: string, n = this.node()): void {
    const spec = this.c.specs.get(id);
    const t = this.told.get(id);
    if (!n || !spec || !t) return;
    const before = { ...t };
    if (kind === 'cancel') t.cancelAsked = true;
    const then = (status: number, body: Record<string, unknown>) => this.hears(id, before, status, String(body.status));
    if (kind === 'submit') n.submit(spec, then);
    else if (kind === 'poll') n.poll(id, then);
    else n.cancel(id, then);
  }

  private newJob(): void {
    const id = `run-w${this.jobs++}`;
    const team = this.pick(TEAMS);
    const kind = this.random();
    const common = { team, rank: this.int(4), zone: this.random() < 0.1 ? this.pick(['east', 'west']) : null };
    if (kind < 0.4) this.c.specs.set(id, job(id, { ...common, tasks: 1 + this.int(4), estimateS: 1 + this.int(15) }));
    else if (kind < 0.55)
      this.c.specs.set(id, job(id, { ...common, tasks: 1 + this.int(3), estimateS: 60 + this.int(60), types: ['small'] }));
    else if (kind < 0.7)
      this.c.specs.set(
        id,
        job(id, {
          ...common,
          zone: null,
          rank: 3,
          cls: 'serve',
          shape: 'service',
          tasks: 1 + this.int(2),
          spread: this.random() < 0.5,
        }),
      );
    else if (kind < 0.85)
      this.c.specs.set(id, job(id, { ...common, shape: 'gang', gpus: 8, cpus: 20, memory: 60, estimateS: 5 + this.int(30) }));
    else
      this.c.specs.set(
        id,
        job(id, { ...common, shape: 'gang', tasks: 2 + this.int(2), cpus: 2, estimateS: 8, oneZone: this.random() < 0.5 }),
      );
    this.chooseAwaited(id);
    this.told.set(id, { accepted: false, final: null, cancelAsked: false, answeredAt: this.c.now });
    this.asks('submit', id);
  }

  /** Work at full rate: chains whose jobs are submitted as soon as those before are accepted, and jobs of one task. */
  private fullLoad({ chainsPerS, singlesPerS, cancelled }: WalkLoad): void {
    const perStep = (rate: number) => this.random() < rate / 10;
    if (perStep(singlesPerS)) {
      const id = this.submitNew({ tasks: 1, estimateS: 2 + this.int(20), cpus: 1, memory: 1, rank: this.int(3) });
      if (this.random() < cancelled) this.cancelLater([id]);
    }
    if (this.upgraded && perStep(chainsPerS)) {
      const ids: string[] = [];
      this.chains.push({ ids, length: 4 + this.int(4), team: this.pick(TEAMS) });
      if (this.random() < cancelled) this.cancelLater(ids);
    }
    for (const chain of this.chains) this.continueChain(chain);
    this.chains = this.chains.filter((chain) => chain.ids.length < chain.length);
  }

  private chains: { ids: string[]; length: number; team: string }[] = [];

  /** The next job of a chain awaits one or two of those before it, the last of them among these. */
  private continueChain({ ids, team }: { ids: string[]; team: string }): void {
    const last = ids.at(-1);
    if (last !== undefined && !this.told.get(last)?.accepted) {
      if (this.random() < 0.1) this.asks('submit', last);
      return;
    }
    const awaits = last === undefined ? [] : [...new Set([last, this.pick(ids)])];
    const shape = this.random() < 0.2 ? 'gang' : 'array';
    ids.push(
      this.submitNew(
        { team, shape, tasks: 1 + this.int(3), estimateS: 1 + this.int(8), cpus: 1, memory: 1, rank: this.int(2) },
        awaits,
      ),
    );
  }

  private submitNew(over: Partial<JobSpec>, awaits: string[] = []): string {
    const id = `run-w${this.jobs++}`;
    this.c.specs.set(id, job(id, { team: this.pick(TEAMS), ...over }));
    if (awaits.length > 0) this.c.awaits.set(id, awaits);
    this.told.set(id, { accepted: false, final: null, cancelAsked: false, answeredAt: this.c.now });
    this.asks('submit', id);
    return id;
  }

  /** Any of the jobs that there are by then. */
  private cancelLater(ids: string[]): void {
    this.c.at(this.c.now + 500 + 15_000 * this.random(), () => {
      const id = this.pick(ids);
      if (id !== undefined) this.toCancel.add(id);
    });
  }

  private readonly toCancel = new Set<string>();

  /** Whoever wants a job cancelled asks until it is over; whoever waits for one asks now and then. */
  private persist(): void {
    for (const id of this.toCancel) {
      if (this.told.get(id)?.final !== null) this.toCancel.delete(id);
      else if (this.random() < 0.05) this.asks('cancel', id);
    }
    const open = [...this.told].filter(([, t]) => t.accepted && t.final === null);
    for (let i = 0; i < open.length / 50; i++) this.asks('poll', this.pick(open)[0]);
  }

  private users(): void {
    if (this.options.load) {
      this.fullLoad(this.options.load);
      this.persist();
    }
    if (this.random() < 0.1) this.newJob();
    const ids = [...this.told.keys()];
    if (ids.length === 0) return;
    const late = ids.slice(-12);
    if (this.random() < 0.2) this.asks('poll', this.pick(late));
    if (this.random() < 0.1) this.asks('poll', this.pick(ids));
    // Close looks: at all controllers at once.
    if (this.random() < 0.1) {
      const id = this.pick(late);
      for (const n of this.c.nodes) if (n.up) this.asks(this.random() < 0.3 ? 'submit' : 'poll', id, n);
    }
    if (this.random() < 0.05) this.asks('submit', this.pick(ids));
    if (this.random() < 0.025) this.asks('cancel', this.pick(late));
    // Whoever was not accepted, or not told that it is cancelled, asks again.
    for (const id of late) {
      const t = this.told.get(id) as Told;
      if (!t.accepted && this.random() < 0.1) this.asks('submit', id);
      if (t.cancelAsked && t.final === null && this.random() < 0.1) this.asks('cancel', id);
    }
  }

  // ---- troubles

  private after(seconds: number, run: () => void): void {
    this.undo.push({ at: this.c.now + seconds * 1000, run });
  }

  private begin(kind: Trouble, s: number): void {
    const { c } = this;
    const node = this.pick(c.nodes);
    const live = c.workers.filter((w) => !w.dead);
    const some = new Set(live.filter(() => this.random() < 0.3).map((w) => w.name));
    c.note(`${kind} for ${s.toFixed(1)} s (${node.name})`);
    const isNode = (x: string) => x.startsWith('n');
    switch (kind) {
      case 'outage':
        c.stateDown = true;
        return this.after(s, () => {
          c.stateDown = false;
        });
      case 'refused':
        node.refused = true;
        return this.after(s, () => {
          node.refused = false;
        });
      case 'crash':
      case 'bounce':
        if (!node.up) return;
        node.crash();
        return this.after(kind === 'bounce' ? 0.3 : Math.min(s, 6), () => {
          if (!node.up) node.restart();
        });
      case 'crash all':
        for (const n of c.nodes) if (n.up) n.crash();
        for (const n of c.nodes) this.after(0.2 + 4 * this.random(), () => (n.up ? undefined : n.restart()));
        return;
      case 'freeze':
        if (!node.up || node.frozen) return;
        node.freeze();
        return this.after(s, () => {
          if (node.up && node.frozen) node.thaw(this.random() < 0.3);
        });
      case 'hang': {
        const w = this.pick(live);
        w.hung = true;
        return this.after(Math.min(s, 11) * this.random() + 1, () => {
          w.hung = false;
        });
      }
      case 'deaf':
        c.deaf = (_n, m) => some.has(m);
        return this.after(s, () => {
          c.deaf = () => false;
        });
      case 'mute':
        c.mute = (m) => some.has(m);
        return this.after(s, () => {
          c.mute = () => false;
        });
      case 'commands lost':
      case 'commands late':
        c.commandsLost = (_n, m) => some.has(m);
        if (kind === 'commands late') c.lateMs = () => 1000 + 30_000 * this.random();
        return this.after(s, () => {
          c.commandsLost = () => false;
          c.lateMs = null;
        });
      case 'zone cut': {
        const west = (x: string) => x === 'n1' || c.worker(x)?.zone === 'west';
        c.cut = (a, b) => west(a) !== west(b);
        return this.after(s, () => {
          c.cut = () => false;
        });
      }
      case 'peers cut':
      case 'alone with its workers':
        c.cut = (a, b) => isNode(a) && isNode(b) && (a === node.name || b === node.name);
        if (kind === 'alone with its workers') node.refused = true;
        return this.after(s, () => {
          c.cut = () => false;
          if (kind === 'alone with its workers') node.refused = false;
        });
      case 'lost answers':
      case 'late writes':
        c.loseTxn = (_e, apply) => {
          if (this.random() > 0.3) return false;
          if (kind === 'lost answers') apply();
          else c.at(c.now + 2000 + 10_000 * this.random(), apply);
          return true;
        };
        return this.after(s, () => {
          c.loseTxn = null;
        });
      case 'slow answers':
        c.answerMs = () => 10 + 1300 * this.random();
        return this.after(s, () => {
          c.answerMs = () => 10;
        });
      case 'watch lags':
        node.lagging = true;
        return this.after(Math.min(s, 6), () => {
          node.lagging = false;
        });
      case 'late reports':
        this.copies = this.random() < 0.5 ? 'late' : 'for the next leader';
        return this.after(s, () => {
          this.copies = 'none';
        });
      case 'cloud down':
        c.cloudDown = true;
        return this.after(s, () => {
          c.cloudDown = false;
        });
      case 'machine dies': {
        const w = this.pick(live);
        w.dead = true;
        w.tasks.clear();
        return;
      }
      case 'machines begin again':
        for (const w of live) if (some.has(w.name) && !w.hung) w.reboot();
        return;
      case 'cancel now':
        for (const [id, t] of [...this.told].slice(-6)) if (t.accepted && !t.final) this.asks('cancel', id);
    }
  }

  private step(): void {
    const due = this.undo.filter((u) => u.at <= this.c.now);
    for (const u of due) {
      this.undo.splice(this.undo.indexOf(u), 1);
      u.run();
    }
    // A copy that was kept comes just as a new holder begins.
    if (this.kept.length > 0) {
      const holders = JSON.stringify(this.c.nodes.map((n) => [...n.core.holdings.mine]));
      if (holders !== this.holders) for (const send of this.kept.splice(0)) send();
      this.holders = holders;
    }
    if (this.options.next && this.upgraded && !this.c.state.limits && this.c.now > this.limitsAt) {
      const { valueKb, txnOps, writeRps } = this.options.next;
      this.c.note('the state service lowers its limits');
      this.c.state.limits = { valueBytes: valueKb * 1024, txnOps, writesPerS: writeRps };
    }
    this.c.run(0.1);
  }

  private readonly limitsAt = UPGRADE_AT_MS + 4 * UPGRADE_EACH_MS;
  private holders = '';

  /** Troubles by twos and threes for so long, then peace. */
  run(seconds: number): void {
    const end = this.c.now + seconds * 1000;
    while (this.c.now < end) {
      const s = 2 + 28 * this.random() * this.random();
      const long = this.random() < 0.1 ? 45 : s;
      for (let i = 0; i < 2 + this.int(2); i++) {
        this.begin(this.pick(this.only), long);
        for (let k = this.int(25); k > 0; k--) {
          this.users();
          this.step();
        }
      }
      for (let k = 30 + this.int(250); k > 0; k--) {
        this.users();
        this.step();
      }
    }
    for (const u of this.undo.splice(0)) u.run();
    this.peace();
  }

  /** No share without a holder, no machine out of use, no write that waits for ever. */
  private atRest(): void {
    const { c } = this;
    const odd = (): string[] => {
      const out: string[] = [];
      for (const share of ['0', '1', '2', 'lead'])
        if (!c.nodes.some((n) => n.core.holdings.active(share, c.now))) out.push(`nobody holds ${share}`);
      for (const w of c.workers) {
        if (w.dead) continue;
        const used = c.nodes.some((n) => {
          const m = n.core.table.machines.get(w.name);
          return m && n.core.owner.held.has(m.share) && (m.giveBack !== '' || n.core.owner.work.usable(m, c.now));
        });
        if (!used) out.push(`${w.name} is out of use`);
      }
      for (const n of c.nodes) if (n.core.writer.length > 0) out.push(`${n.name} has ${n.core.writer.length} writes waiting`);
      return out;
    };
    // A share may be on its way home, and a machine between two shares.
    for (let i = 0; i < 90 && odd().length > 0; i++) c.run(1);
    if (odd().length > 0) this.broken(`long after the troubles:\n${odd().join('\n')}`);
  }

  /** Once the troubles are over every job is known everywhere, and what can run has run. */
  private peace(): void {
    const { c } = this;
    for (const n of c.nodes) {
      if (!n.up) n.restart();
      if (n.frozen) n.thaw();
    }
    for (const w of c.workers) w.hung = false;
    c.note('the troubles are over');
    for (const [id, t] of this.told) if (!t.accepted) c.specs.has(id) && this.asks('submit', id);
    c.run(60);
    // Services would run for ever; with them gone there is room for all the rest.
    for (let i = 0; i < 5; i++) {
      for (const [id, t] of this.told)
        if (t.accepted && t.final === null && (t.cancelAsked || c.specs.get(id)?.shape === 'service')) this.asks('cancel', id);
      c.run(2);
    }
    const rest = () =>
      [...this.told].filter(([id, t]) => {
        const spec = c.specs.get(id);
        if (!t.accepted || t.final !== null || !spec || this.needsCancelled(id)) return false;
        return !Array.from({ length: spec.tasks }, (_, i) => c.finished.has(`${id}/${i}`)).some((x) => x);
      });
    for (let i = 0; i < 30 && rest().length > 0; i++) c.run(10);
    const left = rest().map(([id]) => `${id} ${JSON.stringify(c.specs.get(id))}`);
    if (left.length > 0) this.broken(`still waiting long after the troubles:\n${left.join('\n')}`);
    this.atRest();
    if (c.state.tooLarge > 0) this.broken(`${c.state.tooLarge} changes were too large`);
    for (const n of c.nodes) this.allAnswered(n);
  }

  /** Every accepted job is answered by the controller, a few at a time, and what was cancelled before it is, too. */
  private allAnswered(n: Node): void {
    const accepted = [...this.told].filter(([, t]) => t.accepted);
    for (let at = 0; at < accepted.length; at += ASKED_AT_ONCE) {
      const some = accepted.slice(at, at + ASKED_AT_ONCE);
      for (const [id, t] of some) {
        t.answeredAt = -1;
        this.asks('poll', id, n);
      }
      for (let i = 0; i < 30 && some.some(([, t]) => t.answeredAt < 0); i++) this.c.run(0.1);
      for (const [id, t] of some) {
        if (t.answeredAt < 0) this.broken(`forgotten: ${id} is not answered by ${n.name}`);
        if (this.needsCancelled(id) && t.final !== 'aborted') this.broken(`orphaned: ${id} goes on at ${n.name}`);
      }
    }
  }
}
