import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, InputClock, Logger, ReplicaView, StateWriting } from '../context/index.js';
import type { Job, Machine, Milliseconds } from '../model/index.js';
import { encodeDoneJob, encodeImageCache, type ProgressPart, packBits, StateKey, WritePriority } from '../state/index.js';

/** A machine's images are stored this long after one has come: others may follow. */
const IMAGES_DELAY_MS = 15_000;

/** A job's completed tasks are stored this often at most, and at once when all are. */
const PROGRESS_MS = 3000;

/** Is a task of this part done that isn't stored as done? */
function hasUnstoredTask(job: Job, part: ProgressPart): boolean {
  for (let index = part.from; index < part.to; index++) if (job.done[index] && !job.storedDone[index]) return true;
  return false;
}

/** What the progress writer needs of its controller. */
type ProgressWriterContext = InputClock & ClusterStateView & ReplicaView & StateWriting & Logger;

/** What must outlive this process: completed tasks, and the images that machines have. */
export class ProgressWriter {
  private readonly imageWrites: { m: Machine; at: Milliseconds }[] = [];

  constructor(
    private readonly context: ProgressWriterContext,
    private readonly allocations: TaskAllocations,
  ) {}

  /** A restart would forget what the machines have at hand, and fetches can take a minute. */
  scheduleImageWrite(machine: Machine): void {
    if (machine.imagesWriteQueued) return;
    machine.imagesWriteQueued = true;
    this.imageWrites.push({ m: machine, at: this.allocations.now + IMAGES_DELAY_MS });
  }

  /** Several images of a machine in one write, and none while more urgent writes wait. */
  writeDueImages(now: Milliseconds): void {
    while (
      this.imageWrites.length > 0 &&
      (this.imageWrites[0] as { at: Milliseconds }).at <= now &&
      this.context.writer.length < 4
    ) {
      const machine = (this.imageWrites.shift() as { m: Machine }).m;
      if (this.allocations.heldShards.has(machine.shard)) this.writeImagesOf(machine);
      else machine.imagesWriteQueued = false;
    }
  }

  private writeImagesOf(machine: Machine): void {
    const key = StateKey.imageCache(machine.name);
    this.context.writer.add({
      key,
      value: () => encodeImageCache(this.context.clusterState.imagesToStore(machine)),
      expectedRevision: this.context.replica.get(key)?.revision ?? 0,
      priority: WritePriority.images,
      expiresAt: this.allocations.now + 5_000,
      onOutcome: () => {
        machine.imagesWriteQueued = false;
      },
    });
  }

  storeProgress(job: Job): void {
    if (!this.allocations.heldShards.has(job.shard) || job.state !== 'live') return;
    if (job.doneCount === job.spec.tasks && job.spec.shape !== 'service') {
      if (job.tenure.completionWriteQueued) return;
      job.tenure.completionWriteQueued = true;
      this.context.writer.add({
        key: StateKey.job(job.spec.id),
        value: (at) => encodeDoneJob(job.submittedAt, job.spec.tasks, at + this.context.clusterState.wallClockOffsetMs),
        expectedRevision: job.modRevision,
        conditions: this.allocations.heldShards.leaseConditions(job.shard),
        priority: WritePriority.assignment,
        onOutcome: (outcome) => {
          job.tenure.completionWriteQueued = false;
          this.allocations.schedulingRequested = true;
          if (outcome === 'ok') this.logDone(job);
        },
      });
      return;
    }
    // Several completions in one write: until it is stored, the worker keeps the result.
    if (
      job.tenure.progressWriteQueued ||
      !job.tenure.progressUnstored ||
      this.allocations.now - job.progressWrittenAt < PROGRESS_MS
    )
      return;
    const part = this.context.clusterState.progressLayout.parts(job.spec.tasks).find((part) => hasUnstoredTask(job, part));
    if (part) this.writeProgress(job, part);
    else job.tenure.progressUnstored = false;
  }

  private logDone(job: Job): void {
    const seconds = (ms: Milliseconds) => Math.round(ms / 100) / 10;
    const now = this.context.now;
    this.context.log('debug', 'job done', {
      job: job.spec.id,
      jobClass: job.spec.cls,
      sinceReady: seconds(now - job.arrivedAt),
      sinceSubmit: seconds(now + this.context.clusterState.wallClockOffsetMs - job.submittedAt),
      // Against its own deadline, or the one that it has from the jobs that need it.
      spare: Number.isFinite(job.effectiveDeadlineAt)
        ? seconds(job.effectiveDeadlineAt - this.context.clusterState.wallClockOffsetMs - now)
        : null,
      guess: job.spec.estimateS,
      longestRun: seconds(job.longestRunS * 1000),
    });
  }

  private writeProgress(job: Job, part: ProgressPart): void {
    const key = StateKey.progress(job.spec.id, part.name);
    let written = new Uint8Array(0);
    job.tenure.progressWriteQueued = true;
    job.progressWrittenAt = this.allocations.now;
    this.context.writer.add({
      key,
      value: () => {
        written = job.done.slice(part.from, part.to);
        return packBits(job.done, part.from, part.to);
      },
      expectedRevision: this.context.replica.get(key)?.revision ?? 0,
      conditions: this.allocations.heldShards.leaseConditions(job.shard),
      priority: WritePriority.progress,
      onOutcome: (outcome) => {
        job.tenure.progressWriteQueued = false;
        if (outcome === 'ok')
          for (let index = 0; index < written.length; index++) if (written[index]) job.storedDone[part.from + index] = 1;
      },
    });
  }

  markDone(job: Job, index: number): void {
    if (!job.done[index]) {
      job.done[index] = 1;
      job.doneCount++;
    }
    job.tenure.progressUnstored = true;
    // A gang completes together: if one task is done, all are.
    if (job.spec.shape === 'gang') {
      job.done.fill(1);
      job.doneCount = job.spec.tasks;
    }
    this.storeProgress(job);
  }
}
