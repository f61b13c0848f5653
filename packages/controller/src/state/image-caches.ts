/**
 * What is stored of the images in machines' caches: read for a machine when its shard is taken over, and written by the
 * shard's holder. Owns the stored lists; the images that a machine has now are the machine's own.
 */
import type { Machine, NameInterner } from '../model/index.js';
import { parseImageCache, type StoredImage } from './image-cache-record.js';
import { StateKey } from './keys.js';
import { encodedBytes } from './limits.js';
import type { ReplicaEntry } from './replica.js';

/** Most images of a machine that are stored. */
const MAX_STORED_IMAGES = 30;

/** The stored image lists, by machine. */
export class ImageCaches {
  private readonly storedImages = new Map<string, StoredImage[]>();

  /** `maxWriteBytes`: largest change that the state service takes, its key included. */
  constructor(
    private readonly imageNames: NameInterner,
    private readonly maxWriteBytes: number,
  ) {}

  /** Applies the record of a machine's images. */
  apply(machine: string, entry: ReplicaEntry | null): void {
    if (entry) this.storedImages.set(machine, parseImageCache(entry.value));
    else this.storedImages.delete(machine);
  }

  /** Replaces the machine's images by those that are stored, least recently used first. */
  restoreImages(machine: Machine): void {
    machine.images.clear();
    for (const [name, sizeGb] of this.storedImages.get(machine.name) ?? [])
      machine.images.set(this.imageNames.intern(name), sizeGb);
  }

  /** The machine's most recently used images, as many as fit a stored value. */
  imagesToStore(machine: Machine): StoredImage[] {
    const recent = [...machine.images].slice(-MAX_STORED_IMAGES);
    const images = recent.map(([index, sizeGb]): StoredImage => [this.imageNames.nameOf(index), sizeGb]);
    while (encodedBytes(StateKey.imageCache(machine.name), images) > this.maxWriteBytes) images.shift();
    return images;
  }
}
