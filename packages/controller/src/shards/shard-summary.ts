/** What an owner tells the leader of a share: its machines, and its work that has no room. */
import type { MachineSummary, ResourceDemand, ShardSummary } from '@archpost/protocol';
import { freeResourcesOf, type TaskAllocations, type UnmetDemand } from '../allocation/index.js';
import type { ClusterStateView, SettingsView } from '../context/index.js';
import { HIGHEST_PRIORITY, type Machine, type Milliseconds, machineLoadOf } from '../model/index.js';
import { type QueueOrder, type QuotaStatuses, type Scheduler, tasksPerZone, zoneAllowsTask } from '../scheduling/index.js';

/** What is told of a share is worked out anew after this long. */
const VIEW_MS = 400;

/** Most kinds of waiting work that are told. */
const MOST_DEMANDS = 32;

/** Higher than any rank: nothing may be moved off the machine. */
const UNMOVABLE_RANK = 9;

/** Slack is told within these bounds. */
const MOST_SLACK_S = 1e4;

interface CachedSummary {
  at: Milliseconds;
  share: ShardSummary;
}

export class ShardSummaries {
  private readonly summaries = new Map<number, CachedSummary>();

  constructor(
    private readonly context: SettingsView & ClusterStateView,
    private readonly allocations: TaskAllocations,
    private readonly queueOrder: QueueOrder,
    private readonly scheduler: Scheduler,
  ) {}

  /** As it was at most a moment ago: the leader and the status both ask. */
  summaryOf(shard: number, now: Milliseconds): ShardSummary {
    const old = this.summaries.get(shard);
    if (old && now - old.at < VIEW_MS && this.allocations.heldShards.has(shard)) return old.share;
    const fresh = { shard, machines: this.machines(shard, now), demands: this.demands(shard, now) };
    this.summaries.set(shard, { at: now, share: fresh });
    return fresh;
  }

  forget(shard: number): void {
    this.summaries.delete(shard);
  }

  private machines(shard: number, now: Milliseconds): MachineSummary[] {
    const quotaStatuses = this.queueOrder.quotaStatuses();
    const clearable = this.scheduler.evacuableMachines(shard, now);
    const told: MachineSummary[] = [];
    for (const machine of this.context.clusterState.machines.values()) {
      if (machine.shard !== shard) continue;
      const free = freeResourcesOf(machine);
      told.push({
        name: machine.name,
        freeCpus: Math.max(0, free.cpus),
        freeGpus: Math.max(0, free.gpus),
        freeMemory: Math.max(0, free.memory),
        tasks: machine.tenure.allocations.size,
        protectedPriority: this.allocations.isSchedulable(machine, now)
          ? this.protectedPriority(machine, quotaStatuses, clearable)
          : UNMOVABLE_RANK,
        idleS: machine.tenure.allocations.size === 0 ? (now - machine.idleSince) / 1000 : 0,
        services: machineLoadOf(machine).services.length,
      });
    }
    return told;
  }

  /** The highest rank of work on the machine that may not be stopped for others. */
  private protectedPriority(machine: Machine, quotaStatuses: QuotaStatuses, clearable: Set<Machine>): number {
    let priority = -1;
    for (const { job, phase } of machine.tenure.allocations.values()) {
      if (phase === 'exited' || (job.spec.shape === 'service' && clearable.has(machine))) continue;
      // Within a guarantee it gives way to the highest rank only.
      priority = Math.max(priority, job.priority, quotaStatuses.get(job)?.isProtected ? HIGHEST_PRIORITY - 1 : -1);
    }
    return priority;
  }

  /** Work that is alike in what it wants is told as one. */
  private demands(shard: number, now: Milliseconds): ResourceDemand[] {
    const demands = new Map<string, ResourceDemand>();
    for (const unmet of this.allocations.unmetDemand) {
      if (unmet.job.shard !== shard) continue;
      const demand = this.demandOf(unmet, now);
      const { cpus, gpus, memory, types, zone, spot, priority, withinQuota, excludedZones: notZones } = demand;
      const key = [cpus, gpus, memory, types, zone, spot, priority, withinQuota, unmet.job.spec.shape, notZones].join('/');
      const old = demands.get(key);
      if (old) {
        old.count += demand.count;
        old.waitS = Math.max(old.waitS, demand.waitS);
        old.slackS = Math.min(old.slackS, demand.slackS);
      } else if (demands.size < MOST_DEMANDS) demands.set(key, demand);
    }
    return [...demands.values()];
  }

  private demandOf({ job, count, withinQuota }: UnmetDemand, now: Milliseconds): ResourceDemand {
    const { cpus, gpus, memory, zone, spot, shape } = job.spec;
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
      waitS: (now - Math.max(job.arrivedAt, job.waitingSince ?? 0)) / 1000,
      slackS: Math.max(-MOST_SLACK_S, Math.min(MOST_SLACK_S, slackS)),
      excludedZones: shape === 'gang' ? [] : this.excludedZones(job),
    };
  }

  /** Zones that the job's other tasks bar for one more. */
  private excludedZones(job: UnmetDemand['job']): string[] {
    const { settings, clusterState } = this.context;
    const counts = tasksPerZone(job);
    return settings.zones.filter((zone) => !zoneAllowsTask(job, counts, clusterState.zoneNames.indexOf(zone)));
  }
}
