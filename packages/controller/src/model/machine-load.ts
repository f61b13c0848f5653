/**
 * What a machine's placements take of it. Plans, views and moves ask for it far more often than placements change, so
 * the machine keeps it until one does.
 */

import type { Allocation } from './job.js';
import type { Machine } from './machine.js';
import { type Resources, subtract } from './resources.js';

export interface MachineLoad {
  /** what is left beside all that may be there */
  readonly free: Readonly<Resources>;
  /** services that have not ended */
  readonly services: readonly Allocation[];
  /** what services without accelerators take */
  readonly serviceUsage: Readonly<{ cpus: number; memory: number }>;
}

export function machineLoadOf(machine: Machine): MachineLoad {
  machine.load ??= computeLoad(machine);
  return machine.load;
}

function computeLoad(machine: Machine): MachineLoad {
  const free = { cpus: machine.capacity?.cpus ?? 0, gpus: machine.capacity?.gpus ?? 0, memory: machine.capacity?.memory ?? 0 };
  const services: Allocation[] = [];
  const serviceUse = { cpus: 0, memory: 0 };
  for (const allocation of machine.tenure.allocations.values()) {
    if (allocation.phase === 'exited') continue;
    const { resources, spec } = allocation.job;
    subtract(free, resources);
    if (spec.shape !== 'service') continue;
    services.push(allocation);
    if (spec.gpus > 0) continue;
    serviceUse.cpus += spec.cpus;
    serviceUse.memory += spec.memory;
  }
  return { free, services, serviceUsage: serviceUse };
}
