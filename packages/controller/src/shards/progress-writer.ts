import type { TaskAllocations } from '../allocation/task-allocations.js';
import type { ControllerContext } from '../context/index.js';
import type { Job, Machine, Milliseconds } from '../model/index.js';
import { encodeImageCache } from '../state/image-cache-record.js';
import { encodeDoneJob } from '../state/job-record.js';
import { StateKey } from '../state/keys.js';
import { type ProgressPart, packBits } from '../state/progress-layout.js';
import { WritePriority } from '../state/write-queue.js';

/** A machine's images are stored this long after one has come: others may follow. */
const IMAGES_DELAY_MS = 15_000;

/** A job's completed tasks are stored this often at most, and at once when all are. */
const PROGRESS_MS = 3000;

/** Is a task of this part done that isn't stored as done? */
function hasUnstoredTask(j: Job, part: ProgressPart): boolean {
  for (let i = part.from; i < part.to; i++) if (j.done[i] && !j.storedDone[i]) return true;
  return false;
}

/** What must outlive this process: completed tasks, and the images that machines have. */
export class ProgressWriter {
  private readonly imageWrites: { m: Machine; at: Milliseconds }[] = [];

  constructor(
    private readonly context: ControllerContext,
    private readonly allocations: TaskAllocations,
  ) {}

  /** A restart would forget what the machines have at hand, and fetches can take a minute. */
  scheduleImageWrite(m: Machine): void {
    if (m.imagesWriteQueued) return;
    m.imagesWriteQueued = true;
    this.imageWrites.push({ m, at: this.allocations.now + IMAGES_DELAY_MS });
  }

  /** Several images of a machine in one write, and none while more urgent writes wait. */
  writeDueImages(now: Milliseconds): void {
    while (
      this.imageWrites.length > 0 &&
      (this.imageWrites[0] as { at: Milliseconds }).at <= now &&
      this.context.writer.length < 4
    ) {
      const m = (this.imageWrites.shift() as { m: Machine }).m;
      if (this.allocations.heldShards.has(m.shard)) this.writeImagesOf(m);
      else m.imagesWriteQueued = false;
    }
  }

  private writeImagesOf(m: Machine): void {
    const key = StateKey.imageCache(m.name);
    this.context.writer.add({
      key,
      value: () => encodeImageCache(this.context.clusterState.imagesToStore(m)),
      expectedRevision: this.context.replica.get(key)?.revision ?? 0,
      priority: WritePriority.images,
      expiresAt: this.allocations.now + 5_000,
      onOutcome: () => {
        m.imagesWriteQueued = false;
      },
    });
  }

  storeProgress(j: Job): void {
    const held = this.allocations.heldShards.get(j.shard);
    if (!held || j.state !== 'live') return;
    if (j.doneCount === j.spec.tasks && j.spec.shape !== 'service') {
      if (j.completionWriteQueued) return;
      j.completionWriteQueued = true;
      this.context.writer.add({
        key: StateKey.job(j.spec.id),
        value: (at) => encodeDoneJob(j.submittedAt, j.spec.tasks, at + this.context.clusterState.wallClockOffsetMs),
        expectedRevision: j.modRevision,
        conditions: this.allocations.leaseConditions(j.shard),
        priority: WritePriority.assignment,
        onOutcome: (outcome) => {
          j.completionWriteQueued = false;
          this.allocations.schedulingRequested = true;
          if (outcome === 'ok') this.logDone(j);
        },
      });
      return;
    }
    // Several completions in one write: until it is stored, the worker keeps the result.
    if (j.progressWriteQueued || !j.progressUnstored || this.allocations.now - j.progressWrittenAt < PROGRESS_MS) return;
    const part = this.context.clusterState.progressLayout.parts(j.spec.tasks).find((p) => hasUnstoredTask(j, p));
    if (part) this.writeProgress(j, part);
    else j.progressUnstored = false;
  }

  private logDone(j: Job): void {
    const seconds = (ms: Milliseconds) => Math.round(ms / 100) / 10;
    const now = this.context.now;
    this.context.log('debug', 'job done', {
      job: j.spec.id,
      cls: j.spec.cls,
      sinceReady: seconds(now - j.arrivedAt),
      sinceSubmit: seconds(now + this.context.clusterState.wallClockOffsetMs - j.submittedAt),
      // Against its own deadline, or the one that it has from the jobs that need it.
      spare: Number.isFinite(j.effectiveDeadlineAt)
        ? seconds(j.effectiveDeadlineAt - this.context.clusterState.wallClockOffsetMs - now)
        : null,
      guess: j.spec.estimateS,
      longestRun: seconds(j.longestRunS * 1000),
    });
  }

  private writeProgress(j: Job, part: ProgressPart): void {
    const key = StateKey.progress(j.spec.id, part.name);
    let written = new Uint8Array(0);
    j.progressWriteQueued = true;
    j.progressWrittenAt = this.allocations.now;
    this.context.writer.add({
      key,
      value: () => {
        written = j.done.slice(part.from, part.to);
        return packBits(j.done, part.from, part.to);
      },
      expectedRevision: this.context.replica.get(key)?.revision ?? 0,
      conditions: this.allocations.leaseConditions(j.shard),
      priority: WritePriority.progress,
      onOutcome: (outcome) => {
        j.progressWriteQueued = false;
        if (outcome === 'ok') for (let i = 0; i < written.length; i++) if (written[i]) j.storedDone[part.from + i] = 1;
      },
    });
  }

  markDone(j: Job, index: number): void {
    if (!j.done[index]) {
      j.done[index] = 1;
      j.doneCount++;
    }
    j.progressUnstored = true;
    // A gang completes together: if one task is done, all are.
    if (j.spec.shape === 'gang') {
      j.done.fill(1);
      j.doneCount = j.spec.tasks;
    }
    this.storeProgress(j);
  }
}
