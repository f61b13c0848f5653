/**
 * Stores which tasks of a job are done, so that none of them runs again under another lease holder of the shard. Owns no state
 * except fields of the job and its tenure: which tasks are stored, whether a write is queued, and the time of the last write.
 */
import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, ReplicaView, StateWriting } from '../context/index.js';
import type { Job } from '../model/index.js';
import { NO_REVISION, type ProgressPart, packBits, StateKey, WritePriority } from '../state/index.js';

/** Minimum interval between checkpoint writes of a job. */
const CHECKPOINT_INTERVAL_MS = 3000;

/** The parts of the controller's context that `TaskCheckpointWriter` uses. */
type TaskCheckpointWriterContext = ClusterStateView & ReplicaView & StateWriting;

/** Whether the part has a completed task that isn't stored as done. */
function hasUnstoredTask(job: Job, part: ProgressPart): boolean {
  for (let index = part.from; index < part.to; index++) if (job.done[index] && !job.storedDone[index]) return true;
  return false;
}

/** Writes the completed tasks of jobs, with several completions in one write. */
export class TaskCheckpointWriter {
  constructor(
    private readonly context: TaskCheckpointWriterContext,
    private readonly allocations: TaskAllocations,
  ) {}

  /**
   * Writes the first part of the job's progress that has a completed task not yet stored, at most one part per checkpoint
   * interval. This controller must hold the job's shard. Until a completion is stored, the worker keeps the result.
   */
  write(job: Job): void {
    const { tenure } = job;
    if (tenure.progressWriteQueued || !tenure.hasUnstoredProgress) return;
    if (this.allocations.now - job.progressWrittenAt < CHECKPOINT_INTERVAL_MS) return;
    const parts = this.context.clusterState.progressLayout.parts(job.spec.tasks);
    const unstored = parts.find((part) => hasUnstoredTask(job, part));
    if (unstored) this.writePart(job, unstored);
    else tenure.hasUnstoredProgress = false;
  }

  private writePart(job: Job, part: ProgressPart): void {
    const key = StateKey.progress(job.spec.id, part.name);
    let writtenDone = new Uint8Array(0);
    job.tenure.progressWriteQueued = true;
    job.progressWrittenAt = this.allocations.now;
    this.context.writer.add({
      key,
      // Encoded only when the write is sent, since more tasks may be done by then.
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

/** Marks the tasks of a written part as stored. `writtenDone`: the part as it was written, with 1 for each completed task. */
function recordStored(job: Job, part: ProgressPart, writtenDone: Uint8Array): void {
  for (let index = 0; index < writtenDone.length; index++) if (writtenDone[index]) job.storedDone[part.from + index] = 1;
}
