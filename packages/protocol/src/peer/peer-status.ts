import type { ShardSummary } from './shard-summary.js';

export interface RunningJob {
  job: string;
  count: number;
  done: number;
  failed: number;
}

export const runningJobFields = {
  job: { type: 'string', id: 1 },
  count: { type: 'uint32', id: 2 },
  done: { type: 'uint32', id: 3 },
  failed: { type: 'uint32', id: 4 },
};

export interface UnassignedMachine {
  machine: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
}

export const unassignedMachineFields = {
  machine: { type: 'string', id: 1 },
  address: { type: 'string', id: 2 },
  type: { type: 'string', id: 3 },
  zone: { type: 'string', id: 4 },
  spot: { type: 'bool', id: 5 },
};

/**
 * A machine whose reports are as they were: the last one passed on whole had the number
 * `whole`, and up to `seq` nothing has changed.
 */
export interface UnchangedHeartbeat {
  machine: string;
  agentEpoch: number;
  sequence: number;
  forwardedSequence: number;
}

export const unchangedHeartbeatFields = {
  machine: { type: 'string', id: 1 },
  agentEpoch: { type: 'uint64', id: 2 },
  sequence: { type: 'uint64', id: 3 },
  forwardedSequence: { type: 'uint64', id: 4 },
};

export interface PeerStatus {
  node: string;
  shards: ShardSummary[];
  /** running tasks of jobs, for display: of all that have any, or of those that changed */
  runningJobs: RunningJob[];
  runningJobsComplete: boolean;
  /** machines without a grant whose workers reported here */
  unassignedMachines: UnassignedMachine[];
  /** machines of the one it is told to that reported here within the last seconds */
  unchangedHeartbeats: UnchangedHeartbeat[];
  /** told by the lead: machine types that the cloud still has, ordinary ones */
  availableTypes: string[];
  isLeader: boolean;
  /** may answer workers: its state lease stands */
  mayAnswerWorkers: boolean;
  /** workers can be reached from there */
  reachesWorkers: boolean;
  /** changes a second that it could do with */
  wantedWritesPerS: number;
  /** the state service answers it */
  stateServiceAnswers: boolean;
  /** workers that it answered lately */
  heardWorkers: number;
  /** holds all that the state service held at some moment since it began */
  replicaLoaded: boolean;
  /** stamp of the newest cancellation that it knows of: it has told users of no newer one */
  cancellationRevision: number;
  /** names this status; the one that it is sent to sends it back */
  ping: string;
  /** the last ping that came from the one it is sent to, before all else here was worked out */
  echo: string;
}

export const peerStatusFields = {
  node: { type: 'string', id: 1 },
  shards: { rule: 'repeated', type: 'ShardSummary', id: 2 },
  runningJobs: { rule: 'repeated', type: 'RunningJob', id: 3 },
  unassignedMachines: { rule: 'repeated', type: 'UnassignedMachine', id: 4 },
  unchangedHeartbeats: { rule: 'repeated', type: 'UnchangedHeartbeat', id: 5 },
  availableTypes: { rule: 'repeated', type: 'string', id: 6 },
  isLeader: { type: 'bool', id: 7 },
  mayAnswerWorkers: { type: 'bool', id: 9 },
  reachesWorkers: { type: 'bool', id: 10 },
  stateServiceAnswers: { type: 'bool', id: 11 },
  wantedWritesPerS: { type: 'uint32', id: 12 },
  heardWorkers: { type: 'uint32', id: 13 },
  runningJobsComplete: { type: 'bool', id: 14 },
  replicaLoaded: { type: 'bool', id: 15 },
  cancellationRevision: { type: 'uint64', id: 16 },
  ping: { type: 'string', id: 17 },
  echo: { type: 'string', id: 18 },
};
