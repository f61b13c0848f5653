/**
 * Limits the connections from users and workers. When there are fewer sockets than workers and users, connections are
 * closed after their response so that others can connect: users' first, then workers', whose heartbeats matter most.
 */
import type net from 'node:net';

/** Whose connection it is. */
export type ClientKind = 'user' | 'worker';

/** Beyond this part of the limit, connections of such a client are closed after their response. */
const KEEP_ALIVE_FRACTION: Readonly<Record<ClientKind, number>> = { user: 0.9, worker: 0.95 };

/** Counts the connections of one server and holds them below a limit. */
export class ConnectionLimiter {
  private openConnections = 0;
  private rejectedConnections = 0;
  private reportedRejections = 0;

  /** @param limit connections that may be open at once; infinite: no limit */
  constructor(private readonly limit: number) {}

  /**
   * Counts this server's connections, and has it close new ones beyond the limit at once: the other sockets are needed for
   * connections that this process opens.
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

  /** Connections that are open. */
  get openCount(): number {
    return this.openConnections;
  }

  /** How many connections were rejected since the start. */
  get rejectedTotal(): number {
    return this.rejectedConnections;
  }

  /** How many connections were rejected since the last call. */
  takeRejectedCount(): number {
    const count = this.rejectedConnections - this.reportedRejections;
    this.reportedRejections = this.rejectedConnections;
    return count;
  }

  /** Whether a connection of such a client may stay open after its response. */
  mayKeepAlive(clientKind: ClientKind): boolean {
    return this.openConnections <= this.limit * KEEP_ALIVE_FRACTION[clientKind];
  }
}
