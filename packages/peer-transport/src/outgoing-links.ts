/** Links that this controller opens to its peers. This controller sends on them and receives nothing. */
import net from 'node:net';
import { interval, type Subscription } from 'rxjs';
import type { Peer } from './peer.js';

/** Interval of the attempts to reopen links that are down. */
const RECONNECT_MS = 500;

/** A connection that isn't established within this time, or a link that is idle for this time, is closed. */
const IDLE_TIMEOUT_MS = 3000;

/** Backpressure: a link with more unsent bytes than this gets no messages. */
const MAX_BACKLOG_BYTES = 256 * 1024;

/** Owns the sockets and the timer that reopens them. */
export class OutgoingLinks {
  private readonly sockets = new Map<string, net.Socket>();
  private reconnectTimer: Subscription | null = null;

  constructor(private readonly peers: readonly Peer[]) {}

  /** Opens links to all peers, and starts the timer. */
  start(): void {
    this.openMissingLinks();
    this.reconnectTimer = interval(RECONNECT_MS).subscribe(() => this.openMissingLinks());
  }

  /** Returns the link to a peer; null if it is down, or if its backlog is so large that a message would arrive outdated. */
  findReadyLink(peer: string): net.Socket | null {
    const socket = this.sockets.get(peer);
    return socket && !socket.connecting && socket.writableLength <= MAX_BACKLOG_BYTES ? socket : null;
  }

  /** Closes all links; no further ones are opened. */
  close(): void {
    this.reconnectTimer?.unsubscribe();
    for (const socket of this.sockets.values()) socket.destroy();
  }

  private openMissingLinks(): void {
    for (const peer of this.peers) if (!this.sockets.has(peer.name)) this.connect(peer);
  }

  private connect({ name, address }: Peer): void {
    const colon = address.lastIndexOf(':');
    const socket = net.connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)), noDelay: true });
    this.sockets.set(name, socket);
    socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.destroy());
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      if (this.sockets.get(name) === socket) this.sockets.delete(name);
    });
  }
}
