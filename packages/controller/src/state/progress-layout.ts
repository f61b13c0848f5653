/**
 * How the completed tasks of a job are laid out over keys of the state service, and the codec of what those keys hold.
 *
 * A chunk is a fixed number of tasks, one hex digit for four of them. Where chunks fit a value, a job has one key for each,
 * named by the chunk's number. Where a chunk doesn't fit a value, it is stored in parts, each named by the chunk's number
 * with a fraction (`0.0`, `0.125`): the first task of a part is its name times the chunk's size. Versions that know nothing
 * of parts compute the first task from the name in the same way, so they read parts too. Bits only ever go from 0 to 1, so
 * the progress of a job is the union of all its keys, of either kind.
 */

import { BYTES_PER_KIB } from './limits.js';
import { UnreadableRecordError } from './unreadable-record-error.js';

const TASKS_PER_DIGIT = 4;

/** Half of a value is left free: the layout was chosen so by the first version, and stored keys depend on it. */
const CHUNK_FRACTION_OF_VALUE = 0.5;

const MIN_CHUNK_DIGITS = 128;

/** Bytes of a progress change that are not digits: the longest key, and the quotes around the value. */
const OVERHEAD_BYTES = 128;

/**
 * Indices of the tasks that one stored key says are done. Decoded at each iteration, so that keeping it costs no more than its
 * digits.
 */
export type StoredProgress = Iterable<number>;

/** Tasks whose completion one key holds. */
export interface ProgressPart {
  /** the last element of the key */
  name: string;
  /** index of its first task */
  from: number;
  /** index of the first task after it */
  to: number;
}

/** Which keys hold a job's progress, and which tasks each of them covers. */
export class ProgressLayout {
  private readonly chunkDigits: number;
  private readonly partsPerChunk: number;

  /**
   * `valueKib` is the limit that the chunk's size was derived from when progress was first stored; it must not
   * change while stored progress is in use. `maxWriteBytes` is the largest change that may be written, its key included.
   */
  constructor(valueKib: number, maxWriteBytes: number) {
    const digits = Math.floor(valueKib * BYTES_PER_KIB * CHUNK_FRACTION_OF_VALUE);
    this.chunkDigits = Math.max(MIN_CHUNK_DIGITS, digits);
    let partsPerChunk = 1;
    // Powers of two, so that a part's name times the chunk's size is exact.
    while (this.chunkDigits / partsPerChunk > maxWriteBytes - OVERHEAD_BYTES && partsPerChunk < this.chunkDigits)
      partsPerChunk *= 2;
    this.partsPerChunk = partsPerChunk;
  }

  private get chunkTasks(): number {
    return this.chunkDigits * TASKS_PER_DIGIT;
  }

  /** The first digit of a part, counted from the start of its chunk. */
  private partStart(part: number): number {
    return Math.floor((part * this.chunkDigits) / this.partsPerChunk);
  }

  /** The parts that hold the progress of a job with `taskCount` tasks, in the order of their tasks. */
  parts(taskCount: number): ProgressPart[] {
    // A job that fits the first part of a chunk is stored under the chunk's number, as versions without parts do.
    const isSplit = this.partsPerChunk > 1 && taskCount > this.partStart(1) * TASKS_PER_DIGIT;
    const result: ProgressPart[] = [];
    for (let chunk = 0; chunk * this.chunkTasks < taskCount; chunk++) {
      if (isSplit) this.addParts(result, chunk, taskCount);
      else result.push(this.wholeChunk(chunk, taskCount));
    }
    return result;
  }

  private wholeChunk(chunk: number, taskCount: number): ProgressPart {
    const from = chunk * this.chunkTasks;
    return { name: String(chunk), from, to: Math.min(taskCount, from + this.chunkTasks) };
  }

  private addParts(result: ProgressPart[], chunk: number, taskCount: number): void {
    for (let part = 0; part < this.partsPerChunk; part++) {
      const from = chunk * this.chunkTasks + this.partStart(part) * TASKS_PER_DIGIT;
      const to = chunk * this.chunkTasks + this.partStart(part + 1) * TASKS_PER_DIGIT;
      if (from >= taskCount) return;
      // Never the name of a whole chunk, which another version may have stored under its number.
      const fraction = this.partStart(part) / this.chunkDigits;
      const name = fraction === 0 ? `${chunk}.0` : String(chunk + fraction);
      result.push({ name, from, to: Math.min(taskCount, to) });
    }
  }

  /** Index of the first task that a key of this name covers; null if it names no part. */
  firstTask(name: string): number | null {
    const position = /^\d+(\.\d+)?$/.test(name) ? Number(name) : Number.NaN;
    const first = Math.round(position * this.chunkDigits) * TASKS_PER_DIGIT;
    return Number.isSafeInteger(first) ? first : null;
  }

  /** Reads the value of the part `name`. Throws `UnreadableRecordError` on what is no part of progress. */
  parse(name: string, digits: unknown): StoredProgress {
    const from = this.firstTask(name);
    if (from === null || !isDigits(digits)) throw new UnreadableRecordError('progress part');
    return doneTasks(digits, from);
  }
}

/** The hex digits for the tasks from `from` to before `to`; a task whose byte in `done` isn't 0 is done. */
export function packBits(done: Uint8Array, from: number, to: number): string {
  let digits = '';
  for (let index = from; index < to; index += TASKS_PER_DIGIT) {
    let digit = 0;
    for (let bit = 0; bit < TASKS_PER_DIGIT; bit++) if (index + bit < to && done[index + bit]) digit |= 1 << bit;
    digits += digit.toString(16);
  }
  return digits;
}

function isDigits(value: unknown): value is string {
  return typeof value === 'string' && /^[0-9a-f]*$/.test(value);
}

/** The tasks that the digits say are done. It can be iterated over again. */
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
