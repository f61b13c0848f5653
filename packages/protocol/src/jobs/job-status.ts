/** The state of a job in responses to its user. */

/** Queued: no task runs. Done and cancelled are final. */
export type JobState = 'queued' | 'running' | 'done' | 'cancelled';

/** Counts of tasks, for display. */
export interface TaskCounts {
  done: number;
  running: number;
  /** tasks that failed; only given for a job that fails on every machine */
  failed?: number;
}

const JOB_STATE_TO_WIRE: Record<JobState, string> = {
  queued: 'queued',
  running: 'running',
  done: 'done',
  cancelled: 'aborted',
};

interface JobStatusOnWire {
  ref: string;
  status: string;
  done?: number;
  running?: number;
  failed?: number;
  note?: string;
}

/**
 * The response to a submission, a cancellation (both without counts) or a status query. For a job that fails on every
 * machine it has two fields that the protocol does not know of, which other clients ignore.
 */
export function encodeJobStatus(id: string, state: JobState, counts?: TaskCounts): JobStatusOnWire {
  const response = { ref: id, status: JOB_STATE_TO_WIRE[state] };
  if (!counts) return response;
  const { done, running, failed } = counts;
  return failed
    ? { ...response, done, running, failed, note: 'its tasks fail on every machine that they start on' }
    : { ...response, done, running };
}
