/** The links between controllers. */
import net from 'node:net';
import { decodePeerMessage, encodePeerMessage, type PeerMessage } from '@archpost/protocol';
import { interval, Subject, type Subscription } from 'rxjs';
import { encodeFrame, FrameReader, FrameTooLargeError, MAX_FRAME_BYTES } from './frames.js';

export * from './frames.js';

/** A link that isn't there is dialled again this often. */
const RECONNECT_MS = 500;

/** A dial that hangs, or a link that takes nothing any more, is given up after this long. */
const OUTGOING_TIMEOUT_MS = 3000;

/** A link on which nothing comes is closed after this long. */
const IDLE_TIMEOUT_MS = 10_000;

/** A link on which so much waits is behind: it gets nothing more until it has caught up. */
const MAX_BACKLOG_BYTES = 256 * 1024;

/** Another controller: its name, and where it listens. */
export interface Peer {
  name: string;
  addr: string;
}

/** A message that can't be taken or sent, and whose or to whom it was. */
export interface LinkProblem {
  peer: string;
  error: string;
}

/**
 * Each controller dials all others and only speaks on the links it dialled; what it hears comes on those that
 * others dialled.
 */
export class PeerTransport {
  readonly message$ = new Subject<PeerMessage>();
  readonly disconnected$ = new Subject<string>();
  readonly unreadable$ = new Subject<LinkProblem>();
  /** a message that is larger than a frame may be, told once for each controller */
  readonly unsent$ = new Subject<LinkProblem>();
  private server: net.Server | null = null;
  private reconnectTimer: Subscription | null = null;
  private readonly incoming = new Set<net.Socket>();
  private readonly outgoing = new Map<string, net.Socket>();
  private readonly reportedTooLarge = new Set<string>();

  constructor(private readonly others: Peer[]) {}

  listen(host: string, port: number): Promise<void> {
    const server = net.createServer((socket) => this.accept(socket));
    this.server = server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => resolve());
    });
  }

  start(): void {
    for (const peer of this.others) this.connect(peer);
    this.reconnectTimer = interval(RECONNECT_MS).subscribe(() => {
      for (const peer of this.others) if (!this.outgoing.has(peer.name)) this.connect(peer);
    });
  }

  /** Closes all links; nothing is dialled any more. */
  close(): void {
    this.reconnectTimer?.unsubscribe();
    this.server?.close();
    for (const socket of [...this.outgoing.values(), ...this.incoming]) socket.destroy();
  }

  private connect({ name, addr: address }: Peer): void {
    const separator = address.lastIndexOf(':');
    const socket = net.connect({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)), noDelay: true });
    this.outgoing.set(name, socket);
    socket.setTimeout(OUTGOING_TIMEOUT_MS, () => socket.destroy());
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      if (this.outgoing.get(name) === socket) this.outgoing.delete(name);
    });
  }

  private accept(socket: net.Socket): void {
    const reader = new FrameReader();
    let peer: string | null = null;
    this.incoming.add(socket);
    socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.destroy());
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      this.incoming.delete(socket);
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

  /** Hands on a message; one that can't be read is dropped, and what comes after it begins at its own frame. */
  private receive(body: Buffer): string | null {
    let message: PeerMessage;
    try {
      message = decodePeerMessage(body);
      if (!this.others.some((peer) => peer.name === message.node)) throw new Error('unknown node');
    } catch (error) {
      this.unreadable$.next({ peer: 'unknown', error: String(error) });
      return null;
    }
    this.message$.next(message);
    return message.node;
  }

  /** Sends to one controller. */
  send(message: PeerMessage, to: string): void {
    const socket = this.outgoing.get(to);
    // Old news help nobody: a link that is behind gets none until it has caught up.
    if (!socket || socket.connecting || socket.writableLength > MAX_BACKLOG_BYTES) return;
    const body = encodePeerMessage(message);
    if (body.length <= MAX_FRAME_BYTES) socket.write(encodeFrame(body));
    else this.reportTooLarge(to, body.length);
  }

  private reportTooLarge(to: string, bytes: number): void {
    if (this.reportedTooLarge.has(to)) return;
    this.reportedTooLarge.add(to);
    this.unsent$.next({ peer: to, error: `a message of ${bytes} bytes is larger than a frame may be` });
  }
}
