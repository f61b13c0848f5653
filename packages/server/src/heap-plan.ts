/**
 * The heap that the settings' memory leaves room for. Node fixes it when it starts, by a flag that can't know the
 * settings, so a process with more memory runs the service in a thread whose heap is as large as it may be, and one
 * with less collects garbage before it reaches its limit.
 */
import v8 from 'node:v8';

/** Measured: a process with the program loaded, without its heap. */
const PROCESS_OVERHEAD_MB = 46;

/** Measured: what a second thread and the program that the first one loaded take, and a young generation in full use. */
const THREAD_OVERHEAD_MB = 20;
const YOUNG_GENERATION_MB = 32;

/** What a connection takes outside the heap, buffers included. */
const KB_PER_SOCKET = 17;

/** A heap is as it should be if it is within this factor of it. */
const HEAP_TOLERANCE_FACTOR = 1.1;

/** A process with too little memory for its heap's limit collects garbage beyond this part of its memory. */
export const COLLECTION_START_FRACTION = 0.85;

/** Node's young generation at its largest, as V8 counts it: three times 16 MB. */
const MAX_YOUNG_GENERATION_MB = 48;

export const BYTES_PER_MB = 1024 * 1024;

/** What the process may use. */
export interface MemoryBudget {
  memoryMb: number;
  sockets: number;
}

/** Megabytes of the old generation that are left when sockets and the process itself have theirs. */
export function heapMb({ memoryMb, sockets }: MemoryBudget): number {
  return Math.floor(memoryMb - PROCESS_OVERHEAD_MB - (sockets * KB_PER_SOCKET) / 1024);
}

/** The same for the service in a thread of its own. */
export function threadHeapMb(settings: MemoryBudget): number {
  return heapMb(settings) - THREAD_OVERHEAD_MB - YOUNG_GENERATION_MB;
}

/** How the service is to run, given the heap that Node started with. */
export type HeapPlan = { kind: 'as it is' } | { kind: 'thread'; heapMb: number } | { kind: 'collect'; beyondMb: number };

/** `limitMb`: the old generation's limit that is in force. */
export function planHeap(settings: MemoryBudget, limitMb: number): HeapPlan {
  const inThread = threadHeapMb(settings);
  if (inThread > limitMb * HEAP_TOLERANCE_FACTOR) return { kind: 'thread', heapMb: inThread };
  if (heapMb(settings) * HEAP_TOLERANCE_FACTOR < limitMb)
    return { kind: 'collect', beyondMb: settings.memoryMb * COLLECTION_START_FRACTION };
  return { kind: 'as it is' };
}

/** The old generation's limit in force; the young one is counted with it in what V8 tells. */
export function heapLimitMb(): number {
  return Math.round(v8.getHeapStatistics().heap_size_limit / BYTES_PER_MB) - MAX_YOUNG_GENERATION_MB;
}
