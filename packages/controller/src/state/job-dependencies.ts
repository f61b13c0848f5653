/**
 * Which job awaits which, and what follows from it: when a job may start, that it is cancelled with a job that
 * it needs, and the priority and deadline that a job has from those that need it.
 *
 * A user can only name jobs that were accepted before, so there are no cycles; a stored record that says
 * otherwise makes the jobs of its cycle wait for ever, and every walk here still ends.
 */

import type { Job, Milliseconds } from '../model/index.js';
import type { FinalState } from './job-record.js';

/** What the end of a job means for those that await it. */
export interface DependencyOutcome {
  /** nothing is left that they await */
  released: Job[];
  /** cancelled with it */
  cancelled: Job[];
}

/** Time that a job takes once it may start, by its owner's estimate and with the image to fetch at 1 GB a second. */
export function expectedDurationMs(job: Job): Milliseconds {
  return job.expectedRunMs + job.spec.imageGb * 1000;
}

/**
 * The jobs that wait for others. Every controller derives the same from what is stored; nothing of this is
 * written. Each step costs in proportion to the edges that it concerns.
 */
export class JobDependencies {
  /** jobs that still wait for a job, by that job's id */
  private readonly dependents = new Map<string, Set<Job>>();
  /** when jobs that are done ended, by the time of day */
  private readonly endedAt = new Map<string, Milliseconds>();

  constructor(
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly finishedJobs: Map<string, FinalState>,
  ) {}

  /** Adds edges to a job. Returns what is cancelled: the job itself, and those that need it. */
  add(job: Job, awaits: readonly string[]): Job[] {
    for (const id of awaits) {
      const final = this.finishedJobs.get(id);
      if (final === 'cancelled') return this.cancel(job);
      if (final === 'done') this.recordDependencyDone(job, id);
      else this.link(job, id);
    }
    // Jobs that need it may have been read first.
    this.recomputeOwnRequirements(job);
    this.propagateRequirements(job);
    return [];
  }

  private link(job: Job, id: string): void {
    job.awaitedJobs.add(id);
    const waiting = this.dependents.get(id);
    if (waiting) waiting.add(job);
    else this.dependents.set(id, new Set([job]));
  }

  /** A job's stored state became final. */
  jobFinished(id: string, final: FinalState, endedAt: Milliseconds | null): DependencyOutcome {
    if (final === 'cancelled') return { released: [], cancelled: this.cancelDependents(id) };
    if (endedAt !== null) this.endedAt.set(id, endedAt);
    const released: Job[] = [];
    for (const job of this.dependents.get(id) ?? []) {
      job.awaitedJobs.delete(id);
      this.recordDependencyDone(job, id);
      if (!job.isBlocked) released.push(job);
    }
    this.dependents.delete(id);
    return { released, cancelled: [] };
  }

  /** Cancelled by its own user: what it awaits has one job less that needs it. */
  unlink(job: Job): void {
    for (const before of this.removeEdges(job)) this.recomputeRequirements(before);
  }

  /** Returns the jobs that it awaited. */
  private removeEdges(job: Job): Job[] {
    const before = this.awaitedJobsOf(job);
    for (const id of job.awaitedJobs) {
      const waiting = this.dependents.get(id);
      waiting?.delete(job);
      if (waiting?.size === 0) this.dependents.delete(id);
    }
    job.awaitedJobs.clear();
    return before;
  }

  private cancel(job: Job): Job[] {
    return this.cancelAll([job]);
  }

  /** All jobs that need this one, directly or through others. */
  private cancelDependents(id: string): Job[] {
    const waiting = [...(this.dependents.get(id) ?? [])];
    this.dependents.delete(id);
    return this.cancelAll(waiting);
  }

