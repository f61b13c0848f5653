import { z } from 'zod';

export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
export type ExitReason = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no_room' | 'busy' | 'unknown';

export interface TaskStatus {
  job: string;
  index: number;
  attempt: number;
  state: TaskState;
  exitReason: ExitReason | null;
  saved: boolean;
}

export interface Heartbeat {
  machine: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  agentEpoch: number;
  sequence: number;
  fencingToken: number;
  preemptionNoticeS: number | null;
  tasks: TaskStatus[];
}

const countOnWire = z.number().int().min(0);
const TASK_STATE_FROM_WIRE: Record<string, TaskState> = {
  fetching: 'fetching',
  gathering: 'waiting',
  running: 'running',
  saving: 'saving',
  ended: 'exited',
};
const EXIT_REASON_FROM_WIRE: Record<string, ExitReason> = {
  done: 'done',
  stopped: 'stopped',
  peers: 'peers',
  incomplete: 'alone',
  error: 'error',
  full: 'no_room',
  busy: 'busy',
  no_such: 'unknown',
};

const heartbeatOnWire = z.object({
  host: z.string().min(1).max(190),
  address: z.string().min(1).max(100),
  build: z.string(),
  yard: z.string(),
  loaners: z.boolean(),
  shift: countOnWire,
  tally: countOnWire,
  baton: countOnWire.nullish(),
  warning_s: z.number().nullish(),
  pieces: z.array(
    z.object({
      piece: z.string().regex(/^.+\/\d+$/),
      try: countOnWire,
      status: z.string(),
      cause: z.string().nullish(),
      saved: z.boolean().nullish(),
    }),
  ),
});

export function parseHeartbeat(body: Record<string, unknown>): Heartbeat | null {
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
    tasks: fields.pieces.map((task) => {
      const separator = task.piece.lastIndexOf('/');
      return {
        job: task.piece.slice(0, separator),
        index: Number(task.piece.slice(separator + 1)),
        attempt: task.try,
        // A state unknown to us still occupies its place.
        state: TASK_STATE_FROM_WIRE[task.status] ?? 'running',
        exitReason: task.cause ? (EXIT_REASON_FROM_WIRE[task.cause] ?? 'error') : null,
        saved: task.saved ?? false,
      };
    }),
  };
}
