import type { JobSpec, MachineType } from '@archpost/wire';
import { type CoreSettings, Job, Machine, type Ms, Names } from './model.js';
import { fits } from './placement.js';
import type { Entry } from './replica.js';

export const KEY = {
  root: 'a/',
  holding: (share: number | 'lead') => `a/h/${share}`,
  grant: (machine: string) => `a/g/${machine}`,
  job: (id: string) => `a/j/${id}`,
  progress: (id: string, chunk: number) => `a/p/${id}/${chunk}`,
  types: 'a/types',
  /** a controller that is there: attached to its state lease */
  presence: (node: string) => `a/n/${node}`,
  /** what a controller tells by way of the state service while its link to the lead is down */
  status: (node: string) => `a/s/${node}`,
  /** the images that a machine surely has, for whoever owns it next */
  cache: (machine: string) => `a/c/${machine}`,
};

export interface Holder {
  node: string;
  boot: string;
}

export interface GrantRecord {
  s: number;
  a: string;
  t: string;
  z: string;
  sp: boolean;
  /** wanted share */
  mv?: number;
  /** to be given back */
  x?: boolean;
  /** raises the stamp when the record is written again */
  n?: number;
}

export interface JobRecord {
  /** 0 queued or running, 1 done, 2 cancelled */
  s: 0 | 1 | 2;
  t: number;
  sp?: JobSpec;
}

function holderIn(value: unknown): Holder {
  const h = value as Partial<Holder> | null;
  if (typeof h?.node !== 'string' || typeof h.boot !== 'string') throw new Error('not a holder');
  return h as Holder;
}

function grantIn(value: unknown): GrantRecord {
  const g = value as Partial<GrantRecord> | null;
  if (typeof g?.s !== 'number' || typeof g.t !== 'string' || typeof g.z !== 'string') throw new Error('not a grant');
  return g as GrantRecord;
}

/** Tasks whose completion one progress key holds. The key's text stays within value_kb. */
export function chunkSize(valueKb: number): number {
  return Math.max(512, Math.floor(valueKb * 1024 * 0.5) * 4);
}

export function packBits(bits: Uint8Array, from: number, to: number): string {
  let out = '';
  for (let i = from; i < to; i += 4) {
    let v = 0;
    for (let b = 0; b < 4; b++) if (i + b < to && bits[i + b]) v |= 1 << b;
    out += v.toString(16);
  }
  return out;
}

/** Spreads teams over the shares, largest guarantees first, onto the share with the least. */
export function teamShares(s: CoreSettings): number[] {
  const load = new Array<number>(s.shares).fill(0);
  const out = new Array<number>(s.teams.length).fill(0);
  const order = s.teams.map((t, i) => ({ i, w: t.gpus + t.cpus / 8 + 0.5 })).sort((a, b) => b.w - a.w || a.i - b.i);
  for (const { i, w } of order) {
    let best = 0;
    for (let k = 1; k < load.length; k++) if ((load[k] as number) < (load[best] as number)) best = k;
    load[best] = (load[best] as number) + w;
    out[i] = best;
  }
  return out;
}

/** What the state service's keys say, in the shape that decisions use. */
export class Table {
  readonly jobs = new Map<string, Job>();
  /** jobs that are over, in short */
  readonly finals = new Map<string, 'done' | 'cancelled'>();
  /** stamp of the newest cancellation that is known */
  cancelStamp = 0;
  readonly machines = new Map<string, Machine>();
  readonly holders = new Map<string, { holder: Holder; stamp: number }>();
  /** controllers whose state lease was seen to end, and when */
  readonly absentSince = new Map<string, Ms>();
  readonly typeNames = new Names();
  readonly zoneNames = new Names();
  readonly imageNames = new Names();
  readonly teamNames = new Names();
  readonly teamShare: number[];
  types: (MachineType | null)[] = [];
  typesKnown = false;
  readonly chunk: number;

