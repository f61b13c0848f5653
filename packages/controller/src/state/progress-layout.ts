/**
 * How the completed tasks of a job are laid out over keys of the state service.
 *
 * A chunk is a fixed number of tasks, one hex digit for four of them. A job whose tasks fit one value has one key
 * for each chunk, named by the chunk's number. Where a chunk doesn't fit a value, it is stored in parts, each
 * named by the chunk's number with a fraction (`0.0`, `0.125`): the first task of a part is its name times the
 * chunk's size. Versions that know nothing of parts compute the first task from the name in the same way, so they
 * read parts too. Bits only ever go from 0 to 1, so keys of both kinds can be united.
 */

import { BYTES_PER_KIB } from './limits.js';
import { UnreadableRecordError } from './unreadable-record-error.js';

const TASKS_PER_DIGIT = 4;

/** Half of a value is left free: the layout was chosen so by the first version, and stored keys depend on it. */
const CHUNK_SHARE_OF_VALUE = 0.5;

const LEAST_CHUNK_DIGITS = 128;

/** Bytes of a progress change that are not digits: the longest key, and the quotes around the value. */
const OVERHEAD_BYTES = 128;

/** The tasks that one stored key tells are done, read when they are asked for. */
export type StoredProgress = Iterable<number>;

/** Tasks whose completion one key holds. */
export interface ProgressPart {
  /** the last element of the key */
  name: string;
  from: number;
  /** the first task after it */
  to: number;
}

export class ProgressLayout {
  private readonly chunkDigits: number;
  private readonly partsPerChunk: number;

  /**
   * `valueKb` is the limit that the chunk's size was derived from when progress was first stored; it must not
   * change while stored progress is in use. `changeBytes` is the largest change that may be written.
   */
  constructor(valueKb: number, changeBytes: number) {
    const digits = Math.floor(valueKb * BYTES_PER_KIB * CHUNK_SHARE_OF_VALUE);
    this.chunkDigits = Math.max(LEAST_CHUNK_DIGITS, digits);
    let parts = 1;
    // Powers of two, so that a part's name times the chunk's size is exact.
    while (this.chunkDigits / parts > changeBytes - OVERHEAD_BYTES && parts < this.chunkDigits) parts *= 2;
    this.partsPerChunk = parts;
  }

  private get chunkTasks(): number {
    return this.chunkDigits * TASKS_PER_DIGIT;
  }

  /** The first digit of a part, counted from the start of its chunk. */
  private partStart(part: number): number {
    return Math.floor((part * this.chunkDigits) / this.partsPerChunk);
  }

  /** The keys that hold the progress of a job with so many tasks. */
  parts(tasks: number): ProgressPart[] {
    const split = tasks > this.partStart(1) * TASKS_PER_DIGIT;
    const result: ProgressPart[] = [];
    for (let chunk = 0; chunk * this.chunkTasks < tasks; chunk++) {
      if (split && this.partsPerChunk > 1) this.addParts(result, chunk, tasks);
      else
        result.push({ name: String(chunk), from: chunk * this.chunkTasks, to: Math.min(tasks, (chunk + 1) * this.chunkTasks) });
    }
    return result;
  }

  private addParts(result: ProgressPart[], chunk: number, tasks: number): void {
    for (let part = 0; part < this.partsPerChunk; part++) {
      const from = chunk * this.chunkTasks + this.partStart(part) * TASKS_PER_DIGIT;
      const to = chunk * this.chunkTasks + this.partStart(part + 1) * TASKS_PER_DIGIT;
      if (from >= tasks) return;
      // Never the name of a whole chunk, which another version may have stored under its number.
      const fraction = this.partStart(part) / this.chunkDigits;
      const name = fraction === 0 ? `${chunk}.0` : String(chunk + fraction);
      result.push({ name, from, to: Math.min(tasks, to) });
    }
  }

  /** The first task that a key of this name tells of; null if it names no part. */
  firstTask(name: string): number | null {
    const position = /^\d+(\.\d+)?$/.test(name) ? Number(name) : Number.NaN;
    const first = Math.round(position * this.chunkDigits) * TASKS_PER_DIGIT;
    return Number.isSafeInteger(first) ? first : null;
  }

  /** Throws on what is no part of progress. */
  parse(name: string, digits: unknown): StoredProgress {
    const from = this.firstTask(name);
    if (from === null || !isDigits(digits)) throw new UnreadableRecordError('progress part');
    return doneTasks(digits, from);
  }
}

/** The digits for the tasks `from` to `to`; a task that isn't 0 in `bits` is done. */
export function packBits(bits: Uint8Array, from: number, to: number): string {
  let result = '';
  for (let index = from; index < to; index += TASKS_PER_DIGIT) {
    let digit = 0;
    for (let bit = 0; bit < TASKS_PER_DIGIT; bit++) if (index + bit < to && bits[index + bit]) digit |= 1 << bit;
    result += digit.toString(16);
  }
  return result;
}

function isDigits(value: unknown): value is string {
  return typeof value === 'string' && /^[0-9a-f]*$/.test(value);
}

/** The tasks that the digits tell are done; it can be gone through again. */
function doneTasks(digits: string, from: number): StoredProgress {
  return {
    *[Symbol.iterator]() {
      for (let index = 0; index < digits.length; index++) {
        const digit = Number.parseInt(digits[index] as string, 16);
        for (let bit = 0; bit < TASKS_PER_DIGIT; bit++) if (digit & (1 << bit)) yield from + index * TASKS_PER_DIGIT + bit;
      }
    },
  };
}
