import type { TaskAllocations, UnmetDemand } from '../allocation/index.js';
import type { CapacityView, ClusterStateView } from '../context/index.js';
import {
  type FreeResources,
  fits,
  type Job,
  type Machine,
  type Milliseconds,
  RESOURCE_TOLERANCE,
  type Resources,
  SCARCE_MACHINE_WAIT_S,
} from '../model/index.js';
import { isAllowedOn } from './placement-constraints.js';
import type { QueueOrder } from './queue-order.js';

const NOTHING: Resources = { cpus: 0, gpus: 0, memory: 0 };

/** How good a place is for a task, and which machines are left to the work they are made for. */
export class MachineScoring {
  /** shards with accelerator work that found no room in the last run */
  private readonly shardsWithWaitingGangs = new Set<number>();
  private dedicatedMachinesCache: { job: Job; machines: Machine[] } | null = null;

  constructor(
    private readonly context: ClusterStateView & CapacityView,
    private readonly allocations: TaskAllocations,
    private readonly queueOrder: QueueOrder,
  ) {}

  /**
   * Larger is better, about in seconds: the time until the image is there counts, and
   * machines with accelerators are left to the work that needs them.
   */
  score(job: Job, free: FreeResources): number {
    const machine = free.machine;
    const capacity = machine.capacity;
    if (!capacity) return -100;
    let score = 0;
    if (!machine.images.has(job.imageIndex)) {
      let coming = false;
      for (const allocation of machine.tenure.allocations.values())
        if (allocation.job.imageIndex === job.imageIndex && allocation.phase !== 'exited') coming = true;
      score -= (job.spec.imageGb / capacity.fetchGbPerS) * (coming ? 0.5 : 1);
    }
    if (job.spec.gpus === 0 && capacity.gpus > 0) score -= this.gpuMachinePenalty(job, free);
    if (machine.spot && job.spec.shape === 'array') score += 1;
    // Services stand together, so that whole machines stay free for others.
    if (job.spec.shape === 'service' && this.allocations.serviceUsage(machine).cpus > 0) score += 0.6;
    return score;
  }

  /**
   * Where no more of them can be had, services keep off machines with accelerators until
   * nothing else has come free for a while: there they would stand in the way for hours.
   */
  mayUseMachine(job: Job, free: FreeResources, waitedMs: Milliseconds): boolean {
    const capacity = free.machine.capacity;
    // Fetches share a machine's rate: a small image would hold up a gang's large one.
    if (job.spec.gpus === 0 && this.allocations.now < free.machine.reservedUntil) return false;
    if (job.spec.gpus === 0 && !free.machine.images.has(job.imageIndex) && this.isFetchingForGang(free.machine)) return false;
    if (job.spec.gpus > 0 || !capacity || capacity.gpus === 0 || free.machine.spot) return true;
    if (job.spec.shape !== 'service') return this.arrayMayUseGpuMachine(job, free);
    if (this.context.isTypeAvailable(capacity.name)) return true;
    // One machine given to services whole leaves the others to the work they are made for.
    if (this.isDedicatedToServices(free.machine)) return waitedMs > 800;
    if (this.leavesSpaceForGpuWork(free.machine, job.resources)) return waitedMs > 1500;
    if (this.dedicatedMachinesWithSpace(job).some((machine) => machine !== free.machine)) return waitedMs > 30_000;
    return waitedMs > SCARCE_MACHINE_WAIT_S * 1000;
  }

  /** What the run that ends has found no room for. */
  recordUnmetDemand(unmetDemand: readonly UnmetDemand[]): void {
    this.shardsWithWaitingGangs.clear();
    for (const { job } of unmetDemand) if (job.spec.gpus > 0) this.shardsWithWaitingGangs.add(job.shard);
  }

  /** Forgets what was worked out for the job that was planned for before. */
  beginJob(): void {
    this.dedicatedMachinesCache = null;
  }

  /**
   * Two machines, or as many as there are, that are given to services and have room for the job's next task. They are
   * the same for all machines that are weighed for the job.
   */
  private dedicatedMachinesWithSpace(job: Job): Machine[] {
    if (this.dedicatedMachinesCache?.job === job) return this.dedicatedMachinesCache.machines;
    const machines: Machine[] = [];
    for (const machine of this.context.clusterState.machines.values()) {
      if (machines.length === 2) break;
      if (
        machine.shard !== job.shard ||
        !this.isDedicatedToServices(machine) ||
        !this.allocations.isSchedulable(machine, this.allocations.now) ||
        !isAllowedOn(job, machine)
      )
        continue;
      if (fits(job.resources, this.allocations.freeResourcesOf(machine))) machines.push(machine);
    }
    this.dedicatedMachinesCache = { job, machines };
    return machines;
  }

