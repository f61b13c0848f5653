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
  const parsed = report.safeParse(body);
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
    tasks: fields.pieces.map((piece) => {
      const cut = piece.piece.lastIndexOf('/');
      return {
        job: piece.piece.slice(0, cut),
        index: Number(piece.piece.slice(cut + 1)),
        attempt: piece.try,
        // A state unknown to us still occupies its place.
        state: TASK_STATE_FROM_WIRE[piece.status] ?? 'running',
        exitReason: piece.cause ? (EXIT_REASON_FROM_WIRE[piece.cause] ?? 'error') : null,
        saved: piece.saved ?? false,
      };
    }),
  };
}

export type Command =
  | { type: 'start'; job: string; index: number; attempt: number }
  | { type: 'stop'; job: string; index: number; attempt: number; graceS: number }
  | { type: 'forget'; job: string; index: number; attempt: number };

const COMMAND_TO_WIRE = { start: 'run', stop: 'stop', forget: 'clear' } as const;

function encodeCommand(command: Command): Record<string, unknown> {
  const encoded: Record<string, unknown> = {
    verb: COMMAND_TO_WIRE[command.type],
    piece: `${command.job}/${command.index}`,
    try: command.attempt,
  };
  if (command.type === 'stop') encoded.wind_down_s = command.graceS;
  return encoded;
}

export function encodeHeartbeatResponse(token: number, commands: Command[]) {
  return { baton: token, orders: commands.map(encodeCommand) };
}

export function encodeCommandRequest(token: number, session: number, commands: Command[]) {
  return { baton: token, shift: session, orders: commands.map(encodeCommand) };
}

export function encodeRedirect(controller: string | null) {
  return controller === null ? {} : { home: controller };
}
