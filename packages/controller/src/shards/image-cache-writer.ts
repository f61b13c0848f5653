/**
 * Stores which images the machines have in their caches. A restarted controller would not know it otherwise, and a fetch can
 * take a minute. Owns the queue of machines whose images are to be stored.
 */
import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, ReplicaView, StateWriting } from '../context/index.js';
import type { Machine, Milliseconds } from '../model/index.js';
import { encodeImageCache, NO_REVISION, StateKey, WritePriority } from '../state/index.js';

/** A machine's images are stored this long after one was fetched: others may follow. */
const IMAGE_WRITE_DELAY_MS = 15_000;

/** A write of images that waited longer than this is dropped: the next image brings another. */
const IMAGE_WRITE_TIMEOUT_MS = 5000;

/** No images are written while so many writes wait, nearly all of which are more urgent. */
const MAX_QUEUED_WRITES = 4;

/** A machine whose images are to be stored. */
interface DueImageWrite {
  machine: Machine;
  dueAt: Milliseconds;
}

/** What the writer of image caches needs of its controller. */
type ImageCacheWriterContext = ClusterStateView & ReplicaView & StateWriting;

/** Writes the images of machines, several of a machine in one write. */
export class ImageCacheWriter {
  /** in the order in which they are due */
  private readonly dueWrites: DueImageWrite[] = [];

  constructor(
    private readonly context: ImageCacheWriterContext,
    private readonly allocations: TaskAllocations,
  ) {}

  /** The machine has an image that is not stored. */
  schedule(machine: Machine): void {
    if (machine.imagesWriteQueued) return;
    machine.imagesWriteQueued = true;
    this.dueWrites.push({ machine, dueAt: this.allocations.now + IMAGE_WRITE_DELAY_MS });
  }

  /** To be called at each tick. */
  writeDue(now: Milliseconds): void {
    while (this.context.writer.queueLength < MAX_QUEUED_WRITES) {
      const next = this.dueWrites[0];
      if (next === undefined || next.dueAt > now) return;
      this.dueWrites.shift();
      if (this.allocations.heldShards.has(next.machine.shard)) this.write(next.machine);
      else next.machine.imagesWriteQueued = false;
    }
  }

  private write(machine: Machine): void {
    const key = StateKey.imageCache(machine.name);
    this.context.writer.add({
      key,
      value: () => encodeImageCache(this.context.clusterState.imagesToStore(machine)),
      expectedRevision: this.context.replica.get(key)?.revision ?? NO_REVISION,
      priority: WritePriority.images,
      expiresAt: this.allocations.now + IMAGE_WRITE_TIMEOUT_MS,
      onOutcome: () => {
        machine.imagesWriteQueued = false;
      },
    });
  }
}
