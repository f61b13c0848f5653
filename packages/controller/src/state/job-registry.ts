/**
 * The jobs that the state service's keys tell of: their records, the parts of records that outgrew a value,
 * their completed tasks, and which awaits which.
 */
import type { JobSpec } from '@archpost/protocol';
import type { Job, Milliseconds } from '../model/index.js';
import { JobDependencies } from './job-dependencies.js';
import { type FinalState, type JobPart, parseJobPart, parseJobRecord, type StoredJob } from './job-record.js';
import type { ProgressLayout, StoredProgress } from './progress-layout.js';
import type { ReplicaEntry } from './replica.js';

/** What a key of a job changes. */
export interface JobRecordChanges {
  /** the key's own job first, then others that are released or cancelled with it */
  jobs: Job[];
  /** what of the record can't be read, though the rest can */
  unreadablePart?: string;
}

const NOTHING: JobRecordChanges = { jobs: [] };

/** A part's key below its prefix: job and group, and the part's number. */
const PART_NAME = /^([^/]+\/[^/]+)\/(\d+)$/;

/** A job some of whose parts were not read yet. */
interface IncompleteRecord {
  job: Job;
  missingParts: Set<number>;
}

export class JobRegistry {
  readonly jobs = new Map<string, Job>();
  /** jobs that are over, in short, and those that are cancelled with one that they need */
  readonly finishedJobs = new Map<string, FinalState>();
  /** stamp of the newest cancellation that is known */
  cancellationRevision = 0;
  /** time of day less the steady clock, ms */
  wallClockOffsetMs: Milliseconds = 0;
  private readonly dependencies = new JobDependencies(this.jobs, this.finishedJobs);
  private readonly incompleteRecords = new Map<string, IncompleteRecord>();
  /** parts and progress that were read before the job's record */
  private readonly partsReadEarly = new Map<string, Map<number, JobPart>>();
  private readonly progressReadEarly = new Map<string, Map<string, StoredProgress>>();
  /** when each cancellation was first read here, also of jobs that have left the table */
  private readonly cancellationReadAt = new Map<string, Milliseconds>();

  constructor(
    private readonly makeJob: (spec: JobSpec) => Job,
    private readonly typeIndex: (name: string) => number,
    /** called when nothing is left that a job awaits; a second call for it changes nothing */
    private readonly onStartable: (job: Job) => void,
    private readonly progress: ProgressLayout,
  ) {}

  // ---- records

  applyRecord(id: string, entry: ReplicaEntry | null, now: Milliseconds): JobRecordChanges {
    if (!entry) return NOTHING;
    const stored = parseJobRecord(entry.value);
    const others = stored.state === 'live' ? [] : this.applyFinalState(id, stored.state, stored.endedAt, entry.revision, now);
    const known = this.jobs.get(id);
    // Of a finished job nothing is left to do; of a cancelled one there may be tasks to stop.
    if (!known && (stored.spec === null || stored.state === 'done')) return { jobs: others };
    const job = known ?? this.register(stored.spec as JobSpec, stored, now, others);
    job.modRevision = entry.revision;
    if (stored.state !== 'live') {
      job.state = stored.state;
      this.dependencies.unlink(job);
    }
    if (!known && !job.isBlocked) this.onStartable(job);
    for (const other of [job, ...others]) this.recordCancellationTime(other, now);
    const jobs = [job, ...others.filter((other) => other !== job)];
    return stored.awaits === null ? { jobs, unreadablePart: 'the list of awaited jobs' } : { jobs };
  }

  /**
   * The job that a machine names. One that has left the table comes back by its record, as it did first; null if
   * there is none to run or to stop.
   */
  restore(id: string, entry: ReplicaEntry | null, now: Milliseconds): Job | null {
    const known = this.jobs.get(id);
    if (known || !entry) return known ?? null;
    try {
      this.applyRecord(id, entry, now);
    } catch {
      // It was logged when it was read first; what it bears is stopped like anything unknown.
    }
    return this.jobs.get(id) ?? null;
  }

  /**
   * The only way into the table. The job is in it only once all that its record says is known of it: what it
   * awaits, and whether it is over. What is cancelled by that is added to `others`.
   */
  private register(spec: JobSpec, stored: StoredJob, now: Milliseconds, others: Job[]): Job {
    const job = this.makeJob(spec);
    job.arrivedAt = now;
    job.setSubmittedAt(stored.submittedAt);
    const final = this.finishedJobs.get(spec.id);
    if (final) job.state = final;
    else others.push(...this.applyRecordLists(job, stored, now));
    this.jobs.set(spec.id, job);
    for (const progress of this.progressReadEarly.get(spec.id)?.values() ?? []) this.mergeProgress(job, progress);
    this.progressReadEarly.delete(spec.id);
    return job;
  }

