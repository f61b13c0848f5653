/**
 * The jobs that the state service's keys tell of: their records, the parts of records that outgrew a value,
 * their completed tasks, and which awaits which.
 */
import type { JobSpec } from '@archpost/protocol';
import type { Job, Ms } from '../model/index.js';
import { Dependencies } from './job-dependencies.js';
import { type FinalState, type JobPart, parseJobPart, parseJobRecord, type StoredJob } from './job-record.js';
import type { ProgressLayout, StoredProgress } from './progress-layout.js';
import type { Entry } from './replica.js';

/** What a key of a job changes. */
export interface JobChanges {
  /** the key's own job first, then others that are released or cancelled with it */
  jobs: Job[];
  /** what of the record can't be read, though the rest can */
  unreadable?: string;
}

const NOTHING: JobChanges = { jobs: [] };

/** A part's key below its prefix: job and group, and the part's number. */
const PART_NAME = /^([^/]+\/[^/]+)\/(\d+)$/;

/** A job some of whose parts were not read yet. */
interface Incomplete {
  job: Job;
  left: Set<number>;
}

export class JobTable {
  readonly jobs = new Map<string, Job>();
  /** jobs that are over, in short, and those that are cancelled with one that they need */
  readonly finals = new Map<string, FinalState>();
  /** stamp of the newest cancellation that is known */
  cancelStamp = 0;
  /** time of day less the steady clock, ms */
  wallOffset: Ms = 0;
  private readonly dependencies = new Dependencies(this.jobs, this.finals);
  private readonly incomplete = new Map<string, Incomplete>();
  /** parts and progress that were read before the job's record */
  private readonly earlyParts = new Map<string, Map<number, JobPart>>();
  private readonly earlyProgress = new Map<string, Map<string, StoredProgress>>();
  /** when each cancellation was first read here, also of jobs that have left the table */
  private readonly cancellationReadAt = new Map<string, Ms>();

  constructor(
    private readonly makeJob: (spec: JobSpec) => Job,
    private readonly typeIndex: (name: string) => number,
    /** called when nothing is left that a job awaits; a second call for it changes nothing */
    private readonly startable: (job: Job) => void,
    private readonly progress: ProgressLayout,
  ) {}

  // ---- records

  applyRecord(id: string, entry: Entry | null, now: Ms): JobChanges {
    if (!entry) return NOTHING;
    const stored = parseJobRecord(entry.value);
    const others = stored.state === 'live' ? [] : this.applyFinal(id, stored.state, stored.endedAt, entry.stamp, now);
    const known = this.jobs.get(id);
    // Of a finished job nothing is left to do; of a cancelled one there may be tasks to stop.
    if (!known && (stored.spec === null || stored.state === 'done')) return { jobs: others };
    const job = known ?? this.enter(stored.spec as JobSpec, stored, now, others);
    job.stamp = entry.stamp;
    if (stored.state !== 'live') {
      job.state = stored.state;
      this.dependencies.unlink(job);
    }
    if (!known && !job.waits) this.startable(job);
    for (const other of [job, ...others]) this.noteCancelled(other, now);
    const jobs = [job, ...others.filter((other) => other !== job)];
    return stored.awaits === null ? { jobs, unreadable: 'the list of awaited jobs' } : { jobs };
  }

