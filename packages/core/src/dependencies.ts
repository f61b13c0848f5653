/**
 * Which job awaits which, and what follows from it: when a job may start, that it is cancelled with a job that
 * it needs, and the priority and deadline that a job has from those that need it.
 *
 * A user can only name jobs that were accepted before, so there are no cycles; a stored record that says
 * otherwise makes the jobs of its cycle wait for ever, and every walk here still ends.
 */
import type { FinalState } from './job-record.js';
import type { Job, Ms } from './model.js';

/** What the end of a job means for those that await it. */
export interface Consequences {
  /** nothing is left that they await */
  released: Job[];
  /** cancelled with it */
  cancelled: Job[];
}

/** Time that a job takes once it may start, by its owner's estimate and with the image to fetch at 1 GB a second. */
export function expectedMs(job: Job): Ms {
  return job.runMs + job.spec.imageGb * 1000;
}

/**
 * The jobs that wait for others. Every controller derives the same from what is stored; nothing of this is
 * written. Each step costs in proportion to the edges that it concerns.
 */
export class Dependencies {
  /** jobs that still wait for a job, by that job's id */
  private readonly dependents = new Map<string, Set<Job>>();
  /** when jobs that are done ended, by the time of day */
  private readonly endedAt = new Map<string, Ms>();

  constructor(
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly finals: Map<string, FinalState>,
  ) {}

  /** Adds edges to a job. Returns what is cancelled: the job itself, and those that need it. */
  add(job: Job, awaits: readonly string[]): Job[] {
    for (const id of awaits) {
      const final = this.finals.get(id);
      if (final === 'cancelled') return this.cancel(job);
      if (final === 'done') this.noteEnd(job, id);
      else this.link(job, id);
    }
    this.refresh(job);
    return [];
  }

  private link(job: Job, id: string): void {
    job.awaited.add(id);
    const waiting = this.dependents.get(id);
    if (waiting) waiting.add(job);
    else this.dependents.set(id, new Set([job]));
  }

  /** A job's stored state became final. */
  ended(id: string, final: FinalState, endedAt: Ms | null): Consequences {
    if (final === 'cancelled') return { released: [], cancelled: this.cancelDependents([id]) };
    if (endedAt !== null) this.endedAt.set(id, endedAt);
    const released: Job[] = [];
    for (const job of this.dependents.get(id) ?? []) {
      job.awaited.delete(id);
      this.noteEnd(job, id);
      if (!job.waits) released.push(job);
    }
    this.dependents.delete(id);
    return { released, cancelled: [] };
  }

  /** Cancelled by its own user: what it awaits has one job less that needs it. */
  unlink(job: Job): void {
    const awaited = [...job.awaited];
    job.awaited.clear();
    for (const id of awaited) {
      const waiting = this.dependents.get(id);
      waiting?.delete(job);
      if (waiting?.size === 0) this.dependents.delete(id);
    }
    for (const id of awaited) {
      const before = this.jobs.get(id);
      if (before) this.refresh(before);
    }
  }

  private cancel(job: Job): Job[] {
    this.markCancelled(job);
    return [job, ...this.cancelDependents([job.spec.id])];
  }

  /** All jobs that need one of these, directly or through others. */
  private cancelDependents(ids: string[]): Job[] {
    const cancelled: Job[] = [];
    for (let id = ids.pop(); id !== undefined; id = ids.pop()) {
      const waiting = this.dependents.get(id) ?? [];
      this.dependents.delete(id);
      for (const job of waiting) {
        // What is over has no edges; were one left, nothing that is over would become anything else.
        if (job.state !== 'live') continue;
        this.markCancelled(job);
        cancelled.push(job);
        ids.push(job.spec.id);
      }
    }
    return cancelled;
  }

  private markCancelled(job: Job): void {
    job.state = 'cancelled';
    this.finals.set(job.spec.id, 'cancelled');
    this.unlink(job);
  }

  private noteEnd(job: Job, id: string): void {
    job.readyAt = Math.max(job.readyAt, this.endedAt.get(id) ?? 0);
  }

  // ---- inherited priority and deadline

  /** Works out anew what the job has from those that need it, and what the jobs before it have from it. */
  private refresh(job: Job): void {
    const stale = new Set<Job>([job]);
    for (const next of this.inOrder(job)) {
      if (!stale.has(next)) continue;
      const changed = this.inherit(next);
      // The first may have edges that are new, though nothing of its own has changed.
      if (!changed && next !== job) continue;
      for (const id of next.awaited) {
        const before = this.jobs.get(id);
        if (before) stale.add(before);
      }
    }
  }

  /** The job and all that it awaits through others, each after those of them that need it. */
  private inOrder(job: Job): Job[] {
    const seen = new Set<Job>([job]);
    const order: Job[] = [];
    const stack = [{ job, open: [...job.awaited] }];
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
      stack.push({ job: next, open: [...next.awaited] });
    }
    return order.reverse();
  }

  /** The highest priority and the earliest end among the job's own and those of the jobs that need it. */
  private inherit(job: Job): boolean {
    let rank = job.spec.rank;
    let endBy = job.deadlineAt;
    let slack = job.deadlineSpan;
    for (const dependent of this.dependents.get(job.spec.id) ?? []) {
      rank = Math.max(rank, dependent.rank);
      const startBy = dependent.endBy - expectedMs(dependent);
      if (startBy >= endBy) continue;
      endBy = startBy;
      slack = dependent.endBySpan;
    }
    if (rank === job.rank && endBy === job.endBy && slack === job.endBySpan) return false;
    job.rank = rank;
    job.endBy = endBy;
    job.endBySpan = slack;
    return true;
  }
}
