/**
 * What a machine's placements take of it. Plans, views and moves ask for it far more often than placements change, so
 * the machine keeps it until one does.
 */

import { take } from '../scheduling/placement.js';
import type { Need, Placement } from './job.js';
import type { Machine } from './machine.js';

export interface MachineLoad {
  /** what is left beside all that may be there */
  readonly free: Readonly<Need>;
  /** services that have not ended */
  readonly services: readonly Placement[];
  /** what services without accelerators take */
  readonly serviceUse: Readonly<{ cpus: number; memory: number }>;
}

export function loadOf(machine: Machine): MachineLoad {
  machine.load ??= workOut(machine);
  return machine.load;
}

function workOut(machine: Machine): MachineLoad {
  const free = { cpus: machine.cap?.cpus ?? 0, gpus: machine.cap?.gpus ?? 0, memory: machine.cap?.memory ?? 0 };
  const services: Placement[] = [];
  const serviceUse = { cpus: 0, memory: 0 };
  for (const placement of machine.placements.values()) {
    if (placement.phase === 'exited') continue;
    const { need, spec } = placement.job;
    take(free, need);
    if (spec.shape !== 'service') continue;
    services.push(placement);
    if (spec.gpus > 0) continue;
    serviceUse.cpus += spec.cpus;
    serviceUse.memory += spec.memory;
  }
  return { free, services, serviceUse };
}
