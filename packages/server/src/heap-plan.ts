/**
 * Plans the heap that fits the memory which the settings allow. Node fixes the heap's limit when it starts, by a flag that
 * can't know the settings. So a process with more memory runs the service in a thread with a larger heap, and one with less
 * collects garbage before it reaches the limit.
 */
import v8 from 'node:v8';

/** Measured: a process with the program loaded, without its heap. */
const PROCESS_OVERHEAD_MB = 46;

/** Measured: what a second thread and the program that the first one loaded take. */
const THREAD_OVERHEAD_MB = 20;

/** Measured: a young generation in full use. */
const YOUNG_GENERATION_MB = 32;

/** Memory of a connection outside the heap, buffers included. */
const KB_PER_SOCKET = 17;

/** A heap within this factor of the planned one is left as it is. */
const HEAP_TOLERANCE_FACTOR = 1.1;

/** A process whose memory is smaller than its heap's limit collects garbage beyond this part of its memory. */
export const COLLECTION_START_FRACTION = 0.85;

/** Node's young generation at its largest, as V8 counts it: three times 16 MB. */
const MAX_YOUNG_GENERATION_MB = 48;

/** A megabyte, as the settings and V8 count it. */
export const BYTES_PER_MB = 1024 * 1024;

/** What the process may use. */
export interface MemoryBudget {
  /** memory in all, in megabytes */
  memoryMb: number;
  /** connections that may be open */
  sockets: number;
}

/** Megabytes that are left for the old generation when sockets and the process itself have theirs. */
export function heapMb({ memoryMb, sockets }: MemoryBudget): number {
  return Math.floor(memoryMb - PROCESS_OVERHEAD_MB - (sockets * KB_PER_SOCKET) / 1024);
}

/** As `heapMb`, if the service runs in a thread of its own. */
export function threadHeapMb(budget: MemoryBudget): number {
  return heapMb(budget) - THREAD_OVERHEAD_MB - YOUNG_GENERATION_MB;
}

/** How the service is to run, given the heap that Node started with. It is logged as it is. */
export type HeapPlan =
  | { kind: 'as it is' }
  /** in a thread with an old generation of this size */
  | { kind: 'thread'; heapMb: number }
  /** in this thread; garbage is collected while the process holds more than this */
  | { kind: 'collect'; beyondMb: number };

/** @param limitMb the old generation's limit that is in force */
export function planHeap(budget: MemoryBudget, limitMb: number): HeapPlan {
  const largestHeapMb = threadHeapMb(budget);
  if (largestHeapMb > limitMb * HEAP_TOLERANCE_FACTOR) return { kind: 'thread', heapMb: largestHeapMb };
  if (heapMb(budget) * HEAP_TOLERANCE_FACTOR < limitMb)
    return { kind: 'collect', beyondMb: budget.memoryMb * COLLECTION_START_FRACTION };
  return { kind: 'as it is' };
}

/** The old generation's limit in force, in megabytes; V8 counts the young generation with it. */
export function heapLimitMb(): number {
  return Math.round(v8.getHeapStatistics().heap_size_limit / BYTES_PER_MB) - MAX_YOUNG_GENERATION_MB;
}