  /**
   * The job that a machine names. One that has left the table comes back by its record, as it did first; null if
   * there is none to run or to stop.
   */
  recall(id: string, entry: Entry | null, now: Ms): Job | null {
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
  private enter(spec: JobSpec, stored: StoredJob, now: Ms, others: Job[]): Job {
    const job = this.makeJob(spec);
    job.arrivedAt = now;
    job.setSubmitted(stored.submittedAt);
    const final = this.finals.get(spec.id);
    if (final) job.state = final;
    else others.push(...this.applyLists(job, stored, now));
    this.jobs.set(spec.id, job);
    for (const progress of this.earlyProgress.get(spec.id)?.values() ?? []) this.mergeProgress(job, progress);
    this.earlyProgress.delete(spec.id);
    return job;
  }

  /** A job is over. Returns those that awaited it and are released or cancelled by that. */
  private applyFinal(id: string, final: FinalState, endedAt: Ms | null, stamp: number, now: Ms): Job[] {
    if (final === 'cancelled') this.cancelStamp = Math.max(this.cancelStamp, stamp);
    this.finals.set(id, final);
    this.earlyProgress.delete(id);
    const { released, cancelled } = this.dependencies.ended(id, final, endedAt);
    for (const job of released) this.release(job, now);
    for (const job of cancelled) this.noteCancelled(job, now);
    return [...released, ...cancelled];
  }

  private release(job: Job, now: Ms): void {
    this.countTimes(job, now);
    this.startable(job);
  }

  /** Its times count from the moment when the last job that it needs was done, whoever saw that. */
  private countTimes(job: Job, now: Ms): void {
    job.arrivedAt = job.readyAt > 0 ? Math.min(now, job.readyAt - this.wallOffset) : now;
  }

  /** Its time to be gone counts from the first reading of its cancellation, whoever finds a task of it later. */
  private noteCancelled(job: Job, now: Ms): void {
    if (job.state !== 'cancelled') return;
    const readAt = this.cancellationReadAt.get(job.spec.id) ?? now;
    this.cancellationReadAt.set(job.spec.id, readAt);
    job.cancelledAt = readAt;
  }

  // ---- lists of awaited jobs and machine types

  /** The lists of a job that was read for the first time. Returns what is cancelled by them. */
  private applyLists(job: Job, stored: StoredJob, now: Ms): Job[] {
    if (stored.awaits === null) {
      job.missingParts = Number.POSITIVE_INFINITY;
      return [];
    }
    const cancelled = this.dependencies.add(job, stored.awaits);
    if (cancelled.length > 0) return cancelled;
    if (stored.parts) return this.awaitParts(job, `${job.spec.id}/${stored.parts.group}`, stored.parts.count, now);
    if (!job.waits) this.countTimes(job, now);
    return [];
  }

  private awaitParts(job: Job, name: string, count: number, now: Ms): Job[] {
    const left = new Set<number>();
    for (let index = 0; index < count; index++) left.add(index);
    job.missingParts = left.size;
    this.incomplete.set(name, { job, left });
    const early = this.earlyParts.get(name) ?? new Map<number, JobPart>();
    this.earlyParts.delete(name);
    const cancelled: Job[] = [];
    for (const [index, part] of early) cancelled.push(...this.mergePart(name, index, part, now));
    return cancelled;
  }

  applyPart(key: string, entry: Entry | null, now: Ms): JobChanges {
    const [, name, number] = PART_NAME.exec(key) ?? [];
    if (!entry || name === undefined) return NOTHING;
    const part = parseJobPart(entry.value);
    const index = Number(number);
    const job = this.incomplete.get(name)?.job;
    if (job) {
      const cancelled = this.mergePart(name, index, part, now);
      return { jobs: [job, ...cancelled.filter((other) => other !== job)] };
    }
    const id = name.slice(0, name.indexOf('/'));
    if (this.jobs.has(id) || this.finals.has(id)) return NOTHING;
    const early = this.earlyParts.get(name) ?? new Map<number, JobPart>();
    this.earlyParts.set(name, early.set(index, part));
    return NOTHING;
  }

  private mergePart(name: string, index: number, part: JobPart, now: Ms): Job[] {
    const entry = this.incomplete.get(name);
    if (!entry?.left.delete(index)) return [];
    const { job, left } = entry;
    if (job.state !== 'live') {
      this.incomplete.delete(name);
      return [];
    }
    if (part.types.length > 0 && job.types) job.types = [...job.types, ...part.types.map((type) => this.typeIndex(type))];
    job.missingParts = left.size;
    const cancelled = this.dependencies.add(job, part.awaits);
    if (left.size === 0 || cancelled.length > 0) this.incomplete.delete(name);
    if (cancelled.length === 0 && !job.waits) this.release(job, now);
    for (const other of cancelled) this.noteCancelled(other, now);
    return cancelled;
  }

  // ---- progress

  applyProgress(key: string, entry: Entry | null): JobChanges {
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
    if (this.finals.has(id)) return NOTHING;
    const early = this.earlyProgress.get(id) ?? new Map<string, StoredProgress>();
    this.earlyProgress.set(id, early.set(part, progress));
    return NOTHING;
  }

  private mergeProgress(job: Job, progress: StoredProgress): void {
    for (const task of progress) {
      if (task >= job.spec.tasks) continue;
      job.stored[task] = 1;
      if (job.done[task]) continue;
      job.done[task] = 1;
      job.doneCount++;
    }
  }

  // ---- leaving

  /** Nothing of a job that is over is on any machine any more. */
  drop(job: Job): void {
    if (job.state !== 'live' && job.placements.size === 0) this.jobs.delete(job.spec.id);
  }
}
