/** Calls to workers at their own addresses. */
import {
  type Command,
  encodeCommandRequest,
  type Heartbeat,
  PATHS,
  pack,
  parseHeartbeat,
  unpackResponse,
} from '@archpost/protocol';
import { WorkerConnectionPool } from './worker-connection-pool.js';

const PROBE_TIMEOUT_MS = 1500;
const COMMAND_TIMEOUT_MS = 2500;

/**
 * The outcome of commands to a worker. `ok`: the commands were executed. `stale`: no command was executed, because the worker
 * has seen a higher fencing token or is in another agent epoch. `heartbeat` is the worker's status afterwards; null if it cannot
 * be parsed. `refused`: no connection to the worker could be made, and nothing was sent. `withheld`: nothing was sent, because
 * this process was delayed or the client is closed. `lost`: the commands may have been executed, or may still be executed.
 */
export type CommandOutcome = { kind: 'ok' | 'stale'; heartbeat: Heartbeat | null } | { kind: 'lost' | 'refused' | 'withheld' };

/** Commands to one worker. */
export interface CommandRequest {
  /** `IP:port` at which the worker listens */
  address: string;
  fencingToken: number;
  agentEpoch: number;
  /** at most MAX_COMMANDS_PER_BODY commands, which the worker executes in order */
  commands: Command[];
}

/** Owns the connections to workers. */
export class WorkerClient {
  private readonly connections: WorkerConnectionPool;
  private isClosed = false;

  constructor(maxConnections: number) {
    this.connections = new WorkerConnectionPool(maxConnections);
  }

  /** Requests the worker's status. Resolves with whether the worker responded with status 200. */
  async probe(address: string): Promise<boolean> {
    if (this.isClosed) return false;
    const outcome = await this.connections.get(address).call({ method: 'GET', path: PATHS.status, timeoutMs: PROBE_TIMEOUT_MS });
    return outcome.kind === 'response' && outcome.status === 200;
  }

  /** Sends commands. Resolves with their outcome and does not reject. */
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
    const body = unpackResponse(outcome.body);
    if (outcome.status === 200) return { kind: 'ok', heartbeat: body && parseHeartbeat(body) };
    if (outcome.status === 409) return { kind: 'stale', heartbeat: body && parseHeartbeat(body) };
    return { kind: 'lost' };
  }

  /** Ends all calls and connections. Later calls are not sent. */
  close(): void {
    this.isClosed = true;
    this.connections.close();
  }
}
