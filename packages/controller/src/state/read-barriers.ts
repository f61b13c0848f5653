/** What waits for a reading of the state service that is newer than the moment when it began to wait. */
import type { Ms } from '../model/index.js';

interface Waiting {
  from: Ms;
  run: (now: Ms) => void;
  until: Ms;
  late: (() => void) | undefined;
}

export class Barriers {
  private waiting: Waiting[] = [];

  get size(): number {
    return this.waiting.length;
  }

  /** Runs `run` once a newer reading is in, or `late` if none is by `until`. */
  add(from: Ms, run: (now: Ms) => void, until: Ms, late: (() => void) | undefined): void {
    this.waiting.push({ from, run, until, late });
  }

  /** All changes up to `asOf` have been read. */
  fresh(asOf: Ms, now: Ms): void {
    const due = this.waiting.filter((waiting) => waiting.from <= asOf);
    if (due.length === 0) return;
    this.waiting = this.waiting.filter((waiting) => waiting.from > asOf);
    for (const waiting of due) waiting.run(now);
  }

  /** Gives up on what has waited too long. */
  expire(now: Ms): void {
    const late = this.waiting.filter((waiting) => now > waiting.until);
    if (late.length === 0) return;
    this.waiting = this.waiting.filter((waiting) => now <= waiting.until);
    for (const waiting of late) waiting.late?.();
  }
}
