/**
 * The stored record of a job: one codec between what the state service holds and what decisions use.
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
 * | `x` | name and number of the parts that hold the rest of its lists |
 *
 * A version that knows no awaited jobs passes over a record with `s` 3, so it can't start its tasks too early.
 */
import { createHash } from 'node:crypto';
import type { JobSpec } from '@archpost/protocol';
import { z } from 'zod';
import { encodedBytes } from './limits.js';
import { UnreadableRecordError } from './unreadable-record-error.js';

export type FinalState = 'done' | 'cancelled';

const ACCEPTED = 0;
const DONE = 1;
const CANCELLED = 2;
const ACCEPTED_WITH_AWAITS = 3;

/** Parts that belong to one job record. */
export interface PartsReference {
  /** names what the parts hold: a repeated submission finds those that are stored already */
  group: string;
  count: number;
}

/** A job's stored record. */
export interface StoredJob {
  state: 'live' | FinalState;
  submittedAt: number;
  spec: JobSpec | null;
  tasks: number;
  endedAt: number | null;
  /** ids in the record itself; null: there is a list, here or in parts, that can't be read */
  awaits: string[] | null;
  parts: PartsReference | null;
}

/** One stored part of a job's lists. */
export interface JobPart {
  awaits: string[];
  types: string[];
}

/** What is written for an acceptance: the parts first, then the record that makes them valid. */
export interface EncodedJob {
  record: unknown;
  parts: unknown[];
  group: string;
}

const record = z.object({
  s: z.union([z.literal(ACCEPTED), z.literal(DONE), z.literal(CANCELLED), z.literal(ACCEPTED_WITH_AWAITS)]),
  t: z.number().nullish(),
  sp: z
    .custom<JobSpec>((spec) => typeof spec === 'object' && spec !== null && typeof (spec as JobSpec).id === 'string')
    .nullish(),
  n: z.number().nullish(),
  e: z.number().nullish(),
  aw: z.unknown().optional(),
  x: z.unknown().optional(),
});

const awaitedIds = z.array(z.string());
const partsReference = z.object({ k: z.string(), n: z.number().int().min(1) });

// Most records have no lists, and thousands are read at a start.
const NO_AWAITS = { success: true, data: [] as string[] } as const;
const NO_PARTS = { success: true, data: null } as const;

const part = z.object({ aw: z.array(z.string()).nullish(), ty: z.array(z.string()).nullish() });

const STATES = { [ACCEPTED]: 'live', [DONE]: 'done', [CANCELLED]: 'cancelled', [ACCEPTED_WITH_AWAITS]: 'live' } as const;

