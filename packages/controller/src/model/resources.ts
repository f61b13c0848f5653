/** Amounts of resources, and the arithmetic of bin packing on them. */
import type { Machine } from './machine.js';

/** What a task needs, or a machine has: processor cores, accelerators, and memory in GB. */
export interface Resources {
  cpus: number;
  gpus: number;
  memory: number;
}

/** Sums of fractions may be off by this much. */
export const RESOURCE_TOLERANCE = 1e-6;

/** What is free on a machine. A plan subtracts from it as it places tasks. */
export interface FreeResources extends Resources {
  machine: Machine;
}

/** Is so much free? */
export function fits(resources: Resources, free: Resources): boolean {
  return (
    resources.cpus <= free.cpus + RESOURCE_TOLERANCE &&
    resources.gpus <= free.gpus + RESOURCE_TOLERANCE &&
    resources.memory <= free.memory + RESOURCE_TOLERANCE
  );
}

/** Takes resources off what is free. */
export function subtract(free: Resources, resources: Resources): void {
  free.cpus -= resources.cpus;
  free.gpus -= resources.gpus;
  free.memory -= resources.memory;
}

/** How many tasks with these needs fit at once. */
export function countThatFit(resources: Resources, free: Resources): number {
  let count = 1e9;
  if (resources.cpus > 0) count = Math.min(count, Math.floor((free.cpus + RESOURCE_TOLERANCE) / resources.cpus));
  if (resources.gpus > 0) count = Math.min(count, Math.floor((free.gpus + RESOURCE_TOLERANCE) / resources.gpus));
  if (resources.memory > 0) count = Math.min(count, Math.floor((free.memory + RESOURCE_TOLERANCE) / resources.memory));
  return Math.max(0, count);
}
