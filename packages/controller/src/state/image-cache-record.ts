/**
 * The stored list of the images in a machine's cache, for the next holder of its shard. Other versions read and write the
 * same records under `a/c/`: a list of pairs, least recently used first, of an image's name and its size in GB.
 */

/** An image's name and its size in GB. The pair is the stored form. */
export type StoredImage = [name: string, sizeGb: number];

/** The record of a machine's images, least recently used first. */
export function encodeImageCache(images: StoredImage[]): unknown {
  return images;
}

/**
 * The images as they were stored. The value isn't checked: it is looked at only when the machine's shard, or the machine,
 * is taken over, and thousands of these records are read at a start.
 */
export function parseImageCache(value: unknown): StoredImage[] {
  return value as StoredImage[];
}
