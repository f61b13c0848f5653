/**
 * The stored list of the images in a machine's cache, for the next lease holder of its shard. The records under `a/c/` are
 * lists of pairs of image name and size in GB, least recently used first. Other versions read and write the same records.
 */

/** An image's name and its size in GB. The pair is the stored form. */
export type StoredImage = [name: string, sizeGb: number];

/** Returns the record of a machine's images, which are ordered least recently used first. */
export function encodeImageCache(images: StoredImage[]): unknown {
  return images;
}

/**
 * Returns the stored images. The value isn't validated: thousands of these records are read at startup, and each is used only
 * when the machine or its shard is taken over.
 */
export function parseImageCache(value: unknown): StoredImage[] {
  return value as StoredImage[];
}
