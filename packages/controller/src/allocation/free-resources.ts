/** What is free on a machine beside its allocations. */
import { type FreeResources, type Machine, machineLoadOf } from '../model/index.js';

/** A copy that the caller may subtract from. Tasks that may still be there count, also those that are to stop. */
export function freeResourcesOf(machine: Machine): FreeResources {
  return { machine, ...machineLoadOf(machine).free };
}
