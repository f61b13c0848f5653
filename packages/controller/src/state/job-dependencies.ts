/**
 * The dependency graph of jobs: which job awaits which, and what follows from it: when a job may start, that it is cancelled
 * with a job that it awaits, and the priority and deadline that it inherits from its dependents. Owns the edges, and of a job
 * its awaited jobs and its effective priority and deadline.
 *
 * A user can only name jobs that were accepted before, so there are no cycles; a stored record that says
 * otherwise makes the jobs of its cycle wait for ever, and every traversal here still ends.
 */
import type { Job, Milliseconds } from '../model/index.js';
import type { FinalState } from './job-record.js';

/** What the end of a job means for its dependents. */
export interface DependencyOutcome {
  /** they await nothing more */
  released: Job[];
  /** cancelled with it */
  cancelled: Job[];
}

/** One job on the way of a depth-first traversal, and the jobs that it awaits and that weren't visited yet. */
interface TraversalStep {
  job: Job;
  unvisitedIds: string[];
}

/** Assumed time to fetch a GB of an image. */
const IMAGE_FETCH_MS_PER_GB = 1000;

/** Time that a job takes once it may start: one of its tasks' run, and the fetching of its image. */
export function expectedDurationMs(job: Job): Milliseconds {
  return job.expectedRunMs + job.spec.imageSizeGb * IMAGE_FETCH_MS_PER_GB;
}

/** Time of day by which the job has to start to meet its effective deadline. */
function latestStartOf(job: Job): Milliseconds {
  return job.effectiveDeadlineAt - expectedDurationMs(job);
}

/**
 * The edges between jobs. Every controller derives the same from what is stored; nothing of this is written. Each
 * operation costs in proportion to the edges that it concerns.
 */
export class JobDependencies {
  /** jobs that still await a job, by that job's id */
  private readonly dependents = new Map<string, Set<Job>>();
  /** time of day when jobs that are done ended, by id */
  private readonly endedAt = new Map<string, Milliseconds>();

  constructor(
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly finishedJobs: Map<string, FinalState>,
  ) {}

  /** Makes a job await others. Returns what is cancelled if one of these was: the job itself, and those that await it. */
  add(job: Job, awaitedIds: readonly string[]): Job[] {
    for (const id of awaitedIds) {
      const finalState = this.finishedJobs.get(id);
      if (finalState === 'cancelled') return this.cancelAll([job]);
      if (finalState === 'done') this.recordDependencyDone(job, id);
      else this.link(job, id);
    }
    // Its dependents may have been read before it.
    this.recomputeOwnRequirements(job);
    this.propagateRequirements(job);
    return [];
  }

  private link(job: Job, id: string): void {
    job.awaitedJobs.add(id);
    const dependents = this.dependents.get(id);
    if (dependents) dependents.add(job);
    else this.dependents.set(id, new Set([job]));
  }

