/**
 * Limits the connections from users and workers. When there are fewer sockets than clients, connections are closed after
 * their response so that other clients can connect. Connections of users are closed first, because workers' heartbeats have
 * the highest priority.
 */
import type net from 'node:net';

/** The kind of client that opened a connection. */
export type ClientKind = 'user' | 'worker';

/** Fraction of the limit above which connections of this kind of client are closed after their response. */
const KEEP_ALIVE_FRACTION: Readonly<Record<ClientKind, number>> = { user: 0.9, worker: 0.95 };

/** Counts the connections of one server and enforces a limit on them. */
export class ConnectionLimiter {
  private openConnections = 0;
  private rejectedConnections = 0;
  /** value of `rejectedConnections` at the last call of `takeRejectedCount` */
  private reportedRejections = 0;

  /** @param limit maximum number of open connections; infinity disables the limit */
  constructor(private readonly limit: number) {}

  /**
   * Starts to count the server's connections. The server closes new connections above the limit immediately, because the
   * remaining sockets are reserved for connections that this process opens.
   */
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

  /** Number of open connections. */
  get openCount(): number {
    return this.openConnections;
  }

  /** Number of connections rejected since the start. */
  get rejectedTotal(): number {
    return this.rejectedConnections;
  }

  /** Returns the number of connections rejected since the last call. */
  takeRejectedCount(): number {
    const count = this.rejectedConnections - this.reportedRejections;
    this.reportedRejections = this.rejectedConnections;
    return count;
  }

  /** Reports whether a connection of this kind of client may stay open after its response. */
  mayKeepAlive(clientKind: ClientKind): boolean {
    return this.openConnections <= this.limit * KEEP_ALIVE_FRACTION[clientKind];
  }
}
