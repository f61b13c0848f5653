/** Counts the submissions that are refused as malformed, for the log. Owns the counts and the time of the last log line. */
import type { Logger } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';

const LOG_INTERVAL_MS = 10_000;

/** What is malformed: the body, the text in it, its content as the state service sees it, or a field of this name. */
export type MalformedPart = 'body' | 'text' | 'content' | { field: string };

/** Logs the counts at the end of each interval in which a submission was refused. The log has no content of a body. */
export class RefusedSubmissions {
  private readonly counts = new Map<string, number>();
  private loggedAt: Milliseconds = 0;

  constructor(private readonly logger: Logger) {}

  /** Counts a refused submission. A field is counted by its name; the index of an element in it is left out. */
  count(part: MalformedPart): void {
    const name = typeof part === 'string' ? part : `field ${part.field.split('.')[0]}`;
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }

  /** Logs the counts if the interval has passed, and resets them. */
  tick(now: Milliseconds): void {
    if (this.counts.size === 0 || now - this.loggedAt < LOG_INTERVAL_MS) return;
    this.loggedAt = now;
    this.logger.log('warn', 'malformed submissions refused', { counts: Object.fromEntries(this.counts) });
    this.counts.clear();
  }
}
