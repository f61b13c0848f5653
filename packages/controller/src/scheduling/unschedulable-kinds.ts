/**
 * What found no machine in one scheduling run. Of hundreds of small jobs that are all alike, one is scored, not each: a job
 * that asks for at least as much as one of its kind that did not fit is passed over. Cleared when a run begins.
 */
import { appendTo, type Job, type Resources } from '../model/index.js';

/** The smallest requests that found no machine, by kind of job. */
export class UnschedulableKinds {
  private readonly requestsByKind = new Map<string, Resources[]>();

  clear(): void {
    this.requestsByKind.clear();
  }

  /** Has a job of the same kind that asks for no more found no machine in this run? */
  includes(job: Job, withinQuota: boolean): boolean {
    const kind = interchangeableKind(job, withinQuota);
    if (kind === null) return false;
    const requests = this.requestsByKind.get(kind);
    return requests?.some(({ cpus, memory }) => cpus <= job.spec.cpus && memory <= job.spec.memory) ?? false;
  }

  /** Remembers that the job found no machine. */
  add(job: Job, withinQuota: boolean): void {
    const kind = interchangeableKind(job, withinQuota);
    if (kind !== null) appendTo(this.requestsByKind, kind, job.resources);
  }
}

/**
 * Jobs of one kind may use the same machines and preempt nothing; null: the job has to be looked at by itself. Only arrays
 * of the lowest priority beyond their quota have a kind.
 */
function interchangeableKind(job: Job, withinQuota: boolean): string | null {
  const { shape, gpus, oneZone, spread, allowsSpot: spot } = job.spec;
  const hasConstraints = gpus > 0 || oneZone || spread || job.failedOn.size > 0;
  if (job.priority > 0 || withinQuota || shape !== 'array' || hasConstraints) return null;
  return `${job.shard}/${job.teamIndex}/${job.zoneIndex}/${spot}/${job.typeIndices?.join(',') ?? ''}`;
}
