/**
 * The cluster state: a materialized view of what the state service's keys hold, in the shape that decisions use. Each kind of
 * record has one owner (leases, machine types, machines, image caches, jobs, accelerator demand); this module makes the
 * owners, routes each changed key to one of them, and is the interface to other folders.
 */
import type { JobSpec, MachineType } from '@archpost/protocol';
import { ANY_ZONE, type ControllerSettings, Job, type Machine, type Milliseconds, NameInterner } from '../model/index.js';
import type { MachineAssignment } from './assignment-record.js';
import { type GpuDemand, GpuDemandHistory } from './gpu-demand-history.js';
import type { StoredImage } from './image-cache-record.js';
import { ImageCaches } from './image-caches.js';
import type { FinalState } from './job-record.js';
import { JobRegistry, type JobRegistryHost, type JobsChange } from './job-registry.js';
import { type LeaseName, parseStateKey } from './keys.js';
import { LeaseRegistry, type ShardLease } from './lease-registry.js';
import { type StateSizeLimits, stateSizeLimits } from './limits.js';
import { type MachineChange, MachineRegistry } from './machine-registry.js';
import { MachineTypeRegistry } from './machine-type-registry.js';
import { ProgressLayout } from './progress-layout.js';
import type { ReplicaEntry } from './replica.js';
import { assignTeamsToShards } from './team-sharding.js';

/** What one changed key concerns. `none`: nothing that anyone has to be notified of. */
export type AppliedChange = { kind: 'none' } | LeaseChange | MachineChange | JobsChange;

/** The lease of a shard, or the leader's, changed its holder. */
export interface LeaseChange {
  kind: 'lease';
  /** the lease's name as text: a shard's number, or `LEADER_LEASE` */
  lease: string;
}

const NO_CHANGE: AppliedChange = { kind: 'none' };

/** The view of the stored records. The maps and sets that it exposes are those of their owners: others only read them. */
export class ClusterState {
  readonly typeNames = new NameInterner();
  readonly zoneNames = new NameInterner();
  readonly imageNames = new NameInterner();
  readonly teamNames = new NameInterner();
  /** the shard of each team, by the team's index */
  readonly shardOfTeam: number[];
  readonly sizeLimits: StateSizeLimits;
  readonly progressLayout: ProgressLayout;
  /** by name; those whose assignment is gone are not in it */
  readonly machines: ReadonlyMap<string, Machine>;
  /** by the lease's name as text */
  readonly leaseHolders: ReadonlyMap<string, ShardLease>;
  /** controllers whose presence was seen to end, and when */
  readonly absentSince: ReadonlyMap<string, Milliseconds>;
  /** by the index of the type's name; null or absent where only the name is known */
  readonly machineTypes: readonly (MachineType | null)[];
  /** the largest accelerator task seen that fits each type: what such a machine is wanted for */
  readonly gpuDemandByType: ReadonlyMap<number, GpuDemand>;
  /** shards whose teams have had accelerator work */
  readonly shardsWithGpuWork: ReadonlySet<number>;
  /** by id; those that are over stay until nothing of them is on any machine */
  readonly jobs: Map<string, Job>;
  /** how jobs ended, by id, also of those that were cancelled with one that they await */
  readonly finishedJobs: ReadonlyMap<string, FinalState>;
  private readonly leases = new LeaseRegistry();
  private readonly machineTypeRegistry: MachineTypeRegistry;
  private readonly machineRegistry: MachineRegistry;
  private readonly imageCaches: ImageCaches;
  private readonly gpuDemand: GpuDemandHistory;
  private readonly jobRegistry: JobRegistry;

  constructor(readonly settings: ControllerSettings) {
    for (const team of settings.teams) this.teamNames.intern(team.name);
    for (const zone of settings.zones) this.zoneNames.intern(zone);
    this.shardOfTeam = assignTeamsToShards(settings);
    this.sizeLimits = stateSizeLimits(settings.state);
    this.progressLayout = new ProgressLayout(settings.state.valueKib, this.sizeLimits.maxWriteBytes);
    this.machineTypeRegistry = new MachineTypeRegistry(this.typeNames);
    this.imageCaches = new ImageCaches(this.imageNames, this.sizeLimits.maxWriteBytes);
    const { typeNames, zoneNames, machineTypeRegistry, imageCaches } = this;
    this.machineRegistry = new MachineRegistry({ typeNames, zoneNames, machineTypeRegistry, imageCaches });
    this.gpuDemand = new GpuDemandHistory(this.machineTypeRegistry.types);
    const jobHost: JobRegistryHost = {
      createJob: (spec) => this.createJob(spec),
      internTypeName: (name) => this.typeNames.intern(name),
      jobStartable: (job) => this.gpuDemand.record(job),
    };
    this.jobRegistry = new JobRegistry(jobHost, this.progressLayout);
    this.machines = this.machineRegistry.machines;
    this.leaseHolders = this.leases.leaseHolders;
    this.absentSince = this.leases.absentSince;
    this.machineTypes = this.machineTypeRegistry.types;
    this.gpuDemandByType = this.gpuDemand.byType;
    this.shardsWithGpuWork = this.gpuDemand.shardsWithGpuWork;
    this.jobs = this.jobRegistry.jobs;
    this.finishedJobs = this.jobRegistry.finishedJobs;
  }

