/** The links between controllers. */
import net from 'node:net';
import { decodePeerMessage, encodePeerMessage, type PeerMessage } from '@archpost/protocol';
import { interval, Subject, type Subscription } from 'rxjs';
import { encodeFrame, FrameReader, FrameTooLarge, MAX_FRAME_BYTES } from './frames.js';

export * from './frames.js';

/** A link that isn't there is dialled again this often. */
const REDIAL_MS = 500;

/** A dial that hangs, or a link that takes nothing any more, is given up after this long. */
const DIAL_MS = 3000;

/** A link on which nothing comes is closed after this long. */
const SILENT_MS = 10_000;

/** A link on which so much waits is behind: it gets nothing more until it has caught up. */
const BEHIND_BYTES = 256 * 1024;

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
export class Peers {
  readonly message$ = new Subject<PeerMessage>();
  readonly down$ = new Subject<string>();
  readonly unreadable$ = new Subject<LinkProblem>();
  /** a message that is larger than a frame may be, told once for each controller */
  readonly unsent$ = new Subject<LinkProblem>();
  private server: net.Server | null = null;
  private redial: Subscription | null = null;
  private readonly accepted = new Set<net.Socket>();
  private readonly out = new Map<string, net.Socket>();
  private readonly tooLargeTold = new Set<string>();

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
    for (const peer of this.others) this.dial(peer);
    this.redial = interval(REDIAL_MS).subscribe(() => {
      for (const peer of this.others) if (!this.out.has(peer.name)) this.dial(peer);
    });
  }

  /** Closes all links; nothing is dialled any more. */
  close(): void {
    this.redial?.unsubscribe();
    this.server?.close();
    for (const socket of [...this.out.values(), ...this.accepted]) socket.destroy();
  }

  private dial({ name, addr: address }: Peer): void {
    const cut = address.lastIndexOf(':');
    const socket = net.connect({ host: address.slice(0, cut), port: Number(address.slice(cut + 1)), noDelay: true });
    this.out.set(name, socket);
    socket.setTimeout(DIAL_MS, () => socket.destroy());
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      if (this.out.get(name) === socket) this.out.delete(name);
    });
  }

  private accept(socket: net.Socket): void {
    const reader = new FrameReader();
    let peer: string | null = null;
    this.accepted.add(socket);
    socket.setTimeout(SILENT_MS, () => socket.destroy());
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      this.accepted.delete(socket);
      if (peer !== null) this.down$.next(peer);
    });
    socket.on('data', (chunk: Buffer) => {
      try {
        for (const body of reader.push(chunk)) peer = this.take(body) ?? peer;
      } catch (error) {
        if (!(error instanceof FrameTooLarge)) throw error;
        this.unreadable$.next({ peer: peer ?? `${socket.remoteAddress}`, error: error.message });
        socket.destroy();
      }
    });
  }

  /** Hands on a message; one that can't be read is dropped, and what comes after it begins at its own frame. */
  private take(body: Buffer): string | null {
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
    const socket = this.out.get(to);
    // Old news help nobody: a link that is behind gets none until it has caught up.
    if (!socket || socket.connecting || socket.writableLength > BEHIND_BYTES) return;
    const body = encodePeerMessage(message);
    if (body.length <= MAX_FRAME_BYTES) socket.write(encodeFrame(body));
    else this.tooLarge(to, body.length);
  }

  private tooLarge(to: string, bytes: number): void {
    if (this.tooLargeTold.has(to)) return;
    this.tooLargeTold.add(to);
    this.unsent$.next({ peer: to, error: `a message of ${bytes} bytes is larger than a frame may be` });
  }
}
