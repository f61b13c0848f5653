/** Actions that run at a deadline. Owns those whose deadline hasn't passed. */
import type { Milliseconds } from '../model/index.js';

interface Deadline {
  at: Milliseconds;
  run: () => void;
}

/** A queue ordered by time: of two actions with the same deadline the one added first runs first. */
export class DeadlineQueue {
  private readonly deadlines: Deadline[] = [];

  /**
   * Runs `run` at the first tick from `at` on. The place is searched from the end, since most deadlines are later than all
   * others; a request that waited for a read barrier before has an earlier one.
   */
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
