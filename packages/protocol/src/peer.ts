import protobuf from 'protobufjs/light.js';
import type { Heartbeat } from './workers.js';

/** What one share's owner tells of a machine. */
export interface MachineSummary {
  name: string;
  freeCpus: number;
  freeGpus: number;
  freeMemory: number;
  /** tasks on it, or meant for it */
  tasks: number;
  /** highest rank of work that may not be stopped for others; -1: none */
  protectedPriority: number;
  /** seconds since its last task ended */
  idleS: number;
  /** services on it, which a move would have to stop */
  services: number;
}

/** Work of a share that has no room. */
export interface ResourceDemand {
  cpus: number;
  gpus: number;
  memory: number;
  types: string[];
  zone: string;
  spot: boolean;
  priority: number;
  /** within the team's guarantee */
  withinQuota: boolean;
  count: number;
  gang: boolean;
  waitS: number;
  /** seconds until it should start, by its objectives */
  slackS: number;
  /** zones that its other tasks bar */
  excludedZones: string[];
}

export interface ShardSummary {
  shard: number;
  machines: MachineSummary[];
  demands: ResourceDemand[];
}

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

export interface PeerStatus {
  node: string;
  shards: ShardSummary[];
  /** running tasks of jobs, for display: of all that have any, or of those that changed */
  runningJobs: { job: string; count: number; done: number; failed: number }[];
  runningJobsComplete: boolean;
  /** machines without a grant whose workers reported here */
  unassignedMachines: { machine: string; address: string; type: string; zone: string; spot: boolean }[];
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

const root = protobuf.Root.fromJSON({
  nested: {
    MachineSummary: {
      fields: {
        name: { type: 'string', id: 1 },
        freeCpus: { type: 'double', id: 2 },
        freeGpus: { type: 'double', id: 3 },
        freeMemory: { type: 'double', id: 4 },
        tasks: { type: 'uint32', id: 5 },
        protectedPriority: { type: 'sint32', id: 6 },
        idleS: { type: 'double', id: 7 },
        services: { type: 'uint32', id: 8 },
      },
    },
    ResourceDemand: {
      fields: {
        cpus: { type: 'double', id: 1 },
        gpus: { type: 'double', id: 2 },
        memory: { type: 'double', id: 3 },
        types: { rule: 'repeated', type: 'string', id: 4 },
        zone: { type: 'string', id: 5 },
        spot: { type: 'bool', id: 6 },
        priority: { type: 'sint32', id: 7 },
        withinQuota: { type: 'bool', id: 8 },
        count: { type: 'uint32', id: 9 },
        gang: { type: 'bool', id: 10 },
        waitS: { type: 'double', id: 11 },
        slackS: { type: 'double', id: 12 },
        excludedZones: { rule: 'repeated', type: 'string', id: 13 },
      },
    },
    ShardSummary: {
      fields: {
        shard: { type: 'uint32', id: 1 },
        machines: { rule: 'repeated', type: 'MachineSummary', id: 2 },
        demands: { rule: 'repeated', type: 'ResourceDemand', id: 3 },
      },
    },
    RunningJob: {
      fields: {
        job: { type: 'string', id: 1 },
        count: { type: 'uint32', id: 2 },
        done: { type: 'uint32', id: 3 },
        failed: { type: 'uint32', id: 4 },
      },
    },
    UnassignedMachine: {
      fields: {
        machine: { type: 'string', id: 1 },
        address: { type: 'string', id: 2 },
        type: { type: 'string', id: 3 },
        zone: { type: 'string', id: 4 },
        spot: { type: 'bool', id: 5 },
      },
    },
    TaskStatus: {
      fields: {
        job: { type: 'string', id: 1 },
        index: { type: 'uint32', id: 2 },
        attempt: { type: 'uint64', id: 3 },
        state: { type: 'string', id: 4 },
        exitReason: { type: 'string', id: 5 },
        saved: { type: 'bool', id: 6 },
      },
    },
    UnchangedHeartbeat: {
      fields: {
        machine: { type: 'string', id: 1 },
        agentEpoch: { type: 'uint64', id: 2 },
        sequence: { type: 'uint64', id: 3 },
        forwardedSequence: { type: 'uint64', id: 4 },
      },
    },
    Heartbeat: {
      fields: {
        machine: { type: 'string', id: 1 },
        address: { type: 'string', id: 2 },
        type: { type: 'string', id: 3 },
        zone: { type: 'string', id: 4 },
        spot: { type: 'bool', id: 5 },
        agentEpoch: { type: 'uint64', id: 6 },
        sequence: { type: 'uint64', id: 7 },
        fencingToken: { type: 'uint64', id: 8 },
        preemptionNoticeS: { type: 'double', id: 9 },
        tasks: { rule: 'repeated', type: 'TaskStatus', id: 10 },
      },
    },
    Message: {
      fields: {
        status: { type: 'PeerStatus', id: 1 },
        /** a worker's report, passed on to the owner of its machine by a keeper */
        heartbeat: { type: 'Heartbeat', id: 2 },
        node: { type: 'string', id: 3 },
      },
    },
    PeerStatus: {
      fields: {
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
      },
    },
  },
});
const Message = root.lookupType('Message');

/** What one controller says to another: how it stands, or a report that it passes on. */
export interface PeerMessage {
  node: string;
  status: PeerStatus | null;
  heartbeat: Heartbeat | null;
}

export function encodePeerMessage(message: PeerMessage): Uint8Array {
  const heartbeat = message.heartbeat && {
    ...message.heartbeat,
    // protobuf knows no null: a machine without a notice has a negative one.
    preemptionNoticeS: message.heartbeat.preemptionNoticeS ?? -1,
    tasks: message.heartbeat.tasks.map((task) => ({ ...task, exitReason: task.exitReason ?? '' })),
  };
  return Message.encode({
    node: message.node,
    status: message.status ?? undefined,
    heartbeat: heartbeat ?? undefined,
  } as unknown as protobuf.Message).finish();
}

export function decodePeerMessage(bytes: Uint8Array): PeerMessage {
  const message = Message.toObject(Message.decode(bytes), {
    defaults: true,
    arrays: true,
    longs: Number,
  }) as unknown as PeerMessage;
  if (message.heartbeat) {
    if ((message.heartbeat.preemptionNoticeS ?? -1) < 0) message.heartbeat.preemptionNoticeS = null;
    for (const task of message.heartbeat.tasks) if ((task.exitReason as string) === '') task.exitReason = null;
  }
  return message;
}
