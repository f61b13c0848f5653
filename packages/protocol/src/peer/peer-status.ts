/** The status that each controller sends to every other controller, more than once a second. */
import type { ProtobufFields } from './protobuf-fields.js';
import type { ShardSummary } from './shard-summary.js';

/** Counts of a job's tasks, for display to its user. */
export interface RunningJob {
  job: string;
  /** number of running tasks; 0: none is running any longer */
  count: number;
  done: number;
  /** number of task failures of a crash-looping job; 0 for other jobs */
  failed: number;
}

/** Protobuf fields of a RunningJob. */
export const runningJobFields = {
  job: { type: 'string', id: 1 },
  count: { type: 'uint32', id: 2 },
  done: { type: 'uint32', id: 3 },
  failed: { type: 'uint32', id: 4 },
} satisfies ProtobufFields<RunningJob>;

/** A machine that is assigned to no shard and whose worker sent a heartbeat to the sender of the status. */
export interface UnassignedMachine {
  machine: string;
  /** address at which its worker accepts commands */
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

/** Sent instead of heartbeats that do not differ from the last forwarded heartbeat. */
export interface UnchangedHeartbeat {
  machine: string;
  agentEpoch: number;
  /** sequence of the newest heartbeat that did not differ */
  sequence: number;
  /** sequence of the last forwarded heartbeat */
  forwardedSequence: number;
  /** the highest fencing token that the worker had received; absent in messages of versions that don't send it */
  fencingToken?: number;
}

/** Protobuf fields of an UnchangedHeartbeat. */
export const unchangedHeartbeatFields = {
  machine: { type: 'string', id: 1 },
  agentEpoch: { type: 'uint64', id: 2 },
  sequence: { type: 'uint64', id: 3 },
  forwardedSequence: { type: 'uint64', id: 4 },
  fencingToken: { type: 'uint64', id: 5 },
} satisfies ProtobufFields<UnchangedHeartbeat>;

/** The optional fields of an UnchangedHeartbeat: protobuf tells whether they are present if each is in a group of its own. */
export const unchangedHeartbeatOneofs = { _fencingToken: { oneof: ['fencingToken'] } };

/** A controller's status, assembled for one receiver: lists that the receiver does not need are empty. */
export interface PeerStatus {
  /** name of the sending controller */
  node: string;
  /** shards whose leases the sender holds; needed only by the leader */
  shards: ShardSummary[];
  runningJobs: RunningJob[];
  /** whether `runningJobs` contains all jobs with running tasks, not only those whose counts changed since the last status */
  runningJobsComplete: boolean;
  /** needed only by the leader */
  unassignedMachines: UnassignedMachine[];
  /** of machines in the receiver's shards whose workers sent heartbeats to the sender in the last seconds */
  unchangedHeartbeats: UnchangedHeartbeat[];
  /** from the leader only: machine types of which the cloud still has on-demand machines */
  availableTypes: string[];
  isLeader: boolean;
  /**
   * whether the sender may answer heartbeats, that is, whether it knows every cancellation confirmed up to a recent enough time
   */
  mayAnswerWorkers: boolean;
  /** whether the sender can connect to workers */
  reachesWorkers: boolean;
  /** writes per second that the sender would make at the state service if they were not limited */
  wantedWritesPerS: number;
  /** whether the state service responds to the sender */
  stateServiceAnswers: boolean;
  /** number of workers whose heartbeats the sender answered in the last seconds */
  heardWorkers: number;
  /** whether the sender has read all keys of the state service since it started */
  replicaLoaded: boolean;
  /** revision of the newest cancellation known to the sender, which has confirmed no newer one to a user */
  cancellationRevision: number;
  /** identifies this status; the receiver returns it as `echo` */
  ping: string;
  /** last ping that arrived from the receiver before the sender determined any other field of this status; empty: none */
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
  // Field number 8 is unused.
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
