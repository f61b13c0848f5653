/**
 * Local health: for how much of a time this controller could not have read what reached it. A failure detector that is itself
 * slow must not hold its own delay against others (the local health awareness of Lifeguard, an extension of SWIM). So a silence
 * counts only for the time in which what had arrived was read, and each decision that rests on a silence asks here.
 *
 * Owns the account of that time, of a bounded window. The measurements come in as inputs: how long the oldest input waits, by how
 * much a timer was late, and pauses of the process.
 */
import type { Logger } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';

/** A shorter lag is the ordinary jitter of a process that has the processor time that it needs. */
const ORDINARY_LAG_MS = 100;

/** Times that ended longer ago are forgotten: no silence is forgiven that far back. */
const WINDOW_MS = 120_000;

/** A time in which inputs that arrived were not read. */
interface UnreadTime {
  from: Milliseconds;
  until: Milliseconds;
  /** milliseconds of all earlier ones */
  beforeMs: Milliseconds;
}

/** Accounts for the time in which this controller fell behind its inputs. */
export class LocalHealth {
  /** in the order of time, apart from one another */
  private unreadTimes: UnreadTime[] = [];
  private hasLoggedImplausible = false;

  constructor(private readonly context: Logger) {}

  /**
   * What arrived within the last `lagMs` may not have been read by `now`. A measurement that can't be right (negative, not a
   * number, or longer than the time that is measured) is passed over, and the first such one is logged.
   */
  recordLag(lagMs: Milliseconds, now: Milliseconds): void {
    if (!(lagMs >= 0 && lagMs <= now)) return this.logImplausible(lagMs);
    if (lagMs <= ORDINARY_LAG_MS) return;
    this.addUnread(now - lagMs, now);
  }

  /** For how long, since the time, inputs that arrived may not have been read. */
  unreadMsSince(since: Milliseconds): Milliseconds {
    const last = this.unreadTimes.at(-1);
    if (last === undefined || since >= last.until) return 0;
    const totalMs = last.beforeMs + last.until - last.from;
    const { from, beforeMs } = this.firstEndingAfter(since);
    return totalMs - beforeMs - Math.max(0, since - from);
  }

  /** Intervals overlap, since the same input may wait through several measurements: they are merged. */
  private addUnread(from: Milliseconds, until: Milliseconds): void {
    if (from >= until) return;
    let mergedFrom = from;
    for (let last = this.unreadTimes.at(-1); last !== undefined && last.until >= from; last = this.unreadTimes.at(-1)) {
      mergedFrom = Math.min(mergedFrom, last.from);
      this.unreadTimes.pop();
    }
    const previous = this.unreadTimes.at(-1);
    const beforeMs = previous === undefined ? 0 : previous.beforeMs + previous.until - previous.from;
    this.unreadTimes.push({ from: mergedFrom, until, beforeMs });
    while (this.unreadTimes.length > 1 && (this.unreadTimes[0]?.until ?? until) < until - WINDOW_MS) this.unreadTimes.shift();
  }

  /** The caller makes sure that there is one. */
  private firstEndingAfter(time: Milliseconds): UnreadTime {
    let low = 0;
    let high = this.unreadTimes.length - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.unreadTimes[middle] as UnreadTime).until > time) high = middle;
      else low = middle + 1;
    }
    return this.unreadTimes[low] as UnreadTime;
  }

  private logImplausible(lagMs: Milliseconds): void {
    if (this.hasLoggedImplausible) return;
    this.hasLoggedImplausible = true;
    this.context.log('warn', 'implausible lag measurement', { lagMs: String(lagMs) });
  }
}
