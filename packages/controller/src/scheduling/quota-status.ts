/** Guaranteed quotas: which jobs are within their team's quota, and which are protected by it. */
import type { HeldShards } from '../allocation/index.js';
import type { ClusterStateView, SettingsView } from '../context/index.js';
import { type Job, RESOURCE_TOLERANCE, type Team } from '../model/index.js';

/** The status of a job relative to its team's guaranteed quota. */
export interface QuotaStatus {
  /** the job and all earlier jobs of its team fit into the guarantee together */
  readonly withinQuota: boolean;
  /** within quota, and the guarantee covers a resource that the job uses, which protects the job from preemption */
  readonly isProtected: boolean;
}

/** The status of each live job without unfinished dependencies. */
export type QuotaStatuses = ReadonlyMap<Job, QuotaStatus>;

/** The status of a job that has no entry in `QuotaStatuses`: nothing is guaranteed to it. */
export const WITHOUT_QUOTA: QuotaStatus = { withinQuota: false, isProtected: false };

/**
 * Determines each job's status from the accumulated demand of its team's jobs in the shards held by this controller, in the
 * order in which the jobs were stored.
 */
export function quotaStatusesOf(
  { settings, clusterState }: SettingsView & ClusterStateView,
  heldShards: HeldShards,
): QuotaStatuses {
  const result = new Map<Job, QuotaStatus>();
  const demands = settings.teams.map(() => ({ cpus: 0, gpus: 0 }));
  const jobs = [...clusterState.jobs.values()]
    .filter((job) => job.state === 'live' && !job.isBlocked && heldShards.has(job.shard))
    .sort((a, b) => a.modRevision - b.modRevision);
  for (const job of jobs) {
    const team = settings.teams[job.teamIndex];
    const demand = demands[job.teamIndex];
    if (!team || !demand) continue;
    const remainingTasks = job.spec.tasks - (job.spec.shape === 'array' ? job.doneCount : 0);
    demand.cpus += job.spec.cpus * remainingTasks;
    demand.gpus += job.spec.gpus * remainingTasks;
    result.set(job, quotaStatusOf(job, team, demand));
  }
  return result;
}

/** Returns the job's status. `demand`: the resources requested by the job and all earlier jobs of its team. */
function quotaStatusOf(job: Job, team: Team, demand: { cpus: number; gpus: number }): QuotaStatus {
  // Jobs of a team without any guarantee are never within quota: they yield to the work of all other teams.
  const hasGuarantee = team.cpus > 0 || team.gpus > 0;
  const cpusCovered = team.cpus <= 0 || demand.cpus <= team.cpus + RESOURCE_TOLERANCE;
  const gpusCovered = team.gpus <= 0 || demand.gpus <= team.gpus + RESOURCE_TOLERANCE;
  const withinQuota = hasGuarantee && cpusCovered && gpusCovered;
  // A guarantee protects a job only if it covers a resource that the job uses.
  const usesGuaranteedResource = (team.cpus > 0 && job.spec.cpus > 0) || (team.gpus > 0 && job.spec.gpus > 0);
  return { withinQuota, isProtected: withinQuota && usesGuaranteedResource };
}
