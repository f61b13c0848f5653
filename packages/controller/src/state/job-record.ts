/**
 * The stored record of a job, and of the parts that hold its lists where these don't fit one value: the codec between what
 * the state service holds and what decisions use.
 *
 * Stored field names are short and fixed: other versions read and write the same records.
 *
 * | field | meaning |
 * | --- | --- |
 * | `s` | 0 accepted, 1 done, 2 cancelled, 3 accepted and awaits other jobs |
 * | `t` | time of day of the submission, in ms |
 * | `sp` | the job as submitted |
 * | `n` | number of tasks, in the short record of a finished job |
 * | `e` | time of day when the job was seen done, in ms |
 * | `aw` | ids of the jobs that it awaits |
 * | `x` | `k`: name of the group of parts that hold the rest of its lists; `n`: their number |
 *
 * The fields of a part:
 *
 * | field | meaning |
 * | --- | --- |
 * | `aw` | ids of awaited jobs |
 * | `ty` | names of machine types |
 *
 * A version that knows no awaited jobs passes over a record with `s` 3, so it can't start the job's tasks too early.
 */
import { createHash } from 'node:crypto';
import type { JobSpec } from '@archpost/protocol';
import * as z from 'zod';
import { encodeJobSpec, isStoredJobSpec, parseJobSpec, withoutMachineTypes } from './job-spec-record.js';
import { encodedBytes } from './limits.js';
import { UnreadableRecordError } from './unreadable-record-error.js';

/** How a job ended, as far as its record shows. */
export type FinalState = 'done' | 'cancelled';

const ACCEPTED = 0;
const DONE = 1;
const CANCELLED = 2;
const ACCEPTED_WITH_AWAITS = 3;

/** The parts that belong to one job record. */
export interface PartsReference {
  /** a digest of what the parts hold, so that a repeated submission finds the parts that are stored already */
  group: string;
  count: number;
}

/** A job's record as decisions use it. */
export interface StoredJob {
  state: 'live' | FinalState;
  /** time of day of the submission, in ms; 0: not stored */
  submittedAt: number;
  /** null: the short record of a finished job */
  spec: JobSpec | null;
  /** number of tasks */
  tasks: number;
  /** time of day when the job was seen done, in ms; null: not done, or not stored */
  endedAt: number | null;
  /** ids in the record itself; null: there is a list, here or in parts, that can't be read */
  awaits: string[] | null;
  /** null: the record holds its lists whole */
  parts: PartsReference | null;
}

/** One stored part of a job's lists: ids of awaited jobs, and names of machine types. */
export interface JobPart {
  awaits: string[];
  types: string[];
}

/** What is written for an acceptance: the parts first, then the record that makes them valid. */
export interface EncodedJob {
  record: unknown;
  parts: unknown[];
  /** the group of the parts; empty without parts */
  group: string;
}

const recordSchema = z.object({
  s: z.union([z.literal(ACCEPTED), z.literal(DONE), z.literal(CANCELLED), z.literal(ACCEPTED_WITH_AWAITS)]),
  t: z.number().nullish(),
  sp: z.custom<object>(isStoredJobSpec).nullish(),
  n: z.number().nullish(),
  e: z.number().nullish(),
  aw: z.unknown().optional(),
  x: z.unknown().optional(),
});

const awaitedIdsSchema = z.array(z.string());
const partsReferenceSchema = z.object({ k: z.string(), n: z.number().int().min(1) });
const partSchema = z.object({ aw: z.array(z.string()).nullish(), ty: z.array(z.string()).nullish() });

// Most records have no lists, and thousands are read at a start: the schemas are spared for them.
const NO_AWAITS = { success: true, data: [] as string[] } as const;
const NO_PARTS = { success: true, data: null } as const;

const STATES = { [ACCEPTED]: 'live', [DONE]: 'done', [CANCELLED]: 'cancelled', [ACCEPTED_WITH_AWAITS]: 'live' } as const;

