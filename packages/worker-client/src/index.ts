import { Client } from '@archpost/http-client';
import { type Command, encodeCommandRequest, type Heartbeat, PATHS, pack, parseHeartbeat, unpackMap } from '@archpost/protocol';

export type CommandOutcome = { kind: 'ok' | 'stale'; report: Heartbeat | null } | { kind: 'lost' | 'refused' };

/** Commands that go directly to workers. */
export class WorkerClient {
  private readonly clients = new Map<string, { client: Client; usedAt: number }>();

  constructor(private readonly maxClients: number) {}

  private clientOf(address: string): Client {
    const known = this.clients.get(address);
    if (known) {
      known.usedAt = Date.now();
      return known.client;
    }
    if (this.clients.size >= this.maxClients) {
      let oldest: string | null = null;
      for (const [candidate, connection] of this.clients)
        if (oldest === null || connection.usedAt < (this.clients.get(oldest)?.usedAt ?? 0)) oldest = candidate;
      if (oldest !== null) {
        this.clients.get(oldest)?.client.close();
        this.clients.delete(oldest);
      }
    }
    const client = new Client(address, 1);
    this.clients.set(address, { client, usedAt: Date.now() });
    return client;
  }

  /** Does the worker answer? */
  async probe(address: string): Promise<boolean> {
    const outcome = await this.clientOf(address).call({ method: 'GET', path: PATHS.status, timeoutMs: 1500 });
    return outcome.kind === 'answer' && outcome.status === 200;
  }

  async sendCommands(address: string, fencingToken: number, agentEpoch: number, commands: Command[]): Promise<CommandOutcome> {
    const outcome = await this.clientOf(address).call({
      method: 'POST',
      path: PATHS.commands,
      body: pack(encodeCommandRequest(fencingToken, agentEpoch, commands)),
      timeoutMs: 2500,
    });
    if (outcome.kind !== 'answer') return { kind: outcome.kind };
    const body = unpackMap(outcome.body);
    if (outcome.status === 200) return { kind: 'ok', report: body && parseHeartbeat(body) };
    if (outcome.status === 409) return { kind: 'stale', report: body && parseHeartbeat(body) };
    return { kind: 'lost' };
  }
}
