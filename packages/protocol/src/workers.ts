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

const count = z.number().int().min(0);
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

const report = z.object({
  host: z.string().min(1).max(190),
  address: z.string().min(1).max(100),
  build: z.string(),
  yard: z.string(),
  loaners: z.boolean(),
  shift: count,
  tally: count,
  baton: count.nullish(),
  warning_s: z.number().nullish(),
  pieces: z.array(
    z.object({
      piece: z.string().regex(/^.+\/\d+$/),
      try: count,
      status: z.string(),
      cause: z.string().nullish(),
      saved: z.boolean().nullish(),
    }),
  ),
});

export function parseHeartbeat(body: Record<string, unknown>): Heartbeat | null {
  const r = report.safeParse(body);
  if (!r.success) return null;
  const b = r.data;
  return {
    machine: b.host,
    address: b.address,
    type: b.build,
    zone: b.yard,
    spot: b.loaners,
    agentEpoch: b.shift,
    sequence: b.tally,
    fencingToken: b.baton ?? 0,
    preemptionNoticeS: b.warning_s ?? null,
    tasks: b.pieces.map((p) => {
      const cut = p.piece.lastIndexOf('/');
      return {
        job: p.piece.slice(0, cut),
        index: Number(p.piece.slice(cut + 1)),
        attempt: p.try,
        // A state unknown to us still occupies its place.
        state: TASK_STATE_FROM_WIRE[p.status] ?? 'running',
        exitReason: p.cause ? (EXIT_REASON_FROM_WIRE[p.cause] ?? 'error') : null,
        saved: p.saved ?? false,
      };
    }),
  };
}

export type Command =
  | { type: 'start'; job: string; index: number; attempt: number }
  | { type: 'stop'; job: string; index: number; attempt: number; graceS: number }
  | { type: 'forget'; job: string; index: number; attempt: number };

const COMMAND_TO_WIRE = { start: 'run', stop: 'stop', forget: 'clear' } as const;

function encodeCommand(c: Command): Record<string, unknown> {
  const o: Record<string, unknown> = { verb: COMMAND_TO_WIRE[c.type], piece: `${c.job}/${c.index}`, try: c.attempt };
  if (c.type === 'stop') o.wind_down_s = c.graceS;
  return o;
}

export function encodeHeartbeatResponse(token: number, commands: Command[]) {
  return { baton: token, orders: commands.map(encodeCommand) };
}

export function encodeCommandRequest(token: number, session: number, commands: Command[]) {
  return { baton: token, shift: session, orders: commands.map(encodeCommand) };
}

export function encodeRedirect(node: string | null) {
  return node === null ? {} : { home: node };
}
