/**
 * The codec of the stored record of a job, and of the parts that hold its lists if these don't fit into one value.
 *
 * Stored field names are short and fixed: other versions read and write the same records.
 *
 * | field | meaning |
 * | --- | --- |
 * | `s` | 0 accepted, 1 done, 2 cancelled, 3 accepted with dependencies |
 * | `t` | wall-clock time of the submission, in ms |
 * | `sp` | the job specification as submitted |
 * | `n` | number of tasks, in the short record of a finished job |
 * | `e` | wall-clock time when the job was observed to be done, in ms |
 * | `aw` | ids of the jobs that it depends on |
 * | `x` | `k`: name of the group of parts that hold the rest of its lists; `n`: number of parts |
 *
 * The fields of a part:
 *
 * | field | meaning |
 * | --- | --- |
 * | `aw` | ids of jobs that the job depends on |
 * | `ty` | names of machine types that the job allows |
 *
 * A version without support for dependencies skips a record with `s` 3, so it can't start the job's tasks too early.
 */
import { createHash } from 'node:crypto';
import type { JobSpec } from '@archpost/protocol';
import * as z from 'zod';
import { encodeJobSpec, isStoredJobSpec, parseJobSpec, withoutMachineTypes } from './job-spec-record.js';
import { encodedBytes } from './limits.js';
import { UnreadableRecordError } from './unreadable-record-error.js';

/** How a job ended, according to its record. */
export type FinalState = 'done' | 'cancelled';

const ACCEPTED = 0;
const DONE = 1;
const CANCELLED = 2;
const ACCEPTED_WITH_AWAITS = 3;

/** The reference from a job record to its parts. */
export interface PartsReference {
  /** digest of the contents of the parts, so that a repeated submission finds the parts that are already stored */
  group: string;
  count: number;
}

/** A decoded job record. */
export interface StoredJob {
  state: 'live' | FinalState;
  /** wall-clock time of the submission, in ms; 0: not stored */
  submittedAt: number;
  /** null in the short record of a finished job */
  spec: JobSpec | null;
  /** number of tasks */
  tasks: number;
  /** wall-clock time when the job was observed to be done, in ms; null: not done, or not stored */
  endedAt: number | null;
  /** dependency ids in the record itself; null: these or the reference to the parts can't be read */
  awaits: string[] | null;
  /** null: the record holds its complete lists */
  parts: PartsReference | null;
}

/** One stored part of a job's lists: ids of dependencies, and names of machine types. */
export interface JobPart {
  awaits: string[];
  types: string[];
}

