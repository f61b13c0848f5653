/** Links that other controllers open to this one. This controller receives on them and sends nothing. */
import net from 'node:net';
import { decodePeerMessage, type PeerMessage } from '@archpost/protocol';
import { Subject } from 'rxjs';
import { FrameReader, FrameTooLargeError } from './frames.js';
import type { LinkProblem, Peer } from './peer.js';

/** A link is closed after this time without incoming data. */
const IDLE_TIMEOUT_MS = 10_000;

/** A message whose sender is not among the configured peers. */
class UnknownPeerError extends Error {
  readonly code = 'UNKNOWN_PEER';

  constructor(readonly peer: string) {
    super('unknown node');
  }
}

/** Owns the listening socket and the sockets that it accepted. */
export class IncomingLinks {
  readonly message$ = new Subject<PeerMessage>();
  /** Emits the name of a peer when its link was closed. */
  readonly disconnected$ = new Subject<string>();
  readonly unreadable$ = new Subject<LinkProblem>();
  private readonly sockets = new Set<net.Socket>();
  private server: net.Server | null = null;

  constructor(private readonly peers: readonly Peer[]) {}

  /** Starts to listen. Resolves once peers can connect; rejects if the address cannot be used. */
  listen(host: string, port: number): Promise<void> {
    const server = net.createServer((socket) => this.accept(socket));
    this.server = server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => resolve());
    });
  }

  /** Closes all links; no further ones are accepted. */
  close(): void {
    this.server?.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private accept(socket: net.Socket): void {
    const reader = new FrameReader();
    let peer: string | null = null;
    this.sockets.add(socket);
    socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.destroy());
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      this.sockets.delete(socket);
      if (peer !== null) this.disconnected$.next(peer);
    });
    socket.on('data', (chunk: Buffer) => {
      try {
        for (const body of reader.push(chunk)) peer = this.receive(body) ?? peer;
      } catch (error) {
        if (!(error instanceof FrameTooLargeError)) throw error;
        this.unreadable$.next({ peer: peer ?? `${socket.remoteAddress}`, error: error.message });
        socket.destroy();
      }
    });
  }

  /** Emits a message and returns its sender. Drops an unreadable one and returns null: the next message has its own frame. */
  private receive(body: Buffer): string | null {
    let message: PeerMessage;
    try {
      message = this.decode(body);
    } catch (error) {
      this.unreadable$.next({ peer: 'unknown', error: String(error) });
      return null;
    }
    this.message$.next(message);
    return message.node;
  }

  private decode(body: Buffer): PeerMessage {
    const message = decodePeerMessage(body);
    if (!this.peers.some((peer) => peer.name === message.node)) throw new UnknownPeerError(message.node);
    return message;
  }
}
