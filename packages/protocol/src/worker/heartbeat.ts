/** Heartbeats of workers: the machine, its agent epoch and all tasks on the machine. */
import * as z from 'zod';
import { boundedList } from '../bounded-list.js';
import type { MessagePackMap } from '../message-pack.js';
import { isKeyText, isWellFormedText } from '../text.js';

/** `fetching`: waits for its image. `waiting`: waits for the other tasks of its gang. `saving`: saves after it was stopped. */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';

/**
 * Why a task exited. `stopped`: by a command. `peers`: another task of its gang is gone. `alone`: its gang was not complete in
 * time. The last three are rejected starts. `no_room`: the machine lacks free resources. `busy`: another attempt of the task is
 * on the machine. `unknown`: the worker knows no such job.
 */
export type ExitReason = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no_room' | 'busy' | 'unknown';

/** One attempt of a task on a machine. */
export interface TaskStatus {
  job: string;
  index: number;
  attempt: number;
  state: TaskState;
  /** null until the task has exited */
  exitReason: ExitReason | null;
  /** whether the task was stopped and its progress is saved */
  saved: boolean;
}

/** The status of a worker's machine, sent at regular intervals and on changes. */
export interface Heartbeat {
  machine: string;
  /** address at which the worker accepts commands */
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  /** starts at 1 and increases each time the worker's lease expires and the worker drops all tasks */
  agentEpoch: number;
  /** increases with each message of the worker; a message is newer if its epoch, or in the same epoch its sequence, is higher */
  sequence: number;
  /** highest fencing token that the worker has seen; initially 0 */
  fencingToken: number;
  /** seconds until the cloud preempts the machine; null: there is no preemption notice */
  preemptionNoticeS: number | null;
  /** all tasks on the machine; exited tasks until a `forget` command */
  tasks: TaskStatus[];
}

/** An attempt, epoch, sequence or fencing token. */
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

/** Size limit of a machine's name, which is part of keys of the state service. */
const MAX_MACHINE_NAME_BYTES = 190;

const MAX_ADDRESS_LENGTH = 100;

const machineNameOnWire = z
  .string()
  .min(1)
  .refine((name) => Buffer.byteLength(name) <= MAX_MACHINE_NAME_BYTES && isKeyText(name));

const heartbeatOnWire = z.object({
  host: machineNameOnWire,
  address: z.string().min(1).max(MAX_ADDRESS_LENGTH).refine(isWellFormedText),
  build: z.string().refine(isWellFormedText),
  yard: z.string().refine(isWellFormedText),
  loaners: z.boolean(),
  shift: nonNegativeInteger,
  tally: nonNegativeInteger,
  baton: nonNegativeInteger.nullish(),
  warning_s: z.number().nullish(),
  pieces: boundedList(taskStatusOnWire),
});

/** Parses a heartbeat. Returns null if a field is missing or invalid. */
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
    // A task in an unknown state still occupies its machine, so it counts as running.
    state: TASK_STATE_FROM_WIRE.get(task.status) ?? 'running',
    exitReason: task.cause ? (EXIT_REASON_FROM_WIRE.get(task.cause) ?? 'error') : null,
    saved: task.saved ?? false,
  };
}
