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
import type { QuotaStatuses } from './queue-order.js';

/** What may be stopped for what, and the least of it that makes room. */
export class Preemption {
  /** tasks of pressing services without a place, by share */
  readonly pressingTasks = new Map<number, number>();
  /** the lowest rank of work that has places, by share, as the plan began */
  private readonly lowestPriority = new Map<number, number>();

  constructor(
    private readonly context: SettingsView & ClusterStateView,
    private readonly allocations: TaskAllocations,
    private readonly machineScoring: MachineScoring,
  ) {}

  /** A plan begins: what the last one found is forgotten. */
  beginRun(): void {
    this.pressingTasks.clear();
    this.lowestPriority.clear();
    for (const job of this.context.clusterState.jobs.values()) {
      if (job.tenure.allocations.size === 0) continue;
      this.lowestPriority.set(job.shard, Math.min(job.priority, this.lowestPriority.get(job.shard) ?? job.priority));
    }
  }

  /**
   * Can there be anything at all that may be stopped for the job? What the plan itself has placed so far is of the
   * job's rank or a higher one.
   */
  hasVictims(job: Job, withinQuota: boolean): boolean {
    if (withinQuota && job.spec.gpus > 0) return true;
    return (this.lowestPriority.get(job.shard) ?? job.priority) < job.priority;
  }

  hasProtectedWork(machine: Machine, quotaStatuses: QuotaStatuses): boolean {
    for (const allocation of machine.tenure.allocations.values())
      if (allocation.phase !== 'exited' && quotaStatuses.get(allocation.job)?.isProtected) return true;
    return false;
  }

  /**
   * May this placement be stopped for a job of that rank? (DESIGN: above guarantee; PROTOCOL: rank)
   * Work within a guarantee is stopped for a pressing service alone.
   */
  isVictim(allocation: Allocation, job: Job, withinQuota: boolean, quotaStatuses: QuotaStatuses): boolean {
    if (allocation.stopGraceS !== null || allocation.phase === 'exited' || allocation.job === job) return false;
    const quota = quotaStatuses.get(allocation.job);
    if (quota?.isProtected && !this.isPressing(job, allocation.machine)) return false;
    if (allocation.job.priority < job.priority) return true;
    if (!withinQuota || allocation.job.teamIndex === job.teamIndex || quota === undefined || job.spec.gpus === 0) return false;
    return !quota.withinQuota || allocation.job.spec.shape === 'array';
  }

  /**
   * When many machines are gone at once, services of the highest rank that found no room for a
   * plan wait come before gangs that stand within a guarantee: where so many wait that they
   * fill half of the machine at least. Without this, 176 replicas waited out a cut of 90 s
   * while 24 machines trained on; for a few replicas, gangs that were stopped cost more.
   */
  private isPressing(job: Job, machine: Machine): boolean {
    return (
      machine.capacity !== null &&
      this.hasExhaustedWait(job) &&
      (this.pressingTasks.get(job.shard) ?? 0) * 2 >= countThatFit(job.resources, machine.capacity)
    );
  }

  hasExhaustedWait(job: Job): boolean {
    return (
      job.priority === HIGHEST_PRIORITY &&
      job.spec.shape === 'service' &&
      job.waitingSince !== null &&
      this.allocations.now - job.waitingSince > this.context.settings.policy.planWaitS * 1000
    );
  }

  stopCost(allocation: Allocation, now: Milliseconds): number {
    const ran = allocation.runningSince !== null ? (now - allocation.runningSince) / 1000 : 0;
    return (
      allocation.job.priority * 1000 +
      (allocation.phase === 'planned' ? -1 : ran) +
      (allocation.job.spec.shape === 'gang' ? 500 : 0)
    );
  }

  /** The least work to stop on one machine so that a task of the job fits, or null. */
  victimsOn(
    job: Job,
    withinQuota: boolean,
    candidate: FreeResources,
    quotaStatuses: QuotaStatuses,
    now: Milliseconds,
    count = 1,
  ): Allocation[] | null {
    const resources: Resources = { cpus: job.spec.cpus * count, gpus: job.spec.gpus * count, memory: job.spec.memory * count };
    const free: Resources = { cpus: candidate.cpus, gpus: candidate.gpus, memory: candidate.memory };
    const result: Allocation[] = [];
    const list = [...candidate.machine.tenure.allocations.values()]
      .filter((allocation) => this.isVictim(allocation, job, withinQuota, quotaStatuses))
      .sort((a, b) => this.stopCost(a, now) - this.stopCost(b, now));
    for (const allocation of list) {
      if (fits(resources, free)) break;
      result.push(allocation);
      free.cpus += allocation.job.spec.cpus;
      free.gpus += allocation.job.spec.gpus;
      free.memory += allocation.job.spec.memory;
    }
    return fits(resources, free) ? result : null;
  }

  evictFor(
    job: Job,
    withinQuota: boolean,
    candidates: FreeResources[],
    quotaStatuses: QuotaStatuses,
    now: Milliseconds,
  ): FreeResources | null {
    if (!this.hasVictims(job, withinQuota)) return null;
    let best: { r: FreeResources; v: Allocation[]; c: number } | null = null;
    for (const free of candidates) {
      const allocations = this.victimsOn(job, withinQuota, free, quotaStatuses, now);
      if (!allocations) continue;
      const cost =
        allocations.reduce((a, allocation) => a + this.stopCost(allocation, now), 0) - 20 * this.machineScoring.score(job, free);
      if (!best || cost < best.c) best = { r: free, v: allocations, c: cost };
    }
    if (!best) return null;
    this.evict(best.v, best.r);
    return best.r;
  }

  evict(victims: Allocation[], free: FreeResources): void {
    for (const allocation of victims) {
      free.cpus += allocation.job.spec.cpus;
      free.gpus += allocation.job.spec.gpus;
      free.memory += allocation.job.spec.memory;
      // A gang is stopped whole.
      if (allocation.job.spec.shape === 'gang') this.allocations.stopJob(allocation.job);
      else this.allocations.stop(allocation, this.allocations.stopGraceS(allocation.job));
    }
  }
}
