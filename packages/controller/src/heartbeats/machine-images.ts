/** Which images a machine surely has in its cache, the least recently used first. Works on the machine's own record of them. */
import type { Machine } from '../model/index.js';

/** A task with this image runs on the machine. Returns whether the image was not known to be there. */
export function recordImageUse(machine: Machine, imageIndex: number, imageGb: number): boolean {
  const isNewImage = !machine.images.has(imageIndex);
  machine.images.delete(imageIndex);
  machine.images.set(imageIndex, imageGb);
  evictImages(machine);
  return isNewImage;
}

/** Leaves what the machine surely keeps: the most recently used images that fit its cache. */
function evictImages(machine: Machine): void {
  const cacheGb = machine.capacity?.cacheGb ?? 0;
  let totalGb = 0;
  for (const imageGb of machine.images.values()) totalGb += imageGb;
  for (const [imageIndex, imageGb] of machine.images) {
    if (totalGb <= cacheGb) break;
    machine.images.delete(imageIndex);
    totalGb -= imageGb;
  }
}
