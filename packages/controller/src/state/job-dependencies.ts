/**
 * The dependency graph of jobs. It determines when a job may start, that a job is cancelled when one of its dependencies is,
 * and which priority and deadline a job inherits from its dependents. Owns the edges and, for each job, the unfinished
 * dependencies and the effective priority and deadline.
 *
 * A user can only name jobs that were accepted before, so the graph has no cycles. If stored records contain a cycle anyway,
 * its jobs wait forever, and every traversal here still terminates.
 */
import type { Job, Milliseconds } from '../model/index.js';
import type { FinalState } from './job-record.js';

/** The effect of a job's end on its dependents. */
export interface DependencyOutcome {
  /** jobs without unfinished dependencies now */
  unblocked: Job[];
  /** direct and indirect dependents that were cancelled because the job was */
  cancelled: Job[];
}

/** A job on the path of a depth-first traversal, and its dependencies that weren't visited yet. */
interface TraversalStep {
  job: Job;
  unvisitedIds: string[];
}

/** Assumed time to fetch a GB of an image. */
const IMAGE_FETCH_MS_PER_GB = 1000;

/** Returns the expected time from the start of a job to its end: the fetch of its image and the run of one task. */
export function expectedDurationMs(job: Job): Milliseconds {
  return job.expectedRunMs + job.spec.imageSizeGb * IMAGE_FETCH_MS_PER_GB;
}

/** Returns the wall-clock time by which the job has to start to meet its effective deadline. */
function latestStartOf(job: Job): Milliseconds {
  return job.effectiveDeadlineAt - expectedDurationMs(job);
}

/**
 * The edges between jobs. Every controller derives the same edges from the stored records; they aren't stored themselves. The
 * cost of each operation is proportional to the number of edges that it affects.
 */
export class JobDependencies {
  /** by id of an unfinished job: the jobs that depend on it */
  private readonly dependents = new Map<string, Set<Job>>();
  /** wall-clock time when each done job ended, by id */
  private readonly endedAt = new Map<string, Milliseconds>();

  constructor(
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly finishedJobs: Map<string, FinalState>,
  ) {}

  /** Adds dependencies of a job. If one of them is cancelled, cancels the job and its dependents and returns them. */
  add(job: Job, dependencyIds: readonly string[]): Job[] {
    for (const id of dependencyIds) {
      const finalState = this.finishedJobs.get(id);
      if (finalState === 'cancelled') return this.cancelAll([job]);
      if (finalState === 'done') this.recordDependencyDone(job, id);
      else this.link(job, id);
    }
    // Dependents of the job may have been read before the job itself.
    this.recomputeOwnRequirements(job);
    this.propagateRequirements(job);
    return [];
  }

  private link(job: Job, id: string): void {
    job.unfinishedDependencyIds.add(id);
    const dependents = this.dependents.get(id);
    if (dependents) dependents.add(job);
    else this.dependents.set(id, new Set([job]));
  }

  /** Records that the stored state of a job became final. `endedAt`: wall-clock time; null: unknown. */
  recordJobFinished(id: string, finalState: FinalState, endedAt: Milliseconds | null): DependencyOutcome {
    if (finalState === 'cancelled') return { unblocked: [], cancelled: this.cancelDependents(id) };
    if (endedAt !== null) this.endedAt.set(id, endedAt);
    const unblocked: Job[] = [];
    for (const job of this.dependents.get(id) ?? []) {
      job.unfinishedDependencyIds.delete(id);
      this.recordDependencyDone(job, id);
      if (!job.isBlocked) unblocked.push(job);
    }
    this.dependents.delete(id);
    return { unblocked, cancelled: [] };
  }

  /** Removes the edges from an ended job to its dependencies, which then no longer inherit from it. */
  unlink(job: Job): void {
    for (const dependency of this.removeEdges(job)) this.recomputeRequirements(dependency);
  }

  /** Removes the edges from a job to its dependencies. Returns the dependencies that are in the cluster state. */
  private removeEdges(job: Job): Job[] {
    const dependencies = this.unfinishedDependenciesOf(job);
    for (const id of job.unfinishedDependencyIds) {
      const dependents = this.dependents.get(id);
      dependents?.delete(job);
      if (dependents?.size === 0) this.dependents.delete(id);
    }
    job.unfinishedDependencyIds.clear();
    return dependencies;
  }

  /** Cancels all direct and indirect dependents of a job. */
  private cancelDependents(id: string): Job[] {
    const dependents = [...(this.dependents.get(id) ?? [])];
    this.dependents.delete(id);
    return this.cancelAll(dependents);
  }

  /** Cancels these jobs and all their dependents. Other dependencies of the cancelled jobs are recomputed once, at the end. */
  private cancelAll(roots: readonly Job[]): Job[] {
    const cancelled: Job[] = [];
    const formerDependencies = new Set<Job>();
    const pending = [...roots];
    for (let job = pending.pop(); job !== undefined; job = pending.pop()) {
      // An ended job should have no edges. If one was left, the job's final state still must not change.
      if (job.state !== 'live') continue;
      job.state = 'cancelled';
      this.finishedJobs.set(job.spec.id, 'cancelled');
      cancelled.push(job);
      for (const dependency of this.removeEdges(job)) formerDependencies.add(dependency);
      for (const dependent of this.dependents.get(job.spec.id) ?? []) pending.push(dependent);
      this.dependents.delete(job.spec.id);
    }
    for (const dependency of formerDependencies) if (dependency.state === 'live') this.recomputeRequirements(dependency);
    return cancelled;
  }

  private recordDependencyDone(job: Job, id: string): void {
    job.dependenciesDoneAt = Math.max(job.dependenciesDoneAt, this.endedAt.get(id) ?? 0);
  }

  // ---- inherited priority and deadline

  /**
   * Propagates the job's requirements to its dependencies after edges were added. New edges can only raise what the dependencies
   * inherit, so their other dependents aren't examined.
   */
  private propagateRequirements(job: Job): void {
    const raised = new Set<Job>([job]);
    for (const next of this.dependentsFirst(job)) {
      if (!raised.has(next)) continue;
      for (const dependency of this.unfinishedDependenciesOf(next))
        if (this.inheritFromDependent(dependency, next)) raised.add(dependency);
    }
  }

  private unfinishedDependenciesOf(job: Job): Job[] {
    return [...job.unfinishedDependencyIds].flatMap((id) => this.jobs.get(id) ?? []);
  }

  /** Raises the job's priority and moves up its deadline to those that the dependent requires. Returns whether one changed. */
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

  /** Recomputes what the job inherits from its dependents and, if that changed, what its dependencies inherit from it. */
  private recomputeRequirements(job: Job): void {
    const stale = new Set<Job>([job]);
    for (const next of this.dependentsFirst(job)) {
      if (!stale.has(next)) continue;
      if (this.recomputeOwnRequirements(next))
        for (const dependency of this.unfinishedDependenciesOf(next)) stale.add(dependency);
    }
  }

  /** Returns the job and its direct and indirect dependencies, in topological order: each job comes after its dependents. */
  private dependentsFirst(job: Job): Job[] {
    const seen = new Set<Job>([job]);
    const order: Job[] = [];
    const stack: TraversalStep[] = [{ job, unvisitedIds: [...job.unfinishedDependencyIds] }];
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
      stack.push({ job: next, unvisitedIds: [...next.unfinishedDependencyIds] });
    }
    return order.reverse();
  }

  /** Sets the highest priority and the earliest deadline of the job and its dependents. Returns whether one changed. */
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
