/**
 * The jobs that the stored records describe. Owns the table of jobs, how jobs ended, and stored data that was read before the
 * job record that it belongs to: progress, and the parts of records that are too large for one value. `JobDependencies` owns
 * the dependency graph.
 */
import type { JobSpec } from '@archpost/protocol';
import type { Job, Milliseconds } from '../model/index.js';
import { JobDependencies } from './job-dependencies.js';
import { type FinalState, type JobPart, parseJobPart, parseJobRecord, type StoredJob } from './job-record.js';
import type { ProgressLayout, StoredProgress } from './progress-layout.js';
import type { ReplicaEntry } from './replica.js';

/** The jobs that the change of one key affects. */
export interface JobsChange {
  kind: 'jobs';
  /** the key's own job first, then jobs that are unblocked or cancelled because of it */
  jobs: Job[];
  /** description of the part of the record that can't be read, if the rest can; null: all of it can be read */
  unreadablePart: string | null;
}

const NO_JOBS: JobsChange = { kind: 'jobs', jobs: [], unreadablePart: null };

function jobsChange(jobs: Job[], unreadablePart: string | null = null): JobsChange {
  return { kind: 'jobs', jobs, unreadablePart };
}

/** The key of a record part after the prefix: `job/group`, then the part's number. */
const PART_KEY = /^([^/]+\/[^/]+)\/(\d+)$/;

/** A job whose record parts weren't all read yet. */
interface IncompleteRecord {
  job: Job;
  missingParts: Set<number>;
}

/** The operations of the cluster state that the registry uses. */
export interface JobRegistryHost {
  createJob(spec: JobSpec): Job;
  /** Returns the dense index of a machine type's name. */
  internTypeName(name: string): number;
  /** Called when a job has no unfinished dependencies. A second call for the same job must have no effect. */
  onJobStartable(job: Job): void;
}

/** The jobs, by id, as their stored records describe them. */
export class JobRegistry {
  readonly jobs = new Map<string, Job>();
  /** how jobs ended, by id, including jobs that were cancelled because a dependency was */
  readonly finishedJobs = new Map<string, FinalState>();
  /** revision of the newest cancellation that was read */
  cancellationRevision = 0;
  /** wall-clock time minus the time of the monotonic clock */
  wallClockOffsetMs: Milliseconds = 0;
  private readonly dependencies = new JobDependencies(this.jobs, this.finishedJobs);
  /** by `job/group` */
  private readonly incompleteRecords = new Map<string, IncompleteRecord>();
  /** parts that were read before the job's record, by `job/group`, then by part number */
  private readonly bufferedParts = new Map<string, Map<number, JobPart>>();
  /** progress that was read before the job's record, by job id, then by the name of the progress part */
  private readonly bufferedProgress = new Map<string, Map<string, StoredProgress>>();
  /** by job id: when this controller first read its cancellation, also for jobs that were forgotten since */
  private readonly cancellationReadAt = new Map<string, Milliseconds>();

  constructor(
    private readonly host: JobRegistryHost,
    private readonly progressLayout: ProgressLayout,
  ) {}

  // ---- records

  /** Applies a job's record. Throws if the record can't be read. The removal of a record has no effect. */
  applyRecord(id: string, entry: ReplicaEntry | null, now: Milliseconds): JobsChange {
    if (!entry) return NO_JOBS;
    const stored = parseJobRecord(entry.value);
    if (stored.state === 'cancelled') this.cancellationRevision = Math.max(this.cancellationRevision, entry.revision);
    const affectedJobs = stored.state === 'live' ? [] : this.applyFinalState(id, stored.state, stored.endedAt, now);
    const existing = this.jobs.get(id);
    // A done job has no tasks left to run or stop. A cancelled job may still have tasks to stop.
    const { spec } = stored;
    const hasNoTasksLeft = spec === null || stored.state === 'done';
    const job = existing ?? (hasNoTasksLeft ? null : this.register(spec, stored, now, affectedJobs));
    if (job === null) return jobsChange(affectedJobs);
    job.modRevision = entry.revision;
    if (stored.state !== 'live') {
      job.state = stored.state;
      this.dependencies.unlink(job);
    }
    if (!existing && !job.isBlocked) this.host.onJobStartable(job);
    for (const other of [job, ...affectedJobs]) this.recordCancellationTime(other, now);
    const jobs = [job, ...affectedJobs.filter((other) => other !== job)];
    return jobsChange(jobs, stored.awaits === null ? 'the list of awaited jobs' : null);
  }

