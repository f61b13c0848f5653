import type { TaskAllocations } from '../allocation/task-allocations.js';
import type { ControllerContext } from '../context/index.js';
import { type Job, type Machine, type Milliseconds, type Resources, SCARCE_MACHINE_WAIT_S } from '../model/index.js';
import { type FreeResources, fits, isAllowedOn, RESOURCE_TOLERANCE } from './placement.js';
import type { QueueOrder } from './queue-order.js';

const NOTHING: Resources = { cpus: 0, gpus: 0, memory: 0 };

/** How good a place is for a task, and which machines are left to the work they are made for. */
export class MachineScoring {
  /** shares with work for accelerators that has no room */
  readonly shardsWithWaitingGangs = new Set<number>();
  private dedicatedMachinesCache: { job: Job; machines: Machine[] } | null = null;

  constructor(
    private readonly context: ControllerContext,
    private readonly allocations: TaskAllocations,
    private readonly queueOrder: QueueOrder,
  ) {}

  /**
   * Larger is better, about in seconds: the time until the image is there counts, and
   * machines with accelerators are left to the work that needs them.
   */
  score(j: Job, r: FreeResources): number {
    const m = r.machine;
    const cap = m.capacity;
    if (!cap) return -100;
    let s = 0;
    if (!m.images.has(j.imageIndex)) {
      let coming = false;
      for (const p of m.allocations.values()) if (p.job.imageIndex === j.imageIndex && p.phase !== 'exited') coming = true;
      s -= (j.spec.imageGb / cap.fetchGbPerS) * (coming ? 0.5 : 1);
    }
    if (j.spec.gpus === 0 && cap.gpus > 0) s -= this.gpuMachinePenalty(j, r);
    if (m.spot && j.spec.shape === 'array') s += 1;
    // Services stand together, so that whole machines stay free for others.
    if (j.spec.shape === 'service' && this.allocations.serviceUsage(m).cpus > 0) s += 0.6;
    return s;
  }

  /**
   * Where no more of them can be had, services keep off machines with accelerators until
   * nothing else has come free for a while: there they would stand in the way for hours.
   */
  mayUseMachine(j: Job, r: FreeResources, waitedMs: Milliseconds): boolean {
    const cap = r.machine.capacity;
    // Fetches share a machine's rate: a small image would hold up a gang's large one.
    if (j.spec.gpus === 0 && this.allocations.now < r.machine.reservedUntil) return false;
    if (j.spec.gpus === 0 && !r.machine.images.has(j.imageIndex) && this.isFetchingForGang(r.machine)) return false;
    if (j.spec.gpus > 0 || !cap || cap.gpus === 0 || r.machine.spot) return true;
    if (j.spec.shape !== 'service') return this.arrayMayUseGpuMachine(j, r);
    if (this.context.isTypeAvailable(cap.name)) return true;
    // One machine given to services whole leaves the others to the work they are made for.
    if (this.isDedicatedToServices(r.machine)) return waitedMs > 800;
    if (this.leavesSpaceForGpuWork(r.machine, j.resources)) return waitedMs > 1500;
    if (this.dedicatedMachinesWithSpace(j).some((m) => m !== r.machine)) return waitedMs > 30_000;
    return waitedMs > SCARCE_MACHINE_WAIT_S * 1000;
  }

  /** Forgets what was worked out for the job that was planned for before. */
  beginJob(): void {
    this.dedicatedMachinesCache = null;
  }

  /**
   * Two machines, or as many as there are, that are given to services and have room for the job's next task. They are
   * the same for all machines that are weighed for the job.
   */
  private dedicatedMachinesWithSpace(j: Job): Machine[] {
    if (this.dedicatedMachinesCache?.job === j) return this.dedicatedMachinesCache.machines;
    const machines: Machine[] = [];
    for (const m of this.context.clusterState.machines.values()) {
      if (machines.length === 2) break;
      if (
        m.shard !== j.shard ||
        !this.isDedicatedToServices(m) ||
        !this.allocations.isSchedulable(m, this.allocations.now) ||
        !isAllowedOn(j, m)
      )
        continue;
      if (fits(j.resources, this.allocations.freeResourcesOf(m))) machines.push(m);
    }
    this.dedicatedMachinesCache = { job: j, machines };
    return machines;
  }

