export type JobState = 'queued' | 'running' | 'done' | 'cancelled';
export const JOB_STATE_TO_WIRE: Record<JobState, string> = {
  queued: 'queued',
  running: 'running',
  done: 'done',
  cancelled: 'aborted',
};

/** PROTOCOL's answer; of a job that fails everywhere it tells so in two fields more, which others ignore. */
export function encodeJobStatus(id: string, state: JobState, counts?: { done: number; running: number; failed?: number }) {
  const answer = { ref: id, status: JOB_STATE_TO_WIRE[state] };
  if (!counts) return answer;
  const { done, running, failed } = counts;
  return failed
    ? { ...answer, done, running, failed, note: 'its tasks fail on every machine that they start on' }
    : { ...answer, done, running };
}
