/**
 * Stores which tasks of a job are done, so that none of them runs again under another holder of the shard. Owns no state beside
 * the marks in the job and its tenure: what is stored, what is queued, and when a checkpoint was last written.
 */
import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, ReplicaView, StateWriting } from '../context/index.js';
import type { Job } from '../model/index.js';
import { NO_REVISION, type ProgressPart, packBits, StateKey, WritePriority } from '../state/index.js';

/** The completed tasks of a job are stored this often at most. */
const CHECKPOINT_INTERVAL_MS = 3000;

/** What the writer of checkpoints needs of its controller. */
type TaskCheckpointWriterContext = ClusterStateView & ReplicaView & StateWriting;

/** Is a task of this part done that isn't stored as done? */
function hasUnstoredTask(job: Job, part: ProgressPart): boolean {
  for (let index = part.from; index < part.to; index++) if (job.done[index] && !job.storedDone[index]) return true;
  return false;
}

/** Writes the completed tasks of jobs, several completions in one write. */
export class TaskCheckpointWriter {
  constructor(
    private readonly context: TaskCheckpointWriterContext,
    private readonly allocations: TaskAllocations,
  ) {}

  /**
   * Writes the first part of the job's progress in which a completed task isn't stored, unless a part was written a moment ago.
   * The job's shard has to be held here. Until a completion is stored, the worker keeps the result.
   */
  write(job: Job): void {
    const { tenure } = job;
    if (tenure.progressWriteQueued || !tenure.progressUnstored) return;
    if (this.allocations.now - job.progressWrittenAt < CHECKPOINT_INTERVAL_MS) return;
    const parts = this.context.clusterState.progressLayout.parts(job.spec.tasks);
    const unstored = parts.find((part) => hasUnstoredTask(job, part));
    if (unstored) this.writePart(job, unstored);
    else tenure.progressUnstored = false;
  }

  private writePart(job: Job, part: ProgressPart): void {
    const key = StateKey.progress(job.spec.id, part.name);
    let writtenDone = new Uint8Array(0);
    job.tenure.progressWriteQueued = true;
    job.progressWrittenAt = this.allocations.now;
    this.context.writer.add({
      key,
      // More tasks may be done by the time that it is sent.
      value: () => {
        writtenDone = job.done.slice(part.from, part.to);
        return packBits(job.done, part.from, part.to);
      },
      expectedRevision: this.context.replica.get(key)?.revision ?? NO_REVISION,
      conditions: this.allocations.heldShards.leaseConditions(job.shard),
      priority: WritePriority.progress,
      onOutcome: (outcome) => {
        job.tenure.progressWriteQueued = false;
        if (outcome === 'ok') recordStored(job, part, writtenDone);
      },
    });
  }
}

/** `writtenDone`: the part's tasks as they were written, 1 for one that was done. */
function recordStored(job: Job, part: ProgressPart, writtenDone: Uint8Array): void {
  for (let index = 0; index < writtenDone.length; index++) if (writtenDone[index]) job.storedDone[part.from + index] = 1;
}
