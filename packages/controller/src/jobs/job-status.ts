/** What users are told of a job, by what the replica holds. */
import { jobAnswer } from '@archpost/protocol';
import type { Context } from '../context/index.js';
import type { Job } from '../model/index.js';
import { readJobRecord } from '../state/job-record.js';
import { KEY } from '../state/keys.js';

export type JobStatus = 'queued' | 'running' | 'done' | 'cancelled';

interface TaskCounts {
  done: number;
  running: number;
  failed: number;
}

/** The job's status; null if it isn't known here. */
export function statusOf(context: Context, id: string): JobStatus | null {
  const final = context.table.finals.get(id);
  if (final) return final;
  const job = context.table.jobs.get(id);
  if (!job) return null;
  return countTasks(context, job).running > 0 ? 'running' : 'queued';
}

/** An answer with counts of tasks; null if the job isn't known here. */
export function describeJob(context: Context, id: string): ReturnType<typeof jobAnswer> | null {
  const status = statusOf(context, id);
  const job = context.table.jobs.get(id);
  if (status === 'done' || status === 'cancelled') return describeFinal(context, id, status);
  return status && job ? jobAnswer(id, status, countTasks(context, job)) : null;
}

export function describeFinal(context: Context, id: string, status: 'done' | 'cancelled'): ReturnType<typeof jobAnswer> {
  const tasks = readJobRecord(context.replica.get(KEY.job(id))?.value)?.tasks ?? 0;
  return jobAnswer(id, status, { done: status === 'done' ? tasks : 0, running: 0 });
}

/** By what runs here, or else by what the other controllers told last. */
function countTasks(context: Context, job: Job): TaskCounts {
  let running = 0;
  for (const p of job.placements.values()) if (p.phase === 'there' && p.report?.state === 'running') running++;
  let done = job.doneCount;
  let failed = job.brokenSince >= 0 ? job.failures : 0;
  for (const peer of running === 0 ? context.peers.values() : []) {
    const told = peer.running.get(job.spec.id);
    if (!told) continue;
    running = Math.max(running, told.count);
    done = Math.max(done, told.done);
    failed = Math.max(failed, told.failed);
  }
  return { done: Math.min(done, job.spec.tasks), running, failed };
}