  constructor(readonly settings: CoreSettings) {
    for (const t of settings.teams) this.teamNames.index(t.name);
    for (const z of settings.zones) this.zoneNames.index(z);
    this.teamShare = teamShares(settings);
    this.chunk = chunkSize(settings.state.valueKb);
  }

  setTypes(list: MachineType[]): void {
    for (const t of list) this.types[this.typeNames.index(t.name)] = t;
    this.typesKnown = list.length > 0;
    for (const m of this.machines.values()) m.cap = this.types[m.type] ?? m.cap;
  }

  makeJob(spec: JobSpec): Job {
    const team = this.teamNames.find(spec.team);
    return new Job(
      spec,
      team,
      this.teamShare[team] ?? 0,
      spec.types === null ? null : spec.types.map((t) => this.typeNames.index(t)),
      spec.zone === null ? -1 : this.zoneNames.index(spec.zone),
      this.imageNames.index(spec.image),
    );
  }

  /** Applies one key. Returns the job or machine that it concerns. */
  apply(key: string, entry: Entry | null, now: Ms): { job?: Job; machine?: Machine; moved?: boolean; holding?: string } {
    const kind = key.slice(2, 4);
    if (kind === 'h/') {
      const name = key.slice(4);
      if (entry) this.holders.set(name, { holder: holderIn(entry.value), stamp: entry.stamp });
      else this.holders.delete(name);
      return { holding: name };
    }
    if (kind === 'n/') {
      if (entry) this.absentSince.delete(key.slice(4));
      else this.absentSince.set(key.slice(4), now);
    }
    if (kind === 'j/') return this.applyJob(key.slice(4), entry, now);
    if (kind === 'p/') return this.applyProgress(key.slice(4), entry);
    if (kind === 'g/') return this.applyGrant(key.slice(4), entry, now);
    if (kind === 'c/') {
      if (entry) this.caches.set(key.slice(4), entry.value as [string, number][]);
      else this.caches.delete(key.slice(4));
    }
    if (key === KEY.types && entry) this.setTypes(entry.value as MachineType[]);
    return {};
  }

  /** How soon a machine without accelerators can be there for the job. */
  bootMs(job: Job): Ms {
    let s = Number.POSITIVE_INFINITY;
    for (const t of this.types) {
      if (t && t.gpus === 0 && fits(job.need, t) && (job.types === null || job.types.includes(this.typeNames.find(t.name))))
        s = Math.min(s, t.bootS);
    }
    return s === Number.POSITIVE_INFINITY ? 0 : s * 1000;
  }

  /** The largest accelerator task seen that fits each type: what such a machine is wanted for. */
  readonly gpuNeed = new Map<number, { cpus: number; gpus: number; memory: number; rank: number }>();

  /** shares whose teams have had work for accelerators */
  readonly gpuShares = new Set<number>();

  private noteGpuNeed(spec: JobSpec): void {
    if (spec.gpus <= 0) return;
    this.gpuShares.add(this.teamShare[this.teamNames.find(spec.team)] ?? 0);
    this.types.forEach((t, i) => {
      if (!t || !fits(spec, t) || (spec.types !== null && !spec.types.includes(t.name))) return;
      const old = this.gpuNeed.get(i);
      this.gpuNeed.set(i, {
        cpus: Math.max(old?.cpus ?? 0, spec.cpus),
        gpus: Math.max(old?.gpus ?? 0, spec.gpus),
        memory: Math.max(old?.memory ?? 0, spec.memory),
        rank: Math.max(old?.rank ?? 0, spec.rank),
      });
    });
  }