/** Throws on what is no job record. */
export function parseJobRecord(value: unknown): StoredJob {
  const parsed = record.safeParse(value);
  if (!parsed.success) throw new UnreadableRecordError('job', parsed.error);
  const { s, t, sp: spec, n: count, e, aw, x } = parsed.data;
  if (STATES[s] === 'live' && !spec) throw new UnreadableRecordError('job');
  const awaits = aw === undefined ? NO_AWAITS : awaitedIds.safeParse(aw);
  const reference = x === undefined ? NO_PARTS : partsReference.safeParse(x);
  return {
    state: STATES[s],
    submittedAt: t ?? 0,
    spec: spec ?? null,
    tasks: spec?.tasks ?? count ?? 0,
    endedAt: e ?? null,
    awaits: awaits.success && reference.success ? awaits.data : null,
    parts: reference.data ? { group: reference.data.k, count: reference.data.n } : null,
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

/** Throws on what is no part of a job record. */
export function parseJobPart(value: unknown): JobPart {
  const parsed = part.safeParse(value);
  if (!parsed.success) throw new UnreadableRecordError('job part', parsed.error);
  return { awaits: parsed.data.aw ?? [], types: parsed.data.ty ?? [] };
}

/** As many of the names, from the first, as fit into so many bytes of a JSON list. */
function namesThatFit(names: readonly string[], bytes: number): number {
  let used = 0;
  let count = 0;
  for (const name of names) {
    used += Buffer.byteLength(JSON.stringify(name)) + 1;
    if (used > bytes) break;
    count++;
  }
  return count;
}

/** Characters of a digest that name a group of parts. */
const GROUP_LENGTH = 22;

/** Bytes that a part's key and its field names take. */
const PART_OVERHEAD_BYTES = 256;

function split(names: readonly string[], bytes: number, wrap: (names: string[]) => unknown): unknown[] {
  const parts: unknown[] = [];
  for (let at = 0; at < names.length; ) {
    const count = Math.max(1, namesThatFit(names.slice(at), bytes - PART_OVERHEAD_BYTES));
    parts.push(wrap(names.slice(at, at + count)));
    at += count;
  }
  return parts;
}

/**
 * Encodes an accepted job within `changeBytes` a change; null if not even its names fit. Where a list is too long,
 * the record bears what fits of it and parts bear the rest. A version that knows no parts then reads a shorter
 * list of machine types, which allows less than the user did, never more; `types` are best ordered accordingly.
 */
export function encodeAcceptedJob(
  key: string,
  spec: JobSpec,
  awaits: readonly string[],
  submittedAt: number,
  changeBytes: number,
): EncodedJob | null {
  const s = awaits.length > 0 ? ACCEPTED_WITH_AWAITS : ACCEPTED;
  const whole = awaits.length > 0 ? { s, t: submittedAt, sp: spec, aw: awaits } : { s, t: submittedAt, sp: spec };
  if (encodedBytes(key, whole) <= changeBytes) return { record: whole, parts: [], group: '' };
  const types = spec.types ?? [];
  const bare = { s, t: submittedAt, sp: { ...spec, types: spec.types && [] }, x: { k: 'x'.repeat(GROUP_LENGTH), n: 1_000_000 } };
  let remaining = changeBytes - encodedBytes(key, bare);
  const typesHere = namesThatFit(types, remaining);
  // An empty list of types allows none, for a version that knows no parts; null would allow all.
  if (remaining < 0 || (types.length > 0 && typesHere === 0)) return null;
  remaining -= Buffer.byteLength(JSON.stringify(types.slice(0, typesHere)));
  const awaitsHere = namesThatFit(awaits, remaining - Buffer.byteLength(',"aw":[]'));
  const parts = [
    ...split(types.slice(typesHere), changeBytes, (ty) => ({ ty })),
    ...split(awaits.slice(awaitsHere), changeBytes, (aw) => ({ aw })),
  ];
  const sp = { ...spec, types: spec.types && types.slice(0, typesHere) };
  const head = awaits.length > 0 ? { s, t: submittedAt, sp, aw: awaits.slice(0, awaitsHere) } : { s, t: submittedAt, sp };
  const group = createHash('sha256').update(JSON.stringify(parts)).digest('base64url').slice(0, GROUP_LENGTH);
  return { record: { ...head, x: { k: group, n: parts.length } }, parts, group };
}

/** The short record of a job whose tasks are all done. */
export function encodeDoneJob(submittedAt: number, tasks: number, endedAt: number): unknown {
  return { s: DONE, t: submittedAt, n: tasks, e: Math.round(endedAt) };
}

/**
 * The record of a cancelled job: what is stored, less its lists if they are too long to be written again. Nothing of
 * it starts any more, so which machine types it was allowed is of no use; what it takes of a machine is.
 */
export function encodeCancelledJob(key: string, stored: unknown, changeBytes: number): unknown {
  const whole = { ...(stored as object), s: CANCELLED };
  if (encodedBytes(key, whole) <= changeBytes) return whole;
  const { submittedAt, spec, tasks } = parseJobRecord(stored);
  const short = { s: CANCELLED, t: submittedAt, n: tasks };
  return spec === null ? short : { ...short, sp: { ...spec, types: null } };
}
