/** Connections to workers: one for each, and no more than this process has sockets for. */
import { HttpClient } from '@archpost/http-client';

interface WorkerConnection {
  client: HttpClient;
  /** in milliseconds of the time of day */
  lastUsedAt: number;
}

/** Beyond its size the connection that was not used for longest is closed, with the call on it if there is one. */
export class WorkerConnectionPool {
  private readonly connections = new Map<string, WorkerConnection>();

  constructor(private readonly maxConnections: number) {}

  /** The client of this worker, on a new connection if it has none. */
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
