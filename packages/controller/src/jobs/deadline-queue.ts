/** Actions that run at a deadline. Owns the actions whose deadline hasn't passed. */
import type { Milliseconds } from '../model/index.js';

interface Deadline {
  at: Milliseconds;
  run: () => void;
}

/** A queue ordered by time. Of two actions with the same deadline, the one added first runs first. */
export class DeadlineQueue {
  private readonly deadlines: Deadline[] = [];

  /**
   * Runs `run` at the first tick at or after `at`. The insertion point is searched from the end, since most deadlines are later
   * than all those in the queue; only the deadline of a request that waited for a read barrier first is earlier.
   */
  add(at: Milliseconds, run: () => void): void {
    const index = this.deadlines.findLastIndex((deadline) => deadline.at <= at) + 1;
    this.deadlines.splice(index, 0, { at, run });
  }

  /** Removes and runs the actions whose deadline has been reached. */
  runDue(now: Milliseconds): void {
    for (let next = this.deadlines[0]; next !== undefined && next.at <= now; next = this.deadlines[0]) {
      this.deadlines.shift();
      next.run();
    }
  }
}
