/**
 * The heap that the settings' memory leaves room for. Node fixes it when it starts, by a flag that can't know the
 * settings, so a process with more memory runs the service in a thread whose heap is as large as it may be, and one
 * with less collects garbage before it reaches its limit.
 */
import v8 from 'node:v8';
import vm from 'node:vm';
import { Worker } from 'node:worker_threads';

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
const COLLECTION_START_FRACTION = 0.85;
const COLLECTION_CHECK_INTERVAL_MS = 5000;

/**
 * What a collection leaves is no garbage: the next one comes once the process holds this part of its memory more. A full
 * collection takes tens of milliseconds of processor, most of a second on a small share of a core.
 */
const COLLECTION_GROWTH_FRACTION = 0.04;

/** Node's young generation at its largest, as V8 counts it: three times 16 MB. */
const MAX_YOUNG_GENERATION_MB = 48;

const BYTES_PER_MB = 1024 * 1024;

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

/** Runs the program again in a thread with such a heap; the process ends as that thread does. */
export function runInThread(program: string, oldGenerationMb: number): void {
  // The flag counts for heaps that begin after it; a thread's own limits give way to it.
  v8.setFlagsFromString(`--max-old-space-size=${oldGenerationMb}`);
  const thread = new Worker(program, { argv: process.argv.slice(2) });
  thread.on('error', (error) => {
    process.stderr.write(`archpost: ${error.message}\n`);
    process.exit(1);
  });
  thread.on('exit', (code) => process.exit(code));
}

/** Says when collecting garbage is worth its price, by what the process held at each look. */
export class CollectionTrigger {
  /** what was left by the last collection */
  private retainedMb = 0;
  private wasJustCollected = false;

  constructor(
    private readonly thresholdMb: number,
    private readonly growthMb: number,
  ) {}

  /** Told what the process holds; true: garbage is to be collected now. */
  isDue(heldMb: number): boolean {
    if (this.wasJustCollected) {
      this.wasJustCollected = false;
      this.retainedMb = heldMb;
    }
    // What was given back since counts too: growth is measured from the least.
    this.retainedMb = Math.min(this.retainedMb, heldMb);
    if (heldMb <= Math.max(this.thresholdMb, this.retainedMb + this.growthMb)) return false;
    this.wasJustCollected = true;
    return true;
  }
}

/** Collects garbage, now and then, while the process grows beyond so many megabytes of its memory. */
export function startGarbageCollection(thresholdMb: number): NodeJS.Timeout {
  v8.setFlagsFromString('--expose-gc');
  const collect = vm.runInNewContext('gc') as () => void;
  const trigger = new CollectionTrigger(thresholdMb, (thresholdMb * COLLECTION_GROWTH_FRACTION) / COLLECTION_START_FRACTION);
  return setInterval(() => {
    if (trigger.isDue(process.memoryUsage.rss() / BYTES_PER_MB)) collect();
  }, COLLECTION_CHECK_INTERVAL_MS);
}