/** Throws `UnreadableRecordError` on what is no job record, and on a job that isn't over and has no specification. */
export function parseJobRecord(value: unknown): StoredJob {
  const parsed = recordSchema.safeParse(value);
  if (!parsed.success) throw new UnreadableRecordError('job', parsed.error);
  const { s, t: submittedAt, sp, n: taskCount, e: endedAt, aw, x } = parsed.data;
  const state = STATES[s];
  const spec = sp ? parseJobSpec(sp) : null;
  if (state === 'live' && spec === null) throw new UnreadableRecordError('job');
  const awaits = aw === undefined ? NO_AWAITS : awaitedIdsSchema.safeParse(aw);
  const parts = x === undefined ? NO_PARTS : partsReferenceSchema.safeParse(x);
  return {
    state,
    submittedAt: submittedAt ?? 0,
    spec,
    tasks: spec?.tasks ?? taskCount ?? 0,
    endedAt: endedAt ?? null,
    awaits: awaits.success && parts.success ? awaits.data : null,
    parts: parts.data ? { group: parts.data.k, count: parts.data.n } : null,
  };
}

/** As `parseJobRecord`, but null for what is no job record. */
export function readJobRecord(value: unknown): StoredJob | null {
  try {
    return parseJobRecord(value);
  } catch (error) {
    if (error instanceof UnreadableRecordError) return null;
    throw error;
  }
}

/** Throws `UnreadableRecordError` on what is no part of a job record. */
export function parseJobPart(value: unknown): JobPart {
  const parsed = partSchema.safeParse(value);
  if (!parsed.success) throw new UnreadableRecordError('job part', parsed.error);
  return { awaits: parsed.data.aw ?? [], types: parsed.data.ty ?? [] };
}

/** How many of the names, from the first, fit `maxBytes` of a JSON list. */
function countNamesThatFit(names: readonly string[], maxBytes: number): number {
  let usedBytes = 0;
  let count = 0;
  for (const name of names) {
    usedBytes += Buffer.byteLength(JSON.stringify(name)) + 1;
    if (usedBytes > maxBytes) break;
    count++;
  }
  return count;
}

/** Characters of a digest that name a group of parts. */
const GROUP_LENGTH = 22;

/** Stands for the number of parts before it is known: no job has so many, so the real number takes no more bytes. */
const PART_COUNT_PLACEHOLDER = 1_000_000;

/** Bytes that a part's key and its field names take. */
const PART_OVERHEAD_BYTES = 256;

/** The records of the parts that hold these names, each within `maxWriteBytes`; `wrap` makes the record of one part. */
function encodeParts(names: readonly string[], maxWriteBytes: number, wrap: (names: string[]) => unknown): unknown[] {
  const parts: unknown[] = [];
  for (let start = 0; start < names.length; ) {
    const count = Math.max(1, countNamesThatFit(names.slice(start), maxWriteBytes - PART_OVERHEAD_BYTES));
    parts.push(wrap(names.slice(start, start + count)));
    start += count;
  }
  return parts;
}

function groupOf(parts: readonly unknown[]): string {
  return createHash('sha256').update(JSON.stringify(parts)).digest('base64url').slice(0, GROUP_LENGTH);
}

/** A job as it is accepted. `submittedAt`: time of day, in ms. */
interface AcceptedJob {
  spec: JobSpec;
  /** ids of the jobs that it awaits */
  awaits: readonly string[];
  submittedAt: number;
}

/** The record of an accepted job; the field for awaited jobs is there only if the job has any. */
function acceptedRecord(spec: JobSpec, awaits: readonly string[], hasAwaits: boolean, submittedAt: number): object {
  return hasAwaits
    ? { s: ACCEPTED_WITH_AWAITS, t: submittedAt, sp: encodeJobSpec(spec), aw: awaits }
    : { s: ACCEPTED, t: submittedAt, sp: encodeJobSpec(spec) };
}

