/**
 * How many connections are open from users and workers, and whose may stay open. With fewer sockets than workers and
 * users, those that are answered give theirs back: users' first, then workers', whose heartbeats come before all else.
 */
import type net from 'node:net';

/** Who is answered. */
export type ClientKind = 'user' | 'worker';

/** Beyond this part of the limit a connection of such a client is closed once it is answered. */
const KEEP_ALIVE_FRACTION: Readonly<Record<ClientKind, number>> = { user: 0.9, worker: 0.95 };

/** Counts the connections of one server and holds them below a limit. */
export class ConnectionLimiter {
  private openConnections = 0;
  private rejectedConnections = 0;

  /** @param limit connections that may be open at once; infinite: no limit */
  constructor(private readonly limit: number) {}

  /** Beyond the limit new connections are closed at once: what this process opens itself needs the other sockets. */
  attach(server: net.Server): void {
    if (Number.isFinite(this.limit)) server.maxConnections = this.limit;
    server.on('drop', () => {
      this.rejectedConnections++;
    });
    server.on('connection', (socket: net.Socket) => {
      this.openConnections++;
      socket.once('close', () => {
        this.openConnections--;
      });
    });
  }

  /** How many are open. */
  get openCount(): number {
    return this.openConnections;
  }

  /** How many were rejected since the last call. */
  takeRejectedCount(): number {
    const { rejectedConnections } = this;
    this.rejectedConnections = 0;
    return rejectedConnections;
  }

  /** Whether the connection of such a client stays open after its response. */
  mayKeepAlive(clientKind: ClientKind): boolean {
    return this.openConnections <= this.limit * KEEP_ALIVE_FRACTION[clientKind];
  }
}
