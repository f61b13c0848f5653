import v8 from 'node:v8';
import vm from 'node:vm';
import { BYTES_PER_MB, COLLECTION_START_FRACTION } from './heap-plan.js';

const COLLECTION_CHECK_INTERVAL_MS = 5000;

/**
 * What a collection leaves is no garbage: the next one comes once the process holds this part of its memory more. A full
 * collection takes tens of milliseconds of processor, most of a second on a small share of a core.
 */
const COLLECTION_GROWTH_FRACTION = 0.04;

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