/** How many names of each list the record itself holds. */
interface NamesInRecord {
  types: number;
  awaits: number;
}

/** Null if not even one machine type fits, or the rest of the record doesn't. */
function countNamesInRecord(
  key: string,
  { spec, awaits, submittedAt }: AcceptedJob,
  maxWriteBytes: number,
): NamesInRecord | null {
  const emptySpec = { ...spec, machineTypes: spec.machineTypes && [] };
  const placeholder = { k: 'x'.repeat(GROUP_LENGTH), n: PART_COUNT_PLACEHOLDER };
  const emptyRecord = { ...acceptedRecord(emptySpec, [], false, submittedAt), x: placeholder };
  const remainingBytes = maxWriteBytes - encodedBytes(key, emptyRecord);
  const types = spec.machineTypes ?? [];
  const typeCount = countNamesThatFit(types, remainingBytes);
  // An empty list of types allows none, for a version that knows no parts; null would allow all.
  if (remainingBytes < 0 || (types.length > 0 && typeCount === 0)) return null;
  const typesBytes = Buffer.byteLength(JSON.stringify(types.slice(0, typeCount)));
  const awaitsBytes = remainingBytes - typesBytes - Buffer.byteLength(',"aw":[]');
  return { types: typeCount, awaits: countNamesThatFit(awaits, awaitsBytes) };
}

/**
 * Encodes an accepted job within `maxWriteBytes` a change; null if not even its names fit. Where a list is too long,
 * the record holds what fits of it and parts hold the rest. A version that knows no parts then reads a shorter
 * list of machine types, which allows less than the user did, never more; `types` are best ordered accordingly.
 */
export function encodeAcceptedJob(key: string, job: AcceptedJob, maxWriteBytes: number): EncodedJob | null {
  const { spec, awaits, submittedAt } = job;
  const hasAwaits = awaits.length > 0;
  const record = acceptedRecord(spec, awaits, hasAwaits, submittedAt);
  if (encodedBytes(key, record) <= maxWriteBytes) return { record, parts: [], group: '' };
  const inRecord = countNamesInRecord(key, job, maxWriteBytes);
  if (inRecord === null) return null;
  const types = spec.machineTypes ?? [];
  const parts = [
    ...encodeParts(types.slice(inRecord.types), maxWriteBytes, (ty) => ({ ty })),
    ...encodeParts(awaits.slice(inRecord.awaits), maxWriteBytes, (aw) => ({ aw })),
  ];
  const shortSpec = { ...spec, machineTypes: spec.machineTypes && types.slice(0, inRecord.types) };
  const shortRecord = acceptedRecord(shortSpec, awaits.slice(0, inRecord.awaits), hasAwaits, submittedAt);
  const group = groupOf(parts);
  return { record: { ...shortRecord, x: { k: group, n: parts.length } }, parts, group };
}

/** The short record of a job whose tasks are all done. Times are times of day, in ms. */
export function encodeDoneJob(submittedAt: number, taskCount: number, endedAt: number): unknown {
  return { s: DONE, t: submittedAt, n: taskCount, e: Math.round(endedAt) };
}

/**
 * The record of a cancelled job: what is stored, without its lists if they are too long to be written again. Nothing of
 * it starts any more, so which machine types it was allowed is of no use; the resources that its running tasks take are.
 * Throws `UnreadableRecordError` if a record that has to be shortened can't be read.
 */
export function encodeCancelledJob(key: string, stored: unknown, maxWriteBytes: number): unknown {
  const whole = { ...(stored as object), s: CANCELLED };
  if (encodedBytes(key, whole) <= maxWriteBytes) return whole;
  const { submittedAt, spec, tasks } = parseJobRecord(stored);
  const short = { s: CANCELLED, t: submittedAt, n: tasks };
  return spec === null ? short : { ...short, sp: withoutMachineTypes((stored as { sp: object }).sp) };
}
