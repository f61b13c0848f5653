/** Amounts of resources, and the arithmetic of bin packing on them. */
import type { Machine } from './machine.js';

/** What a task needs, or a machine has: processor cores, accelerators, and memory in GB. */
export interface Resources {
  cpus: number;
  gpus: number;
  memory: number;
}

/** Sums of fractions may be off by this much: without it a machine that is exactly filled seems too small. */
export const RESOURCE_TOLERANCE = 1e-6;

/** How many tasks that take nothing are said to fit. */
const MAX_TASK_COUNT = 1e9;

/** What is free on a machine. A scheduling run subtracts from it as it allocates tasks. */
export interface FreeResources extends Resources {
  machine: Machine;
}

/** Is that much free? */
export function fits(resources: Resources, free: Resources): boolean {
  return (
    resources.cpus <= free.cpus + RESOURCE_TOLERANCE &&
    resources.gpus <= free.gpus + RESOURCE_TOLERANCE &&
    resources.memory <= free.memory + RESOURCE_TOLERANCE
  );
}

/** Takes resources off what is free, in place. */
export function subtract(free: Resources, resources: Resources): void {
  free.cpus -= resources.cpus;
  free.gpus -= resources.gpus;
  free.memory -= resources.memory;
}

/** How many tasks that take these resources each fit at once. */
export function countThatFit(resources: Resources, free: Resources): number {
  let count = MAX_TASK_COUNT;
  if (resources.cpus > 0) count = Math.min(count, Math.floor((free.cpus + RESOURCE_TOLERANCE) / resources.cpus));
  if (resources.gpus > 0) count = Math.min(count, Math.floor((free.gpus + RESOURCE_TOLERANCE) / resources.gpus));
  if (resources.memory > 0) count = Math.min(count, Math.floor((free.memory + RESOURCE_TOLERANCE) / resources.memory));
  return Math.max(0, count);
}
