/**
 * The names that PROTOCOL uses on the wire, met nowhere but in this package.
 * Everything else speaks of jobs, tasks, machines, tokens, sessions and attempts.
 */
export const PATHS = {
  jobs: '/v2/runs',
  up: '/up',
  report: '/checkin',
  commands: '/do',
  status: '/show',
  machineTypes: '/machine_types',
  machines: '/machines',
  machinesRelease: '/machines/return',
  keys: '/keys',
  compareAndSwap: '/txn',
  leases: '/leases',
  changes: '/changes',
} as const;

/** A request body, and an answer to workers or users, in the form in which PROTOCOL counts it (JSON). */
export const MAX_BODY_BYTES = 64 * 1024;

/** A command to a worker is smaller than this, so many as these fit a body. */
const COMMAND_BYTES = 160;
export const MAX_COMMANDS_PER_BODY = Math.floor(MAX_BODY_BYTES / COMMAND_BYTES);

export type Shape = 'array' | 'gang' | 'service';
export const SHAPE_FROM_WIRE: Record<string, Shape> = { sweep: 'array', gang: 'gang', standing: 'service' };

/** Larger is more urgent. */
export const PRIORITY_FROM_WIRE: Record<string, number> = { critical: 3, urgent: 2, standard: 1, best_effort: 0 };

export type JobState = 'queued' | 'running' | 'done' | 'cancelled';
export const JOB_STATE_TO_WIRE: Record<JobState, string> = {
  queued: 'queued',
  running: 'running',
  done: 'done',
  cancelled: 'aborted',
};
