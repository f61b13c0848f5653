/**
 * Determines which machines with accelerators are reserved for work that needs accelerators, and which are dedicated to
 * services. Reads the cluster state; owns nothing.
 */
import type { ClusterStateView } from '../context/index.js';
import { type Machine, machineLoadOf, RESOURCE_TOLERANCE, type Resources } from '../model/index.js';

const NO_RESOURCES: Resources = { cpus: 0, gpus: 0, memory: 0 };

/** Whether the machine has accelerator work that has not ended. */
export function hasGpuWork(machine: Machine): boolean {
  for (const allocation of machine.tenure.allocations.values())
    if (allocation.phase !== 'exited' && allocation.job.spec.gpus > 0) return true;
  return false;
}

/** Determines how services and accelerator work share the machines with accelerators. */
export class GpuMachines {
  constructor(private readonly context: ClusterStateView) {}

  /**
   * Whether the machine's services leave too few resources for accelerator work, or its shard has had no such work. Always
   * false for a spot machine and for one without accelerators.
   */
  isDedicatedToServices(machine: Machine): boolean {
    if (!machine.capacity || machine.capacity.gpus === 0 || machine.spot) return false;
    if (!this.context.clusterState.shardsWithGpuWork.has(machine.shard)) return true;
    return !this.leavesCapacityForGpuWork(machine);
  }

  /**
   * Whether the machine has accelerator work, or its services leave too few resources for any. The machine then stays in use
   * anyway, so additional work doesn't delay its release.
   */
  isOccupied(machine: Machine): boolean {
    return hasGpuWork(machine) || !this.leavesCapacityForGpuWork(machine);
  }

  /**
   * Whether the largest accelerator task recorded for the machine's type would fit beside the machine's services and
   * `additional`. True if no such task is recorded.
   */
  leavesCapacityForGpuWork(machine: Machine, additional: Resources = NO_RESOURCES): boolean {
    const gpuDemand = this.context.clusterState.gpuDemandByType.get(machine.typeIndex);
    if (!gpuDemand || !machine.capacity) return true;
    const used = machineLoadOf(machine).serviceUsage;
    return (
      used.cpus + additional.cpus <= machine.capacity.cpus - gpuDemand.cpus + RESOURCE_TOLERANCE &&
      used.memory + additional.memory <= machine.capacity.memory - gpuDemand.memory + RESOURCE_TOLERANCE
    );
  }
}
