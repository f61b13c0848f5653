/** The free resources of a machine: its capacity without the resources of its allocations. */
import { type FreeResources, type Machine, machineLoadOf } from '../model/index.js';

/**
 * Returns the machine's free resources, as a copy from which the caller may subtract. Every task that may still be on the machine
 * counts as using resources, including tasks that are being stopped.
 */
export function freeResourcesOf(machine: Machine): FreeResources {
  return { machine, ...machineLoadOf(machine).free };
}
