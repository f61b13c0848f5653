/**
 * Effects: the operations outside the state machine that a controller's decisions require. The state machine only emits them. The
 * I/O layer executes them and returns each outcome as an input with the `id` of the effect, where the effect has one.
 */
import type { Command, Heartbeat, KeyWrite, PeerStatus, ProvisioningRequest, RevisionCondition } from '@archpost/protocol';

/** The severity of a log line. */
export type LogLevel = 'debug' | 'info' | 'warn';

/** Writes keys of the state service in one transaction if every key of the conditions still has the given revision. */
export interface CompareAndSwapEffect {
  type: 'compareAndSwap';
  id: number;
  conditions: RevisionCondition[];
  writes: KeyWrite[];
}

/** Reads the newest changes of the state service, so that the replica is at least as recent as this effect. */
export interface ReadBarrierEffect {
  type: 'readBarrier';
  /** whether decisions wait for the read, not only status queries */
  urgent: boolean;
}

/** Sends commands to a machine's agent. */
export interface CommandEffect {
  type: 'command';
  id: number;
  machine: string;
  address: string;
  /** the agent rejects commands whose token is lower than the highest that it has seen */
  fencingToken: number;
  /** the agent rejects commands for another epoch than its current one */
  agentEpoch: number;
  commands: Command[];
}

/** Requests an agent's status, to check whether agents are reachable from this controller. */
export interface ProbeEffect {
  type: 'probe';
  id: number;
  address: string;
}

/** Requests machines from the cloud. */
export interface ProvisionEffect {
  type: 'provision';
  id: number;
  request: ProvisioningRequest;
}

/** Releases machines to the cloud. */
export interface ReleaseEffect {
  type: 'release';
  id: number;
  machines: string[];
}

/** Requests the list of the cluster's machines from the cloud. */
export interface ListMachinesEffect {
  type: 'listMachines';
}

/** Requests the list of machine types from the cloud. */
export interface FetchMachineTypesEffect {
  type: 'fetchMachineTypes';
}

/** Responds to the request `id` of a client or a worker. */
export interface RespondEffect {
  type: 'respond';
  id: number;
  /** HTTP status */
  status: number;
  body: unknown;
  retryAfterS?: number;
}

/** Sends this controller's status to another controller. */
export interface SendStatusEffect {
  type: 'sendStatus';
  /** name of the receiving controller */
  to: string;
  status: PeerStatus;
}

/** Forwards a worker's heartbeat to the controller that holds the machine's shard. */
export interface ForwardHeartbeatEffect {
  type: 'forwardHeartbeat';
  /** name of the receiving controller */
  to: string;
  heartbeat: Heartbeat;
}

/** The structured fields of a log line, by name. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes a log line. */
export interface LogEffect {
  type: 'log';
  level: LogLevel;
  message: string;
  fields?: LogFields;
}

/** An operation for the I/O layer to execute. */
export type Effect =
  | CompareAndSwapEffect
  | ReadBarrierEffect
  | CommandEffect
  | ProbeEffect
  | ProvisionEffect
  | ReleaseEffect
  | ListMachinesEffect
  | FetchMachineTypesEffect
  | RespondEffect
  | SendStatusEffect
  | ForwardHeartbeatEffect
  | LogEffect;
