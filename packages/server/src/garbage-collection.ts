/** Early garbage collection, for a process whose memory is smaller than the heap that V8 would let grow. */
import v8 from 'node:v8';
import vm from 'node:vm';
import { BYTES_PER_MB, COLLECTION_START_FRACTION } from './heap-plan.js';

const COLLECTION_CHECK_INTERVAL_MS = 5000;

/**
 * The next collection comes once the process has grown by this part of its memory, since what the last one retained is no
 * garbage. A full collection takes tens of milliseconds of processor, most of a second on a small part of a core.
 */
const COLLECTION_GROWTH_FRACTION = 0.04;

/** Decides when a collection is worth its cost, by the memory that the process holds at each check. */
export class CollectionTrigger {
  /** the least that was held since the last collection */
  private retainedMb = 0;
  private wasJustCollected = false;

  /**
   * @param thresholdMb memory below which garbage isn't collected
   * @param growthMb growth since the last collection below which it isn't either
   */
  constructor(
    private readonly thresholdMb: number,
    private readonly growthMb: number,
  ) {}

  /** Whether to collect now; the caller collects whenever this is true. */
  isDue(residentMb: number): boolean {
    if (this.wasJustCollected) {
      this.wasJustCollected = false;
      this.retainedMb = residentMb;
    }
    // Memory may be released later than at the collection: growth is measured from the least.
    this.retainedMb = Math.min(this.retainedMb, residentMb);
    if (residentMb <= Math.max(this.thresholdMb, this.retainedMb + this.growthMb)) return false;
    this.wasJustCollected = true;
    return true;
  }
}

/** Collects garbage from time to time while the process holds more than a threshold. */
export class GarbageCollector {
  private readonly trigger: CollectionTrigger;
  private timer: NodeJS.Timeout | undefined;

  /** @param thresholdMb resident memory beyond which garbage is collected */
  constructor(thresholdMb: number) {
    const growthMb = (thresholdMb * COLLECTION_GROWTH_FRACTION) / COLLECTION_START_FRACTION;
    this.trigger = new CollectionTrigger(thresholdMb, growthMb);
  }

  /** Starts the periodic checks. */
  start(): void {
    // V8 exposes its collector to contexts that are created after this flag is set.
    v8.setFlagsFromString('--expose-gc');
    const collect: () => void = vm.runInNewContext('gc');
    this.timer = setInterval(() => {
      if (this.trigger.isDue(process.memoryUsage.rss() / BYTES_PER_MB)) collect();
    }, COLLECTION_CHECK_INTERVAL_MS);
  }

  /** Ends the periodic checks. */
  close(): void {
    clearInterval(this.timer);
  }
}
