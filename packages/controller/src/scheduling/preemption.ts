/**
 * Preemption: which work may be stopped for which job, the cost of stopping it, and the cheapest choice of victims on one
 * machine. Owns, for one scheduling run, the number of overdue service tasks and the lowest allocated priority of each shard.
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

/**
 * Costs of stopping work are in seconds of a task's run. A priority level outweighs any difference of up to this many seconds.
 */
const COST_PER_PRIORITY_S = 1000;

/** Added for a task of a gang, since stopping the task stops the whole gang. */
const COST_OF_GANG_S = 500;

/** A task that has not been started yet is stopped before any other task of its priority. */
const COST_OF_PLANNED_S = -1;

/** A second of a machine's score is worth this many seconds of the victims' runs. */
const COST_PER_SCORE = 20;

/** The victims to stop on a machine so that one more task fits. */
interface PreemptionPlan {
  free: FreeResources;
  victims: Allocation[];
  costS: number;
}

/** Adds to `free` the resources that stopping the allocation releases. */
export function releaseResources(free: Resources, allocation: Allocation): void {
  const { spec } = allocation.job;
  free.cpus += spec.cpus;
  free.gpus += spec.gpus;
  free.memory += spec.memory;
}

/** Whether the machine has work that its team's guarantee protects. */
export function hasProtectedWork(machine: Machine, quotaStatuses: QuotaStatuses): boolean {
  for (const allocation of machine.tenure.allocations.values())
    if (allocation.phase !== 'exited' && quotaStatuses.get(allocation.job)?.isProtected) return true;
  return false;
}

/** Returns the cost of stopping the allocations, in seconds of a task's run. */
export function stopCostS(allocations: readonly Allocation[], now: Milliseconds): number {
  return allocations.reduce((sum, allocation) => sum + stopCostOfTaskS(allocation, now), 0);
}

function stopCostOfTaskS({ job, phase, runningSince }: Allocation, now: Milliseconds): number {
  const ranS = runningSince !== null ? (now - runningSince) / 1000 : 0;
  return (
    job.priority * COST_PER_PRIORITY_S +
    (phase === 'planned' ? COST_OF_PLANNED_S : ranS) +
    (job.spec.shape === 'gang' ? COST_OF_GANG_S : 0)
  );
}

/** Chooses victims and stops them. `beginRun` must be called first in each scheduling run. */
export class Preemption {
  /** number of unallocated tasks of overdue services, by shard */
  private readonly overdueServiceTasks = new Map<number, number>();
  /** lowest priority of the jobs that had allocations when the run began, by shard */
  private readonly lowestPriority = new Map<number, number>();

  constructor(
    private readonly context: SettingsView & ClusterStateView,
    private readonly allocations: TaskAllocations,
    private readonly machineScoring: MachineScoring,
  ) {}

  /** Replaces the figures of the last run by those for this run and its queue. */
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

  /** Records that one of the job's waiting tasks was allocated. */
  recordTaskPlaced(job: Job, now: Milliseconds): void {
    if (this.isOverdueService(job, now)) this.addOverdueTasks(job, -1);
  }

  private addOverdueTasks(job: Job, count: number): void {
    this.overdueServiceTasks.set(job.shard, (this.overdueServiceTasks.get(job.shard) ?? 0) + count);
  }

  /**
   * Whether any work may be preempted for the job at all. Work that the run itself has placed so far needs no check: its
   * priority is the job's or a higher one.
   */
  mayHaveVictims({ job, quota }: QueuedJob): boolean {
    if (quota.withinQuota && job.spec.gpus > 0) return true;
    return (this.lowestPriority.get(job.shard) ?? job.priority) < job.priority;
  }

  /**
   * Whether the allocation may be stopped for the job. A higher priority may preempt a lower one (PROTOCOL), and a team within
   * its guarantee may preempt other teams' work that exceeds theirs (DESIGN). Protected work is preempted only as
   * `mayPreemptProtectedWork` allows.
   */
  isVictim(allocation: Allocation, { job, quota }: QueuedJob, run: SchedulingRun): boolean {
    if (allocation.stopGraceS !== null || allocation.phase === 'exited' || allocation.job === job) return false;
    const victimQuota = run.quotaStatuses.get(allocation.job);
    if (victimQuota?.isProtected && !this.mayPreemptProtectedWork(job, allocation.machine, run.now)) return false;
    if (allocation.job.priority < job.priority) return true;
    if (!quota.withinQuota || allocation.job.teamIndex === job.teamIndex || victimQuota === undefined || job.spec.gpus === 0)
      return false;
    return !victimQuota.withinQuota || allocation.job.spec.shape === 'array';
  }

  /**
   * Whether the job may preempt protected work on the machine. When many machines are lost at once, services of the highest
   * priority that have waited for longer than the plan wait take precedence over gangs within a guarantee, provided that the
   * waiting tasks fill at least half of the machine. Without this rule, 176 replicas waited throughout a network partition of
   * 90 s while gangs kept training on 24 machines. For only a few replicas, stopping gangs costs more.
   */
  private mayPreemptProtectedWork(job: Job, machine: Machine, now: Milliseconds): boolean {
    return (
      machine.capacity !== null &&
      this.isOverdueService(job, now) &&
      (this.overdueServiceTasks.get(job.shard) ?? 0) * 2 >= countThatFit(job.resources, machine.capacity)
    );
  }

  /** Whether the job is a service of the highest priority that has waited for longer than the plan wait. */
  private isOverdueService(job: Job, now: Milliseconds): boolean {
    return (
      job.priority === HIGHEST_PRIORITY &&
      job.spec.shape === 'service' &&
      job.waitingSince !== null &&
      now - job.waitingSince > this.context.settings.policy.planWaitS * 1000
    );
  }

  /**
   * Returns the cheapest allocations to stop on one machine so that `count` tasks of the job fit; empty if the tasks fit
   * already, null if they don't fit even after all possible victims are stopped.
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

  /**
   * Preempts enough work for one task on the machine where that costs least, and returns the machine; null if no machine is
   * suitable.
   */
  preemptFor(queued: QueuedJob, candidates: readonly FreeResources[], run: SchedulingRun): FreeResources | null {
    const plan = this.cheapestPreemption(queued, candidates, run);
    if (!plan) return null;
    this.preempt(plan.victims, plan.free);
    return plan.free;
  }

  /** Returns the plan with the lowest cost, of equal costs the first. */
  private cheapestPreemption(queued: QueuedJob, candidates: readonly FreeResources[], run: SchedulingRun): PreemptionPlan | null {
    let best: PreemptionPlan | null = null;
    for (const free of candidates) {
      const victims = this.victimsOn(free, queued, run);
      if (!victims) continue;
      const costS = stopCostS(victims, run.now) - COST_PER_SCORE * this.machineScoring.score(queued.job, free);
      if (!best || costS < best.costS) best = { free, victims, costS };
    }
    return best;
  }

  /** Stops the victims and adds their resources to `free`. A gang is stopped as a whole. */
  preempt(victims: readonly Allocation[], free: FreeResources): void {
    for (const allocation of victims) {
      releaseResources(free, allocation);
      this.allocations.stopWithGang(allocation);
    }
  }
}