/** The values to write for an accepted job: the parts first, then the record that makes them valid. */
export interface EncodedJob {
  record: unknown;
  parts: unknown[];
  /** the group of the parts; empty if there are no parts */
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

const dependencyIdsSchema = z.array(z.string());
const partsReferenceSchema = z.object({ k: z.string(), n: z.number().int().min(1) });
const partSchema = z.object({ aw: z.array(z.string()).nullish(), ty: z.array(z.string()).nullish() });

// Thousands of records are read at startup, and most have no lists: these skip the validation of the lists.
const NO_AWAITS = { success: true, data: [] as string[] } as const;
const NO_PARTS = { success: true, data: null } as const;

const STATE_BY_CODE = { [ACCEPTED]: 'live', [DONE]: 'done', [CANCELLED]: 'cancelled', [ACCEPTED_WITH_AWAITS]: 'live' } as const;

/**
 * Decodes a job record. Throws `UnreadableRecordError` if the value is no job record, or if the record of a live job has no
 * specification.
 */
export function parseJobRecord(value: unknown): StoredJob {
  const parsed = recordSchema.safeParse(value);
  if (!parsed.success) throw new UnreadableRecordError('job', parsed.error);
  const { s, t: submittedAt, sp, n: taskCount, e: endedAt, aw, x } = parsed.data;
  const state = STATE_BY_CODE[s];
  const spec = sp ? parseJobSpec(sp) : null;
  if (state === 'live' && spec === null) throw new UnreadableRecordError('job');
  const awaits = aw === undefined ? NO_AWAITS : dependencyIdsSchema.safeParse(aw);
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

/** Decodes a job record like `parseJobRecord`, but returns null if the record can't be read. */
export function readJobRecord(value: unknown): StoredJob | null {
  try {
    return parseJobRecord(value);
  } catch (error) {
    if (error instanceof UnreadableRecordError) return null;
    throw error;
  }
}

/** Decodes a part of a job record. Throws `UnreadableRecordError` if the value is no such part. */
export function parseJobPart(value: unknown): JobPart {
  const parsed = partSchema.safeParse(value);
  if (!parsed.success) throw new UnreadableRecordError('job part', parsed.error);
  return { awaits: parsed.data.aw ?? [], types: parsed.data.ty ?? [] };
}

/** Returns the number of leading names that fit into `maxBytes` of a JSON list. */
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

/** Number of digest characters in the name of a group of parts. */
const GROUP_LENGTH = 22;

/** Placeholder for the number of parts before it is known. No job has as many parts, so the number takes no more bytes. */
const PART_COUNT_PLACEHOLDER = 1_000_000;

/** Bytes reserved in each part for its key and its field names. */
const PART_OVERHEAD_BYTES = 256;

/** Splits the names into records of parts, each within `maxWriteBytes`. `wrap` builds the record of one part. */
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

/** An accepted job, to be encoded. `submittedAt`: wall-clock time, in ms. */
interface AcceptedJob {
  spec: JobSpec;
  /** ids of the jobs that it depends on */
  awaits: readonly string[];
  submittedAt: number;
}

/** Returns the record of an accepted job. The field `aw` is present only if the job has dependencies. */
function acceptedRecord(spec: JobSpec, awaits: readonly string[], hasAwaits: boolean, submittedAt: number): object {
  return hasAwaits
    ? { s: ACCEPTED_WITH_AWAITS, t: submittedAt, sp: encodeJobSpec(spec), aw: awaits }
    : { s: ACCEPTED, t: submittedAt, sp: encodeJobSpec(spec) };
}

/** The number of names of each list that the record itself holds. */
interface NamesInRecord {
  types: number;
  awaits: number;
}

/**
 * Counts the names of each list that fit into the record itself. Returns null if the record doesn't fit even without its lists,
 * or if not one of its machine types fits.
 */
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
  // In a version without support for parts, an empty list of types would allow no type, and null would allow all types.
  if (remainingBytes < 0 || (types.length > 0 && typeCount === 0)) return null;
  const typesBytes = Buffer.byteLength(JSON.stringify(types.slice(0, typeCount)));
  const awaitsBytes = remainingBytes - typesBytes - Buffer.byteLength(',"aw":[]');
  return { types: typeCount, awaits: countNamesThatFit(awaits, awaitsBytes) };
}

/**
 * Encodes an accepted job within `maxWriteBytes` per write; null if it doesn't fit even with its lists in parts. If a list is
 * too long, the record holds the names that fit and parts hold the rest. A version without support for parts then reads a
 * shorter list of machine types, which allows fewer types than the user did, never more. The most useful types should
 * therefore come first in the specification.
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

/** Returns the short record of a job whose tasks are all done. Times are wall-clock times, in ms. */
export function encodeDoneJob(submittedAt: number, taskCount: number, endedAt: number): unknown {
  return { s: DONE, t: submittedAt, n: taskCount, e: Math.round(endedAt) };
}

/**
 * Returns the record of a cancelled job: the stored record, without its lists if the complete record is too large for one
 * write. A cancelled job starts no tasks, so its machine types aren't needed, but the resources that its running tasks use
 * are. Throws `UnreadableRecordError` if a record that has to be shortened can't be read.
 */
export function encodeCancelledJob(key: string, stored: unknown, maxWriteBytes: number): unknown {
  const whole = { ...(stored as object), s: CANCELLED };
  if (encodedBytes(key, whole) <= maxWriteBytes) return whole;
  const { submittedAt, spec, tasks } = parseJobRecord(stored);
  const short = { s: CANCELLED, t: submittedAt, n: tasks };
  return spec === null ? short : { ...short, sp: withoutMachineTypes((stored as { sp: object }).sp) };
}
