/**
 * Local health: how much of a period this controller was behind its inputs, so that heartbeats may have arrived without being
 * read. A slow failure detector must not attribute its own delay to workers (the local health awareness of Lifeguard, an
 * extension of SWIM). A silence therefore counts only for the time in which arrived inputs were read, and decisions that rest on
 * a silence query that time here.
 *
 * Owns the intervals of unread inputs within a bounded window. The measurements arrive as inputs: the age of the oldest input
 * that waits, the delay of a timer, and pauses of the process.
 */
import type { Logger } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';

/** A shorter lag is ignored: it is normal jitter of a process that has sufficient CPU time. */
const MAX_IGNORED_LAG_MS = 100;

/** Intervals that ended longer ago are discarded: no delay that old is subtracted from a silence. */
const WINDOW_MS = 120_000;

/** An interval in which arrived inputs may not have been read. */
interface UnreadInterval {
  from: Milliseconds;
  until: Milliseconds;
  /** total length of all earlier intervals */
  earlierMs: Milliseconds;
}

/** Records the time in which this controller was behind its inputs. */
export class LocalHealth {
  /** in chronological order, without overlaps */
  private unreadIntervals: UnreadInterval[] = [];
  private hasLoggedImplausible = false;

  constructor(private readonly context: Logger) {}

  /**
   * Records that inputs that arrived within the last `lagMs` may not have been read by `now`. An implausible measurement
   * (negative, not a number, or greater than `now`) is skipped, and the first one is logged.
   */
  recordLag(lagMs: Milliseconds, now: Milliseconds): void {
    if (!(lagMs >= 0 && lagMs <= now)) return this.logImplausible(lagMs);
    if (lagMs <= MAX_IGNORED_LAG_MS) return;
    this.addUnread(now - lagMs, now);
  }

  /** Returns for how long since `since` arrived inputs may not have been read. */
  unreadMsSince(since: Milliseconds): Milliseconds {
    const last = this.unreadIntervals.at(-1);
    if (last === undefined || since >= last.until) return 0;
    const totalMs = last.earlierMs + last.until - last.from;
    const { from, earlierMs } = this.firstEndingAfter(since);
    return totalMs - earlierMs - Math.max(0, since - from);
  }

  /** Adds an interval, merging overlapping ones: the same input may wait through several measurements. */
  private addUnread(from: Milliseconds, until: Milliseconds): void {
    if (from >= until) return;
    let mergedFrom = from;
    for (let last = this.unreadIntervals.at(-1); last !== undefined && last.until >= from; last = this.unreadIntervals.at(-1)) {
      mergedFrom = Math.min(mergedFrom, last.from);
      this.unreadIntervals.pop();
    }
    const previous = this.unreadIntervals.at(-1);
    const earlierMs = previous === undefined ? 0 : previous.earlierMs + previous.until - previous.from;
    this.unreadIntervals.push({ from: mergedFrom, until, earlierMs });
    while (this.unreadIntervals.length > 1 && (this.unreadIntervals[0]?.until ?? until) < until - WINDOW_MS)
      this.unreadIntervals.shift();
  }

  /** Returns the first interval that ends after `time`. The caller ensures that there is one. */
  private firstEndingAfter(time: Milliseconds): UnreadInterval {
    let low = 0;
    let high = this.unreadIntervals.length - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.unreadIntervals[middle] as UnreadInterval).until > time) high = middle;
      else low = middle + 1;
    }
    return this.unreadIntervals[low] as UnreadInterval;
  }

  private logImplausible(lagMs: Milliseconds): void {
    if (this.hasLoggedImplausible) return;
    this.hasLoggedImplausible = true;
    this.context.log('warn', 'implausible lag measurement', { lagMs: String(lagMs) });
  }
}
