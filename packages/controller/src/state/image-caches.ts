/**
 * The stored lists of the images in machine caches. A machine's list is read when its shard is taken over, and written by the
 * shard's lease holder. Owns the stored lists; the current images of a machine belong to its `Machine`.
 */
import type { Machine, NameInterner } from '../model/index.js';
import { parseImageCache, type StoredImage } from './image-cache-record.js';
import { StateKey } from './keys.js';
import { encodedBytes } from './limits.js';
import type { ReplicaEntry } from './replica.js';

/** Maximum number of images that are stored for one machine. */
const MAX_STORED_IMAGES = 30;

/** The stored image lists, by machine. */
export class ImageCaches {
  private readonly storedImages = new Map<string, StoredImage[]>();

  /** `maxWriteBytes`: largest write that the state service accepts, including the key. */
  constructor(
    private readonly imageNames: NameInterner,
    private readonly maxWriteBytes: number,
  ) {}

  /** Applies the record of a machine's images. */
  apply(machine: string, entry: ReplicaEntry | null): void {
    if (entry) this.storedImages.set(machine, parseImageCache(entry.value));
    else this.storedImages.delete(machine);
  }

  /** Replaces the machine's images with the stored list, least recently used first. */
  restoreImages(machine: Machine): void {
    machine.images.clear();
    for (const [name, sizeGb] of this.storedImages.get(machine.name) ?? [])
      machine.images.set(this.imageNames.intern(name), sizeGb);
  }

  /** Returns the machine's most recently used images, as many as fit into one stored value. */
  imagesToStore(machine: Machine): StoredImage[] {
    const recent = [...machine.images].slice(-MAX_STORED_IMAGES);
    const images = recent.map(([index, sizeGb]): StoredImage => [this.imageNames.nameOf(index), sizeGb]);
    while (encodedBytes(StateKey.imageCache(machine.name), images) > this.maxWriteBytes) images.shift();
    return images;
  }
}
