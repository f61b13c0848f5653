import type { JobSpec, MachineType } from '@archpost/protocol';
import { type CoreSettings, Job, Machine, type Ms, Names } from '../model/index.js';
import { fits } from '../scheduling/placement.js';
import { type Grant, parseGrant } from './assignment-record.js';
import { parseImageCache, type StoredImage } from './image-cache-record.js';
import type { FinalState } from './job-record.js';
import { JobTable } from './job-registry.js';
import { KEY } from './keys.js';
import { type Holder, parseHolder } from './lease-record.js';
import { encodedBytes, type StateSizes, stateSizes } from './limits.js';
import { type MachineTypesPart, parseMachineTypesPart, parseMachineTypesRecord } from './machine-types-record.js';
import { ProgressLayout } from './progress-layout.js';
import type { Entry } from './replica.js';

/** Most images of a machine that are stored. */
const MOST_IMAGES = 30;

const TYPES_PARTS = `${KEY.types}/`;

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

/** What one stored key concerns. */
export interface Applied {
  /** the job itself first, then others that are released or cancelled with it */
  jobs?: Job[];
  machine?: Machine;
  moved?: boolean;
  holding?: string;
  /** a part of the record that can't be read, though the rest can */
  unreadable?: string;
}

/** What the state service's keys say, in the shape that decisions use. */
export class Table {
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
  readonly progress: ProgressLayout;
  private readonly jobTable: JobTable;
  readonly jobs: Map<string, Job>;
  /** jobs that are over, in short, and those that are cancelled with one that they need */
  readonly finals: Map<string, FinalState>;
  readonly sizes: StateSizes;

  constructor(readonly settings: CoreSettings) {
    for (const t of settings.teams) this.teamNames.index(t.name);
    for (const z of settings.zones) this.zoneNames.index(z);
    this.teamShare = teamShares(settings);
    this.sizes = stateSizes(settings.state);
    this.progress = new ProgressLayout(settings.state.valueKb, this.sizes.changeBytes);
    this.jobTable = new JobTable(
      (spec) => this.makeJob(spec),
      (name) => this.typeNames.index(name),
      (job) => this.noteGpuNeed(job),
      this.progress,
    );
    this.jobs = this.jobTable.jobs;
    this.finals = this.jobTable.finals;
  }

  setTypes(list: MachineType[]): void {
    for (const t of list) this.types[this.typeNames.index(t.name)] = t;
    this.typesKnown = list.length > 0;
    for (const m of this.machines.values()) {
      m.cap = this.types[m.type] ?? m.cap;
      m.changed();
    }
  }

  /** stamp of the newest cancellation that is known */
  get cancelStamp(): number {
    return this.jobTable.cancelStamp;
  }

  /** time of day less the steady clock, ms */
  get wallOffset(): Ms {
    return this.jobTable.wallOffset;
  }

  set wallOffset(ms: Ms) {
    this.jobTable.wallOffset = ms;
  }

  /** The job that a machine names, by its record if it has left the table; null if there is none to run or to stop. */
  recall(id: string, record: Entry | null, now: Ms): Job | null {
    return this.jobTable.recall(id, record, now);
  }

  private makeJob(spec: JobSpec): Job {
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
  apply(key: string, entry: Entry | null, now: Ms): Applied {
    const kind = key.slice(2, 4);
    if (kind === 'h/') {
      const name = key.slice(4);
      if (entry) this.holders.set(name, { holder: parseHolder(entry.value), stamp: entry.stamp });
      else this.holders.delete(name);
      return { holding: name };
    }
    if (kind === 'n/') {
      if (entry) this.absentSince.delete(key.slice(4));
      else this.absentSince.set(key.slice(4), now);
    }
    if (kind === 'j/') return this.jobTable.applyRecord(key.slice(4), entry, now);
    if (kind === 'p/') return this.jobTable.applyProgress(key.slice(4), entry);
    if (kind === 'x/') return this.jobTable.applyPart(key.slice(4), entry, now);
    if (kind === 'g/') return this.applyGrant(key.slice(4), entry, now);
    if (kind === 'c/') {
      if (entry) this.caches.set(key.slice(4), parseImageCache(entry.value));
      else this.caches.delete(key.slice(4));
    }
    if (key === KEY.types && entry) this.setTypes(parseMachineTypesRecord(entry.value));
    else if (key.startsWith(TYPES_PARTS) && entry) this.applyTypesPart(key, entry.value);
    return {};
  }

  private readonly typesParts = new Map<string, MachineTypesPart>();

  /** The types are known once all parts of their list are. */
  private applyTypesPart(key: string, value: unknown): void {
    const part = parseMachineTypesPart(value);
    this.typesParts.set(key, part);
    const parts = [...this.typesParts.values()];
    if (parts.length >= part.count && !this.typesKnown) this.setTypes(parts.flatMap((p) => p.list));
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

  private noteGpuNeed({ spec, share, types }: Job): void {
    if (spec.gpus <= 0) return;
    this.gpuShares.add(share);
    this.types.forEach((t, i) => {
      if (!t || !fits(spec, t) || (types !== null && !types.includes(i))) return;
      const old = this.gpuNeed.get(i);
      this.gpuNeed.set(i, {
        cpus: Math.max(old?.cpus ?? 0, spec.cpus),
        gpus: Math.max(old?.gpus ?? 0, spec.gpus),
        memory: Math.max(old?.memory ?? 0, spec.memory),
        rank: Math.max(old?.rank ?? 0, spec.rank),
      });
    });
  }

  private readonly caches = new Map<string, StoredImage[]>();

  /** What is stored of the machine's images, oldest use first. */
  recallImages(m: Machine): void {
    m.images.clear();
    for (const [name, gb] of this.caches.get(m.name) ?? []) m.images.set(this.imageNames.index(name), gb);
  }

  /** The images used last, as many as fit a stored value. */
  imagesOf(m: Machine): StoredImage[] {
    const images = [...m.images].slice(-MOST_IMAGES).map(([i, gb]): StoredImage => [this.imageNames.name(i), gb]);
    while (encodedBytes(KEY.cache(m.name), images) > this.sizes.changeBytes) images.shift();
    return images;
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
    const g = parseGrant(entry.value);
    let m = old;
    let moved = false;
    if (!m) {
      const type = this.typeNames.index(g.type);
      m = new Machine(name, g.address, type, this.zoneNames.index(g.zone), g.spot, this.types[type] ?? null);
      m.heardAt = now;
      m.idleSince = now;
      this.machines.set(name, m);
    }
    if (m.share !== g.share) {
      m.share = g.share;
      m.resolved = false;
      moved = true;
    }
    if (moved) this.recallImages(m);
    if (g.address) m.addr = g.address;
    m.grantStamp = entry.stamp;
    m.moveTo = g.moveTo ?? -1;
    m.retire = g.retire;
    return { machine: m, moved };
  }

  /** The machine's grant to its share, with nothing else wanted of it. */
  grantOf(m: Machine): Grant {
    return {
      share: m.share,
      address: m.addr,
      type: this.typeNames.name(m.type),
      zone: this.zoneNames.name(m.zone),
      spot: m.spot,
      moveTo: null,
      retire: false,
    };
  }

  holder(share: number | 'lead'): { holder: Holder; stamp: number } | null {
    return this.holders.get(String(share)) ?? null;
  }

  /** A worker obeys the largest token it has seen: this rises at each takeover and each grant. */
  token(m: Machine): number {
    return Math.max(m.grantStamp, this.holder(m.share)?.stamp ?? 0);
  }

  dropFinal(job: Job): void {
    this.jobTable.drop(job);
  }
}
