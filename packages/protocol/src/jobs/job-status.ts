/** The state of a job in responses to its user. */

/** `queued`: no task is running. `done` and `cancelled` are final. */
export type JobState = 'queued' | 'running' | 'done' | 'cancelled';

/** Counts of a job's tasks, for display to its user. */
export interface TaskCounts {
  done: number;
  running: number;
  /** number of task failures; set only if the job is crash-looping, that is, its tasks fail on every machine */
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
 * Encodes the response to a submission or cancellation (both without counts) or to a status query. For a crash-looping job it
 * has two fields that are not part of the protocol, `failed` and `note`. Clients that do not know them ignore them.
 */
export function encodeJobStatus(id: string, state: JobState, counts?: TaskCounts): JobStatusOnWire {
  const response = { ref: id, status: JOB_STATE_TO_WIRE[state] };
  if (!counts) return response;
  const { done, running, failed } = counts;
  return failed
    ? { ...response, done, running, failed, note: 'its tasks fail on every machine that they start on' }
    : { ...response, done, running };
}
