/**
 * The progress of jobs, which must outlast this process: completed tasks are stored as checkpoints, and once all tasks are
 * completed, the job's record is. Owns the marks of tasks that were reported as done.
 */
import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, InputClock, Logger, ReplicaView, StateWriting } from '../context/index.js';
import type { Job } from '../model/index.js';
import { JobCompletionWriter } from './job-completion-writer.js';
import { TaskCheckpointWriter } from './task-checkpoint-writer.js';

/** The parts of the controller's context that `ProgressWriter` uses. */
type ProgressWriterContext = InputClock & ClusterStateView & ReplicaView & StateWriting & Logger;

/** Records and stores the progress of the jobs of the held shards. */
export class ProgressWriter {
  private readonly completions: JobCompletionWriter;
  private readonly checkpoints: TaskCheckpointWriter;

  constructor(
    context: ProgressWriterContext,
    private readonly allocations: TaskAllocations,
  ) {
    this.completions = new JobCompletionWriter(context, allocations);
    this.checkpoints = new TaskCheckpointWriter(context, allocations);
  }

  /** Records that the task with this index was reported as done. */
  markDone(job: Job, index: number): void {
    if (!job.done[index]) {
      job.done[index] = 1;
      job.doneCount++;
    }
    job.tenure.hasUnstoredProgress = true;
    // A gang completes together: if one task is done, all are.
    if (job.spec.shape === 'gang') {
      job.done.fill(1);
      job.doneCount = job.spec.tasks;
    }
    this.storeProgress(job);
  }

  /** Stores the progress of a live job: its completion, or else which of its tasks are done. A service never completes. */
  storeProgress(job: Job): void {
    if (!this.allocations.heldShards.has(job.shard) || job.state !== 'live') return;
    if (job.doneCount === job.spec.tasks && job.spec.shape !== 'service') this.completions.write(job);
    else this.checkpoints.write(job);
  }
}
