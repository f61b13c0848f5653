/**
 * The time up to which this controller knows every cancellation that any controller confirmed, as the peers' statuses prove.
 *
 * While no controller reaches the state service, none can confirm a new cancellation. Each status contains the revision of the
 * newest cancellation that its sender knows, and echoes a ping of the receiver, which proves that the status was made after that
 * ping was sent. Why this is sufficient: docs/design.md, "Who may answer workers, and how long".
 *
 * Owns the pings that were sent and received, and the times that each peer has proved.
 */
import type { PeerStatus } from '@archpost/protocol';
import type { Milliseconds } from '../model/index.js';

/** A ping older than this is discarded: the time that its echo would prove is too old to be of use. */
const PING_EXPIRY_MS = 60_000;

/** The status fields with which a controller proves to a peer how fresh its status is. */
export type PingAndEcho = Pick<PeerStatus, 'ping' | 'echo'>;

/** Tracks how fresh the known cancellations are, from the echoed pings in the statuses of all peers. */
export class CancellationFreshness {
  /** when each ping was sent, oldest first; echoed pings stay until they expire */
  private readonly pingSentAt = new Map<string, Milliseconds>();
  /** the last ping from each peer, which the next status to that peer echoes */
  private readonly receivedPings = new Map<string, string>();
  /** by peer: the time up to which it has proved that it confirmed no cancellation that is unknown to this controller */
  private readonly provenUntil = new Map<string, Milliseconds>();
  private pingCount = 0;

  /**
   * `peers`: the names of all other controllers. `incarnation`: that of this controller, which makes its pings differ from those
   * of earlier incarnations.
   */
  constructor(
    private readonly peers: readonly string[],
    private readonly incarnation: string,
  ) {}

  /**
   * Returns a new ping to the controller, and the echo of its last ping (empty if it sent none), for a status that is sent at
   * `now`.
   */
  pingAndEcho(controller: string, now: Milliseconds): PingAndEcho {
    const ping = `${this.incarnation}/${++this.pingCount}`;
    this.pingSentAt.set(ping, now);
    this.deleteExpiredPings(now);
    return { ping, echo: this.receivedPings.get(controller) ?? '' };
  }

  /** Records a status of a peer. `revision`: this controller knows all changes of the state service up to this revision. */
  recordStatus(status: PeerStatus, revision: number): void {
    this.receivedPings.set(status.node, status.ping);
    // The echo of an earlier incarnation's ping, or an empty echo, proves no time on the clock of this incarnation.
    const sentAt = this.pingSentAt.get(status.echo);
    if (sentAt === undefined || !status.replicaLoaded || status.cancellationRevision > revision) return;
    this.provenUntil.set(status.node, Math.max(sentAt, this.provenUntil.get(status.node) ?? sentAt));
  }

  /**
   * Returns the time up to which this controller knows every confirmed cancellation: `now` without peers, minus infinity while a
   * peer has proved nothing.
   */
  freshAsOf(now: Milliseconds): Milliseconds {
    let oldest = now;
    for (const peer of this.peers) oldest = Math.min(oldest, this.provenUntil.get(peer) ?? Number.NEGATIVE_INFINITY);
    return oldest;
  }

  private deleteExpiredPings(now: Milliseconds): void {
    for (const [ping, sentAt] of this.pingSentAt) {
      if (now - sentAt <= PING_EXPIRY_MS) break;
      this.pingSentAt.delete(ping);
    }
  }
}
