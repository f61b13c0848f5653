import type { PeerStatus } from '@archpost/protocol';
import type { Milliseconds } from '../model/index.js';

/** A ping that wasn't sent back for so long never is. */
const PING_EXPIRY_MS = 60_000;

/**
 * Since when no controller can have told a user of a cancellation that isn't known here, by what the others
 * say of themselves. While the state service is away for all nobody can confirm a new one; each says so by
 * naming the newest that it knows of, and by sending back a ping of ours, which proves that it said so
 * after that ping left. Why that is enough: docs/design.md, "Who may answer workers, and how long".
 */
export class CancellationFreshness {
  /** when a ping left that has not come back yet, or lately has */
  private readonly sentPings = new Map<string, Milliseconds>();
  /** the last ping that came from each of the others */
  private readonly lastPings = new Map<string, string>();
  /** until when each of the others vouches that it confirmed nothing that isn't known here */
  private readonly freshUntil = new Map<string, Milliseconds>();
  private pingCount = 0;

  constructor(
    private readonly others: readonly string[],
    private readonly incarnation: string,
  ) {}

  /** What a status to another controller says for its sake. */
  pingAndEcho(controller: string, now: Milliseconds): { ping: string; echo: string } {
    const ping = `${this.incarnation}/${++this.pingCount}`;
    this.sentPings.set(ping, now);
    for (const [old, at] of this.sentPings) {
      if (now - at <= PING_EXPIRY_MS) break;
      this.sentPings.delete(old);
    }
    return { ping, echo: this.lastPings.get(controller) ?? '' };
  }

  /** `revision`: all changes up to it are known here. */
  statusReceived(status: PeerStatus, revision: number): void {
    this.lastPings.set(status.node, status.ping);
    // A ping of an earlier process of ours, or of nobody, proves nothing about this one's clock.
    const at = this.sentPings.get(status.echo);
    if (at === undefined || !status.replicaLoaded || status.cancellationRevision > revision) return;
    this.freshUntil.set(status.node, Math.max(at, this.freshUntil.get(status.node) ?? at));
  }

  freshSince(now: Milliseconds): Milliseconds {
    let all = now;
    for (const controller of this.others) all = Math.min(all, this.freshUntil.get(controller) ?? Number.NEGATIVE_INFINITY);
    return all;
  }
}
