/** Calls to workers at their own addresses. */
import { type Command, encodeCommandRequest, type Heartbeat, PATHS, pack, parseHeartbeat, unpackMap } from '@archpost/protocol';
import { WorkerConnectionPool } from './worker-connection-pool.js';

const PROBE_TIMEOUT_MS = 1500;
const COMMAND_TIMEOUT_MS = 2500;

/**
 * Ok: carried out. Stale: nothing was carried out, since the worker has seen a higher fencing token or is in another
 * agent epoch. Both come with the worker's status afterwards, null if it can not be parsed. Refused: the worker
 * could not be connected to, and nothing was sent. Withheld: nothing was sent since this process was late. Lost: the commands may
 * have been carried out, or may be later.
 */
export type CommandOutcome = { kind: 'ok' | 'stale'; heartbeat: Heartbeat | null } | { kind: 'lost' | 'refused' | 'withheld' };

/** Commands to one worker. */
export interface CommandRequest {
  /** `IP:port` at which the worker listens */
  address: string;
  fencingToken: number;
  agentEpoch: number;
  /** at most MAX_COMMANDS_PER_BODY, which the worker carries out in order */
  commands: Command[];
}

/** Owns the connections to workers. */
export class WorkerClient {
  private readonly connections: WorkerConnectionPool;
  private isClosed = false;

  constructor(maxConnections: number) {
    this.connections = new WorkerConnectionPool(maxConnections);
  }

  /** Whether the worker responds. */
  async probe(address: string): Promise<boolean> {
    if (this.isClosed) return false;
    const outcome = await this.connections.get(address).call({ method: 'GET', path: PATHS.status, timeoutMs: PROBE_TIMEOUT_MS });
    return outcome.kind === 'response' && outcome.status === 200;
  }

  /** Sends commands and resolves with their outcome; it does not reject. */
  async sendCommands({ address, fencingToken, agentEpoch, commands }: CommandRequest): Promise<CommandOutcome> {
    if (this.isClosed) return { kind: 'withheld' };
    const outcome = await this.connections.get(address).call({
      method: 'POST',
      path: PATHS.commands,
      body: pack(encodeCommandRequest(fencingToken, agentEpoch, commands)),
      timeoutMs: COMMAND_TIMEOUT_MS,
    });
    if (outcome.kind === 'notSent') return { kind: outcome.isOwnDelay ? 'withheld' : 'refused' };
    if (outcome.kind === 'unknown') return { kind: 'lost' };
    const body = unpackMap(outcome.body);
    if (outcome.status === 200) return { kind: 'ok', heartbeat: body && parseHeartbeat(body) };
    if (outcome.status === 409) return { kind: 'stale', heartbeat: body && parseHeartbeat(body) };
    return { kind: 'lost' };
  }

  /** Ends all calls and connections; later calls are not made. */
  close(): void {
    this.isClosed = true;
    this.connections.close();
  }
}
