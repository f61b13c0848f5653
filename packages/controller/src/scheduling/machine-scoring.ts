import type { Work } from '../allocation/task-allocations.js';
import type { Context } from '../context/index.js';
import { type Job, type Machine, type Ms, type Need, SCARCE_AFTER_S } from '../model/index.js';
import { allowed, EPS, fits, type Room } from './placement.js';
import type { Order } from './queue-order.js';

const NOTHING: Need = { cpus: 0, gpus: 0, memory: 0 };

/** How good a place is for a task, and which machines are left to the work they are made for. */
export class Places {
  /** shares with work for accelerators that has no room */
  readonly gangsWait = new Set<number>();
  private withRoom: { job: Job; machines: Machine[] } | null = null;

  constructor(
    private readonly context: Context,
    private readonly work: Work,
    private readonly order: Order,
  ) {}

  /**
   * Larger is better, about in seconds: the time until the image is there counts, and
   * machines with accelerators are left to the work that needs them.
   */
  preference(j: Job, r: Room): number {
    const m = r.machine;
    const cap = m.cap;
    if (!cap) return -100;
    let s = 0;
    if (!m.images.has(j.image)) {
      let coming = false;
      for (const p of m.placements.values()) if (p.job.image === j.image && p.phase !== 'exited') coming = true;
      s -= (j.spec.imageGb / cap.fetchGbPerS) * (coming ? 0.5 : 1);
    }
    if (j.spec.gpus === 0 && cap.gpus > 0) s -= this.gpuPenalty(j, r);
    if (m.spot && j.spec.shape === 'array') s += 1;
    // Services stand together, so that whole machines stay free for others.
    if (j.spec.shape === 'service' && this.work.serviceUse(m).cpus > 0) s += 0.6;
    return s;
  }

  /**
   * Where no more of them can be had, services keep off machines with accelerators until
   * nothing else has come free for a while: there they would stand in the way for hours.
   */
  mayUse(j: Job, r: Room, waitedMs: Ms): boolean {
    const cap = r.machine.cap;
    // Fetches share a machine's rate: a small image would hold up a gang's large one.
    if (j.spec.gpus === 0 && this.work.now < r.machine.emptyUntil) return false;
    if (j.spec.gpus === 0 && !r.machine.images.has(j.image) && this.fetchesForGang(r.machine)) return false;
    if (j.spec.gpus > 0 || !cap || cap.gpus === 0 || r.machine.spot) return true;
    if (j.spec.shape !== 'service') return this.arrayMayUse(j, r);
    if (this.context.plenty(cap.name)) return true;
    // One machine given to services whole leaves the others to the work they are made for.
    if (this.givenToServices(r.machine)) return waitedMs > 800;
    if (this.leavesRoomForGang(r.machine, j.need)) return waitedMs > 1500;
    if (this.elsewhere(j).some((m) => m !== r.machine)) return waitedMs > 30_000;
    return waitedMs > SCARCE_AFTER_S * 1000;
  }

  /** Forgets what was worked out for the job that was planned for before. */
  begin(): void {
    this.withRoom = null;
  }

  /**
   * Two machines, or as many as there are, that are given to services and have room for the job's next task. They are
   * the same for all machines that are weighed for the job.
   */
  private elsewhere(j: Job): Machine[] {
    if (this.withRoom?.job === j) return this.withRoom.machines;
    const machines: Machine[] = [];
    for (const m of this.context.table.machines.values()) {
      if (machines.length === 2) break;
      if (m.share !== j.share || !this.givenToServices(m) || !this.work.usable(m, this.work.now) || !allowed(j, m)) continue;
      if (fits(j.need, this.work.roomOf(m))) machines.push(m);
    }
    this.withRoom = { job: j, machines };
    return machines;
  }

  private fetchesForGang(m: Machine): boolean {
    for (const p of m.placements.values()) {
      if (p.job.spec.gpus === 0 || p.phase === 'exited' || p.stop !== null || m.images.has(p.job.image)) continue;
      if (p.phase !== 'there' || p.report?.state === 'fetching') return true;
    }
    return false;
  }

  /** Independent tasks take a dear machine whole only when their time runs out. */
  private arrayMayUse(j: Job, r: Room): boolean {
    const cap = r.machine.cap;
    if (!cap) return true;
    const want = this.context.table.gpuNeed.get(r.machine.type);
    // Where no more are to be had and what needs them outranks this, it does no harm there.
    if (!want || (want.rank > j.rank && !this.context.plenty(cap.name))) return true;
    let cpus = j.spec.cpus;
    for (const p of r.machine.placements.values()) if (p.phase !== 'exited' && p.job.spec.gpus === 0) cpus += p.job.spec.cpus;
    // Beside what keeps the machine here anyway, it costs nothing; alone it would keep it.
    if (cpus <= cap.cpus - want.cpus + EPS && this.keptAnyway(r.machine)) return true;
    if (this.gangsWait.has(j.share)) return false;
    const due = this.order.dueOf(j, this.work.now) - this.work.now;
    // Half of the run on top: estimates are often wrong by as much.
    return due < this.context.table.bootMs(j) * 1.5 + j.runMs / 2 || due > 1e6;
  }

  /** Bears more services than accelerator work leaves room for, or is in a share without such work. */
  givenToServices(m: Machine): boolean {
    if (!m.cap || m.cap.gpus === 0 || m.spot) return false;
    if (!this.context.table.gpuShares.has(m.share)) return true;
    return !this.leavesRoomForGang(m, NOTHING);
  }

  /** Would accelerator work of the largest kind seen still fit beside the machine's services and this? */
  private leavesRoomForGang(m: Machine, more: Need): boolean {
    const want = this.context.table.gpuNeed.get(m.type);
    if (!want || !m.cap) return true;
    const used = this.work.serviceUse(m);
    return used.cpus + more.cpus <= m.cap.cpus - want.cpus + EPS && used.memory + more.memory <= m.cap.memory - want.memory + EPS;
  }

  private gpuPenalty(j: Job, r: Room): number {
    const m = r.machine;
    if (m.spot) return 1;
    const want = this.context.table.gpuNeed.get(m.type);
    if (!want || !m.cap) return 5;
    // What an accelerator task leaves over is free for others; where services stand in its
    // way already, more of them cost nothing.
    if (this.leavesRoomForGang(m, j.need)) {
      if (!this.context.plenty(m.cap.name)) return 6;
      // Yet what stands there when the accelerator work ends keeps the machine from going back.
      return this.keptAnyway(m) ? (j.spec.shape === 'service' ? 1.5 : 0) : 20;
    }
    if (j.spec.shape === 'service' && this.givenToServices(m)) return 2;
    return j.rank < want.rank ? 8 : 40;
  }

  /** Bears work for accelerators, or is full of services. */
  keptAnyway(m: Machine): boolean {
    for (const p of m.placements.values()) if (p.phase !== 'exited' && p.job.spec.gpus > 0) return true;
    return !this.leavesRoomForGang(m, NOTHING);
  }
}
