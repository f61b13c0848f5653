import type { JobSpec, MachineType } from '@archpost/protocol';
import { type ControllerSettings, Job, Machine, type Milliseconds, NameInterner } from '../model/index.js';
import { fits } from '../scheduling/placement.js';
import { type MachineAssignment, parseAssignment } from './assignment-record.js';
import { parseImageCache, type StoredImage } from './image-cache-record.js';
import type { FinalState } from './job-record.js';
import { JobRegistry } from './job-registry.js';
import { StateKey } from './keys.js';
import { type LeaseHolder, parseLeaseHolder } from './lease-record.js';
import { encodedBytes, type StateSizeLimits, stateSizeLimits } from './limits.js';
import { type MachineTypesPart, parseMachineTypesPart, parseMachineTypesRecord } from './machine-types-record.js';
import { ProgressLayout } from './progress-layout.js';
import type { ReplicaEntry } from './replica.js';

/** Most images of a machine that are stored. */
const MOST_IMAGES = 30;

const TYPES_PARTS = `${StateKey.machineTypes}/`;

/** Spreads teams over the shares, largest guarantees first, onto the share with the least. */
export function assignTeamsToShards(s: ControllerSettings): number[] {
  const load = new Array<number>(s.shardCount).fill(0);
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

/** A shard's lease, or the leader's, as it is stored. */
export interface ShardLease {
  holder: LeaseHolder;
  /** revision at which it was taken: the fencing token of its holder */
  revision: number;
}

/** What one stored key concerns. */
export interface AppliedChange {
  /** the job itself first, then others that are released or cancelled with it */
  jobs?: Job[];
  machine?: Machine;
  movedShard?: boolean;
  lease?: string;
  /** a part of the record that can't be read, though the rest can */
  unreadablePart?: string;
}

/** What the state service's keys say, in the shape that decisions use. */
export class ClusterState {
  readonly machines = new Map<string, Machine>();
  readonly leaseHolders = new Map<string, ShardLease>();
  /** controllers whose state lease was seen to end, and when */
  readonly absentSince = new Map<string, Milliseconds>();
  readonly typeNames = new NameInterner();
  readonly zoneNames = new NameInterner();
  readonly imageNames = new NameInterner();
  readonly teamNames = new NameInterner();
  readonly shardOfTeam: number[];
  machineTypes: (MachineType | null)[] = [];
  machineTypesKnown = false;
  readonly progressLayout: ProgressLayout;
  private readonly jobRegistry: JobRegistry;
  readonly jobs: Map<string, Job>;
  /** jobs that are over, in short, and those that are cancelled with one that they need */
  readonly finishedJobs: Map<string, FinalState>;
  readonly sizeLimits: StateSizeLimits;

  constructor(readonly settings: ControllerSettings) {
    for (const t of settings.teams) this.teamNames.intern(t.name);
    for (const z of settings.zones) this.zoneNames.intern(z);
    this.shardOfTeam = assignTeamsToShards(settings);
    this.sizeLimits = stateSizeLimits(settings.state);
    this.progressLayout = new ProgressLayout(settings.state.valueKib, this.sizeLimits.maxWriteBytes);
    this.jobRegistry = new JobRegistry(
      (spec) => this.makeJob(spec),
      (name) => this.typeNames.intern(name),
      (job) => this.recordGpuDemand(job),
      this.progressLayout,
    );
    this.jobs = this.jobRegistry.jobs;
    this.finishedJobs = this.jobRegistry.finishedJobs;
  }

  setMachineTypes(list: MachineType[]): void {
    for (const t of list) this.machineTypes[this.typeNames.intern(t.name)] = t;
    this.machineTypesKnown = list.length > 0;
    for (const m of this.machines.values()) {
      m.capacity = this.machineTypes[m.typeIndex] ?? m.capacity;
      m.allocationsChanged();
    }
  }

  /** stamp of the newest cancellation that is known */
  get cancellationRevision(): number {
    return this.jobRegistry.cancellationRevision;
  }

  /** time of day less the steady clock, ms */
  get wallClockOffsetMs(): Milliseconds {
    return this.jobRegistry.wallClockOffsetMs;
  }

  set wallClockOffsetMs(ms: Milliseconds) {
    this.jobRegistry.wallClockOffsetMs = ms;
  }

  /** The job that a machine names, by its record if it has left the table; null if there is none to run or to stop. */
  restoreJob(id: string, record: ReplicaEntry | null, now: Milliseconds): Job | null {
    return this.jobRegistry.restore(id, record, now);
  }

  private makeJob(spec: JobSpec): Job {
    const team = this.teamNames.indexOf(spec.team);
    return new Job(
      spec,
      team,
      this.shardOfTeam[team] ?? 0,
      spec.types === null ? null : spec.types.map((t) => this.typeNames.intern(t)),
      spec.zone === null ? -1 : this.zoneNames.intern(spec.zone),
      this.imageNames.intern(spec.image),
    );
  }

  /** Applies one key. Returns the job or machine that it concerns. */
  apply(key: string, entry: ReplicaEntry | null, now: Milliseconds): AppliedChange {
    const kind = key.slice(2, 4);
    if (kind === 'h/') {
      const name = key.slice(4);
      if (entry) this.leaseHolders.set(name, { holder: parseLeaseHolder(entry.value), revision: entry.revision });
      else this.leaseHolders.delete(name);
      return { lease: name };
    }
    if (kind === 'n/') {
      if (entry) this.absentSince.delete(key.slice(4));
      else this.absentSince.set(key.slice(4), now);
    }
    if (kind === 'j/') return this.jobRegistry.applyRecord(key.slice(4), entry, now);
    if (kind === 'p/') return this.jobRegistry.applyProgress(key.slice(4), entry);
    if (kind === 'x/') return this.jobRegistry.applyPart(key.slice(4), entry, now);
    if (kind === 'g/') return this.applyAssignment(key.slice(4), entry, now);
    if (kind === 'c/') {
      if (entry) this.storedImages.set(key.slice(4), parseImageCache(entry.value));
      else this.storedImages.delete(key.slice(4));
    }
    if (key === StateKey.machineTypes && entry) this.setMachineTypes(parseMachineTypesRecord(entry.value));
    else if (key.startsWith(TYPES_PARTS) && entry) this.applyMachineTypesPart(key, entry.value);
    return {};
  }

  private readonly machineTypesParts = new Map<string, MachineTypesPart>();

  /** The types are known once all parts of their list are. */
  private applyMachineTypesPart(key: string, value: unknown): void {
    const part = parseMachineTypesPart(value);
    this.machineTypesParts.set(key, part);
    const parts = [...this.machineTypesParts.values()];
    if (parts.length >= part.count && !this.machineTypesKnown) this.setMachineTypes(parts.flatMap((p) => p.list));
  }

  /** How soon a machine without accelerators can be there for the job. */
  bootTimeFor(job: Job): Milliseconds {
    let s = Number.POSITIVE_INFINITY;
    for (const t of this.machineTypes) {
      if (
        t &&
        t.gpus === 0 &&
        fits(job.resources, t) &&
        (job.typeIndices === null || job.typeIndices.includes(this.typeNames.indexOf(t.name)))
      )
        s = Math.min(s, t.bootS);
    }
    return s === Number.POSITIVE_INFINITY ? 0 : s * 1000;
  }

  /** The largest accelerator task seen that fits each type: what such a machine is wanted for. */
  readonly gpuDemandByType = new Map<number, { cpus: number; gpus: number; memory: number; rank: number }>();

  /** shares whose teams have had work for accelerators */
  readonly shardsWithGpuWork = new Set<number>();

  private recordGpuDemand({ spec, shard: share, typeIndices: types }: Job): void {
    if (spec.gpus <= 0) return;
    this.shardsWithGpuWork.add(share);
    this.machineTypes.forEach((t, i) => {
      if (!t || !fits(spec, t) || (types !== null && !types.includes(i))) return;
      const old = this.gpuDemandByType.get(i);
      this.gpuDemandByType.set(i, {
        cpus: Math.max(old?.cpus ?? 0, spec.cpus),
        gpus: Math.max(old?.gpus ?? 0, spec.gpus),
        memory: Math.max(old?.memory ?? 0, spec.memory),
        rank: Math.max(old?.rank ?? 0, spec.rank),
      });
    });
  }

  private readonly storedImages = new Map<string, StoredImage[]>();

  /** What is stored of the machine's images, oldest use first. */
  restoreImages(m: Machine): void {
    m.images.clear();
    for (const [name, gb] of this.storedImages.get(m.name) ?? []) m.images.set(this.imageNames.intern(name), gb);
  }

  /** The images used last, as many as fit a stored value. */
  imagesToStore(m: Machine): StoredImage[] {
    const images = [...m.images].slice(-MOST_IMAGES).map(([i, gb]): StoredImage => [this.imageNames.nameOf(i), gb]);
    while (encodedBytes(StateKey.imageCache(m.name), images) > this.sizeLimits.maxWriteBytes) images.shift();
    return images;
  }

  private applyAssignment(name: string, entry: ReplicaEntry | null, now: Milliseconds): { machine?: Machine; moved?: boolean } {
    const old = this.machines.get(name);
    if (!entry) {
      if (old) {
        old.shard = -1;
        this.machines.delete(name);
        return { machine: old };
      }
      return {};
    }
    const g = parseAssignment(entry.value);
    let m = old;
    let moved = false;
    if (!m) {
      const type = this.typeNames.intern(g.type);
      m = new Machine(name, g.address, type, this.zoneNames.intern(g.zone), g.spot, this.machineTypes[type] ?? null);
      m.lastHeartbeatAt = now;
      m.idleSince = now;
      this.machines.set(name, m);
    }
    if (m.shard !== g.shard) {
      m.shard = g.shard;
      m.isVerified = false;
      moved = true;
    }
    if (moved) this.restoreImages(m);
    if (g.address) m.address = g.address;
    m.assignmentRevision = entry.revision;
    m.moveToShard = g.moveToShard ?? -1;
    m.isRetired = g.isRetired;
    return { machine: m, moved };
  }

  /** The machine's grant to its share, with nothing else wanted of it. */
  assignmentOf(m: Machine): MachineAssignment {
    return {
      shard: m.shard,
      address: m.address,
      type: this.typeNames.nameOf(m.typeIndex),
      zone: this.zoneNames.nameOf(m.zoneIndex),
      spot: m.spot,
      moveToShard: null,
      isRetired: false,
    };
  }

  leaseOf(share: number | 'lead'): ShardLease | null {
    return this.leaseHolders.get(String(share)) ?? null;
  }

  /** A worker obeys the largest token it has seen: this rises at each takeover and each grant. */
  fencingToken(m: Machine): number {
    return Math.max(m.assignmentRevision, this.leaseOf(m.shard)?.revision ?? 0);
  }

  forgetIfFinished(job: Job): void {
    this.jobRegistry.forgetIfFinished(job);
  }
}