  /** Returns the job with this id, restored from its record if it was forgotten; null if there are no tasks to run or stop. */
  restore(id: string, entry: ReplicaEntry | null, now: Milliseconds): Job | null {
    const existing = this.jobs.get(id);
    if (existing || !entry) return existing ?? null;
    try {
      this.applyRecord(id, entry, now);
    } catch {
      // The error was logged when the record was first read. The job's tasks are stopped like those of an unknown job.
    }
    return this.jobs.get(id) ?? null;
  }

  /** Forgets the job if it is done or cancelled and none of its tasks is allocated. */
  forgetIfFinished(job: Job): void {
    if (job.state !== 'live' && job.tenure.allocations.size === 0) this.jobs.delete(job.spec.id);
  }

  /**
   * Adds a job to the table; no other function does. The job is added only after its record was applied: its dependencies and
   * whether it has ended. Jobs that are cancelled because of a cancelled dependency in the record are appended to
   * `cancelledJobs`.
   */
  private register(spec: JobSpec, stored: StoredJob, now: Milliseconds, cancelledJobs: Job[]): Job {
    const job = this.host.createJob(spec);
    job.eligibleAt = now;
    job.setSubmittedAt(stored.submittedAt);
    const finalState = this.finishedJobs.get(spec.id);
    if (finalState) job.state = finalState;
    else cancelledJobs.push(...this.applyRecordLists(job, stored, now));
    this.jobs.set(spec.id, job);
    for (const progress of this.bufferedProgress.get(spec.id)?.values() ?? []) this.mergeProgress(job, progress);
    this.bufferedProgress.delete(spec.id);
    return job;
  }

  /** Records the end of a job. Returns its dependents that are unblocked or cancelled by it. */
  private applyFinalState(id: string, finalState: FinalState, endedAt: Milliseconds | null, now: Milliseconds): Job[] {
    this.finishedJobs.set(id, finalState);
    this.bufferedProgress.delete(id);
    const { unblocked, cancelled } = this.dependencies.recordJobFinished(id, finalState, endedAt);
    for (const job of unblocked) this.unblock(job, now);
    for (const job of cancelled) this.recordCancellationTime(job, now);
    return [...unblocked, ...cancelled];
  }

  private unblock(job: Job, now: Milliseconds): void {
    this.restartWaitingTime(job, now);
    this.host.onJobStartable(job);
  }

  /** Counts the waiting time from the end of the last dependency, no matter which controller observed that end. */
  private restartWaitingTime(job: Job, now: Milliseconds): void {
    job.eligibleAt = job.dependenciesDoneAt > 0 ? Math.min(now, job.dependenciesDoneAt - this.wallClockOffsetMs) : now;
  }

  /**
   * Sets the time of cancellation of a cancelled job. The time limit for stopping its tasks counts from when this controller
   * first read the cancellation.
   */
  private recordCancellationTime(job: Job, now: Milliseconds): void {
    if (job.state !== 'cancelled') return;
    const readAt = this.cancellationReadAt.get(job.spec.id) ?? now;
    this.cancellationReadAt.set(job.spec.id, readAt);
    job.cancelledAt = readAt;
  }

  // ---- lists of dependencies and machine types

  /** Applies the lists of a job that was read for the first time. Returns the jobs that are cancelled by them. */
  private applyRecordLists(job: Job, stored: StoredJob, now: Milliseconds): Job[] {
    if (stored.awaits === null) {
      job.missingRecordParts = Number.POSITIVE_INFINITY;
      return [];
    }
    const cancelled = this.dependencies.add(job, stored.awaits);
    if (cancelled.length > 0) return cancelled;
    if (stored.parts) return this.expectParts(job, `${job.spec.id}/${stored.parts.group}`, stored.parts.count, now);
    if (!job.isBlocked) this.restartWaitingTime(job, now);
    return [];
  }

