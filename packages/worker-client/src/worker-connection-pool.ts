/** Connections to workers: one per worker, up to a maximum number. */
import { HttpClient } from '@archpost/http-client';

interface WorkerConnection {
  client: HttpClient;
  /** wall-clock time of the last use, in milliseconds */
  lastUsedAt: number;
}

/** At its maximum size, the pool closes the least recently used connection for a new one, and ends the call on it, if any. */
export class WorkerConnectionPool {
  private readonly connections = new Map<string, WorkerConnection>();

  constructor(private readonly maxConnections: number) {}

  /** Returns the client of a worker. Creates a client with a new connection if there is none. */
  get(address: string): HttpClient {
    const existing = this.connections.get(address);
    if (existing) {
      existing.lastUsedAt = Date.now();
      return existing.client;
    }
    if (this.connections.size >= this.maxConnections) this.closeLeastRecentlyUsed();
    const client = new HttpClient(address, 1);
    this.connections.set(address, { client, lastUsedAt: Date.now() });
    return client;
  }

  /** Ends all connections. */
  close(): void {
    for (const { client } of this.connections.values()) client.close();
    this.connections.clear();
  }

  private closeLeastRecentlyUsed(): void {
    let oldestAddress: string | null = null;
    let oldestUsedAt = Number.POSITIVE_INFINITY;
    for (const [address, { lastUsedAt }] of this.connections) {
      if (lastUsedAt >= oldestUsedAt) continue;
      oldestAddress = address;
      oldestUsedAt = lastUsedAt;
    }
    if (oldestAddress === null) return;
    this.connections.get(oldestAddress)?.client.close();
    this.connections.delete(oldestAddress);
  }
}
