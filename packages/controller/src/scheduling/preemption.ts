/**
 * Preemption: which work may be stopped for which job, what it costs to stop it, and the cheapest choice on one machine.
 * Owns what one scheduling run knows of waiting services and of the work that has machines.
 */
import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, SettingsView } from '../context/index.js';
import {
  type Allocation,
  countThatFit,
  type FreeResources,
  fits,
  HIGHEST_PRIORITY,
  type Job,
  type Machine,
  type Milliseconds,
  type Resources,
} from '../model/index.js';
import type { MachineScoring } from './machine-scoring.js';
import type { QueuedJob } from './queued-job.js';
import type { QuotaStatuses } from './quota-status.js';
import type { SchedulingRun } from './scheduling-run.js';

/** Costs of stopping are in seconds of a task's run. A priority outweighs any difference of up to this many. */
const COST_OF_PRIORITY_S = 1000;

/** Stopping one task stops its whole gang. */
const COST_OF_GANG_S = 500;

/** What has not been started yet is stopped before anything else of its priority. */
const COST_OF_PLANNED_S = -1;

/** A second of a machine's score is worth as much as this many seconds of the stopped tasks' runs. */
const COST_PER_SCORE = 20;

/** What has to be stopped on a machine for one more task. */
interface EvictionPlan {
  free: FreeResources;
  victims: Allocation[];
  costS: number;
}

/** Adds to what is free what stopping the allocation will release. */
export function releaseResources(free: Resources, allocation: Allocation): void {
  const { spec } = allocation.job;
  free.cpus += spec.cpus;
  free.gpus += spec.gpus;
  free.memory += spec.memory;
}

/** Is there work on the machine that its team's guarantee protects? */
export function hasProtectedWork(machine: Machine, quotaStatuses: QuotaStatuses): boolean {
  for (const allocation of machine.tenure.allocations.values())
    if (allocation.phase !== 'exited' && quotaStatuses.get(allocation.job)?.isProtected) return true;
  return false;
}

/** What is lost by stopping the allocations, in seconds of run. */
export function stopCostS(allocations: readonly Allocation[], now: Milliseconds): number {
  return allocations.reduce((sum, allocation) => sum + stopCostOfTaskS(allocation, now), 0);
}

function stopCostOfTaskS({ job, phase, runningSince }: Allocation, now: Milliseconds): number {
  const ranS = runningSince !== null ? (now - runningSince) / 1000 : 0;
  return (
    job.priority * COST_OF_PRIORITY_S +
    (phase === 'planned' ? COST_OF_PLANNED_S : ranS) +
    (job.spec.shape === 'gang' ? COST_OF_GANG_S : 0)
  );
}

/** Chooses and stops victims. `beginRun` comes before all else in a scheduling run. */
export class Preemption {
  /** tasks without a machine of services that have waited too long, by shard */
  private readonly overdueServiceTasks = new Map<number, number>();
  /** the lowest priority of work that had machines when the run began, by shard */
  private readonly lowestPriority = new Map<number, number>();

  constructor(
    private readonly context: SettingsView & ClusterStateView,
    private readonly allocations: TaskAllocations,
    private readonly machineScoring: MachineScoring,
  ) {}

  /** Forgets what the last run found, and looks at the queue of this one. */
  beginRun(queue: readonly QueuedJob[], now: Milliseconds): void {
    this.lowestPriority.clear();
    for (const job of this.context.clusterState.jobs.values()) {
      if (job.tenure.allocations.size === 0) continue;
      this.lowestPriority.set(job.shard, Math.min(job.priority, this.lowestPriority.get(job.shard) ?? job.priority));
    }
    this.overdueServiceTasks.clear();
    for (const { job } of queue)
      if (this.isOverdueService(job, now) && !this.allocations.failureAttribution.isCrashLooping(job))
        this.addOverdueTasks(job, job.pendingCount());
  }

  /** One of the job's waiting tasks was given a machine. */
  taskPlaced(job: Job, now: Milliseconds): void {
    if (this.isOverdueService(job, now)) this.addOverdueTasks(job, -1);
  }

  private addOverdueTasks(job: Job, count: number): void {
    this.overdueServiceTasks.set(job.shard, (this.overdueServiceTasks.get(job.shard) ?? 0) + count);
  }

