/**
 * Plans the heap size for the memory limit in the settings. Node sets its heap limit at the start, from a flag that doesn't
 * depend on the settings. If the memory limit allows a larger heap, the service runs in a thread with a larger heap. If the
 * memory limit is too low for the heap limit, the process collects garbage before it reaches the memory limit.
 */
import v8 from 'node:v8';

/** Memory of a process with the program loaded, excluding the heap. */
const PROCESS_OVERHEAD_MB = 46;

/** Additional memory of a second thread, including the program that the main thread has loaded. */
const THREAD_OVERHEAD_MB = 20;

/** Memory of a fully used young generation. */
const YOUNG_GENERATION_MB = 32;

/** Memory of a connection outside the heap, including buffers. */
const KB_PER_SOCKET = 17;

/** A heap limit within this factor of the planned one is left unchanged. */
const HEAP_TOLERANCE_FACTOR = 1.1;

/** A process whose memory limit is lower than its heap limit collects garbage above this fraction of the memory limit. */
export const COLLECTION_START_FRACTION = 0.85;

/** Maximum size of Node's young generation, as V8 counts it: three times 16 MB. */
const MAX_YOUNG_GENERATION_MB = 48;

/** Bytes of a megabyte, as the settings and V8 count it. */
export const BYTES_PER_MB = 1024 * 1024;

/** The resource limits of the process. */
export interface MemoryBudget {
  /** total memory, in megabytes */
  memoryMb: number;
  /** maximum number of open connections */
  sockets: number;
}

/** Returns the megabytes that the process itself and its sockets leave for the old generation. */
export function heapMb({ memoryMb, sockets }: MemoryBudget): number {
  return Math.floor(memoryMb - PROCESS_OVERHEAD_MB - (sockets * KB_PER_SOCKET) / 1024);
}

/** Like `heapMb`, for a service that runs in a thread of its own. */
export function threadHeapMb(budget: MemoryBudget): number {
  return heapMb(budget) - THREAD_OVERHEAD_MB - YOUNG_GENERATION_MB;
}

/** How to run the service, given the heap limit that Node started with. It is logged unchanged. */
export type HeapPlan =
  | { kind: 'as it is' }
  /** run it in a thread whose old generation has this limit */
  | { kind: 'thread'; heapMb: number }
  /** run it in this thread, and collect garbage while the resident memory exceeds `beyondMb` */
  | { kind: 'collect'; beyondMb: number };

/**
 * Plans how to run the service.
 *
 * @param limitMb the current limit of the old generation
 */
export function planHeap(budget: MemoryBudget, limitMb: number): HeapPlan {
  const largestHeapMb = threadHeapMb(budget);
  if (largestHeapMb > limitMb * HEAP_TOLERANCE_FACTOR) return { kind: 'thread', heapMb: largestHeapMb };
  if (heapMb(budget) * HEAP_TOLERANCE_FACTOR < limitMb)
    return { kind: 'collect', beyondMb: budget.memoryMb * COLLECTION_START_FRACTION };
  return { kind: 'as it is' };
}

/** Returns the current limit of the old generation, in megabytes. V8's heap limit includes the young generation. */
export function heapLimitMb(): number {
  return Math.round(v8.getHeapStatistics().heap_size_limit / BYTES_PER_MB) - MAX_YOUNG_GENERATION_MB;
}
