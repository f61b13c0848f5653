/**
 * The job status that users see, derived from the replica and from the last statuses of the other controllers. Owns no state.
 */
import { encodeJobStatus, type JobState, type TaskCounts } from '@archpost/protocol';
import type { ClusterStateView, PeerDirectory, ReplicaView } from '../context/index.js';
import type { Job } from '../model/index.js';
import { type FinalState, readJobRecord, StateKey } from '../state/index.js';

/** The body of a response with a job's status. */
export type JobStatusBody = ReturnType<typeof encodeJobStatus>;

/** The parts of the controller's context that a job status with task counts uses. */
type JobStatusContext = ClusterStateView & ReplicaView & PeerDirectory;

/** Returns the job's state; null if the job isn't in the cluster state. */
export function statusOf(context: ClusterStateView & PeerDirectory, id: string): JobState | null {
  const finalState = context.clusterState.finishedJobs.get(id);
  if (finalState) return finalState;
  const job = context.clusterState.jobs.get(id);
  if (!job) return null;
  return countTasks(context, job).running > 0 ? 'running' : 'queued';
}

/** Returns the job's status with task counts; null if the job isn't in the cluster state. */
export function describeJob(context: JobStatusContext, id: string): JobStatusBody | null {
  const finalState = context.clusterState.finishedJobs.get(id);
  if (finalState) return describeFinishedJob(context, id, finalState);
  const job = context.clusterState.jobs.get(id);
  if (!job) return null;
  const counts = countTasks(context, job);
  return encodeJobStatus(id, counts.running > 0 ? 'running' : 'queued', counts);
}

/** Returns the status of a job that is done or cancelled. The tasks of a cancelled job aren't counted. */
export function describeFinishedJob(context: ReplicaView, id: string, finalState: FinalState): JobStatusBody {
  const tasks = readJobRecord(context.replica.get(StateKey.job(id))?.value)?.tasks ?? 0;
  return encodeJobStatus(id, finalState, { done: finalState === 'done' ? tasks : 0, running: 0 });
}

/**
 * Counts the tasks that this controller's workers report; if none of them runs, also uses the counts that the other
 * controllers reported last. `failed` is 0 unless the job is crash-looping.
 */
function countTasks(context: PeerDirectory, job: Job): TaskCounts {
  let running = job.runningCount();
  let done = job.doneCount;
  let failed = job.crashLoopingSince !== null ? job.failureCount : 0;
  for (const peer of running === 0 ? context.peers.values() : []) {
    const reported = peer.runningJobs.get(job.spec.id);
    if (!reported) continue;
    running = Math.max(running, reported.count);
    done = Math.max(done, reported.done);
    failed = Math.max(failed, reported.failed);
  }
  return { done: Math.min(done, job.spec.tasks), running, failed };
}
