/**
 * The progress of jobs, which must outlive this process: completed tasks are stored as checkpoints, and the job's record says
 * so once all of them are. Owns the marks of tasks that were reported as done.
 */
import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, InputClock, Logger, ReplicaView, StateWriting } from '../context/index.js';
import type { Job } from '../model/index.js';
import { JobCompletionWriter } from './job-completion-writer.js';
import { TaskCheckpointWriter } from './task-checkpoint-writer.js';

/** What the progress writer needs of its controller. */
type ProgressWriterContext = InputClock & ClusterStateView & ReplicaView & StateWriting & Logger;

/** Keeps the progress of the jobs of the shards that are held here. */
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

  /** The task with this index was reported as done. */
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

  /** Stores what is due of a live job: that it is done, or which of its tasks are. A service is never done. */
  storeProgress(job: Job): void {
    if (!this.allocations.heldShards.has(job.shard) || job.state !== 'live') return;
    if (job.doneCount === job.spec.tasks && job.spec.shape !== 'service') this.completions.write(job);
    else this.checkpoints.write(job);
  }
}