  /** A job's stored state became final. `endedAt`: time of day; null if it isn't known. */
  jobFinished(id: string, finalState: FinalState, endedAt: Milliseconds | null): DependencyOutcome {
    if (finalState === 'cancelled') return { released: [], cancelled: this.cancelDependents(id) };
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

  /** Removes the edges of a job that is over: the jobs that it awaited inherit nothing from it any more. */
  unlink(job: Job): void {
    for (const awaited of this.removeEdges(job)) this.recomputeRequirements(awaited);
  }

  /** Removes the edges to what a job awaits. Returns the jobs that it awaited. */
  private removeEdges(job: Job): Job[] {
    const awaitedJobs = this.awaitedJobsOf(job);
    for (const id of job.awaitedJobs) {
      const dependents = this.dependents.get(id);
      dependents?.delete(job);
      if (dependents?.size === 0) this.dependents.delete(id);
    }
    job.awaitedJobs.clear();
    return awaitedJobs;
  }

  /** Cancels all jobs that await this one, directly or through others. */
  private cancelDependents(id: string): Job[] {
    const dependents = [...(this.dependents.get(id) ?? [])];
    this.dependents.delete(id);
    return this.cancelAll(dependents);
  }

  /** Cancels these and all that await them. What else they awaited is recomputed once, however many of them there are. */
  private cancelAll(roots: readonly Job[]): Job[] {
    const cancelled: Job[] = [];
    const formerlyAwaited = new Set<Job>();
    const open = [...roots];
    for (let job = open.pop(); job !== undefined; job = open.pop()) {
      // What is over has no edges; were one left, nothing that is over would become anything else.
      if (job.state !== 'live') continue;
      job.state = 'cancelled';
      this.finishedJobs.set(job.spec.id, 'cancelled');
      cancelled.push(job);
      for (const awaited of this.removeEdges(job)) formerlyAwaited.add(awaited);
      for (const dependent of this.dependents.get(job.spec.id) ?? []) open.push(dependent);
      this.dependents.delete(job.spec.id);
    }
    for (const awaited of formerlyAwaited) if (awaited.state === 'live') this.recomputeRequirements(awaited);
    return cancelled;
  }

  private recordDependencyDone(job: Job, id: string): void {
    job.dependenciesDoneAt = Math.max(job.dependenciesDoneAt, this.endedAt.get(id) ?? 0);
  }

  // ---- inherited priority and deadline

  /** New edges of a job can only raise what the jobs that it awaits inherit, so no other of their dependents is looked at. */
  private propagateRequirements(job: Job): void {
    const raised = new Set<Job>([job]);
    for (const next of this.dependentsFirst(job)) {
      if (!raised.has(next)) continue;
      for (const awaited of this.awaitedJobsOf(next)) if (this.inheritFromDependent(awaited, next)) raised.add(awaited);
    }
  }

  private awaitedJobsOf(job: Job): Job[] {
    return [...job.awaitedJobs].flatMap((id) => this.jobs.get(id) ?? []);
  }

  /** The job gets the priority and the deadline of a dependent where these are higher and earlier. Returns whether one was. */
  private inheritFromDependent(job: Job, dependent: Job): boolean {
    const startBy = latestStartOf(dependent);
    const isEarlier = startBy < job.effectiveDeadlineAt;
    if (!isEarlier && dependent.priority <= job.priority) return false;
    job.priority = Math.max(job.priority, dependent.priority);
    if (isEarlier) {
      job.effectiveDeadlineAt = startBy;
      job.effectiveDeadlineSpanMs = dependent.effectiveDeadlineSpanMs;
    }
    return true;
  }

  /** Computes anew what the job inherits from its dependents, and what the jobs that it awaits inherit from it. */
  private recomputeRequirements(job: Job): void {
    const stale = new Set<Job>([job]);
    for (const next of this.dependentsFirst(job)) {
      if (!stale.has(next)) continue;
      if (this.recomputeOwnRequirements(next)) for (const awaited of this.awaitedJobsOf(next)) stale.add(awaited);
    }
  }

  /** The job and all that it awaits, directly or through others, each after those of them that await it. */
  private dependentsFirst(job: Job): Job[] {
    const seen = new Set<Job>([job]);
    const order: Job[] = [];
    const stack: TraversalStep[] = [{ job, unvisitedIds: [...job.awaitedJobs] }];
    for (let top = stack.at(-1); top !== undefined; top = stack.at(-1)) {
      const id = top.unvisitedIds.pop();
      if (id === undefined) {
        order.push(top.job);
        stack.pop();
        continue;
      }
      const next = this.jobs.get(id);
      if (!next || seen.has(next)) continue;
      seen.add(next);
      stack.push({ job: next, unvisitedIds: [...next.awaitedJobs] });
    }
    return order.reverse();
  }

  /** The highest priority and the earliest deadline among the job's own and its dependents'. Returns whether one changed. */
  private recomputeOwnRequirements(job: Job): boolean {
    let priority = job.spec.priority;
    let deadlineAt = job.deadlineAt;
    let deadlineSpanMs = job.deadlineSpanMs;
    for (const dependent of this.dependents.get(job.spec.id) ?? []) {
      priority = Math.max(priority, dependent.priority);
      const startBy = latestStartOf(dependent);
      if (startBy >= deadlineAt) continue;
      deadlineAt = startBy;
      deadlineSpanMs = dependent.effectiveDeadlineSpanMs;
    }
    const isUnchanged =
      priority === job.priority && deadlineAt === job.effectiveDeadlineAt && deadlineSpanMs === job.effectiveDeadlineSpanMs;
    if (isUnchanged) return false;
    job.priority = priority;
    job.effectiveDeadlineAt = deadlineAt;
    job.effectiveDeadlineSpanMs = deadlineSpanMs;
    return true;
  }
}
