/**
 * The summary of a shard that its lease holder sends to the leader: the machines with their free resources, and the demand of
 * tasks for which no machine was found. Owns the cached summaries.
 */
import type { MachineSummary, ResourceDemand, ShardSummary } from '@archpost/protocol';
import type { TaskAllocations, UnmetDemand } from '../allocation/index.js';
import type { ClusterStateView, SettingsView } from '../context/index.js';
import { HIGHEST_PRIORITY, type Job, type Machine, type Milliseconds, machineLoadOf } from '../model/index.js';
import { type QueueOrder, type QuotaStatuses, type Scheduler, tasksPerZone, zoneAllowsTask } from '../scheduling/index.js';

/** Maximum age of a cached summary. */
const SUMMARY_MAX_AGE_MS = 400;

/** Maximum number of demands in a summary; the demands of further waiting tasks are omitted. */
const MAX_DEMANDS = 32;

/** The protected priority of a machine whose tasks may all be preempted; lower than every priority. */
const NOTHING_PROTECTED = -1;

/** The protected priority of a machine that can't be freed for other tasks; higher than every priority. */
const UNMOVABLE_PRIORITY = 9;

/** Maximum absolute slack in seconds. Without a deadline the slack would be infinite. */
const MAX_SLACK_S = 1e4;

interface CachedSummary {
  createdAt: Milliseconds;
  summary: ShardSummary;
}

/** Returns the key of a demand; demands with equal keys are merged. */
function demandKey(demand: ResourceDemand, shape: Job['spec']['shape']): string {
  const { cpus, gpus, memory, types, zone, spot, priority, withinQuota, excludedZones } = demand;
  return [cpus, gpus, memory, types, zone, spot, priority, withinQuota, shape, excludedZones].join('/');
}

/** Merges a demand with the same key into `existing`: adds the counts and keeps the longest wait and the smallest slack. */
function mergeInto(existing: ResourceDemand, demand: ResourceDemand): void {
  existing.count += demand.count;
  existing.waitS = Math.max(existing.waitS, demand.waitS);
  existing.slackS = Math.min(existing.slackS, demand.slackS);
}

/** Creates and caches the summaries of the held shards. */
export class ShardSummaries {
  private readonly summaries = new Map<number, CachedSummary>();

  constructor(
    private readonly context: SettingsView & ClusterStateView,
    private readonly allocations: TaskAllocations,
    private readonly queueOrder: QueueOrder,
    private readonly scheduler: Scheduler,
  ) {}

  /** Returns a summary at most `SUMMARY_MAX_AGE_MS` old. It is cached because the leader and the status exchange both use it. */
  summaryOf(shard: number, now: Milliseconds): ShardSummary {
    const cached = this.summaries.get(shard);
    if (cached && now - cached.createdAt < SUMMARY_MAX_AGE_MS && this.allocations.heldShards.has(shard)) return cached.summary;
    const summary = { shard, machines: this.summarizeMachines(shard, now), demands: this.collectDemands(shard, now) };
    this.summaries.set(shard, { createdAt: now, summary });
    return summary;
  }

  /** Removes the cached summary of a shard that is no longer held. */
  forget(shard: number): void {
    this.summaries.delete(shard);
  }

  private summarizeMachines(shard: number, now: Milliseconds): MachineSummary[] {
    const quotaStatuses = this.queueOrder.quotaStatuses();
    const evacuable = this.scheduler.evacuableMachines(shard, now);
    const summaries: MachineSummary[] = [];
    for (const machine of this.context.clusterState.machines.values()) {
      if (machine.shard !== shard) continue;
      const { free, services } = machineLoadOf(machine);
      summaries.push({
        name: machine.name,
        freeCpus: Math.max(0, free.cpus),
        freeGpus: Math.max(0, free.gpus),
        freeMemory: Math.max(0, free.memory),
        tasks: machine.tenure.allocations.size,
        protectedPriority: this.allocations.isSchedulable(machine, now)
          ? this.protectedPriority(machine, quotaStatuses, evacuable)
          : UNMOVABLE_PRIORITY,
        idleS: machine.tenure.allocations.size === 0 ? (now - machine.idleSince) / 1000 : 0,
        services: services.length,
      });
    }
    return summaries;
  }

  /** Returns the priority that a task must exceed to preempt all tasks on the machine. */
  private protectedPriority(machine: Machine, quotaStatuses: QuotaStatuses, evacuable: Set<Machine>): number {
    let priority = NOTHING_PROTECTED;
    for (const { job, phase } of machine.tenure.allocations.values()) {
      if (phase === 'exited' || (job.spec.shape === 'service' && evacuable.has(machine))) continue;
      priority = Math.max(priority, job.priority);
      // Tasks within their team's quota can only be preempted by the highest priority.
      if (quotaStatuses.get(job)?.isProtected) priority = Math.max(priority, HIGHEST_PRIORITY - 1);
    }
    return priority;
  }

  /** Returns the demands of the shard's tasks for which no machine was found, merged by key. */
  private collectDemands(shard: number, now: Milliseconds): ResourceDemand[] {
    const demands = new Map<string, ResourceDemand>();
    for (const unmet of this.allocations.unmetDemand) {
      if (unmet.job.shard !== shard) continue;
      const demand = this.demandOf(unmet, now);
      const key = demandKey(demand, unmet.job.spec.shape);
      const existing = demands.get(key);
      if (existing) mergeInto(existing, demand);
      else if (demands.size < MAX_DEMANDS) demands.set(key, demand);
    }
    return [...demands.values()];
  }

  private demandOf({ job, count, withinQuota }: UnmetDemand, now: Milliseconds): ResourceDemand {
    const { cpus, gpus, memory, zone, allowsSpot: spot, shape } = job.spec;
    const { typeNames } = this.context.clusterState;
    const slackS = (this.queueOrder.startDeadlineOf(job, now) - now) / 1000;
    return {
      cpus,
      gpus,
      memory,
      types: job.typeIndices?.map((type) => typeNames.nameOf(type)) ?? [],
      zone: zone ?? '',
      spot,
      priority: job.priority,
      withinQuota,
      count,
      gang: shape === 'gang',
      waitS: (now - Math.max(job.eligibleAt, job.waitingSince ?? 0)) / 1000,
      slackS: Math.max(-MAX_SLACK_S, Math.min(MAX_SLACK_S, slackS)),
      excludedZones: shape === 'gang' ? [] : this.excludedZones(job),
    };
  }

  /** Returns the zones in which the job's placement constraints allow no further task. */
  private excludedZones(job: Job): string[] {
    const { settings, clusterState } = this.context;
    const counts = tasksPerZone(job);
    return settings.zones.filter((zone) => !zoneAllowsTask(job, counts, clusterState.zoneNames.indexOf(zone)));
  }
}