  /** Blocks the job until all its parts are read. Returns the jobs that are cancelled by parts that were read before. */
  private expectParts(job: Job, groupKey: string, count: number, now: Milliseconds): Job[] {
    const missingParts = new Set<number>();
    for (let index = 0; index < count; index++) missingParts.add(index);
    job.missingRecordParts = missingParts.size;
    this.incompleteRecords.set(groupKey, { job, missingParts });
    const buffered = this.bufferedParts.get(groupKey) ?? new Map<number, JobPart>();
    this.bufferedParts.delete(groupKey);
    const cancelled: Job[] = [];
    for (const [index, part] of buffered) cancelled.push(...this.mergePart(groupKey, index, part, now));
    return cancelled;
  }

  /** Applies a part of a job's lists. `key`: `job/group/number`. Throws if the part can't be read. */
  applyPart(key: string, entry: ReplicaEntry | null, now: Milliseconds): JobsChange {
    const [, groupKey, number] = PART_KEY.exec(key) ?? [];
    if (!entry || groupKey === undefined) return NO_JOBS;
    const part = parseJobPart(entry.value);
    const index = Number(number);
    const job = this.incompleteRecords.get(groupKey)?.job;
    if (job) {
      const cancelled = this.mergePart(groupKey, index, part, now);
      return jobsChange([job, ...cancelled.filter((other) => other !== job)]);
    }
    const id = groupKey.slice(0, groupKey.indexOf('/'));
    if (!this.jobs.has(id) && !this.finishedJobs.has(id)) bufferValue(this.bufferedParts, groupKey, index, part);
    return NO_JOBS;
  }

  /** Returns the jobs that are cancelled by the part: the job itself and its dependents. */
  private mergePart(groupKey: string, index: number, part: JobPart, now: Milliseconds): Job[] {
    const incomplete = this.incompleteRecords.get(groupKey);
    if (!incomplete?.missingParts.delete(index)) return [];
    const { job, missingParts } = incomplete;
    if (job.state !== 'live') {
      this.incompleteRecords.delete(groupKey);
      return [];
    }
    if (part.types.length > 0 && job.typeIndices)
      job.typeIndices = [...job.typeIndices, ...part.types.map((type) => this.host.internTypeName(type))];
    job.missingRecordParts = missingParts.size;
    const cancelled = this.dependencies.add(job, part.awaits);
    if (missingParts.size === 0 || cancelled.length > 0) this.incompleteRecords.delete(groupKey);
    if (cancelled.length === 0 && !job.isBlocked) this.unblock(job, now);
    for (const other of cancelled) this.recordCancellationTime(other, now);
    return cancelled;
  }

  // ---- progress

  /** Applies a part of a job's progress. `key`: the job's id and the part's name, as `id/name`. Throws if it can't be read. */
  applyProgress(key: string, entry: ReplicaEntry | null): JobsChange {
    if (!entry) return NO_JOBS;
    const separator = key.lastIndexOf('/');
    const id = key.slice(0, separator);
    const partName = key.slice(separator + 1);
    // Parsed before it is buffered: unreadable progress must not prevent the job's record from being applied.
    const progress = this.progressLayout.parse(partName, entry.value);
    const job = this.jobs.get(id);
    if (job) {
      this.mergeProgress(job, progress);
      return jobsChange([job]);
    }
    if (!this.finishedJobs.has(id)) bufferValue(this.bufferedProgress, id, partName, progress);
    return NO_JOBS;
  }

  private mergeProgress(job: Job, progress: StoredProgress): void {
    for (const task of progress) {
      if (task >= job.spec.tasks) continue;
      job.storedDone[task] = 1;
      if (job.done[task]) continue;
      job.done[task] = 1;
      job.doneCount++;
    }
  }
}

/** Buffers a value that was read before the record that it belongs to. */
function bufferValue<Name, Value>(buffer: Map<string, Map<Name, Value>>, recordId: string, name: Name, value: Value): void {
  const values = buffer.get(recordId) ?? new Map<Name, Value>();
  buffer.set(recordId, values.set(name, value));
}