  /** These and all that need them. What else they awaited is looked at once, however many there are. */
  private cancelAll(first: readonly Job[]): Job[] {
    const cancelled: Job[] = [];
    const needLess = new Set<Job>();
    const open = [...first];
    for (let job = open.pop(); job !== undefined; job = open.pop()) {
      // What is over has no edges; were one left, nothing that is over would become anything else.
      if (job.state !== 'live') continue;
      job.state = 'cancelled';
      this.finishedJobs.set(job.spec.id, 'cancelled');
      cancelled.push(job);
      for (const before of this.removeEdges(job)) needLess.add(before);
      for (const dependent of this.dependents.get(job.spec.id) ?? []) open.push(dependent);
      this.dependents.delete(job.spec.id);
    }
    for (const before of needLess) if (before.state === 'live') this.recomputeRequirements(before);
    return cancelled;
  }

  private recordDependencyDone(job: Job, id: string): void {
    job.dependenciesDoneAt = Math.max(job.dependenciesDoneAt, this.endedAt.get(id) ?? 0);
  }

  // ---- inherited priority and deadline

  /** New edges only raise what the jobs before have from this one: nothing else that needs them is looked at. */
  private propagateRequirements(job: Job): void {
    const raised = new Set<Job>([job]);
    for (const next of this.dependentsFirst(job)) {
      if (!raised.has(next)) continue;
      for (const before of this.awaitedJobsOf(next)) if (this.inheritFromDependent(before, next)) raised.add(before);
    }
  }

  private awaitedJobsOf(job: Job): Job[] {
    return [...job.awaitedJobs].flatMap((id) => this.jobs.get(id) ?? []);
  }

  /** The job gets the priority and the deadline of one that needs it, where these are higher and earlier. */
  private inheritFromDependent(job: Job, dependent: Job): boolean {
    const startBy = dependent.effectiveDeadlineAt - expectedDurationMs(dependent);
    const isEarlier = startBy < job.effectiveDeadlineAt;
    if (!isEarlier && dependent.priority <= job.priority) return false;
    job.priority = Math.max(job.priority, dependent.priority);
    if (isEarlier) {
      job.effectiveDeadlineAt = startBy;
      job.effectiveDeadlineSpanMs = dependent.effectiveDeadlineSpanMs;
    }
    return true;
  }

  /** Works out anew what the job has from those that need it, and what the jobs before it have from it. */
  private recomputeRequirements(job: Job): void {
    const stale = new Set<Job>([job]);
    for (const next of this.dependentsFirst(job)) {
      if (!stale.has(next)) continue;
      if (this.recomputeOwnRequirements(next)) for (const before of this.awaitedJobsOf(next)) stale.add(before);
    }
  }

  /** The job and all that it awaits through others, each after those of them that need it. */
  private dependentsFirst(job: Job): Job[] {
    const seen = new Set<Job>([job]);
    const order: Job[] = [];
    const stack = [{ job, open: [...job.awaitedJobs] }];
    while (stack.length > 0) {
      const top = stack[stack.length - 1] as { job: Job; open: string[] };
      const id = top.open.pop();
      if (id === undefined) {
        order.push(top.job);
        stack.pop();
        continue;
      }
      const next = this.jobs.get(id);
      if (!next || seen.has(next)) continue;
      seen.add(next);
      stack.push({ job: next, open: [...next.awaitedJobs] });
    }
    return order.reverse();
  }

  /** The highest priority and the earliest end among the job's own and those of the jobs that need it. */
  private recomputeOwnRequirements(job: Job): boolean {
    let priority = job.spec.rank;
    let endBy = job.deadlineAt;
    let slack = job.deadlineSpanMs;
    for (const dependent of this.dependents.get(job.spec.id) ?? []) {
      priority = Math.max(priority, dependent.priority);
      const startBy = dependent.effectiveDeadlineAt - expectedDurationMs(dependent);
      if (startBy >= endBy) continue;
      endBy = startBy;
      slack = dependent.effectiveDeadlineSpanMs;
    }
    if (priority === job.priority && endBy === job.effectiveDeadlineAt && slack === job.effectiveDeadlineSpanMs) return false;
    job.priority = priority;
    job.effectiveDeadlineAt = endBy;
    job.effectiveDeadlineSpanMs = slack;
    return true;
  }
}
