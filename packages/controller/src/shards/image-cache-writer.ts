/**
 * Stores which images the machines have in their caches. Otherwise a restarted controller would not know them, and fetching an
 * image again can take a minute. Owns the queue of machines whose image caches are to be stored.
 */
import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, ReplicaView, StateWriting } from '../context/index.js';
import type { Machine, Milliseconds } from '../model/index.js';
import { encodeImageCache, NO_REVISION, StateKey, WritePriority } from '../state/index.js';

/** Delay between the fetch of an image and the write of the machine's image cache, so that one write covers several fetches. */
const IMAGE_WRITE_DELAY_MS = 15_000;

/** A write that has been queued for longer than this is dropped: the next fetch schedules another one. */
const IMAGE_WRITE_TIMEOUT_MS = 5000;

/** Image caches are written only while fewer writes than this are queued, since nearly all other writes are more urgent. */
const MAX_QUEUED_WRITES = 4;

/** A machine whose image cache is to be stored. */
interface DueImageWrite {
  machine: Machine;
  dueAt: Milliseconds;
}

/** The parts of the controller's context that `ImageCacheWriter` uses. */
type ImageCacheWriterContext = ClusterStateView & ReplicaView & StateWriting;

/** Writes the image caches of machines, with several new images of a machine in one write. */
export class ImageCacheWriter {
  /** ordered by `dueAt` */
  private readonly dueWrites: DueImageWrite[] = [];

  constructor(
    private readonly context: ImageCacheWriterContext,
    private readonly allocations: TaskAllocations,
  ) {}

  /** Schedules a write of the image cache of a machine that has an image not yet stored. */
  schedule(machine: Machine): void {
    if (machine.imagesWriteQueued) return;
    machine.imagesWriteQueued = true;
    this.dueWrites.push({ machine, dueAt: this.allocations.now + IMAGE_WRITE_DELAY_MS });
  }

  /** Queues the writes that are due. Called at each tick. */
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
