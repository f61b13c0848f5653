/**
 * The cluster state: a materialized view of the state service's keys, in the form that scheduling decisions use. Each kind of
 * record has one owner (leases, machine types, machines, image caches, jobs, accelerator demand); this module creates the
 * owners, routes each changed key to its owner, and is the interface to other folders.
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

/** What one changed key affects. `none`: no listener has to be notified. */
export type AppliedChange = { kind: 'none' } | LeaseChange | MachineChange | JobsChange;

/** A change of a shard lease or of the leader lease: it was acquired, changed its holder or ended. */
export interface LeaseChange {
  kind: 'lease';
  /** the lease's name as text: a shard's number, or `LEADER_LEASE` */
  lease: string;
}

const NO_CHANGE: AppliedChange = { kind: 'none' };

/** The view of the stored records. The exposed maps and sets belong to the record owners; other modules only read them. */
export class ClusterState {
  readonly typeNames = new NameInterner();
  readonly zoneNames = new NameInterner();
  readonly imageNames = new NameInterner();
  readonly teamNames = new NameInterner();
  /** the shard of each team, by team index */
  readonly shardOfTeam: number[];
  readonly sizeLimits: StateSizeLimits;
  readonly progressLayout: ProgressLayout;
  /** by name, without machines whose assignment was removed */
  readonly machines: ReadonlyMap<string, Machine>;
  /** by the lease's name as text */
  readonly leasesByName: ReadonlyMap<string, ShardLease>;
  /** by controller name: when this controller read that the presence record was removed */
  readonly absentSince: ReadonlyMap<string, Milliseconds>;
  /** by the index of the type's name; null or absent: only the name of the type is known */
  readonly machineTypes: readonly (MachineType | null)[];
  /** by machine type index: the largest amount of each resource among the accelerator tasks that fit the type */
  readonly gpuDemandByType: ReadonlyMap<number, GpuDemand>;
  /** shards that have had startable accelerator jobs */
  readonly shardsWithGpuWork: ReadonlySet<number>;
  /** by id; a done or cancelled job stays until none of its tasks is allocated */
  readonly jobs: Map<string, Job>;
  /** how jobs ended, by id, including jobs that were cancelled because a dependency was */
  readonly finishedJobs: ReadonlyMap<string, FinalState>;
  private readonly leaseRegistry = new LeaseRegistry();
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
      onJobStartable: (job) => this.gpuDemand.record(job),
    };
    this.jobRegistry = new JobRegistry(jobHost, this.progressLayout);
    this.machines = this.machineRegistry.machines;
    this.leasesByName = this.leaseRegistry.leasesByName;
    this.absentSince = this.leaseRegistry.absentSince;
    this.machineTypes = this.machineTypeRegistry.types;
    this.gpuDemandByType = this.gpuDemand.byType;
    this.shardsWithGpuWork = this.gpuDemand.shardsWithGpuWork;
    this.jobs = this.jobRegistry.jobs;
    this.finishedJobs = this.jobRegistry.finishedJobs;
  }

  /** Whether a list of machine types was read, from the cloud or from the stored records. */
  get areMachineTypesKnown(): boolean {
    return this.machineTypeRegistry.isKnown;
  }

  /** Revision of the newest cancellation that was read. */
  get cancellationRevision(): number {
    return this.jobRegistry.cancellationRevision;
  }

  /** Wall-clock time minus the time of the monotonic clock. */
  get wallClockOffsetMs(): Milliseconds {
    return this.jobRegistry.wallClockOffsetMs;
  }

  set wallClockOffsetMs(ms: Milliseconds) {
    this.jobRegistry.wallClockOffsetMs = ms;
  }

  /** Applies a change of one key, which begins with the root. Returns what it affects. Throws if the record can't be read. */
  apply(key: string, entry: ReplicaEntry | null, now: Milliseconds): AppliedChange {
    const { kind, name } = parseStateKey(key);
    switch (kind) {
      case 'shardLease':
        this.leaseRegistry.applyLease(name, entry);
        return { kind: 'lease', lease: name };
      case 'presence':
        this.leaseRegistry.applyPresence(name, entry, now);
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

  /** Shifts the start of all absences by `pausedMs`, so that a pause of this process doesn't count as absence. */
  onProcessPaused(pausedMs: Milliseconds): void {
    this.leaseRegistry.onProcessPaused(pausedMs);
  }

  /** Sets the machine types from the cloud's list. */
  setMachineTypes(list: MachineType[]): void {
    this.machineTypeRegistry.setTypes(list);
    this.machineRegistry.refreshCapacities();
  }

  /** Returns the shortest boot time of the known machine types without accelerators that can run the job; 0 if there is none. */
  bootTimeFor(job: Job): Milliseconds {
    return this.machineTypeRegistry.bootTimeFor(job);
  }

  /** Replaces the machine's images with the stored list, least recently used first. */
  restoreImages(machine: Machine): void {
    this.imageCaches.restoreImages(machine);
  }

  /** Returns the machine's most recently used images, as many as fit into one stored value. */
  imagesToStore(machine: Machine): StoredImage[] {
    return this.imageCaches.imagesToStore(machine);
  }

  /** Returns the machine's current assignment, without a requested move or release. */
  assignmentOf(machine: Machine): MachineAssignment {
    return this.machineRegistry.assignmentOf(machine);
  }

  /** Returns the lease of a shard or of the leader; null if no controller holds it. */
  leaseOf(lease: LeaseName): ShardLease | null {
    return this.leaseRegistry.leaseOf(lease);
  }

  /**
   * Returns the fencing token for commands to the machine. The machine's agent rejects commands with a lower token than the
   * highest that it has seen. The token rises at each takeover of the shard and at each rewrite of the assignment.
   */
  fencingToken(machine: Machine): number {
    return Math.max(machine.assignmentRevision, this.leaseOf(machine.shard)?.revision ?? 0);
  }

  /** Returns the job with this id, restored from its record if it was forgotten; null if there are no tasks to run or stop. */
  restoreJob(id: string, record: ReplicaEntry | null, now: Milliseconds): Job | null {
    return this.jobRegistry.restore(id, record, now);
  }

  /** Whether the task never starts again: its job is done or cancelled, or the task is stored as done. */
  isTaskFinished(jobId: string, index: number): boolean {
    return this.finishedJobs.has(jobId) || this.jobs.get(jobId)?.storedDone[index] === 1;
  }

  /** Forgets the job if it is done or cancelled and none of its tasks is allocated. */
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
