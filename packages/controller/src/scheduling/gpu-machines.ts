/**
 * Which machines with accelerators are reserved for work that needs accelerators, and which are dedicated to services. Reads
 * the cluster state; owns nothing.
 */
import type { ClusterStateView } from '../context/index.js';
import { type Machine, machineLoadOf, RESOURCE_TOLERANCE, type Resources } from '../model/index.js';

const NO_RESOURCES: Resources = { cpus: 0, gpus: 0, memory: 0 };

/** Has the machine accelerator work that has not ended? */
export function hasGpuWork(machine: Machine): boolean {
  for (const allocation of machine.tenure.allocations.values())
    if (allocation.phase !== 'exited' && allocation.job.spec.gpus > 0) return true;
  return false;
}

/** What services leave of the machines with accelerators. */
export class GpuMachines {
  constructor(private readonly context: ClusterStateView) {}

  /** Has it more services than fit beside accelerator work, or is it in a shard without such work? Never a spot machine. */
  isDedicatedToServices(machine: Machine): boolean {
    if (!machine.capacity || machine.capacity.gpus === 0 || machine.spot) return false;
    if (!this.context.clusterState.shardsWithGpuWork.has(machine.shard)) return true;
    return !this.leavesRoomForGpuWork(machine);
  }

  /** Has it accelerator work, or is it full of services? Then more work there does not keep it from being released. */
  isKeptBusy(machine: Machine): boolean {
    return hasGpuWork(machine) || !this.leavesRoomForGpuWork(machine);
  }

  /** Would the largest accelerator task seen still fit beside the machine's services and `more`? */
  leavesRoomForGpuWork(machine: Machine, more: Resources = NO_RESOURCES): boolean {
    const gpuDemand = this.context.clusterState.gpuDemandByType.get(machine.typeIndex);
    if (!gpuDemand || !machine.capacity) return true;
    const used = machineLoadOf(machine).serviceUsage;
    return (
      used.cpus + more.cpus <= machine.capacity.cpus - gpuDemand.cpus + RESOURCE_TOLERANCE &&
      used.memory + more.memory <= machine.capacity.memory - gpuDemand.memory + RESOURCE_TOLERANCE
    );
  }
}
