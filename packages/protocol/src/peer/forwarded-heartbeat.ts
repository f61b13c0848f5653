/** A worker's heartbeat, as a controller forwards it to the lease holder of the machine's shard. */
import type { Heartbeat, TaskStatus } from '../worker/heartbeat.js';
import type { ProtobufFields } from './protobuf-fields.js';

/** Protobuf has no null: these values stand for no preemption notice, and for a task that has not exited. */
const NO_PREEMPTION_NOTICE_S = -1;
const NO_EXIT_REASON = '';

/** Protobuf fields of a TaskStatus. */
export const taskStatusFields = {
  job: { type: 'string', id: 1 },
  index: { type: 'uint32', id: 2 },
  attempt: { type: 'uint64', id: 3 },
  state: { type: 'string', id: 4 },
  exitReason: { type: 'string', id: 5 },
  saved: { type: 'bool', id: 6 },
} satisfies ProtobufFields<TaskStatus>;

/** Protobuf fields of a Heartbeat. */
export const heartbeatFields = {
  machine: { type: 'string', id: 1 },
  address: { type: 'string', id: 2 },
  type: { type: 'string', id: 3 },
  zone: { type: 'string', id: 4 },
  spot: { type: 'bool', id: 5 },
  agentEpoch: { type: 'uint64', id: 6 },
  sequence: { type: 'uint64', id: 7 },
  fencingToken: { type: 'uint64', id: 8 },
  preemptionNoticeS: { type: 'double', id: 9 },
  tasks: { rule: 'repeated', type: 'TaskStatus', id: 10 },
} satisfies ProtobufFields<Heartbeat>;

/** A heartbeat in which null is replaced by values that protobuf can encode. */
type HeartbeatWithoutNulls = Omit<Heartbeat, 'preemptionNoticeS' | 'tasks'> & {
  preemptionNoticeS: number;
  tasks: (Omit<TaskStatus, 'exitReason'> & { exitReason: string })[];
};

/** Returns a copy of the heartbeat that protobuf can encode. */
export function withoutNulls(heartbeat: Heartbeat): HeartbeatWithoutNulls {
  return {
    ...heartbeat,
    preemptionNoticeS: heartbeat.preemptionNoticeS ?? NO_PREEMPTION_NOTICE_S,
    tasks: heartbeat.tasks.map((task) => ({ ...task, exitReason: task.exitReason ?? NO_EXIT_REASON })),
  };
}

/** Restores the nulls of a decoded heartbeat. Modifies it in place, to avoid copying large heartbeats. */
export function restoreNulls(heartbeat: Heartbeat): void {
  if ((heartbeat.preemptionNoticeS ?? NO_PREEMPTION_NOTICE_S) < 0) heartbeat.preemptionNoticeS = null;
  for (const task of heartbeat.tasks) if (!task.exitReason) task.exitReason = null;
}
