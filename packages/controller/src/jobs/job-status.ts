/** The status of a job for its user, from the replica and from the last statuses of the other controllers. Owns no state. */
import { encodeJobStatus, type JobState, type TaskCounts } from '@archpost/protocol';
import type { ClusterStateView, PeerDirectory, ReplicaView } from '../context/index.js';
import type { Job } from '../model/index.js';
import { type FinalState, readJobRecord, StateKey } from '../state/index.js';

/** The body of a response with a job's status. */
export type JobStatusBody = ReturnType<typeof encodeJobStatus>;

/** What the status of a job with counts of its tasks needs of the controller. */
type JobStatusContext = ClusterStateView & ReplicaView & PeerDirectory;

/** The job's state; null if it isn't known here. */
export function statusOf(context: ClusterStateView & PeerDirectory, id: string): JobState | null {
  const finalState = context.clusterState.finishedJobs.get(id);
  if (finalState) return finalState;
  const job = context.clusterState.jobs.get(id);
  if (!job) return null;
  return countTasks(context, job).running > 0 ? 'running' : 'queued';
}

/** A response with counts of tasks; null if the job isn't known here. */
export function describeJob(context: JobStatusContext, id: string): JobStatusBody | null {
  const finalState = context.clusterState.finishedJobs.get(id);
  if (finalState) return describeFinishedJob(context, id, finalState);
  const job = context.clusterState.jobs.get(id);
  if (!job) return null;
  const counts = countTasks(context, job);
  return encodeJobStatus(id, counts.running > 0 ? 'running' : 'queued', counts);
}

/** A response for a job that is done or cancelled. The tasks of a cancelled one aren't counted. */
export function describeFinishedJob(context: ReplicaView, id: string, finalState: FinalState): JobStatusBody {
  const tasks = readJobRecord(context.replica.get(StateKey.job(id))?.value)?.tasks ?? 0;
  return encodeJobStatus(id, finalState, { done: finalState === 'done' ? tasks : 0, running: 0 });
}

/**
 * By what runs here; if nothing does, by what the other controllers reported last. `failed` is 0 unless tasks fail everywhere.
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
