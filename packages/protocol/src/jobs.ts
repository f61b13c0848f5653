import { z } from 'zod';
import { JOB_STATE_TO_WIRE, type JobState, PRIORITY_FROM_WIRE, SHAPE_FROM_WIRE, type Shape } from './names.js';

export interface JobSpec {
  id: string;
  cls: string;
  team: string;
  shape: Shape;
  rank: number;
  tasks: number;
  cpus: number;
  gpus: number;
  memory: number;
  image: string;
  imageGb: number;
  types: string[] | null;
  zone: string | null;
  oneZone: boolean;
  spread: boolean;
  spot: boolean;
  estimateS: number;
  checkpointS: number;
  saveS: number;
  deadlineS: number | null;
}

const name = z.string().min(1).max(120);
const amount = z.number().min(0).max(1e9);

export const JOB_ID_PATTERN = /^run-[A-Za-z0-9_.-]{1,64}$/;

const submission = z.object({
  ref: z.string().regex(JOB_ID_PATTERN),
  jobclass: name,
  crew: name,
  shape: z.enum(['sweep', 'gang', 'standing']),
  rank: z.enum(['critical', 'urgent', 'standard', 'best_effort']),
  pieces: z.number().int().min(1).max(100_000),
  cores: amount,
  accelerators: amount,
  memory_gb: amount,
  bundle: name,
  size_gb: amount,
  builds: z.array(name).max(64).nullish(),
  yard: name.nullish(),
  one_zone: z.boolean(),
  spread: z.boolean(),
  loaners: z.boolean(),
  guess_s: amount,
  snapshot_s: amount,
  stow_s: amount,
  due_s: amount.nullish(),
  awaits: z.array(z.string().regex(JOB_ID_PATTERN)).nullish(),
});

/** A job as its user wrote it, and the jobs that have to be done before it, each named once. */
export interface Submission {
  spec: JobSpec;
  awaits: string[];
}

/** A user's submission, or the name of the first field at fault. */
export function parseSubmission(body: Record<string, unknown>): Submission | { field: string } {
  const r = submission.safeParse(body);
  if (!r.success) return { field: r.error.issues[0]?.path.join('.') || 'body' };
  const b = r.data;
  return {
    awaits: [...new Set(b.awaits ?? [])],
    spec: {
      id: b.ref,
      cls: b.jobclass,
      team: b.crew,
      shape: SHAPE_FROM_WIRE[b.shape] as Shape,
      rank: PRIORITY_FROM_WIRE[b.rank] as number,
      tasks: b.pieces,
      cpus: b.cores,
      gpus: b.accelerators,
      memory: b.memory_gb,
      image: b.bundle,
      imageGb: b.size_gb,
      types: b.builds ?? null,
      zone: b.yard ?? null,
      oneZone: b.one_zone,
      spread: b.spread,
      spot: b.loaners,
      estimateS: b.guess_s,
      checkpointS: b.snapshot_s,
      saveS: b.stow_s,
      deadlineS: b.due_s ?? null,
    },
  };
}

/** PROTOCOL's answer; of a job that fails everywhere it tells so in two fields more, which others ignore. */
export function encodeJobStatus(id: string, state: JobState, counts?: { done: number; running: number; failed?: number }) {
  const answer = { ref: id, status: JOB_STATE_TO_WIRE[state] };
  if (!counts) return answer;
  const { done, running, failed } = counts;
  return failed
    ? { ...answer, done, running, failed, note: 'its tasks fail on every machine that they start on' }
    : { ...answer, done, running };
}
