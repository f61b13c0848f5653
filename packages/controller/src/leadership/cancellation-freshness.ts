import type { PeerStatus } from '@archpost/protocol';
import type { Ms } from '../model/index.js';

/** A ping that wasn't sent back for so long never is. */
const PING_MS = 60_000;

/**
 * Since when no controller can have told a user of a cancellation that isn't known here, by what the others
 * say of themselves. While the state service is away for all nobody can confirm a new one; each says so by
 * naming the newest that it knows of, and by sending back a ping of ours, which proves that it said so
 * after that ping left. Why that is enough: docs/design.md, "Who may answer workers, and how long".
 */
export class Vouching {
  /** when a ping left that has not come back yet, or lately has */
  private readonly sent = new Map<string, Ms>();
  /** the last ping that came from each of the others */
  private readonly pings = new Map<string, string>();
  /** until when each of the others vouches that it confirmed nothing that isn't known here */
  private readonly until = new Map<string, Ms>();
  private count = 0;

  constructor(
    private readonly others: readonly string[],
    private readonly boot: string,
  ) {}

  /** What a status to another controller says for its sake. */
  toTell(node: string, now: Ms): { ping: string; echo: string } {
    const ping = `${this.boot}/${++this.count}`;
    this.sent.set(ping, now);
    for (const [old, at] of this.sent) {
      if (now - at <= PING_MS) break;
      this.sent.delete(old);
    }
    return { ping, echo: this.pings.get(node) ?? '' };
  }

  /** `revision`: all changes up to it are known here. */
  heard(status: PeerStatus, revision: number): void {
    this.pings.set(status.node, status.ping);
    // A ping of an earlier process of ours, or of nobody, proves nothing about this one's clock.
    const at = this.sent.get(status.echo);
    if (at === undefined || !status.loaded || status.cancelStamp > revision) return;
    this.until.set(status.node, Math.max(at, this.until.get(status.node) ?? at));
  }

  since(now: Ms): Ms {
    let all = now;
    for (const node of this.others) all = Math.min(all, this.until.get(node) ?? Number.NEGATIVE_INFINITY);
    return all;
  }
}