  /**
   * Can there be anything at all that may be stopped for the job? What the run itself has placed so far is of the job's
   * priority or a higher one.
   */
  hasVictims({ job, quota }: QueuedJob): boolean {
    if (quota.withinQuota && job.spec.gpus > 0) return true;
    return (this.lowestPriority.get(job.shard) ?? job.priority) < job.priority;
  }

  /**
   * May the allocation be stopped for the job? A higher priority may stop a lower one (PROTOCOL), and a team within its
   * guarantee may stop other teams' work that is above theirs (DESIGN). Protected work is stopped for a pressing service
   * alone.
   */
  isVictim(allocation: Allocation, { job, quota }: QueuedJob, run: SchedulingRun): boolean {
    if (allocation.stopGraceS !== null || allocation.phase === 'exited' || allocation.job === job) return false;
    const victimQuota = run.quotaStatuses.get(allocation.job);
    if (victimQuota?.isProtected && !this.isPressing(job, allocation.machine, run.now)) return false;
    if (allocation.job.priority < job.priority) return true;
    if (!quota.withinQuota || allocation.job.teamIndex === job.teamIndex || victimQuota === undefined || job.spec.gpus === 0)
      return false;
    return !victimQuota.withinQuota || allocation.job.spec.shape === 'array';
  }

  /**
   * When many machines are gone at once, services of the highest priority that found no machine for a plan wait come before
   * gangs that stand within a guarantee: where so many tasks wait that they fill half of the machine at least. Without this,
   * 176 replicas waited out a cut of 90 s while 24 machines trained on; for a few replicas, gangs that were stopped cost more.
   */
  private isPressing(job: Job, machine: Machine, now: Milliseconds): boolean {
    return (
      machine.capacity !== null &&
      this.isOverdueService(job, now) &&
      (this.overdueServiceTasks.get(job.shard) ?? 0) * 2 >= countThatFit(job.resources, machine.capacity)
    );
  }

  /** A service of the highest priority that has waited for longer than the plan wait. */
  private isOverdueService(job: Job, now: Milliseconds): boolean {
    return (
      job.priority === HIGHEST_PRIORITY &&
      job.spec.shape === 'service' &&
      job.waitingSince !== null &&
      now - job.waitingSince > this.context.settings.policy.planWaitS * 1000
    );
  }

  /**
   * The cheapest allocations to stop on one machine so that `count` tasks of the job fit; empty if they fit as it is, null
   * if they don't fit whatever is stopped.
   */
  victimsOn(candidate: FreeResources, queued: QueuedJob, run: SchedulingRun, count = 1): Allocation[] | null {
    const { cpus, gpus, memory } = queued.job.spec;
    const request: Resources = { cpus: cpus * count, gpus: gpus * count, memory: memory * count };
    const free: Resources = { cpus: candidate.cpus, gpus: candidate.gpus, memory: candidate.memory };
    const cheapestFirst = [...candidate.machine.tenure.allocations.values()]
      .filter((allocation) => this.isVictim(allocation, queued, run))
      .sort((a, b) => stopCostOfTaskS(a, run.now) - stopCostOfTaskS(b, run.now));
    const victims: Allocation[] = [];
    for (const allocation of cheapestFirst) {
      if (fits(request, free)) break;
      victims.push(allocation);
      releaseResources(free, allocation);
    }
    return fits(request, free) ? victims : null;
  }

  /** Preempts enough for one task on the machine where that costs least, and returns the machine; null: there is none. */
  preemptFor(queued: QueuedJob, candidates: readonly FreeResources[], run: SchedulingRun): FreeResources | null {
    const plan = this.cheapestEviction(queued, candidates, run);
    if (!plan) return null;
    this.preempt(plan.victims, plan.free);
    return plan.free;
  }

  /** Of equal costs the first candidate wins. */
  private cheapestEviction(queued: QueuedJob, candidates: readonly FreeResources[], run: SchedulingRun): EvictionPlan | null {
    let best: EvictionPlan | null = null;
    for (const free of candidates) {
      const victims = this.victimsOn(free, queued, run);
      if (!victims) continue;
      const costS = stopCostS(victims, run.now) - COST_PER_SCORE * this.machineScoring.score(queued.job, free);
      if (!best || costS < best.costS) best = { free, victims, costS };
    }
    return best;
  }

  /** Stops the victims, and counts what they hold on the machine as free. A gang is stopped whole. */
  preempt(victims: readonly Allocation[], free: FreeResources): void {
    for (const allocation of victims) {
      releaseResources(free, allocation);
      this.allocations.stopWithGang(allocation);
    }
  }
}
