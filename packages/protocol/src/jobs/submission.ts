import { z } from 'zod';
import type { JobSpec, Shape } from './job-spec.js';

export const SHAPE_FROM_WIRE: Record<string, Shape> = { sweep: 'array', gang: 'gang', standing: 'service' };

/** Larger is more urgent. */
export const PRIORITY_FROM_WIRE: Record<string, number> = { critical: 3, urgent: 2, standard: 1, best_effort: 0 };

const nameOnWire = z.string().min(1).max(120);
const amountOnWire = z.number().min(0).max(1e9);

export const JOB_ID_PATTERN = /^run-[A-Za-z0-9_.-]{1,64}$/;

const submissionOnWire = z.object({
  ref: z.string().regex(JOB_ID_PATTERN),
  jobclass: nameOnWire,
  crew: nameOnWire,
  shape: z.enum(['sweep', 'gang', 'standing']),
  rank: z.enum(['critical', 'urgent', 'standard', 'best_effort']),
  pieces: z.number().int().min(1).max(100_000),
  cores: amountOnWire,
  accelerators: amountOnWire,
  memory_gb: amountOnWire,
  bundle: nameOnWire,
  size_gb: amountOnWire,
  builds: z.array(nameOnWire).max(64).nullish(),
  yard: nameOnWire.nullish(),
  one_zone: z.boolean(),
  spread: z.boolean(),
  loaners: z.boolean(),
  guess_s: amountOnWire,
  snapshot_s: amountOnWire,
  stow_s: amountOnWire,
  due_s: amountOnWire.nullish(),
  awaits: z.array(z.string().regex(JOB_ID_PATTERN)).nullish(),
});

/** A job as its user wrote it, and the jobs that have to be done before it, each named once. */
export interface Submission {
  spec: JobSpec;
  awaits: string[];
}

/** A user's submission, or the name of the first field at fault. */
export function parseSubmission(body: Record<string, unknown>): Submission | { field: string } {
  const parsed = submissionOnWire.safeParse(body);
  if (!parsed.success) return { field: parsed.error.issues[0]?.path.join('.') || 'body' };
  const fields = parsed.data;
  return {
    awaits: [...new Set(fields.awaits ?? [])],
    spec: {
      id: fields.ref,
      cls: fields.jobclass,
      team: fields.crew,
      shape: SHAPE_FROM_WIRE[fields.shape] as Shape,
      rank: PRIORITY_FROM_WIRE[fields.rank] as number,
      tasks: fields.pieces,
      cpus: fields.cores,
      gpus: fields.accelerators,
      memory: fields.memory_gb,
      image: fields.bundle,
      imageGb: fields.size_gb,
      types: fields.builds ?? null,
      zone: fields.yard ?? null,
      oneZone: fields.one_zone,
      spread: fields.spread,
      spot: fields.loaners,
      estimateS: fields.guess_s,
      checkpointS: fields.snapshot_s,
      saveS: fields.stow_s,
      deadlineS: fields.due_s ?? null,
    },
  };
}
