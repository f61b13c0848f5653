/** Heartbeats of workers: a machine, its agent's epoch and all tasks on it. */
import * as z from 'zod';
import type { MessagePackMap } from '../message-pack.js';

/** Fetching: waits for its image. Waiting: a gang's task that waits for the others. Saving: was stopped and saves. */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';

/**
 * Why a task exited. Stopped: by a command. Peers: another task of its gang is gone. Alone: its gang was not complete
 * in time. The last three are refused starts: no room on the machine, another attempt of the task is there, or no
 * such job.
 */
export type ExitReason = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no_room' | 'busy' | 'unknown';

/** One attempt of a task on a machine. */
export interface TaskStatus {
  job: string;
  index: number;
  attempt: number;
  state: TaskState;
  /** null until it exited */
  exitReason: ExitReason | null;
  /** it was stopped, and its progress is saved */
  saved: boolean;
}

/** The status of a worker's machine, sent at regular intervals and when something changes. */
export interface Heartbeat {
  machine: string;
  /** where the worker takes commands */
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  /** starts at 1 and increases each time the worker's lease expires and it drops all tasks */
  agentEpoch: number;
  /** increases with each message of the worker: the larger epoch, then the larger sequence, is the newer message */
  sequence: number;
  /** highest token that the worker has seen; 0 at first */
  fencingToken: number;
  /** seconds until the cloud takes the machine away; null: no notice was given */
  preemptionNoticeS: number | null;
  /** all tasks on the machine, exited ones until they are forgotten */
  tasks: TaskStatus[];
}

/** A count, version, token or attempt. */
const nonNegativeInteger = z.number().int().min(0);

const TASK_STATE_FROM_WIRE: ReadonlyMap<string, TaskState> = new Map(
  Object.entries({
    fetching: 'fetching',
    gathering: 'waiting',
    running: 'running',
    saving: 'saving',
    ended: 'exited',
  } as const satisfies Record<string, TaskState>),
);

const EXIT_REASON_FROM_WIRE: ReadonlyMap<string, ExitReason> = new Map(
  Object.entries({
    done: 'done',
    stopped: 'stopped',
    peers: 'peers',
    incomplete: 'alone',
    error: 'error',
    full: 'no_room',
    busy: 'busy',
    no_such: 'unknown',
  } as const satisfies Record<string, ExitReason>),
);

const taskStatusOnWire = z.object({
  piece: z.string().regex(/^.+\/\d+$/),
  try: nonNegativeInteger,
  status: z.string(),
  cause: z.string().nullish(),
  saved: z.boolean().nullish(),
});

const heartbeatOnWire = z.object({
  host: z.string().min(1).max(190),
  address: z.string().min(1).max(100),
  build: z.string(),
  yard: z.string(),
  loaners: z.boolean(),
  shift: nonNegativeInteger,
  tally: nonNegativeInteger,
  baton: nonNegativeInteger.nullish(),
  warning_s: z.number().nullish(),
  pieces: z.array(taskStatusOnWire),
});

/** The heartbeat; null if a field is missing or invalid. */
export function parseHeartbeat(body: MessagePackMap): Heartbeat | null {
  const parsed = heartbeatOnWire.safeParse(body);
  if (!parsed.success) return null;
  const fields = parsed.data;
  return {
    machine: fields.host,
    address: fields.address,
    type: fields.build,
    zone: fields.yard,
    spot: fields.loaners,
    agentEpoch: fields.shift,
    sequence: fields.tally,
    fencingToken: fields.baton ?? 0,
    preemptionNoticeS: fields.warning_s ?? null,
    tasks: fields.pieces.map(toTaskStatus),
  };
}

function toTaskStatus(task: z.infer<typeof taskStatusOnWire>): TaskStatus {
  const separator = task.piece.lastIndexOf('/');
  return {
    job: task.piece.slice(0, separator),
    index: Number(task.piece.slice(separator + 1)),
    attempt: task.try,
    // A task in a state that is unknown here still occupies its machine.
    state: TASK_STATE_FROM_WIRE.get(task.status) ?? 'running',
    exitReason: task.cause ? (EXIT_REASON_FROM_WIRE.get(task.cause) ?? 'error') : null,
    saved: task.saved ?? false,
  };
}
