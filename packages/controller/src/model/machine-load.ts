/**
 * The resources that a machine's allocations use. Scheduling, the autoscaler and rebalancing read them far more often than
 * allocations change, so the machine caches the result until an allocation changes.
 */
import type { Allocation } from './job.js';
import type { Machine } from './machine.js';
import { type Resources, subtract } from './resources.js';

/** The load of a machine as of the last change of its allocations. */
export interface MachineLoad {
  /** the capacity less the resources of all tasks that may be on the machine */
  readonly free: Readonly<Resources>;
  /** allocations of service tasks that have not exited */
  readonly services: readonly Allocation[];
  /** resources used by services that need no accelerators */
  readonly serviceUsage: Readonly<{ cpus: number; memory: number }>;
}

/** Returns the machine's load; recomputed only if its allocations changed since the last call. */
export function machineLoadOf(machine: Machine): MachineLoad {
  machine.load ??= computeLoad(machine);
  return machine.load;
}

/** Returns a copy of the machine's capacity, which the caller may modify; all zero while the machine type is unknown. */
export function capacityOf({ capacity }: Machine): Resources {
  return { cpus: capacity?.cpus ?? 0, gpus: capacity?.gpus ?? 0, memory: capacity?.memory ?? 0 };
}

function computeLoad(machine: Machine): MachineLoad {
  const free = capacityOf(machine);
  const services: Allocation[] = [];
  const serviceUsage = { cpus: 0, memory: 0 };
  for (const allocation of machine.tenure.allocations.values()) {
    if (allocation.phase === 'exited') continue;
    const { resources, spec } = allocation.job;
    subtract(free, resources);
    if (spec.shape !== 'service') continue;
    services.push(allocation);
    if (spec.gpus > 0) continue;
    serviceUsage.cpus += spec.cpus;
    serviceUsage.memory += spec.memory;
  }
  return { free, services, serviceUsage };
}
