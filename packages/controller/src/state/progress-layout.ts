/**
 * The layout of a job's completed tasks over keys of the state service, and the codec of the values of these keys.
 *
 * A chunk is a fixed number of tasks, with one hex digit for every four tasks. If a chunk fits into a value, a job has one key
 * per chunk, named by the chunk's number. Otherwise a chunk is stored in parts, each named by the chunk's number with a
 * fraction (`0.0`, `0.125`): the first task of a part is its name times the chunk's size. Versions without support for parts
 * compute the first task from the name in the same way, so they can read parts. Bits only change from 0 to 1, so the progress
 * of a job is the union of all its keys, of both chunks and parts.
 */

import { BYTES_PER_KIB } from './limits.js';
import { UnreadableRecordError } from './unreadable-record-error.js';

const TASKS_PER_DIGIT = 4;

/** A chunk uses half of the value limit. The first version introduced this layout, and stored keys depend on it. */
const CHUNK_FRACTION_OF_VALUE = 0.5;

const MIN_CHUNK_DIGITS = 128;

/** Bytes of a progress write other than the digits: the longest key, and the quotes around the value. */
const OVERHEAD_BYTES = 128;

/**
 * Indices of the tasks that one stored key marks as done. Decoded on each iteration, so that it uses no more memory than its
 * digits.
 */
export type StoredProgress = Iterable<number>;

/** The range of tasks whose completion one key holds. */
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
   * `valueKib` is the value limit from which the chunk size was derived when progress was first stored. It must not change
   * while stored progress is in use. `maxWriteBytes` is the maximum size of a write, including the key.
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

  /** Returns the index of a part's first digit within its chunk. */
  private partStart(part: number): number {
    return Math.floor((part * this.chunkDigits) / this.partsPerChunk);
  }

  /** Returns the parts that hold the progress of a job with `taskCount` tasks, ordered by task index. */
  parts(taskCount: number): ProgressPart[] {
    // A job that fits into the first part of a chunk is stored under the chunk's number, as in versions without parts.
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
      // A part must not have the name of a whole chunk, because another version may have stored the chunk under that name.
      const fraction = this.partStart(part) / this.chunkDigits;
      const name = fraction === 0 ? `${chunk}.0` : String(chunk + fraction);
      result.push({ name, from, to: Math.min(taskCount, to) });
    }
  }

  /** Returns the index of the first task that the part with this name covers; null if no part can have this name. */
  firstTask(name: string): number | null {
    const position = /^\d+(\.\d+)?$/.test(name) ? Number(name) : Number.NaN;
    const first = Math.round(position * this.chunkDigits) * TASKS_PER_DIGIT;
    return Number.isSafeInteger(first) ? first : null;
  }

  /** Decodes the value of the part `name`. Throws `UnreadableRecordError` if the name or the value is invalid. */
  parse(name: string, digits: unknown): StoredProgress {
    const from = this.firstTask(name);
    if (from === null || !isDigits(digits)) throw new UnreadableRecordError('progress part');
    return decodeDoneTasks(digits, from);
  }
}

/** Encodes the tasks from `from` up to, but not including, `to` as hex digits. A nonzero byte in `done` marks a done task. */
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

/** Returns the tasks that the digits mark as done. The result can be iterated more than once. */
function decodeDoneTasks(digits: string, from: number): StoredProgress {
  return {
    *[Symbol.iterator]() {
      for (let index = 0; index < digits.length; index++) {
        const digit = Number.parseInt(digits[index] as string, 16);
        for (let bit = 0; bit < TASKS_PER_DIGIT; bit++) if (digit & (1 << bit)) yield from + index * TASKS_PER_DIGIT + bit;
      }
    },
  };
}
