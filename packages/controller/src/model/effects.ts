/** What the core wants done. The edges carry it out and feed the outcome back in. */
import type { Command, Heartbeat, KeyWrite, PeerStatus, ProvisioningRequest, RevisionCondition } from '@archpost/protocol';

export type LogLevel = 'debug' | 'info' | 'warn';

/** One thing to be done. */
export type Effect =
  | { type: 'compareAndSwap'; id: number; conditions: RevisionCondition[]; writes: KeyWrite[] }
  /** the replica is to be read anew; soon: others than users' questions wait for it */
  | { type: 'readBarrier'; urgent: boolean }
  | {
      type: 'command';
      id: number;
      machine: string;
      address: string;
      fencingToken: number;
      agentEpoch: number;
      commands: Command[];
    }
  /** asks a worker for its report, to see whether workers can be reached from here */
  | { type: 'probe'; id: number; address: string }
  | { type: 'provision'; id: number; request: ProvisioningRequest }
  | { type: 'release'; id: number; machines: string[] }
  | { type: 'listMachines' }
  | { type: 'fetchMachineTypes' }
  | { type: 'respond'; id: number; status: number; body: unknown; retryAfterS?: number }
  | { type: 'sendStatus'; to: string; status: PeerStatus }
  | { type: 'forwardHeartbeat'; to: string; heartbeat: Heartbeat }
  | { type: 'log'; level: LogLevel; message: string; fields?: Record<string, unknown> };
