/**
 * Scoring: how good a machine is for a task. A score is about in seconds of the task's waiting: what the fetch of the image
 * takes counts as it is, everything else by how long a wait it is worth. Owns nothing.
 */
import type { CapacityView, ClusterStateView } from '../context/index.js';
import { type FreeResources, type Job, type Machine, machineLoadOf } from '../model/index.js';
import type { GpuMachines } from './gpu-machines.js';

/** A machine of unknown capacity comes after all others. */
const UNKNOWN_CAPACITY_SCORE = -100;

/** An image that is being fetched for other work is there, on average, after half of its time. */
const FETCH_UNDER_WAY_FACTOR = 0.5;

/** A spot machine is cheaper, and an array loses little with it. */
const SPOT_ARRAY_BONUS = 1;

/** Services stand together, so that whole machines stay free for others. */
const COLOCATED_SERVICE_BONUS = 0.6;

/** What it costs to put work without accelerators on a machine that has them, in seconds of waiting. */
const GPU_MACHINE_PENALTY = {
  /** a spot machine: it does not last anyway */
  spot: 1,
  /** no accelerator work has been seen that fits the machine */
  unwanted: 5,
  /** resources that accelerator work leaves free, on a type of which no more can be provisioned */
  spareRoomOfScarceType: 6,
  /** resources beside accelerator work: a service may keep the machine from being released when that ends */
  serviceBesideGpuWork: 1.5,
  /** resources beside accelerator work: an array ends soon enough */
  arrayBesideGpuWork: 0,
  /** an otherwise empty machine, which would be kept for this work alone */
  emptyMachine: 20,
  /** one more service, where services are in the way of accelerator work already */
  dedicatedToServices: 2,
  /** in the way of accelerator work of a higher priority, which may stop it */
  belowGpuWork: 8,
  /** in the way of accelerator work that can't stop it */
  blockingGpuWork: 40,
} as const;

/** Scores machines for jobs. */
export class MachineScoring {
  constructor(
    private readonly context: ClusterStateView & CapacityView,
    private readonly gpuMachines: GpuMachines,
  ) {}

  /** Larger is better. */
  score(job: Job, free: FreeResources): number {
    const { machine } = free;
    if (!machine.capacity) return UNKNOWN_CAPACITY_SCORE;
    let score = 0;
    if (!machine.images.has(job.imageIndex)) score -= fetchTimeS(job, machine, machine.capacity.fetchGbPerS);
    if (job.spec.gpus === 0 && machine.capacity.gpus > 0) score -= this.gpuMachinePenalty(job, machine);
    if (machine.spot && job.spec.shape === 'array') score += SPOT_ARRAY_BONUS;
    if (job.spec.shape === 'service' && machineLoadOf(machine).serviceUsage.cpus > 0) score += COLOCATED_SERVICE_BONUS;
    return score;
  }

  /** For a job without accelerators on a machine that has them. */
  private gpuMachinePenalty(job: Job, machine: Machine): number {
    if (machine.spot) return GPU_MACHINE_PENALTY.spot;
    const gpuDemand = this.context.clusterState.gpuDemandByType.get(machine.typeIndex);
    if (!gpuDemand || !machine.capacity) return GPU_MACHINE_PENALTY.unwanted;
    const isService = job.spec.shape === 'service';
    if (this.gpuMachines.leavesRoomForGpuWork(machine, job.resources)) {
      if (!this.context.isTypeAvailable(machine.capacity.name)) return GPU_MACHINE_PENALTY.spareRoomOfScarceType;
      if (!this.gpuMachines.isKeptBusy(machine)) return GPU_MACHINE_PENALTY.emptyMachine;
      return isService ? GPU_MACHINE_PENALTY.serviceBesideGpuWork : GPU_MACHINE_PENALTY.arrayBesideGpuWork;
    }
    if (isService && this.gpuMachines.isDedicatedToServices(machine)) return GPU_MACHINE_PENALTY.dedicatedToServices;
    return job.priority < gpuDemand.priority ? GPU_MACHINE_PENALTY.belowGpuWork : GPU_MACHINE_PENALTY.blockingGpuWork;
  }
}

/** How long the machine will take until it has the job's image, which it has not yet, in seconds. */
function fetchTimeS(job: Job, machine: Machine, fetchGbPerS: number): number {
  let isUnderWay = false;
  for (const allocation of machine.tenure.allocations.values())
    if (allocation.job.imageIndex === job.imageIndex && allocation.phase !== 'exited') isUnderWay = true;
  return (job.spec.imageSizeGb / fetchGbPerS) * (isUnderWay ? FETCH_UNDER_WAY_FACTOR : 1);
}
