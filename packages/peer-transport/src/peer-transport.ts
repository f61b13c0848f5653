/** The exchange of messages with peers, which are the other controllers. */
import { encodePeerMessage, type PeerMessage } from '@archpost/protocol';
import { type Observable, Subject } from 'rxjs';
import { encodeFrame, MAX_FRAME_BYTES } from './frames.js';
import { IncomingLinks } from './incoming-links.js';
import { OutgoingLinks } from './outgoing-links.js';
import type { LinkProblem, Peer } from './peer.js';

/**
 * Sends messages to peers and receives theirs. Each controller opens a link to every peer and only sends on it; it receives on
 * the links that its peers open. Messages are sent once and may be lost: a later one contains the same or newer information.
 */
export class PeerTransport {
  readonly message$: Observable<PeerMessage>;
  /** Emits the name of a peer when its link to this controller was closed. */
  readonly disconnected$: Observable<string>;
  /** Emits for each received message that is unreadable or has an unknown sender. */
  readonly unreadable$: Observable<LinkProblem>;
  /** Emits when a message was not sent because it exceeds MAX_FRAME_BYTES; only once for each peer. */
  readonly unsent$ = new Subject<LinkProblem>();
  private readonly incoming: IncomingLinks;
  private readonly outgoing: OutgoingLinks;
  /** peers for which `unsent$` has emitted */
  private readonly reportedTooLarge = new Set<string>();

  /** `peers`: all other controllers. Messages from any other sender are dropped. */
  constructor(peers: readonly Peer[]) {
    this.incoming = new IncomingLinks(peers);
    this.outgoing = new OutgoingLinks(peers);
    this.message$ = this.incoming.message$;
    this.disconnected$ = this.incoming.disconnected$;
    this.unreadable$ = this.incoming.unreadable$;
  }

  /** Starts to listen. Resolves once peers can connect; rejects if the address cannot be used. */
  listen(host: string, port: number): Promise<void> {
    return this.incoming.listen(host, port);
  }

  /** Opens links to all peers, and reopens them when they are closed. */
  start(): void {
    this.outgoing.start();
  }

  /** Sends a message to a peer. Drops the message if the peer's link is down or has too large a backlog. */
  send(message: PeerMessage, to: string): void {
    const link = this.outgoing.findReadyLink(to);
    if (!link) return;
    const body = encodePeerMessage(message);
    if (body.length <= MAX_FRAME_BYTES) link.write(encodeFrame(body));
    else this.reportTooLarge(to, body.length);
  }

  /** Closes all links, and ends all timers. */
  close(): void {
    this.outgoing.close();
    this.incoming.close();
  }

  private reportTooLarge(to: string, bytes: number): void {
    if (this.reportedTooLarge.has(to)) return;
    this.reportedTooLarge.add(to);
    this.unsent$.next({ peer: to, error: `a message of ${bytes} bytes is larger than a frame may be` });
  }
}
