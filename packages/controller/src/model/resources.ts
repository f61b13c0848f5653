/** Resource amounts, and the arithmetic on them for bin packing. */
import type { Machine } from './machine.js';

/** The resources that a task requires or a machine has: processor cores, accelerators, and memory in GB. */
export interface Resources {
  cpus: number;
  gpus: number;
  memory: number;
}

/** Rounding error of sums of fractions: without it a machine that is filled exactly would be considered too small. */
export const RESOURCE_TOLERANCE = 1e-6;

/** The result of `countThatFit` for tasks that require no resources. */
const MAX_TASK_COUNT = 1e9;

/** The free resources of a machine. A scheduling run subtracts from them as it allocates tasks. */
export interface FreeResources extends Resources {
  machine: Machine;
}

/** Whether the free resources cover the required ones. */
export function fits(resources: Resources, free: Resources): boolean {
  return (
    resources.cpus <= free.cpus + RESOURCE_TOLERANCE &&
    resources.gpus <= free.gpus + RESOURCE_TOLERANCE &&
    resources.memory <= free.memory + RESOURCE_TOLERANCE
  );
}

/** Subtracts resources from the free ones, in place. */
export function subtract(free: Resources, resources: Resources): void {
  free.cpus -= resources.cpus;
  free.gpus -= resources.gpus;
  free.memory -= resources.memory;
}

/** Returns how many tasks fit at the same time if each requires these resources. */
export function countThatFit(resources: Resources, free: Resources): number {
  let count = MAX_TASK_COUNT;
  if (resources.cpus > 0) count = Math.min(count, Math.floor((free.cpus + RESOURCE_TOLERANCE) / resources.cpus));
  if (resources.gpus > 0) count = Math.min(count, Math.floor((free.gpus + RESOURCE_TOLERANCE) / resources.gpus));
  if (resources.memory > 0) count = Math.min(count, Math.floor((free.memory + RESOURCE_TOLERANCE) / resources.memory));
  return Math.max(0, count);
}
