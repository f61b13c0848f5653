/**
 * How many connections are open from users and workers, and whose may stay open. With fewer sockets than workers and
 * users, those that are answered give theirs back: users' first, then workers', whose reports come before all else.
 */
import type net from 'node:net';

/** Who is answered. */
export type Client = 'user' | 'worker';

/** Beyond this part of the limit a connection of such a client is closed once it is answered. */
const KEPT_SHARE: Readonly<Record<Client, number>> = { user: 0.9, worker: 0.95 };

export class Connections {
  private open = 0;
  private dropped = 0;

  constructor(private readonly limit: number) {}

  /** Beyond the limit new connections are closed at once: what this process opens itself needs the other sockets. */
  watch(server: net.Server): void {
    if (Number.isFinite(this.limit)) server.maxConnections = this.limit;
    server.on('drop', () => {
      this.dropped++;
    });
    server.on('connection', (socket: net.Socket) => {
      this.open++;
      socket.once('close', () => {
        this.open--;
      });
    });
  }

  /** How many are open. */
  get count(): number {
    return this.open;
  }

  /** How many were refused since this was last asked. */
  takeDropped(): number {
    const { dropped } = this;
    this.dropped = 0;
    return dropped;
  }

  mayStay(client: Client): boolean {
    return this.open <= this.limit * KEPT_SHARE[client];
  }
}
