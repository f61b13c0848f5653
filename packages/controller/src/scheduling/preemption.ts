import type { Work } from '../allocation/task-allocations.js';
import type { Context } from '../context/index.js';
import { type Job, type Machine, type Ms, type Need, type Placement, TOP_RANK } from '../model/index.js';
import type { Places } from './machine-scoring.js';
import { copies, fits, type Room } from './placement.js';
import type { Guarantees } from './queue-order.js';

/** What may be stopped for what, and the least of it that makes room. */
export class Preemption {
  /** tasks of pressing services without a place, by share */
  readonly pressed = new Map<number, number>();
  /** the lowest rank of work that has places, by share, as the plan began */
  private readonly lowestRank = new Map<number, number>();

  constructor(
    private readonly context: Context,
    private readonly work: Work,
    private readonly places: Places,
  ) {}

  /** A plan begins: what the last one found is forgotten. */
  begin(): void {
    this.pressed.clear();
    this.lowestRank.clear();
    for (const job of this.context.table.jobs.values()) {
      if (job.placements.size === 0) continue;
      this.lowestRank.set(job.share, Math.min(job.rank, this.lowestRank.get(job.share) ?? job.rank));
    }
  }

  /**
   * Can there be anything at all that may be stopped for the job? What the plan itself has placed so far is of the
   * job's rank or a higher one.
   */
  hasVictims(j: Job, within: boolean): boolean {
    if (within && j.spec.gpus > 0) return true;
    return (this.lowestRank.get(j.share) ?? j.rank) < j.rank;
  }

  bearsFirm(m: Machine, guar: Guarantees): boolean {
    for (const p of m.placements.values()) if (p.phase !== 'exited' && guar.get(p.job)?.firm) return true;
    return false;
  }

  /**
   * May this placement be stopped for a job of that rank? (DESIGN: above guarantee; PROTOCOL: rank)
   * Work within a guarantee is stopped for a pressing service alone.
   */
  victim(p: Placement, j: Job, within: boolean, guar: Guarantees): boolean {
    if (p.stop !== null || p.phase === 'exited' || p.job === j) return false;
    const g = guar.get(p.job);
    if (g?.firm && !this.pressing(j, p.machine)) return false;
    if (p.job.rank < j.rank) return true;
    if (!within || p.job.team === j.team || g === undefined || j.spec.gpus === 0) return false;
    return !g.within || p.job.spec.shape === 'array';
  }

  /**
   * When many machines are gone at once, services of the highest rank that found no room for a
   * plan wait come before gangs that stand within a guarantee: where so many wait that they
   * fill half of the machine at least. Without this, 176 replicas waited out a cut of 90 s
   * while 24 machines trained on; for a few replicas, gangs that were stopped cost more.
   */
  private pressing(j: Job, m: Machine): boolean {
    return m.cap !== null && this.waitedOut(j) && (this.pressed.get(j.share) ?? 0) * 2 >= copies(j.need, m.cap);
  }

  waitedOut(j: Job): boolean {
    return (
      j.rank === TOP_RANK &&
      j.spec.shape === 'service' &&
      j.waitsSince >= 0 &&
      this.work.now - j.waitsSince > this.context.settings.policy.planWaitS * 1000
    );
  }

  cost(p: Placement, now: Ms): number {
    const ran = p.ranSince >= 0 ? (now - p.ranSince) / 1000 : 0;
    return p.job.rank * 1000 + (p.phase === 'planned' ? -1 : ran) + (p.job.spec.shape === 'gang' ? 500 : 0);
  }

  /** The least work to stop on one machine so that a task of the job fits, or null. */
  victimsOn(j: Job, within: boolean, r: Room, guar: Guarantees, now: Ms, count = 1): Placement[] | null {
    const need: Need = { cpus: j.spec.cpus * count, gpus: j.spec.gpus * count, memory: j.spec.memory * count };
    const free: Need = { cpus: r.cpus, gpus: r.gpus, memory: r.memory };
    const out: Placement[] = [];
    const list = [...r.machine.placements.values()]
      .filter((p) => this.victim(p, j, within, guar))
      .sort((a, b) => this.cost(a, now) - this.cost(b, now));
    for (const p of list) {
      if (fits(need, free)) break;
      out.push(p);
      free.cpus += p.job.spec.cpus;
      free.gpus += p.job.spec.gpus;
      free.memory += p.job.spec.memory;
    }
    return fits(need, free) ? out : null;
  }

  evictFor(j: Job, within: boolean, rooms: Room[], guar: Guarantees, now: Ms): Room | null {
    if (!this.hasVictims(j, within)) return null;
    let best: { r: Room; v: Placement[]; c: number } | null = null;
    for (const r of rooms) {
      const v = this.victimsOn(j, within, r, guar, now);
      if (!v) continue;
      const c = v.reduce((a, p) => a + this.cost(p, now), 0) - 20 * this.places.preference(j, r);
      if (!best || c < best.c) best = { r, v, c };
    }
    if (!best) return null;
    this.evict(best.v, best.r);
    return best.r;
  }

  evict(victims: Placement[], r: Room): void {
    for (const p of victims) {
      r.cpus += p.job.spec.cpus;
      r.gpus += p.job.spec.gpus;
      r.memory += p.job.spec.memory;
      // A gang is stopped whole.
      if (p.job.spec.shape === 'gang') this.work.stopJob(p.job);
      else this.work.stop(p, this.work.graceOf(p.job));
    }
  }
}
