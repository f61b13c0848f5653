/**
 * The jobs that the state service's keys describe. Owns the table of jobs, how jobs ended, and what was read before the record
 * that it belongs to: parts of records that outgrew a value, and progress. Which job awaits which is JobDependencies' part.
 */
import type { JobSpec } from '@archpost/protocol';
import type { Job, Milliseconds } from '../model/index.js';
import { JobDependencies } from './job-dependencies.js';
import { type FinalState, type JobPart, parseJobPart, parseJobRecord, type StoredJob } from './job-record.js';
import type { ProgressLayout, StoredProgress } from './progress-layout.js';
import type { ReplicaEntry } from './replica.js';

/** Jobs changed with one key. */
export interface JobsChange {
  kind: 'jobs';
  /** the key's own job first, then others that are released or cancelled with it */
  jobs: Job[];
  /** what of the record can't be read, though the rest can; null: all can */
  unreadablePart: string | null;
}

const NO_JOBS: JobsChange = { kind: 'jobs', jobs: [], unreadablePart: null };

function jobsChange(jobs: Job[], unreadablePart: string | null = null): JobsChange {
  return { kind: 'jobs', jobs, unreadablePart };
}

/** A part's key below its prefix: job and group, and the part's number. */
const PART_KEY = /^([^/]+\/[^/]+)\/(\d+)$/;

/** A job some of whose parts weren't read yet. */
interface IncompleteRecord {
  job: Job;
  missingParts: Set<number>;
}

/** What the registry needs of the cluster state that it is part of. */
export interface JobRegistryHost {
  createJob(spec: JobSpec): Job;
  /** the dense index of a machine type's name */
  internTypeName(name: string): number;
  /** Called when nothing is left that a job awaits; a second call for the same job changes nothing. */
  jobStartable(job: Job): void;
}

/** The jobs, by id, as their stored records describe them. */
export class JobRegistry {
  readonly jobs = new Map<string, Job>();
  /** how jobs ended, also of those that were cancelled with one that they await */
  readonly finishedJobs = new Map<string, FinalState>();
  /** revision of the newest cancellation that is known */
  cancellationRevision = 0;
  /** time of day less the steady clock */
  wallClockOffsetMs: Milliseconds = 0;
  private readonly dependencies = new JobDependencies(this.jobs, this.finishedJobs);
  /** by job and group */
  private readonly incompleteRecords = new Map<string, IncompleteRecord>();
  /** parts that were read before the job's record, by job and group, then by number */
  private readonly partsReadEarly = new Map<string, Map<number, JobPart>>();
  /** progress that was read before the job's record, by job, then by the name of the progress part */
  private readonly progressReadEarly = new Map<string, Map<string, StoredProgress>>();
  /** when each cancellation was first read here, also of jobs that were forgotten since */
  private readonly cancellationReadAt = new Map<string, Milliseconds>();

  constructor(
    private readonly host: JobRegistryHost,
    private readonly progressLayout: ProgressLayout,
  ) {}

  // ---- records

  /** Applies a job's record. Throws on what is no job record; the removal of a record changes nothing. */
  applyRecord(id: string, entry: ReplicaEntry | null, now: Milliseconds): JobsChange {
    if (!entry) return NO_JOBS;
    const stored = parseJobRecord(entry.value);
    if (stored.state === 'cancelled') this.cancellationRevision = Math.max(this.cancellationRevision, entry.revision);
    const others = stored.state === 'live' ? [] : this.applyFinalState(id, stored.state, stored.endedAt, now);
    const known = this.jobs.get(id);
    // Of a finished job nothing is left to do; of a cancelled one there may be tasks to stop.
    const { spec } = stored;
    const hasNothingLeft = spec === null || stored.state === 'done';
    const job = known ?? (hasNothingLeft ? null : this.register(spec, stored, now, others));
    if (job === null) return jobsChange(others);
    job.modRevision = entry.revision;
    if (stored.state !== 'live') {
      job.state = stored.state;
      this.dependencies.unlink(job);
    }
    if (!known && !job.isBlocked) this.host.jobStartable(job);
    for (const other of [job, ...others]) this.recordCancellationTime(other, now);
    const jobs = [job, ...others.filter((other) => other !== job)];
    return jobsChange(jobs, stored.awaits === null ? 'the list of awaited jobs' : null);
  }

  /** The job with this id, from its record if it was forgotten; null if there is none to run or to stop. */
  restore(id: string, entry: ReplicaEntry | null, now: Milliseconds): Job | null {
    const known = this.jobs.get(id);
    if (known || !entry) return known ?? null;
    try {
      this.applyRecord(id, entry, now);
    } catch {
      // Whatever is wrong with the record was logged when it was read first; its tasks are stopped like those of an unknown job.
    }
    return this.jobs.get(id) ?? null;
  }

