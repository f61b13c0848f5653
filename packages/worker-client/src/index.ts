import { Client } from '@archpost/http-client';
import { type Command, encodeCommandRequest, type Heartbeat, PATHS, pack, parseHeartbeat, unpackMap } from '@archpost/protocol';

export type CommandOutcome = { kind: 'ok' | 'stale'; report: Heartbeat | null } | { kind: 'lost' | 'refused' };

/** Commands that go directly to workers. */
export class Workers {
  private readonly clients = new Map<string, { client: Client; used: number }>();

  constructor(private readonly maxClients: number) {}

  private client(addr: string): Client {
    const known = this.clients.get(addr);
    if (known) {
      known.used = Date.now();
      return known.client;
    }
    if (this.clients.size >= this.maxClients) {
      let oldest: string | null = null;
      for (const [address, connection] of this.clients)
        if (oldest === null || connection.used < (this.clients.get(oldest)?.used ?? 0)) oldest = address;
      if (oldest !== null) {
        this.clients.get(oldest)?.client.close();
        this.clients.delete(oldest);
      }
    }
    const client = new Client(addr, 1);
    this.clients.set(addr, { client, used: Date.now() });
    return client;
  }

  /** Does the worker answer? */
  async ask(address: string): Promise<boolean> {
    const outcome = await this.client(address).call({ method: 'GET', path: PATHS.status, timeoutMs: 1500 });
    return outcome.kind === 'answer' && outcome.status === 200;
  }

  async command(address: string, token: number, session: number, commands: Command[]): Promise<CommandOutcome> {
    const outcome = await this.client(address).call({
      method: 'POST',
      path: PATHS.commands,
      body: pack(encodeCommandRequest(token, session, commands)),
      timeoutMs: 2500,
    });
    if (outcome.kind !== 'answer') return { kind: outcome.kind };
    const body = unpackMap(outcome.body);
    if (outcome.status === 200) return { kind: 'ok', report: body && parseHeartbeat(body) };
    if (outcome.status === 409) return { kind: 'stale', report: body && parseHeartbeat(body) };
    return { kind: 'lost' };
  }
}
