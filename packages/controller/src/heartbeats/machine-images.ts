/** The images that a machine certainly has in its cache, least recently used first. They are recorded in the machine object. */
import type { Machine } from '../model/index.js';

/** Records that a task with this image runs on the machine. Returns whether the image was not known to be in the cache. */
export function recordImageUse(machine: Machine, imageIndex: number, imageGb: number): boolean {
  const isNewImage = !machine.images.has(imageIndex);
  machine.images.delete(imageIndex);
  machine.images.set(imageIndex, imageGb);
  evictImages(machine);
  return isNewImage;
}

/** Removes images that may have been evicted from the cache: keeps the most recently used ones that fit together. */
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
