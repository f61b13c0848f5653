/** Guarantees: which jobs are within their team's quota, and which are protected by it. */
import type { HeldShards } from '../allocation/index.js';
import type { ClusterStateView, SettingsView } from '../context/index.js';
import { type Job, RESOURCE_TOLERANCE, type Team } from '../model/index.js';

/** Where a job stands relative to its team's guaranteed quota. */
export interface QuotaStatus {
  /** the job, and all jobs of its team that came before it, fit into the guarantee */
  readonly withinQuota: boolean;
  /** within quota, and the guarantee covers a resource that the job uses: it may not be preempted by quota */
  readonly isProtected: boolean;
}

/** The status of each live job that waits for no other. */
export type QuotaStatuses = ReadonlyMap<Job, QuotaStatus>;

/** The status of a job that has none: nothing is guaranteed to it. */
export const WITHOUT_QUOTA: QuotaStatus = { withinQuota: false, isProtected: false };

/** Sums up each team's jobs of the shards held here, in the order in which they were stored. */
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

/** `demand`: what the job and all jobs of its team before it ask for. */
function quotaStatusOf(job: Job, team: Team, demand: { cpus: number; gpus: number }): QuotaStatus {
  // A team without any guarantee has none to be within: its work gives way to all others'.
  const hasGuarantee = team.cpus > 0 || team.gpus > 0;
  const cpusCovered = team.cpus <= 0 || demand.cpus <= team.cpus + RESOURCE_TOLERANCE;
  const gpusCovered = team.gpus <= 0 || demand.gpus <= team.gpus + RESOURCE_TOLERANCE;
  const withinQuota = hasGuarantee && cpusCovered && gpusCovered;
  // A team without a guarantee in what a job uses has nothing to protect the job with.
  const usesGuaranteedResource = (team.cpus > 0 && job.spec.cpus > 0) || (team.gpus > 0 && job.spec.gpus > 0);
  return { withinQuota, isProtected: withinQuota && usesGuaranteedResource };
}