  /** Forgets the job if it is over and nothing of it is on any machine. */
  forgetIfFinished(job: Job): void {
    if (job.state !== 'live' && job.tenure.allocations.size === 0) this.jobs.delete(job.spec.id);
  }

  /**
   * The only way into the table. The job is in it only once all that its record says is known of it: what it
   * awaits, and whether it is over. What is cancelled by that is added to `others`.
   */
  private register(spec: JobSpec, stored: StoredJob, now: Milliseconds, others: Job[]): Job {
    const job = this.host.createJob(spec);
    job.arrivedAt = now;
    job.setSubmittedAt(stored.submittedAt);
    const finalState = this.finishedJobs.get(spec.id);
    if (finalState) job.state = finalState;
    else others.push(...this.applyRecordLists(job, stored, now));
    this.jobs.set(spec.id, job);
    for (const progress of this.progressReadEarly.get(spec.id)?.values() ?? []) this.mergeProgress(job, progress);
    this.progressReadEarly.delete(spec.id);
    return job;
  }

  /** A job is over. Returns those that awaited it and are released or cancelled by that. */
  private applyFinalState(id: string, finalState: FinalState, endedAt: Milliseconds | null, now: Milliseconds): Job[] {
    this.finishedJobs.set(id, finalState);
    this.progressReadEarly.delete(id);
    const { released, cancelled } = this.dependencies.jobFinished(id, finalState, endedAt);
    for (const job of released) this.release(job, now);
    for (const job of cancelled) this.recordCancellationTime(job, now);
    return [...released, ...cancelled];
  }

  private release(job: Job, now: Milliseconds): void {
    this.restartWaitingTime(job, now);
    this.host.jobStartable(job);
  }

  /** Its waiting time counts from the moment when the last job that it awaited was done, whoever saw that. */
  private restartWaitingTime(job: Job, now: Milliseconds): void {
    job.arrivedAt = job.dependenciesDoneAt > 0 ? Math.min(now, job.dependenciesDoneAt - this.wallClockOffsetMs) : now;
  }

  /** The time within which a cancelled job must be gone counts from the first reading of its cancellation here. */
  private recordCancellationTime(job: Job, now: Milliseconds): void {
    if (job.state !== 'cancelled') return;
    const readAt = this.cancellationReadAt.get(job.spec.id) ?? now;
    this.cancellationReadAt.set(job.spec.id, readAt);
    job.cancelledAt = readAt;
  }

  // ---- lists of awaited jobs and machine types

  /** The lists of a job that was read for the first time. Returns what is cancelled by them. */
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

  /** The job stays blocked until all its parts are read. Returns what is cancelled by those that were read before. */
  private expectParts(job: Job, groupKey: string, count: number, now: Milliseconds): Job[] {
    const missingParts = new Set<number>();
    for (let index = 0; index < count; index++) missingParts.add(index);
    job.missingRecordParts = missingParts.size;
    this.incompleteRecords.set(groupKey, { job, missingParts });
    const early = this.partsReadEarly.get(groupKey) ?? new Map<number, JobPart>();
    this.partsReadEarly.delete(groupKey);
    const cancelled: Job[] = [];
    for (const [index, part] of early) cancelled.push(...this.mergePart(groupKey, index, part, now));
    return cancelled;
  }

  /** Applies a part of a job's lists; `key` is job, group and number. Throws on what is no part. */
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
    if (!this.jobs.has(id) && !this.finishedJobs.has(id)) keepEarly(this.partsReadEarly, groupKey, index, part);
    return NO_JOBS;
  }

  /** Returns what is cancelled by the part: the job itself, and those that await it. */
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
    if (cancelled.length === 0 && !job.isBlocked) this.release(job, now);
    for (const other of cancelled) this.recordCancellationTime(other, now);
    return cancelled;
  }

  // ---- progress

  /** Applies a part of a job's progress; `key` is the job and the part's name. Throws on what is no progress. */
  applyProgress(key: string, entry: ReplicaEntry | null): JobsChange {
    if (!entry) return NO_JOBS;
    const separator = key.lastIndexOf('/');
    const id = key.slice(0, separator);
    const partName = key.slice(separator + 1);
    // Parsed before it is kept: progress that can't be read must not keep the job's record from being read.
    const progress = this.progressLayout.parse(partName, entry.value);
    const job = this.jobs.get(id);
    if (job) {
      this.mergeProgress(job, progress);
      return jobsChange([job]);
    }
    if (!this.finishedJobs.has(id)) keepEarly(this.progressReadEarly, id, partName, progress);
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

/** Keeps what was read before the record that it belongs to. */
function keepEarly<Name, Value>(store: Map<string, Map<Name, Value>>, recordId: string, name: Name, value: Value): void {
  const early = store.get(recordId) ?? new Map<Name, Value>();
  store.set(recordId, early.set(name, value));
}