  private isFetchingForGang(m: Machine): boolean {
    for (const p of m.allocations.values()) {
      if (p.job.spec.gpus === 0 || p.phase === 'exited' || p.stopGraceS !== null || m.images.has(p.job.imageIndex)) continue;
      if (p.phase !== 'there' || p.status?.state === 'fetching') return true;
    }
    return false;
  }

  /** Independent tasks take a dear machine whole only when their time runs out. */
  private arrayMayUseGpuMachine(j: Job, r: FreeResources): boolean {
    const cap = r.machine.capacity;
    if (!cap) return true;
    const want = this.context.clusterState.gpuDemandByType.get(r.machine.typeIndex);
    // Where no more are to be had and what needs them outranks this, it does no harm there.
    if (!want || (want.rank > j.priority && !this.context.isTypeAvailable(cap.name))) return true;
    let cpus = j.spec.cpus;
    for (const p of r.machine.allocations.values()) if (p.phase !== 'exited' && p.job.spec.gpus === 0) cpus += p.job.spec.cpus;
    // Beside what keeps the machine here anyway, it costs nothing; alone it would keep it.
    if (cpus <= cap.cpus - want.cpus + RESOURCE_TOLERANCE && this.isKeptBusy(r.machine)) return true;
    if (this.shardsWithWaitingGangs.has(j.shard)) return false;
    const due = this.queueOrder.startDeadlineOf(j, this.allocations.now) - this.allocations.now;
    // Half of the run on top: estimates are often wrong by as much.
    return due < this.context.clusterState.bootTimeFor(j) * 1.5 + j.expectedRunMs / 2 || due > 1e6;
  }

  /** Bears more services than accelerator work leaves room for, or is in a share without such work. */
  isDedicatedToServices(m: Machine): boolean {
    if (!m.capacity || m.capacity.gpus === 0 || m.spot) return false;
    if (!this.context.clusterState.shardsWithGpuWork.has(m.shard)) return true;
    return !this.leavesSpaceForGpuWork(m, NOTHING);
  }

  /** Would accelerator work of the largest kind seen still fit beside the machine's services and this? */
  private leavesSpaceForGpuWork(m: Machine, more: Resources): boolean {
    const want = this.context.clusterState.gpuDemandByType.get(m.typeIndex);
    if (!want || !m.capacity) return true;
    const used = this.allocations.serviceUsage(m);
    return (
      used.cpus + more.cpus <= m.capacity.cpus - want.cpus + RESOURCE_TOLERANCE &&
      used.memory + more.memory <= m.capacity.memory - want.memory + RESOURCE_TOLERANCE
    );
  }

  private gpuMachinePenalty(j: Job, r: FreeResources): number {
    const m = r.machine;
    if (m.spot) return 1;
    const want = this.context.clusterState.gpuDemandByType.get(m.typeIndex);
    if (!want || !m.capacity) return 5;
    // What an accelerator task leaves over is free for others; where services stand in its
    // way already, more of them cost nothing.
    if (this.leavesSpaceForGpuWork(m, j.resources)) {
      if (!this.context.isTypeAvailable(m.capacity.name)) return 6;
      // Yet what stands there when the accelerator work ends keeps the machine from going back.
      return this.isKeptBusy(m) ? (j.spec.shape === 'service' ? 1.5 : 0) : 20;
    }
    if (j.spec.shape === 'service' && this.isDedicatedToServices(m)) return 2;
    return j.priority < want.rank ? 8 : 40;
  }

  /** Bears work for accelerators, or is full of services. */
  isKeptBusy(m: Machine): boolean {
    for (const p of m.allocations.values()) if (p.phase !== 'exited' && p.job.spec.gpus > 0) return true;
    return !this.leavesSpaceForGpuWork(m, NOTHING);
  }
}
