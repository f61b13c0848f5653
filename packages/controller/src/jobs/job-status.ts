/** What users are told of a job, by what the replica holds. */
import { encodeJobStatus } from '@archpost/protocol';
import type { ClusterStateView, PeerDirectory, ReplicaView } from '../context/index.js';
import type { Job } from '../model/index.js';
import { readJobRecord, StateKey } from '../state/index.js';

export type JobStatus = 'queued' | 'running' | 'done' | 'cancelled';

interface TaskCounts {
  done: number;
  running: number;
  failed: number;
}

/** The job's status; null if it isn't known here. */
export function statusOf(context: ClusterStateView & PeerDirectory, id: string): JobStatus | null {
  const final = context.clusterState.finishedJobs.get(id);
  if (final) return final;
  const job = context.clusterState.jobs.get(id);
  if (!job) return null;
  return countTasks(context, job).running > 0 ? 'running' : 'queued';
}

/** What the describe job needs of its controller. */
type DescribeJobContext = ClusterStateView & ReplicaView & PeerDirectory;

/** An answer with counts of tasks; null if the job isn't known here. */
export function describeJob(context: DescribeJobContext, id: string): ReturnType<typeof encodeJobStatus> | null {
  const status = statusOf(context, id);
  const job = context.clusterState.jobs.get(id);
  if (status === 'done' || status === 'cancelled') return describeFinal(context, id, status);
  return status && job ? encodeJobStatus(id, status, countTasks(context, job)) : null;
}

export function describeFinal(
  context: ReplicaView,
  id: string,
  status: 'done' | 'cancelled',
): ReturnType<typeof encodeJobStatus> {
  const tasks = readJobRecord(context.replica.get(StateKey.job(id))?.value)?.tasks ?? 0;
  return encodeJobStatus(id, status, { done: status === 'done' ? tasks : 0, running: 0 });
}

/** By what runs here, or else by what the other controllers told last. */
function countTasks(context: PeerDirectory, job: Job): TaskCounts {
  let running = 0;
  for (const allocation of job.tenure.allocations.values())
    if (allocation.phase === 'there' && allocation.status?.state === 'running') running++;
  let done = job.doneCount;
  let failed = job.crashLoopingSince !== null ? job.failureCount : 0;
  for (const peer of running === 0 ? context.peers.values() : []) {
    const told = peer.runningJobs.get(job.spec.id);
    if (!told) continue;
    running = Math.max(running, told.count);
    done = Math.max(done, told.done);
    failed = Math.max(failed, told.failed);
  }
  return { done: Math.min(done, job.spec.tasks), running, failed };
}
