import type { TaskAllocations } from '../allocation/task-allocations.js';
import type { ControllerContext } from '../context/index.js';
import { type Allocation, HIGHEST_PRIORITY, type Job, type Machine, type Milliseconds, type Resources } from '../model/index.js';
import type { MachineScoring } from './machine-scoring.js';
import { countThatFit, type FreeResources, fits } from './placement.js';
import type { QuotaStatuses } from './queue-order.js';

/** What may be stopped for what, and the least of it that makes room. */
export class Preemption {
  /** tasks of pressing services without a place, by share */
  readonly pressingTasks = new Map<number, number>();
  /** the lowest rank of work that has places, by share, as the plan began */
  private readonly lowestPriority = new Map<number, number>();

  constructor(
    private readonly context: ControllerContext,
    private readonly allocations: TaskAllocations,
    private readonly machineScoring: MachineScoring,
  ) {}

  /** A plan begins: what the last one found is forgotten. */
  beginRun(): void {
    this.pressingTasks.clear();
    this.lowestPriority.clear();
    for (const job of this.context.clusterState.jobs.values()) {
      if (job.allocations.size === 0) continue;
      this.lowestPriority.set(job.shard, Math.min(job.priority, this.lowestPriority.get(job.shard) ?? job.priority));
    }
  }

  /**
   * Can there be anything at all that may be stopped for the job? What the plan itself has placed so far is of the
   * job's rank or a higher one.
   */
  hasVictims(j: Job, within: boolean): boolean {
    if (within && j.spec.gpus > 0) return true;
    return (this.lowestPriority.get(j.shard) ?? j.priority) < j.priority;
  }

  hasProtectedWork(m: Machine, guar: QuotaStatuses): boolean {
    for (const p of m.allocations.values()) if (p.phase !== 'exited' && guar.get(p.job)?.isProtected) return true;
    return false;
  }

  /**
   * May this placement be stopped for a job of that rank? (DESIGN: above guarantee; PROTOCOL: rank)
   * Work within a guarantee is stopped for a pressing service alone.
   */
  isVictim(p: Allocation, j: Job, within: boolean, guar: QuotaStatuses): boolean {
    if (p.stopGraceS !== null || p.phase === 'exited' || p.job === j) return false;
    const g = guar.get(p.job);
    if (g?.isProtected && !this.isPressing(j, p.machine)) return false;
    if (p.job.priority < j.priority) return true;
    if (!within || p.job.teamIndex === j.teamIndex || g === undefined || j.spec.gpus === 0) return false;
    return !g.withinQuota || p.job.spec.shape === 'array';
  }

  /**
   * When many machines are gone at once, services of the highest rank that found no room for a
   * plan wait come before gangs that stand within a guarantee: where so many wait that they
   * fill half of the machine at least. Without this, 176 replicas waited out a cut of 90 s
   * while 24 machines trained on; for a few replicas, gangs that were stopped cost more.
   */
  private isPressing(j: Job, m: Machine): boolean {
    return (
      m.capacity !== null &&
      this.hasExhaustedWait(j) &&
      (this.pressingTasks.get(j.shard) ?? 0) * 2 >= countThatFit(j.resources, m.capacity)
    );
  }

  hasExhaustedWait(j: Job): boolean {
    return (
      j.priority === HIGHEST_PRIORITY &&
      j.spec.shape === 'service' &&
      j.waitingSince >= 0 &&
      this.allocations.now - j.waitingSince > this.context.settings.policy.planWaitS * 1000
    );
  }

  stopCost(p: Allocation, now: Milliseconds): number {
    const ran = p.runningSince >= 0 ? (now - p.runningSince) / 1000 : 0;
    return p.job.priority * 1000 + (p.phase === 'planned' ? -1 : ran) + (p.job.spec.shape === 'gang' ? 500 : 0);
  }

  /** The least work to stop on one machine so that a task of the job fits, or null. */
  victimsOn(j: Job, within: boolean, r: FreeResources, guar: QuotaStatuses, now: Milliseconds, count = 1): Allocation[] | null {
    const need: Resources = { cpus: j.spec.cpus * count, gpus: j.spec.gpus * count, memory: j.spec.memory * count };
    const free: Resources = { cpus: r.cpus, gpus: r.gpus, memory: r.memory };
    const out: Allocation[] = [];
    const list = [...r.machine.allocations.values()]
      .filter((p) => this.isVictim(p, j, within, guar))
      .sort((a, b) => this.stopCost(a, now) - this.stopCost(b, now));
    for (const p of list) {
      if (fits(need, free)) break;
      out.push(p);
      free.cpus += p.job.spec.cpus;
      free.gpus += p.job.spec.gpus;
      free.memory += p.job.spec.memory;
    }
    return fits(need, free) ? out : null;
  }

  evictFor(j: Job, within: boolean, rooms: FreeResources[], guar: QuotaStatuses, now: Milliseconds): FreeResources | null {
    if (!this.hasVictims(j, within)) return null;
    let best: { r: FreeResources; v: Allocation[]; c: number } | null = null;
    for (const r of rooms) {
      const v = this.victimsOn(j, within, r, guar, now);
      if (!v) continue;
      const c = v.reduce((a, p) => a + this.stopCost(p, now), 0) - 20 * this.machineScoring.score(j, r);
      if (!best || c < best.c) best = { r, v, c };
    }
    if (!best) return null;
    this.evict(best.v, best.r);
    return best.r;
  }

  evict(victims: Allocation[], r: FreeResources): void {
    for (const p of victims) {
      r.cpus += p.job.spec.cpus;
      r.gpus += p.job.spec.gpus;
      r.memory += p.job.spec.memory;
      // A gang is stopped whole.
      if (p.job.spec.shape === 'gang') this.allocations.stopJob(p.job);
      else this.allocations.stop(p, this.allocations.stopGraceS(p.job));
    }
  }
}
