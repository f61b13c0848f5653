/** Early garbage collection, for a process whose memory limit is lower than the heap limit of V8. */
import v8 from 'node:v8';
import vm from 'node:vm';
import { BYTES_PER_MB, COLLECTION_START_FRACTION } from './heap-plan.js';

const COLLECTION_CHECK_INTERVAL_MS = 5000;

/**
 * Growth since the last collection, as a fraction of the memory limit, that triggers the next one. Memory that the last
 * collection retained is no garbage, and a full collection takes tens of milliseconds of CPU time, which is most of a second
 * on a small fraction of a core.
 */
const COLLECTION_GROWTH_FRACTION = 0.04;

/** Decides when a collection is worth its cost, from the process's resident memory at each check. */
export class CollectionTrigger {
  /** lowest resident memory since the last collection */
  private retainedMb = 0;
  private wasJustCollected = false;

  /**
   * @param thresholdMb no collection is due up to this resident memory
   * @param growthMb no collection is due up to this growth since the last one
   */
  constructor(
    private readonly thresholdMb: number,
    private readonly growthMb: number,
  ) {}

  /** Returns whether to collect now. The caller must collect whenever this returns true. */
  isDue(residentMb: number): boolean {
    if (this.wasJustCollected) {
      this.wasJustCollected = false;
      this.retainedMb = residentMb;
    }
    // The collector may release memory with a delay, so growth is measured from the lowest value.
    this.retainedMb = Math.min(this.retainedMb, residentMb);
    if (residentMb <= Math.max(this.thresholdMb, this.retainedMb + this.growthMb)) return false;
    this.wasJustCollected = true;
    return true;
  }
}

/** Checks the resident memory periodically, and collects garbage while it exceeds a threshold and grows. */
export class GarbageCollector {
  private readonly trigger: CollectionTrigger;
  private timer: NodeJS.Timeout | undefined;

  /** @param thresholdMb resident memory above which garbage is collected */
  constructor(thresholdMb: number) {
    const growthMb = (thresholdMb * COLLECTION_GROWTH_FRACTION) / COLLECTION_START_FRACTION;
    this.trigger = new CollectionTrigger(thresholdMb, growthMb);
  }

  /** Starts the periodic checks. */
  start(): void {
    // V8 exposes `gc` only in contexts that are created after this flag is set.
    v8.setFlagsFromString('--expose-gc');
    const collect: () => void = vm.runInNewContext('gc');
    this.timer = setInterval(() => {
      if (this.trigger.isDue(process.memoryUsage.rss() / BYTES_PER_MB)) collect();
    }, COLLECTION_CHECK_INTERVAL_MS);
  }

  /** Stops the periodic checks. */
  close(): void {
    clearInterval(this.timer);
  }
}
