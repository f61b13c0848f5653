/**
 * Evacuation of services: finds the machines of a shard whose services all fit elsewhere in the shard, so that the machine can
 * be cleared for accelerator work or for another shard. Stops nothing itself; owns nothing.
 */
import { freeResourcesOf, type TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView } from '../context/index.js';
import { type FreeResources, type Machine, type Milliseconds, machineLoadOf } from '../model/index.js';
import type { GpuMachines } from './gpu-machines.js';
import { RelocationTargets } from './relocation-targets.js';

/** A service that was stopped this recently is not moved: moving it again would keep it from running. */
const RECENT_MOVE_MS = 60_000;

/** A machine without accelerators that has more services than this is not worth clearing. */
const MAX_SERVICES_ON_CPU_MACHINE = 4;

/** Finds machines that can be cleared of their services. */
export class ServiceEvacuation {
  constructor(
    private readonly context: ClusterStateView,
    private readonly allocations: TaskAllocations,
    private readonly gpuMachines: GpuMachines,
  ) {}

  /**
   * Returns the machines of the shard whose services fit on other machines. This holds for each machine by itself, not for all
   * at once.
   */
  evacuableMachines(shard: number, now: Milliseconds): Set<Machine> {
    const targets = new RelocationTargets(this.targetsIn(shard, now), (machine) => machineLoadOf(machine).serviceUsage.cpus);
    const result = new Set<Machine>();
    for (const machine of this.context.clusterState.machines.values())
      if (machine.shard === shard && this.isEvacuable(machine, targets, now)) result.add(machine);
    return result;
  }

  /** Returns machines in use that accept services. Resources used by arrays count as free, since services take precedence. */
  private targetsIn(shard: number, now: Milliseconds): FreeResources[] {
    const result: FreeResources[] = [];
    for (const machine of this.context.clusterState.machines.values()) {
      if (machine.shard !== shard || !machine.capacity || machine.spot || !this.allocations.isSchedulable(machine, now)) continue;
      if (machine.capacity.gpus > 0 && !this.gpuMachines.isDedicatedToServices(machine)) continue;
      if (machine.tenure.allocations.size > 0) result.push(this.freeWithoutArrays(machine));
    }
    return result;
  }

  private freeWithoutArrays(machine: Machine): FreeResources {
    const free = freeResourcesOf(machine);
    for (const { job, phase } of machine.tenure.allocations.values()) {
      if (phase === 'exited' || job.spec.shape !== 'array') continue;
      free.cpus += job.spec.cpus;
      free.memory += job.spec.memory;
    }
    return free;
  }

  private isEvacuable(machine: Machine, targets: RelocationTargets, now: Milliseconds): boolean {
    if (!machine.capacity || machine.spot) return false;
    const services = machineLoadOf(machine).services;
    if (services.some(({ job }) => now - job.lastStopAt < RECENT_MOVE_MS)) return false;
    if (services.length === 0) return false;
    if (machine.capacity.gpus === 0 && services.length > MAX_SERVICES_ON_CPU_MACHINE) return false;
    return targets.canHost(machine, services);
  }
}