  /** A job is over. Returns those that awaited it and are released or cancelled by that. */
  private applyFinalState(
    id: string,
    final: FinalState,
    endedAt: Milliseconds | null,
    revision: number,
    now: Milliseconds,
  ): Job[] {
    if (final === 'cancelled') this.cancellationRevision = Math.max(this.cancellationRevision, revision);
    this.finishedJobs.set(id, final);
    this.progressReadEarly.delete(id);
    const { released, cancelled } = this.dependencies.jobFinished(id, final, endedAt);
    for (const job of released) this.release(job, now);
    for (const job of cancelled) this.recordCancellationTime(job, now);
    return [...released, ...cancelled];
  }

  private release(job: Job, now: Milliseconds): void {
    this.restartWaitingTime(job, now);
    this.onStartable(job);
  }

  /** Its times count from the moment when the last job that it needs was done, whoever saw that. */
  private restartWaitingTime(job: Job, now: Milliseconds): void {
    job.arrivedAt = job.dependenciesDoneAt > 0 ? Math.min(now, job.dependenciesDoneAt - this.wallClockOffsetMs) : now;
  }

  /** Its time to be gone counts from the first reading of its cancellation, whoever finds a task of it later. */
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

  private expectParts(job: Job, name: string, count: number, now: Milliseconds): Job[] {
    const left = new Set<number>();
    for (let index = 0; index < count; index++) left.add(index);
    job.missingRecordParts = left.size;
    this.incompleteRecords.set(name, { job, missingParts: left });
    const early = this.partsReadEarly.get(name) ?? new Map<number, JobPart>();
    this.partsReadEarly.delete(name);
    const cancelled: Job[] = [];
    for (const [index, part] of early) cancelled.push(...this.mergePart(name, index, part, now));
    return cancelled;
  }

  applyPart(key: string, entry: ReplicaEntry | null, now: Milliseconds): JobRecordChanges {
    const [, name, number] = PART_NAME.exec(key) ?? [];
    if (!entry || name === undefined) return NOTHING;
    const part = parseJobPart(entry.value);
    const index = Number(number);
    const job = this.incompleteRecords.get(name)?.job;
    if (job) {
      const cancelled = this.mergePart(name, index, part, now);
      return { jobs: [job, ...cancelled.filter((other) => other !== job)] };
    }
    const id = name.slice(0, name.indexOf('/'));
    if (this.jobs.has(id) || this.finishedJobs.has(id)) return NOTHING;
    const early = this.partsReadEarly.get(name) ?? new Map<number, JobPart>();
    this.partsReadEarly.set(name, early.set(index, part));
    return NOTHING;
  }

  private mergePart(name: string, index: number, part: JobPart, now: Milliseconds): Job[] {
    const entry = this.incompleteRecords.get(name);
    if (!entry?.missingParts.delete(index)) return [];
    const { job, missingParts: left } = entry;
    if (job.state !== 'live') {
      this.incompleteRecords.delete(name);
      return [];
    }
    if (part.types.length > 0 && job.typeIndices)
      job.typeIndices = [...job.typeIndices, ...part.types.map((type) => this.typeIndex(type))];
    job.missingRecordParts = left.size;
    const cancelled = this.dependencies.add(job, part.awaits);
    if (left.size === 0 || cancelled.length > 0) this.incompleteRecords.delete(name);
    if (cancelled.length === 0 && !job.isBlocked) this.release(job, now);
    for (const other of cancelled) this.recordCancellationTime(other, now);
    return cancelled;
  }

  // ---- progress

  applyProgress(key: string, entry: ReplicaEntry | null): JobRecordChanges {
    if (!entry) return NOTHING;
    const cut = key.lastIndexOf('/');
    const id = key.slice(0, cut);
    const part = key.slice(cut + 1);
    // Read before it is kept: what can't be read must not keep the job's record from being read.
    const progress = this.progress.parse(part, entry.value);
    const job = this.jobs.get(id);
    if (job) {
      this.mergeProgress(job, progress);
      return { jobs: [job] };
    }
    if (this.finishedJobs.has(id)) return NOTHING;
    const early = this.progressReadEarly.get(id) ?? new Map<string, StoredProgress>();
    this.progressReadEarly.set(id, early.set(part, progress));
    return NOTHING;
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

  // ---- leaving

  /** Nothing of a job that is over is on any machine any more. */
  forgetIfFinished(job: Job): void {
    if (job.state !== 'live' && job.tenure.allocations.size === 0) this.jobs.delete(job.spec.id);
  }
}
