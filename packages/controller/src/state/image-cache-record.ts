/**
 * The stored list of images that a machine has, for whoever holds its shard next. Other versions read and write the same
 * records under `a/c/`: a list of pairs, oldest use first, of an image's name and its size in GB.
 */

/** An image's name and its size in GB. */
export type StoredImage = [name: string, sizeGb: number];

/** The record of a machine's images, oldest use first. */
export function encodeImageCache(images: StoredImage[]): unknown {
  return images;
}

/** The images as they were stored. */
export function parseImageCache(value: unknown): StoredImage[] {
  return value as StoredImage[];
}
