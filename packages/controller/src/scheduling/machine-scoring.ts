/**
 * Scoring: how suitable a machine is for a task. A score is roughly in seconds of the task's waiting time: an image fetch
 * counts with its duration, everything else with the waiting time that it is worth. Owns nothing.
 */
import type { CapacityView, ClusterStateView } from '../context/index.js';
import { type FreeResources, type Job, type Machine, machineLoadOf } from '../model/index.js';
import type { GpuMachines } from './gpu-machines.js';

/** A machine of unknown capacity ranks below all others. */
const UNKNOWN_CAPACITY_SCORE = -100;

/** An image fetch that is already in progress for other work completes, on average, after half of the full fetch time. */
const FETCH_IN_PROGRESS_FACTOR = 0.5;

/** A spot machine is cheaper, and an array loses little work when the machine is reclaimed. */
const SPOT_ARRAY_BONUS = 1;

/** Services are placed together, so that whole machines stay free for other work. */
const COLOCATED_SERVICE_BONUS = 0.6;

/** Penalty for placing work without accelerators on a machine that has them, in seconds of waiting time. */
const GPU_MACHINE_PENALTY = {
  /** a spot machine, which is reclaimed sooner or later anyway */
  spot: 1,
  /** no accelerator work that fits on the machine has been recorded */
  noGpuDemand: 5,
  /** resources that accelerator work leaves free, on a machine of a type of which no more can be provisioned */
  spareCapacityOfScarceType: 6,
  /** resources beside accelerator work: a service may prevent the machine's release when that work ends */
  serviceBesideGpuWork: 1.5,
  /** resources beside accelerator work: an array ends soon enough */
  arrayBesideGpuWork: 0,
  /** an otherwise empty machine, which would be kept for this work alone */
  emptyMachine: 20,
  /** another service on a machine whose services block accelerator work already */
  dedicatedToServices: 2,
  /** blocks accelerator work of a higher priority, which can preempt it */
  preemptibleByGpuWork: 8,
  /** blocks accelerator work that can't preempt it */
  blockingGpuWork: 40,
} as const;

/** Scores machines for jobs. */
export class MachineScoring {
  constructor(
    private readonly context: ClusterStateView & CapacityView,
    private readonly gpuMachines: GpuMachines,
  ) {}

  /** Returns the machine's score for the job; a higher score is better. */
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

  /** Returns the penalty of a job without accelerators on a machine that has them. */
  private gpuMachinePenalty(job: Job, machine: Machine): number {
    if (machine.spot) return GPU_MACHINE_PENALTY.spot;
    const gpuDemand = this.context.clusterState.gpuDemandByType.get(machine.typeIndex);
    if (!gpuDemand || !machine.capacity) return GPU_MACHINE_PENALTY.noGpuDemand;
    const isService = job.spec.shape === 'service';
    if (this.gpuMachines.leavesCapacityForGpuWork(machine, job.resources)) {
      if (!this.context.isTypeAvailable(machine.capacity.name)) return GPU_MACHINE_PENALTY.spareCapacityOfScarceType;
      if (!this.gpuMachines.isOccupied(machine)) return GPU_MACHINE_PENALTY.emptyMachine;
      return isService ? GPU_MACHINE_PENALTY.serviceBesideGpuWork : GPU_MACHINE_PENALTY.arrayBesideGpuWork;
    }
    if (isService && this.gpuMachines.isDedicatedToServices(machine)) return GPU_MACHINE_PENALTY.dedicatedToServices;
    return job.priority < gpuDemand.priority ? GPU_MACHINE_PENALTY.preemptibleByGpuWork : GPU_MACHINE_PENALTY.blockingGpuWork;
  }
}

/** Returns the time in seconds until the machine has the job's image. The image must not be in the machine's cache. */
function fetchTimeS(job: Job, machine: Machine, fetchGbPerS: number): number {
  let isInProgress = false;
  for (const allocation of machine.tenure.allocations.values())
    if (allocation.job.imageIndex === job.imageIndex && allocation.phase !== 'exited') isInProgress = true;
  return (job.spec.imageSizeGb / fetchGbPerS) * (isInProgress ? FETCH_IN_PROGRESS_FACTOR : 1);
}
