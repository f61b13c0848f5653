/** What is to be done at a time, unless it was done before. Owns the deadlines that have not passed. */
import type { Milliseconds } from '../model/index.js';

interface Deadline {
  at: Milliseconds;
  run: () => void;
}

/** Deadlines in the order of their times: of two at the same time the one added first runs first. */
export class DeadlineQueue {
  private readonly deadlines: Deadline[] = [];

  /** Most are later than all others, so the place is looked for from the end. A request that waited for a read first has less left. */
  add(at: Milliseconds, run: () => void): void {
    const index = this.deadlines.findLastIndex((deadline) => deadline.at <= at) + 1;
    this.deadlines.splice(index, 0, { at, run });
  }

  /** Runs, and removes, those whose time has come. */
  runDue(now: Milliseconds): void {
    for (let next = this.deadlines[0]; next !== undefined && next.at <= now; next = this.deadlines[0]) {
      this.deadlines.shift();
      next.run();
    }
  }
}
