import type { JobSpec, MachineType } from '@archpost/protocol';
import {
  type ControllerSettings,
  fits,
  Job,
  Machine,
  type Milliseconds,
  NameInterner,
  UNASSIGNED_SHARD,
} from '../model/index.js';
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
export function assignTeamsToShards(settings: ControllerSettings): number[] {
  const load = new Array<number>(settings.shardCount).fill(0);
  const result = new Array<number>(settings.teams.length).fill(0);
  const order = settings.teams
    .map((team, index) => ({ i: index, w: team.gpus + team.cpus / 8 + 0.5 }))
    .sort((a, b) => b.w - a.w || a.i - b.i);
  for (const { i: index, w: weight } of order) {
    let best = 0;
    for (let candidate = 1; candidate < load.length; candidate++)
      if ((load[candidate] as number) < (load[best] as number)) best = candidate;
    load[best] = (load[best] as number) + weight;
    result[index] = best;
  }
  return result;
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
    for (const team of settings.teams) this.teamNames.intern(team.name);
    for (const zone of settings.zones) this.zoneNames.intern(zone);
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
    for (const machineType of list) this.machineTypes[this.typeNames.intern(machineType.name)] = machineType;
    this.machineTypesKnown = list.length > 0;
    for (const machine of this.machines.values()) {
      machine.capacity = this.machineTypes[machine.typeIndex] ?? machine.capacity;
      machine.allocationsChanged();
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
      spec.types === null ? null : spec.types.map((name) => this.typeNames.intern(name)),
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
    if (parts.length >= part.count && !this.machineTypesKnown) this.setMachineTypes(parts.flatMap((other) => other.list));
  }

  /** How soon a machine without accelerators can be there for the job. */
  bootTimeFor(job: Job): Milliseconds {
    let bootS = Number.POSITIVE_INFINITY;
    for (const machineType of this.machineTypes) {
      if (
        machineType &&
        machineType.gpus === 0 &&
        fits(job.resources, machineType) &&
        (job.typeIndices === null || job.typeIndices.includes(this.typeNames.indexOf(machineType.name)))
      )
        bootS = Math.min(bootS, machineType.bootS);
    }
    return bootS === Number.POSITIVE_INFINITY ? 0 : bootS * 1000;
  }

  /** The largest accelerator task seen that fits each type: what such a machine is wanted for. */
  readonly gpuDemandByType = new Map<number, { cpus: number; gpus: number; memory: number; rank: number }>();

  /** shares whose teams have had work for accelerators */
  readonly shardsWithGpuWork = new Set<number>();

  private recordGpuDemand({ spec, shard, typeIndices: types }: Job): void {
    if (spec.gpus <= 0) return;
    this.shardsWithGpuWork.add(shard);
    this.machineTypes.forEach((machineType, index) => {
      if (!machineType || !fits(spec, machineType) || (types !== null && !types.includes(index))) return;
      const old = this.gpuDemandByType.get(index);
      this.gpuDemandByType.set(index, {
        cpus: Math.max(old?.cpus ?? 0, spec.cpus),
        gpus: Math.max(old?.gpus ?? 0, spec.gpus),
        memory: Math.max(old?.memory ?? 0, spec.memory),
        rank: Math.max(old?.rank ?? 0, spec.rank),
      });
    });
  }

  private readonly storedImages = new Map<string, StoredImage[]>();

  /** What is stored of the machine's images, oldest use first. */
  restoreImages(machine: Machine): void {
    machine.images.clear();
    for (const [name, gb] of this.storedImages.get(machine.name) ?? []) machine.images.set(this.imageNames.intern(name), gb);
  }

  /** The images used last, as many as fit a stored value. */
  imagesToStore(machine: Machine): StoredImage[] {
    const images = [...machine.images].slice(-MOST_IMAGES).map(([index, gb]): StoredImage => [this.imageNames.nameOf(index), gb]);
    while (encodedBytes(StateKey.imageCache(machine.name), images) > this.sizeLimits.maxWriteBytes) images.shift();
    return images;
  }

  private applyAssignment(name: string, entry: ReplicaEntry | null, now: Milliseconds): AppliedChange {
    const old = this.machines.get(name);
    if (!entry) {
      if (old) {
        old.shard = UNASSIGNED_SHARD;
        this.machines.delete(name);
        return { machine: old };
      }
      return {};
    }
    const assignment = parseAssignment(entry.value);
    let machine = old;
    let moved = false;
    if (!machine) {
      const type = this.typeNames.intern(assignment.type);
      machine = new Machine(
        name,
        assignment.address,
        type,
        this.zoneNames.intern(assignment.zone),
        assignment.spot,
        this.machineTypes[type] ?? null,
      );
      machine.tenure.lastHeartbeatAt = now;
      machine.idleSince = now;
      this.machines.set(name, machine);
    }
    if (machine.shard !== assignment.shard) {
      machine.shard = assignment.shard;
      machine.tenure.isVerified = false;
      moved = true;
    }
    if (moved) this.restoreImages(machine);
    if (assignment.address) machine.address = assignment.address;
    machine.assignmentRevision = entry.revision;
    machine.moveToShard = assignment.moveToShard;
    machine.isRetired = assignment.isRetired;
    return { machine, movedShard: moved };
  }

  /** The machine's grant to its share, with nothing else wanted of it. */
  assignmentOf(machine: Machine): MachineAssignment {
    return {
      shard: machine.shard,
      address: machine.address,
      type: this.typeNames.nameOf(machine.typeIndex),
      zone: this.zoneNames.nameOf(machine.zoneIndex),
      spot: machine.spot,
      moveToShard: null,
      isRetired: false,
    };
  }

  leaseOf(shard: number | 'lead'): ShardLease | null {
    return this.leaseHolders.get(String(shard)) ?? null;
  }

  /** A worker obeys the largest token it has seen: this rises at each takeover and each grant. */
  fencingToken(machine: Machine): number {
    return Math.max(machine.assignmentRevision, this.leaseOf(machine.shard)?.revision ?? 0);
  }

  forgetIfFinished(job: Job): void {
    this.jobRegistry.forgetIfFinished(job);
  }
}