  private applyJob(id: string, entry: Entry | null, now: Ms): { job?: Job } {
    if (!entry) return {};
    const r = entry.value as JobRecord;
    let job = this.jobs.get(id);
    if (r.s === 1) this.finals.set(id, 'done');
    if (r.s === 2) {
      this.finals.set(id, 'cancelled');
      this.cancelStamp = Math.max(this.cancelStamp, entry.stamp);
    }
    if (!job) {
      if (r.s !== 0 && !(r.s === 2 && r.sp)) return {};
      job = this.makeJob(r.sp as JobSpec);
      job.arrivedAt = now;
      job.wall = r.t;
      this.jobs.set(id, job);
      this.noteGpuNeed(job.spec);
      for (let k = 0; k * this.chunk < job.spec.tasks; k++) {
        const p = this.early.get(`${id}/${k}`);
        if (p !== undefined) this.mergeProgress(job, k, p);
        this.early.delete(`${id}/${k}`);
      }
    }
    job.stamp = entry.stamp;
    if (r.s === 1) job.state = 'done';
    if (r.s === 2) {
      job.state = 'cancelled';
      if (job.cancelledAt < 0) job.cancelledAt = now;
    }
    return { job };
  }

  private readonly caches = new Map<string, [string, number][]>();

  /** What is stored of the machine's images, oldest use first. */
  recallImages(m: Machine): void {
    m.images.clear();
    for (const [name, gb] of this.caches.get(m.name) ?? []) m.images.set(this.imageNames.index(name), gb);
  }

  imagesOf(m: Machine): [string, number][] {
    return [...m.images].slice(-30).map(([i, gb]): [string, number] => [this.imageNames.name(i), gb]);
  }

  /** progress read before its job's record */
  private readonly early = new Map<string, string>();

  private applyProgress(rest: string, entry: Entry | null): { job?: Job } {
    if (!entry) return {};
    const cut = rest.lastIndexOf('/');
    const id = rest.slice(0, cut);
    const job = this.jobs.get(id);
    if (!job) {
      if (!this.finals.has(id)) this.early.set(rest, entry.value as string);
      return {};
    }
    this.mergeProgress(job, Number(rest.slice(cut + 1)), entry.value as string);
    return { job };
  }

  private mergeProgress(job: Job, chunk: number, hex: string): void {
    const from = chunk * this.chunk;
    for (let i = 0; i < hex.length; i++) {
      const v = Number.parseInt(hex[i] as string, 16);
      for (let b = 0; b < 4; b++) {
        const t = from + i * 4 + b;
        if (t >= job.spec.tasks || !(v & (1 << b))) continue;
        job.stored[t] = 1;
        if (!job.done[t]) {
          job.done[t] = 1;
          job.doneCount++;
        }
      }
    }
  }

  private applyGrant(name: string, entry: Entry | null, now: Ms): { machine?: Machine; moved?: boolean } {
    const old = this.machines.get(name);
    if (!entry) {
      if (old) {
        old.share = -1;
        this.machines.delete(name);
        return { machine: old };
      }
      return {};
    }
    const g = grantIn(entry.value);
    let m = old;
    let moved = false;
    if (!m) {
      const type = this.typeNames.index(g.t);
      m = new Machine(name, g.a, type, this.zoneNames.index(g.z), g.sp, this.types[type] ?? null);
      m.heardAt = now;
      m.idleSince = now;
      this.machines.set(name, m);
    }
    if (m.share !== g.s) {
      m.share = g.s;
      m.resolved = false;
      moved = true;
    }
    if (moved) this.recallImages(m);
    if (g.a) m.addr = g.a;
    m.grantStamp = entry.stamp;
    m.moveTo = g.mv ?? -1;
    m.retire = g.x ?? false;
    return { machine: m, moved };
  }

  grantOf(m: Machine): GrantRecord {
    const g: GrantRecord = {
      s: m.share,
      a: m.addr,
      t: this.typeNames.name(m.type),
      z: this.zoneNames.name(m.zone),
      sp: m.spot,
    };
    return g;
  }

  holder(share: number | 'lead'): { holder: Holder; stamp: number } | null {
    return this.holders.get(String(share)) ?? null;
  }

  /** A worker obeys the largest token it has seen: this rises at each takeover and each grant. */
  token(m: Machine): number {
    return Math.max(m.grantStamp, this.holder(m.share)?.stamp ?? 0);
  }

  dropFinal(job: Job): void {
    if (job.state !== 'live' && job.placements.size === 0) this.jobs.delete(job.spec.id);
  }
}
