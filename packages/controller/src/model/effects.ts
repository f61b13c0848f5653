/**
 * Effects: what a controller's decisions ask of the outside. The state machine only emits them; the edges carry them out and
 * feed the outcomes back in as inputs, under the `id` of the effect where it has one.
 */
import type { Command, Heartbeat, KeyWrite, PeerStatus, ProvisioningRequest, RevisionCondition } from '@archpost/protocol';

/** How much attention a log line wants. */
export type LogLevel = 'debug' | 'info' | 'warn';

/** Writes keys of the state service in one transaction, if all keys of the conditions still have those revisions. */
export interface CompareAndSwapEffect {
  type: 'compareAndSwap';
  id: number;
  conditions: RevisionCondition[];
  writes: KeyWrite[];
}

/** Reads the state service's newest changes, so that the replica is at least as new as this effect. */
export interface ReadBarrierEffect {
  type: 'readBarrier';
  /** decisions wait for it, not only status queries */
  urgent: boolean;
}

/** Sends commands to a machine's agent. */
export interface CommandEffect {
  type: 'command';
  id: number;
  machine: string;
  address: string;
  /** the agent refuses commands with a lower token than it has seen */
  fencingToken: number;
  /** the agent refuses commands for another epoch than its own */
  agentEpoch: number;
  commands: Command[];
}

/** Asks an agent for its status, to see whether agents can be reached from here. */
export interface ProbeEffect {
  type: 'probe';
  id: number;
  address: string;
}

/** Asks the cloud for machines. */
export interface ProvisionEffect {
  type: 'provision';
  id: number;
  request: ProvisioningRequest;
}

/** Gives machines back to the cloud. */
export interface ReleaseEffect {
  type: 'release';
  id: number;
  machines: string[];
}

/** Asks the cloud for the list of our machines. */
export interface ListMachinesEffect {
  type: 'listMachines';
}

/** Asks the cloud for its machine types. */
export interface FetchMachineTypesEffect {
  type: 'fetchMachineTypes';
}

/** Answers the request `id` of a client or a worker. */
export interface RespondEffect {
  type: 'respond';
  id: number;
  /** HTTP status */
  status: number;
  body: unknown;
  retryAfterS?: number;
}

/** Sends this controller's status to another one. */
export interface SendStatusEffect {
  type: 'sendStatus';
  /** name of the other controller */
  to: string;
  status: PeerStatus;
}

/** Forwards a worker's heartbeat to the controller that holds the machine's shard. */
export interface ForwardHeartbeatEffect {
  type: 'forwardHeartbeat';
  /** name of the other controller */
  to: string;
  heartbeat: Heartbeat;
}

/** What a log line has beside its message, by name. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes a log line. */
export interface LogEffect {
  type: 'log';
  level: LogLevel;
  message: string;
  fields?: LogFields;
}

/** One thing to be done. */
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
