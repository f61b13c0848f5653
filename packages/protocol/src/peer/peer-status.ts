/** The status that each controller sends to every other one, more than once a second. */
import type { ProtobufFields } from './protobuf-fields.js';
import type { ShardSummary } from './shard-summary.js';

/** Counts of a job's tasks, for display to its user. */
export interface RunningJob {
  job: string;
  /** running tasks; 0: none runs any more */
  count: number;
  done: number;
  /** failed tasks of a job that fails on every machine */
  failed: number;
}

/** Protobuf fields of a RunningJob. */
export const runningJobFields = {
  job: { type: 'string', id: 1 },
  count: { type: 'uint32', id: 2 },
  done: { type: 'uint32', id: 3 },
  failed: { type: 'uint32', id: 4 },
} satisfies ProtobufFields<RunningJob>;

/** A machine that is assigned to no shard, and whose worker sent a heartbeat to the sender of the status. */
export interface UnassignedMachine {
  machine: string;
  /** where its worker takes commands */
  address: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** Protobuf fields of an UnassignedMachine. */
export const unassignedMachineFields = {
  machine: { type: 'string', id: 1 },
  address: { type: 'string', id: 2 },
  type: { type: 'string', id: 3 },
  zone: { type: 'string', id: 4 },
  spot: { type: 'bool', id: 5 },
} satisfies ProtobufFields<UnassignedMachine>;

/** Replaces heartbeats that are not forwarded, since they do not differ from the last one that was. */
export interface UnchangedHeartbeat {
  machine: string;
  agentEpoch: number;
  /** of the newest heartbeat that did not differ */
  sequence: number;
  /** of the heartbeat that was forwarded */
  forwardedSequence: number;
}

/** Protobuf fields of an UnchangedHeartbeat. */
export const unchangedHeartbeatFields = {
  machine: { type: 'string', id: 1 },
  agentEpoch: { type: 'uint64', id: 2 },
  sequence: { type: 'uint64', id: 3 },
  forwardedSequence: { type: 'uint64', id: 4 },
} satisfies ProtobufFields<UnchangedHeartbeat>;

/** A controller's status, made for one of the others: lists that this one does not need are empty. */
export interface PeerStatus {
  /** name of the controller */
  node: string;
  /** the shards whose leases it holds; only the leader needs them */
  shards: ShardSummary[];
  runningJobs: RunningJob[];
  /** `runningJobs` names all jobs with running tasks, and not only those whose counts changed since the last status */
  runningJobsComplete: boolean;
  /** only the leader needs them */
  unassignedMachines: UnassignedMachine[];
  /** of machines in shards of the receiver, whose workers sent heartbeats to this controller in the last seconds */
  unchangedHeartbeats: UnchangedHeartbeat[];
  /** from the leader only: types of which the cloud still has ordinary machines */
  availableTypes: string[];
  isLeader: boolean;
  /** its lease at the state service is valid, so that it may answer workers */
  mayAnswerWorkers: boolean;
  /** it can connect to workers */
  reachesWorkers: boolean;
  /** changes of the state service's keys that it would make a second if it could */
  wantedWritesPerS: number;
  /** the state service responds to it */
  stateServiceAnswers: boolean;
  /** number of workers whose heartbeats it answered in the last seconds */
  heardWorkers: number;
  /** since it started it has read all keys of the state service once */
  replicaLoaded: boolean;
  /** revision of the newest cancellation that it knows of: it has confirmed no newer one to a user */
  cancellationRevision: number;
  /** identifies this status; its receiver returns it as `echo` */
  ping: string;
  /** the last ping that came from the receiver before anything else in this status was determined; empty: none */
  echo: string;
}

/** Protobuf fields of a PeerStatus. */
export const peerStatusFields = {
  node: { type: 'string', id: 1 },
  shards: { rule: 'repeated', type: 'ShardSummary', id: 2 },
  runningJobs: { rule: 'repeated', type: 'RunningJob', id: 3 },
  unassignedMachines: { rule: 'repeated', type: 'UnassignedMachine', id: 4 },
  unchangedHeartbeats: { rule: 'repeated', type: 'UnchangedHeartbeat', id: 5 },
  availableTypes: { rule: 'repeated', type: 'string', id: 6 },
  isLeader: { type: 'bool', id: 7 },
  // 8 is not in use.
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
} satisfies ProtobufFields<PeerStatus>;