  /** A list of machine types was read, from the cloud or from what is stored. */
  get machineTypesKnown(): boolean {
    return this.machineTypeRegistry.isKnown;
  }

  /** Revision of the newest cancellation that is known. */
  get cancellationRevision(): number {
    return this.jobRegistry.cancellationRevision;
  }

  /** Time of day less the steady clock. */
  get wallClockOffsetMs(): Milliseconds {
    return this.jobRegistry.wallClockOffsetMs;
  }

  set wallClockOffsetMs(ms: Milliseconds) {
    this.jobRegistry.wallClockOffsetMs = ms;
  }

  /** Applies one key, which begins with the root. Returns what it concerns. Throws on a record that can't be read. */
  apply(key: string, entry: ReplicaEntry | null, now: Milliseconds): AppliedChange {
    const { kind, name } = parseStateKey(key);
    switch (kind) {
      case 'shardLease':
        this.leases.applyLease(name, entry);
        return { kind: 'lease', lease: name };
      case 'presence':
        this.leases.applyPresence(name, entry, now);
        return NO_CHANGE;
      case 'job':
        return this.jobRegistry.applyRecord(name, entry, now);
      case 'progress':
        return this.jobRegistry.applyProgress(name, entry);
      case 'jobPart':
        return this.jobRegistry.applyPart(name, entry, now);
      case 'assignment':
        return this.machineRegistry.applyAssignment(name, entry, now) ?? NO_CHANGE;
      case 'imageCache':
        this.imageCaches.apply(name, entry);
        return NO_CHANGE;
      case 'machineTypes':
        return this.applyMachineTypes(entry);
      case 'machineTypesPart':
        return this.applyMachineTypesPart(name, entry);
      case 'other':
        return NO_CHANGE;
      default:
        return kind satisfies never;
    }
  }

  /** This process was paused for `pausedMs`: the absences of controllers are as old as before the pause. */
  processPaused(pausedMs: Milliseconds): void {
    this.leases.processPaused(pausedMs);
  }

  /** Takes over the cloud's list of machine types. */
  setMachineTypes(list: MachineType[]): void {
    this.machineTypeRegistry.setTypes(list);
    this.machineRegistry.refreshCapacities();
  }

  /** How soon a new machine without accelerators can be up for the job; 0 if no type is known that would do. */
  bootTimeFor(job: Job): Milliseconds {
    return this.machineTypeRegistry.bootTimeFor(job);
  }

  /** Replaces the machine's images by those that are stored, least recently used first. */
  restoreImages(machine: Machine): void {
    this.imageCaches.restoreImages(machine);
  }

  /** The machine's most recently used images, as many as fit a stored value. */
  imagesToStore(machine: Machine): StoredImage[] {
    return this.imageCaches.imagesToStore(machine);
  }

  /** The record of the machine's assignment to its shard as it stands, neither to move nor to be released. */
  assignmentOf(machine: Machine): MachineAssignment {
    return this.machineRegistry.assignmentOf(machine);
  }

  /** The lease of a shard or of the leader; null while nobody holds it. */
  leaseOf(lease: LeaseName): ShardLease | null {
    return this.leases.leaseOf(lease);
  }

  /**
   * The fencing token for commands to the machine. Its agent obeys the largest that it has seen; the token rises at each
   * takeover of the shard and at each rewrite of the assignment.
   */
  fencingToken(machine: Machine): number {
    return Math.max(machine.assignmentRevision, this.leaseOf(machine.shard)?.revision ?? 0);
  }

  /** The job with this id, from its record if it was forgotten; null if there is none to run or to stop. */
  restoreJob(id: string, record: ReplicaEntry | null, now: Milliseconds): Job | null {
    return this.jobRegistry.restore(id, record, now);
  }

  /** Forgets the job if it is over and nothing of it is on any machine. */
  forgetIfFinished(job: Job): void {
    this.jobRegistry.forgetIfFinished(job);
  }

  private createJob(spec: JobSpec): Job {
    const team = this.teamNames.indexOf(spec.team);
    return new Job({
      spec,
      teamIndex: team,
      shard: this.shardOfTeam[team] ?? 0,
      typeIndices: spec.machineTypes === null ? null : spec.machineTypes.map((name) => this.typeNames.intern(name)),
      zoneIndex: spec.zone === null ? ANY_ZONE : this.zoneNames.intern(spec.zone),
      imageIndex: this.imageNames.intern(spec.image),
    });
  }

  private applyMachineTypes(entry: ReplicaEntry | null): AppliedChange {
    if (!entry) return NO_CHANGE;
    this.machineTypeRegistry.applyStoredList(entry.value);
    this.machineRegistry.refreshCapacities();
    return NO_CHANGE;
  }

  private applyMachineTypesPart(name: string, entry: ReplicaEntry | null): AppliedChange {
    if (entry && this.machineTypeRegistry.applyStoredPart(name, entry.value)) this.machineRegistry.refreshCapacities();
    return NO_CHANGE;
  }
}