  private isFetchingForGang(machine: Machine): boolean {
    for (const allocation of machine.tenure.allocations.values()) {
      if (
        allocation.job.spec.gpus === 0 ||
        allocation.phase === 'exited' ||
        allocation.stopGraceS !== null ||
        machine.images.has(allocation.job.imageIndex)
      )
        continue;
      if (allocation.phase !== 'there' || allocation.status?.state === 'fetching') return true;
    }
    return false;
  }

  /** Independent tasks take a dear machine whole only when their time runs out. */
  private arrayMayUseGpuMachine(job: Job, free: FreeResources): boolean {
    const capacity = free.machine.capacity;
    if (!capacity) return true;
    const gpuDemand = this.context.clusterState.gpuDemandByType.get(free.machine.typeIndex);
    // Where no more are to be had and what needs them outranks this, it does no harm there.
    if (!gpuDemand || (gpuDemand.rank > job.priority && !this.context.isTypeAvailable(capacity.name))) return true;
    let cpus = job.spec.cpus;
    for (const allocation of free.machine.tenure.allocations.values())
      if (allocation.phase !== 'exited' && allocation.job.spec.gpus === 0) cpus += allocation.job.spec.cpus;
    // Beside what keeps the machine here anyway, it costs nothing; alone it would keep it.
    if (cpus <= capacity.cpus - gpuDemand.cpus + RESOURCE_TOLERANCE && this.isKeptBusy(free.machine)) return true;
    if (this.shardsWithWaitingGangs.has(job.shard)) return false;
    const due = this.queueOrder.startDeadlineOf(job, this.allocations.now) - this.allocations.now;
    // Half of the run on top: estimates are often wrong by as much.
    return due < this.context.clusterState.bootTimeFor(job) * 1.5 + job.expectedRunMs / 2 || due > 1e6;
  }

  /** Bears more services than accelerator work leaves room for, or is in a share without such work. */
  isDedicatedToServices(machine: Machine): boolean {
    if (!machine.capacity || machine.capacity.gpus === 0 || machine.spot) return false;
    if (!this.context.clusterState.shardsWithGpuWork.has(machine.shard)) return true;
    return !this.leavesSpaceForGpuWork(machine, NOTHING);
  }

  /** Would accelerator work of the largest kind seen still fit beside the machine's services and this? */
  private leavesSpaceForGpuWork(machine: Machine, more: Resources): boolean {
    const gpuDemand = this.context.clusterState.gpuDemandByType.get(machine.typeIndex);
    if (!gpuDemand || !machine.capacity) return true;
    const used = this.allocations.serviceUsage(machine);
    return (
      used.cpus + more.cpus <= machine.capacity.cpus - gpuDemand.cpus + RESOURCE_TOLERANCE &&
      used.memory + more.memory <= machine.capacity.memory - gpuDemand.memory + RESOURCE_TOLERANCE
    );
  }

  private gpuMachinePenalty(job: Job, free: FreeResources): number {
    const machine = free.machine;
    if (machine.spot) return 1;
    const gpuDemand = this.context.clusterState.gpuDemandByType.get(machine.typeIndex);
    if (!gpuDemand || !machine.capacity) return 5;
    // What an accelerator task leaves over is free for others; where services stand in its
    // way already, more of them cost nothing.
    if (this.leavesSpaceForGpuWork(machine, job.resources)) {
      if (!this.context.isTypeAvailable(machine.capacity.name)) return 6;
      // Yet what stands there when the accelerator work ends keeps the machine from going back.
      return this.isKeptBusy(machine) ? (job.spec.shape === 'service' ? 1.5 : 0) : 20;
    }
    if (job.spec.shape === 'service' && this.isDedicatedToServices(machine)) return 2;
    return job.priority < gpuDemand.rank ? 8 : 40;
  }

  /** Bears work for accelerators, or is full of services. */
  isKeptBusy(machine: Machine): boolean {
    for (const allocation of machine.tenure.allocations.values())
      if (allocation.phase !== 'exited' && allocation.job.spec.gpus > 0) return true;
    return !this.leavesSpaceForGpuWork(machine, NOTHING);
  }
}
