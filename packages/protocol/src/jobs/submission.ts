/** A user's request to run a job. */
import * as z from 'zod';
import { boundedList } from '../bounded-list.js';
import type { MessagePackMap } from '../message-pack.js';
import { isWellFormedText } from '../text.js';
import type { JobSpec, Shape } from './job-spec.js';

const SHAPE_FROM_WIRE = { sweep: 'array', gang: 'gang', standing: 'service' } as const satisfies Record<string, Shape>;

/** A higher value is a higher priority. */
const PRIORITY_FROM_WIRE = { critical: 3, urgent: 2, standard: 1, best_effort: 0 } as const;

const MAX_NAME_LENGTH = 120;
const MAX_AMOUNT = 1e9;
const MAX_TASKS = 100_000;
const MAX_MACHINE_TYPES = 64;

const nameOnWire = z.string().min(1).max(MAX_NAME_LENGTH).refine(isWellFormedText);
const amountOnWire = z.number().min(0).max(MAX_AMOUNT);

/** The form of job ids. It allows their use in keys and paths without escaping. */
export const JOB_ID_PATTERN = /^run-[A-Za-z0-9_.-]{1,64}$/;

const submissionOnWire = z.object({
  ref: z.string().regex(JOB_ID_PATTERN),
  jobclass: nameOnWire,
  crew: nameOnWire,
  shape: z.enum(['sweep', 'gang', 'standing']),
  rank: z.enum(['critical', 'urgent', 'standard', 'best_effort']),
  pieces: z.number().int().min(1).max(MAX_TASKS),
  cores: amountOnWire,
  accelerators: amountOnWire,
  memory_gb: amountOnWire,
  bundle: nameOnWire,
  size_gb: amountOnWire,
  builds: boundedList(nameOnWire, MAX_MACHINE_TYPES).nullish(),
  yard: nameOnWire.nullish(),
  one_zone: z.boolean(),
  spread: z.boolean(),
  loaners: z.boolean(),
  guess_s: amountOnWire,
  snapshot_s: amountOnWire,
  stow_s: amountOnWire,
  due_s: amountOnWire.nullish(),
  awaits: boundedList(z.string().regex(JOB_ID_PATTERN)).nullish(),
});

/** A job, and the ids of the jobs that it depends on, without duplicates. */
export interface Submission {
  spec: JobSpec;
  awaits: string[];
}

/** A submission that is rejected permanently: a retry would fail as well. */
export interface InvalidSubmission {
  /** path of the first invalid field in the names of the wire, such as `awaits.1`; `body` if no field is at fault */
  field: string;
}

/** Parses a submission. If a field is missing or invalid, returns the first such field. */
export function parseSubmission(body: MessagePackMap): Submission | InvalidSubmission {
  const parsed = submissionOnWire.safeParse(body);
  if (!parsed.success) return { field: parsed.error.issues[0]?.path.join('.') || 'body' };
  const fields = parsed.data;
  return {
    awaits: [...new Set(fields.awaits ?? [])],
    spec: {
      id: fields.ref,
      jobClass: fields.jobclass,
      team: fields.crew,
      shape: SHAPE_FROM_WIRE[fields.shape],
      priority: PRIORITY_FROM_WIRE[fields.rank],
      tasks: fields.pieces,
      cpus: fields.cores,
      gpus: fields.accelerators,
      memory: fields.memory_gb,
      image: fields.bundle,
      imageSizeGb: fields.size_gb,
      machineTypes: fields.builds ?? null,
      zone: fields.yard ?? null,
      oneZone: fields.one_zone,
      spread: fields.spread,
      allowsSpot: fields.loaners,
      estimatedRunS: fields.guess_s,
      checkpointIntervalS: fields.snapshot_s,
      checkpointSaveS: fields.stow_s,
      deadlineS: fields.due_s ?? null,
    },
  };
}
