import { z } from 'zod';

export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
export type ExitWhy = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no_room' | 'busy' | 'unknown';

export interface TaskReport {
  job: string;
  index: number;
  attempt: number;
  state: TaskState;
  why: ExitWhy | null;
  saved: boolean;
}

export interface Report {
  machine: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  session: number;
  seq: number;
  token: number;
  noticeS: number | null;
  tasks: TaskReport[];
}

const count = z.number().int().min(0);
const STATES: Record<string, TaskState> = {
  fetching: 'fetching',
  gathering: 'waiting',
  running: 'running',
  saving: 'saving',
  ended: 'exited',
};
const CAUSES: Record<string, ExitWhy> = {
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

export function parseReport(body: Record<string, unknown>): Report | null {
  const r = report.safeParse(body);
  if (!r.success) return null;
  const b = r.data;
  return {
    machine: b.host,
    addr: b.address,
    type: b.build,
    zone: b.yard,
    spot: b.loaners,
    session: b.shift,
    seq: b.tally,
    token: b.baton ?? 0,
    noticeS: b.warning_s ?? null,
    tasks: b.pieces.map((p) => {
      const cut = p.piece.lastIndexOf('/');
      return {
        job: p.piece.slice(0, cut),
        index: Number(p.piece.slice(cut + 1)),
        attempt: p.try,
        // A state unknown to us still occupies its place.
        state: STATES[p.status] ?? 'running',
        why: p.cause ? (CAUSES[p.cause] ?? 'error') : null,
        saved: p.saved ?? false,
      };
    }),
  };
}

export type Command =
  | { op: 'start'; job: string; index: number; attempt: number }
  | { op: 'stop'; job: string; index: number; attempt: number; graceS: number }
  | { op: 'forget'; job: string; index: number; attempt: number };

const VERBS = { start: 'run', stop: 'stop', forget: 'clear' } as const;

function order(c: Command): Record<string, unknown> {
  const o: Record<string, unknown> = { verb: VERBS[c.op], piece: `${c.job}/${c.index}`, try: c.attempt };
  if (c.op === 'stop') o.wind_down_s = c.graceS;
  return o;
}

export function reportAnswer(token: number, commands: Command[]) {
  return { baton: token, orders: commands.map(order) };
}

export function commandBody(token: number, session: number, commands: Command[]) {
  return { baton: token, shift: session, orders: commands.map(order) };
}

export function goHome(node: string | null) {
  return node === null ? {} : { home: node };
}
