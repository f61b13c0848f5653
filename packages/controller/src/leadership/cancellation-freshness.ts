/**
 * Since when no controller can have confirmed a cancellation that isn't known here, by what the others' statuses prove.
 *
 * While no controller reaches the state service, none can confirm a new cancellation. Each controller says so by naming the
 * revision of the newest one that it knows, and by sending back a ping of the receiver's, which proves that it said so after
 * that ping had left. Why that is enough: docs/design.md, "Who may answer workers, and how long".
 *
 * Owns the pings that were sent and received, and what each of the other controllers has proved.
 */
import type { PeerStatus } from '@archpost/protocol';
import type { Milliseconds } from '../model/index.js';

/** A ping that wasn't echoed for so long is forgotten: it would prove nothing of use any more. */
const PING_EXPIRY_MS = 60_000;

/** The fields of a status by which two controllers prove how fresh their knowledge is. */
export type PingAndEcho = Pick<PeerStatus, 'ping' | 'echo'>;

/** How fresh the known cancellations are, by the acknowledgements of all other controllers. */
export class CancellationFreshness {
  /** when each ping left, the oldest first; those that were echoed stay until they expire */
  private readonly pingSentAt = new Map<string, Milliseconds>();
  /** the last ping that came from each of the others: the echo that is due to it */
  private readonly receivedPings = new Map<string, string>();
  /** until when each of the others has proved that it confirmed nothing that isn't known here */
  private readonly provenUntil = new Map<string, Milliseconds>();
  private pingCount = 0;

  /** `peers`: the names of all other controllers. `incarnation`: of this one; it makes its pings differ from earlier ones'. */
  constructor(
    private readonly peers: readonly string[],
    private readonly incarnation: string,
  ) {}

  /** A new ping to the controller, and the echo of its last one (empty if it sent none), for a status that leaves now. */
  pingAndEcho(controller: string, now: Milliseconds): PingAndEcho {
    const ping = `${this.incarnation}/${++this.pingCount}`;
    this.pingSentAt.set(ping, now);
    this.forgetExpiredPings(now);
    return { ping, echo: this.receivedPings.get(controller) ?? '' };
  }

  /** A status came from another controller. `revision`: all changes of the state service up to it are known here. */
  recordStatus(status: PeerStatus, revision: number): void {
    this.receivedPings.set(status.node, status.ping);
    // A ping of an earlier incarnation, or an empty one, proves nothing about the clock of this one.
    const sentAt = this.pingSentAt.get(status.echo);
    if (sentAt === undefined || !status.replicaLoaded || status.cancellationRevision > revision) return;
    this.provenUntil.set(status.node, Math.max(sentAt, this.provenUntil.get(status.node) ?? sentAt));
  }

  /** Until when all others have proved it: `now` without others, and minus infinity while one of them has proved nothing. */
  freshAsOf(now: Milliseconds): Milliseconds {
    let oldest = now;
    for (const peer of this.peers) oldest = Math.min(oldest, this.provenUntil.get(peer) ?? Number.NEGATIVE_INFINITY);
    return oldest;
  }

  private forgetExpiredPings(now: Milliseconds): void {
    for (const [ping, sentAt] of this.pingSentAt) {
      if (now - sentAt <= PING_EXPIRY_MS) break;
      this.pingSentAt.delete(ping);
    }
  }
}
