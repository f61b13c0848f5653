/**
 * Jobs that found no machine in one scheduling run. Of hundreds of similar small jobs only one is scored: a job that requests
 * at least as much as a job of its kind that didn't fit is skipped. Cleared when a run begins.
 */
import { appendTo, type Job, type Resources } from '../model/index.js';

/** The smallest requests that found no machine, by kind of job. */
export class UnschedulableKinds {
  private readonly requestsByKind = new Map<string, Resources[]>();

  clear(): void {
    this.requestsByKind.clear();
  }

  /** Whether a job of the same kind that requests no more than this job found no machine in this run. */
  includes(job: Job, withinQuota: boolean): boolean {
    const kind = interchangeableKind(job, withinQuota);
    if (kind === null) return false;
    const requests = this.requestsByKind.get(kind);
    return requests?.some(({ cpus, memory }) => cpus <= job.spec.cpus && memory <= job.spec.memory) ?? false;
  }

  /** Records that the job found no machine. */
  add(job: Job, withinQuota: boolean): void {
    const kind = interchangeableKind(job, withinQuota);
    if (kind !== null) appendTo(this.requestsByKind, kind, job.resources);
  }
}

/**
 * Returns the job's kind; null if the job has to be considered by itself. Jobs of one kind may use the same machines and
 * preempt nothing. Only arrays of the lowest priority beyond their quota have a kind.
 */
function interchangeableKind(job: Job, withinQuota: boolean): string | null {
  const { shape, gpus, oneZone, spread, allowsSpot: spot } = job.spec;
  const hasConstraints = gpus > 0 || oneZone || spread || job.failedOn.size > 0;
  if (job.priority > 0 || withinQuota || shape !== 'array' || hasConstraints) return null;
  return `${job.shard}/${job.teamIndex}/${job.zoneIndex}/${spot}/${job.typeIndices?.join(',') ?? ''}`;
}
