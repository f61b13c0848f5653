/** Garbage collection for a process with less memory than its heap's limit, which V8 would let grow too far. */
import v8 from 'node:v8';
import vm from 'node:vm';
import { BYTES_PER_MB, COLLECTION_START_FRACTION } from './heap-plan.js';

const COLLECTION_CHECK_INTERVAL_MS = 5000;

/**
 * What a collection leaves is no garbage: the next one comes once the process holds this part of its memory more. A full
 * collection takes tens of milliseconds of processor, most of a second on a small share of a core.
 */
const COLLECTION_GROWTH_FRACTION = 0.04;

/** Says when collecting garbage is worth its price, by what the process held at each check. */
export class CollectionTrigger {
  /** the least that was held since the last collection */
  private retainedMb = 0;
  private wasJustCollected = false;

  /**
   * @param thresholdMb below this no garbage is collected
   * @param growthMb nor before the process holds so much more than a collection left
   */
  constructor(
    private readonly thresholdMb: number,
    private readonly growthMb: number,
  ) {}

  /** Takes what the process holds now; true: garbage is to be collected. */
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

/** Collects garbage, now and then, while the process holds more than its threshold. */
export class GarbageCollector {
  private readonly trigger: CollectionTrigger;
  private timer: NodeJS.Timeout | undefined;

  /** @param thresholdMb resident memory beyond which garbage is collected */
  constructor(thresholdMb: number) {
    const growthMb = (thresholdMb * COLLECTION_GROWTH_FRACTION) / COLLECTION_START_FRACTION;
    this.trigger = new CollectionTrigger(thresholdMb, growthMb);
  }

  start(): void {
    // Node shows its collector to contexts that are made after this flag is set.
    v8.setFlagsFromString('--expose-gc');
    const collect: () => void = vm.runInNewContext('gc');
    this.timer = setInterval(() => {
      if (this.trigger.isDue(process.memoryUsage.rss() / BYTES_PER_MB)) collect();
    }, COLLECTION_CHECK_INTERVAL_MS);
  }

  close(): void {
    clearInterval(this.timer);
  }
}
