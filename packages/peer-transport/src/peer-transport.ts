/** The exchange of messages with the other controllers. */
import { encodePeerMessage, type PeerMessage } from '@archpost/protocol';
import { type Observable, Subject } from 'rxjs';
import { encodeFrame, MAX_FRAME_BYTES } from './frames.js';
import { IncomingLinks } from './incoming-links.js';
import { OutgoingLinks } from './outgoing-links.js';
import type { LinkProblem, Peer } from './peer.js';

/**
 * Each controller opens a link to every other and only sends on it; it receives on the links that the others open.
 * Messages are sent once and may be lost: a later one contains the same or something newer.
 */
export class PeerTransport {
  readonly message$: Observable<PeerMessage>;
  /** Names of peers whose link to this controller was closed. */
  readonly disconnected$: Observable<string>;
  /** Messages that were received and can not be read. */
  readonly unreadable$: Observable<LinkProblem>;
  /** Messages that were not sent since they are larger than a frame may be; emitted once for each peer. */
  readonly unsent$ = new Subject<LinkProblem>();
  private readonly incoming: IncomingLinks;
  private readonly outgoing: OutgoingLinks;
  private readonly reportedTooLarge = new Set<string>();

  /** `peers`: all other controllers; messages of anybody else are dropped. */
  constructor(peers: readonly Peer[]) {
    this.incoming = new IncomingLinks(peers);
    this.outgoing = new OutgoingLinks(peers);
    this.message$ = this.incoming.message$;
    this.disconnected$ = this.incoming.disconnected$;
    this.unreadable$ = this.incoming.unreadable$;
  }

  /** Resolves once peers can connect; rejects if the address can not be used. */
  listen(host: string, port: number): Promise<void> {
    return this.incoming.listen(host, port);
  }

  /** Opens links to all peers, and opens them again when they are closed. */
  start(): void {
    this.outgoing.start();
  }

  /** Sends to one peer, if its link is up and not behind. */
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
