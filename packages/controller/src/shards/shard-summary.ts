/** What an owner tells the leader of a share: its machines, and its work that has no room. */
import type { MachineSummary, ResourceDemand, ShardSummary } from '@archpost/protocol';
import type { TaskAllocations, UnmetDemand } from '../allocation/task-allocations.js';
import type { ControllerContext } from '../context/index.js';
import { HIGHEST_PRIORITY, type Machine, type Milliseconds } from '../model/index.js';
import { tasksPerZone, zoneAllowsTask } from '../scheduling/placement.js';
import type { QueueOrder, QuotaStatuses } from '../scheduling/queue-order.js';
import type { Scheduler } from '../scheduling/scheduler.js';

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
    private readonly context: ControllerContext,
    private readonly allocations: TaskAllocations,
    private readonly queueOrder: QueueOrder,
    private readonly scheduler: Scheduler,
  ) {}

  /** As it was at most a moment ago: the leader and the status both ask. */
  summaryOf(share: number, now: Milliseconds): ShardSummary {
    const old = this.summaries.get(share);
    if (old && now - old.at < VIEW_MS && this.allocations.heldShards.has(share)) return old.share;
    const fresh = { shard: share, machines: this.machines(share, now), demands: this.demands(share, now) };
    this.summaries.set(share, { at: now, share: fresh });
    return fresh;
  }

  forget(share: number): void {
    this.summaries.delete(share);
  }

  private machines(share: number, now: Milliseconds): MachineSummary[] {
    const guarantees = this.queueOrder.quotaStatuses();
    const clearable = this.scheduler.evacuableMachines(share, now);
    const told: MachineSummary[] = [];
    for (const machine of this.context.clusterState.machines.values()) {
      if (machine.shard !== share) continue;
      const room = this.allocations.freeResourcesOf(machine);
      told.push({
        name: machine.name,
        freeCpus: Math.max(0, room.cpus),
        freeGpus: Math.max(0, room.gpus),
        freeMemory: Math.max(0, room.memory),
        tasks: machine.allocations.size,
        protectedPriority: this.allocations.isSchedulable(machine, now)
          ? this.protectedPriority(machine, guarantees, clearable)
          : UNMOVABLE_RANK,
        idleS: machine.allocations.size === 0 ? (now - machine.idleSince) / 1000 : 0,
        services: this.allocations.servicesOn(machine).length,
      });
    }
    return told;
  }

  /** The highest rank of work on the machine that may not be stopped for others. */
  private protectedPriority(machine: Machine, guarantees: QuotaStatuses, clearable: Set<Machine>): number {
    let rank = -1;
    for (const { job, phase } of machine.allocations.values()) {
      if (phase === 'exited' || (job.spec.shape === 'service' && clearable.has(machine))) continue;
      // Within a guarantee it gives way to the highest rank only.
      rank = Math.max(rank, job.priority, guarantees.get(job)?.isProtected ? HIGHEST_PRIORITY - 1 : -1);
    }
    return rank;
  }

  /** Work that is alike in what it wants is told as one. */
  private demands(share: number, now: Milliseconds): ResourceDemand[] {
    const demands = new Map<string, ResourceDemand>();
    for (const unmet of this.allocations.unmetDemand) {
      if (unmet.job.shard !== share) continue;
      const demand = this.demandOf(unmet, now);
      const { cpus, gpus, memory, types, zone, spot, priority: rank, withinQuota: within, excludedZones: notZones } = demand;
      const key = [cpus, gpus, memory, types, zone, spot, rank, within, unmet.job.spec.shape, notZones].join('/');
      const old = demands.get(key);
      if (old) {
        old.count += demand.count;
        old.waitS = Math.max(old.waitS, demand.waitS);
        old.slackS = Math.min(old.slackS, demand.slackS);
      } else if (demands.size < MOST_DEMANDS) demands.set(key, demand);
    }
    return [...demands.values()];
  }

  private demandOf({ job, count, withinQuota: within }: UnmetDemand, now: Milliseconds): ResourceDemand {
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
      withinQuota: within,
      count,
      gang: shape === 'gang',
      waitS: (now - Math.max(job.arrivedAt, job.waitingSince)) / 1000,
      slackS: Math.max(-MOST_SLACK_S, Math.min(MOST_SLACK_S, slackS)),
      excludedZones: shape === 'gang' ? [] : this.excludedZones(job),
    };
  }

  /** Zones that the job's other tasks bar for one more. */
  private excludedZones(job: UnmetDemand['job']): string[] {
    const { settings, clusterState: table } = this.context;
    const counts = tasksPerZone(job);
    return settings.zones.filter((zone) => !zoneAllowsTask(job, counts, table.zoneNames.indexOf(zone)));
  }
}
