/**
 * What a machine's allocations take of it. Scheduling, the autoscaler and rebalancing ask for it far more often than allocations
 * change, so the machine keeps it until one does.
 */
import type { Allocation } from './job.js';
import type { Machine } from './machine.js';
import { type Resources, subtract } from './resources.js';

/** A machine's load, as of the last change of its allocations. */
export interface MachineLoad {
  /** what is left beside all tasks that may be on the machine */
  readonly free: Readonly<Resources>;
  /** services that have not ended */
  readonly services: readonly Allocation[];
  /** what services without accelerators take */
  readonly serviceUsage: Readonly<{ cpus: number; memory: number }>;
}

/** The machine's load; computed only if its allocations changed since the last call. */
export function machineLoadOf(machine: Machine): MachineLoad {
  machine.load ??= computeLoad(machine);
  return machine.load;
}

/** A copy of the machine's capacity, from which the caller may subtract; nothing while its type is unknown. */
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
