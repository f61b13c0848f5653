import protobuf from 'protobufjs/light.js';
import type { Heartbeat } from '../worker/heartbeat.js';
import { heartbeatFields, taskStatusFields } from './forwarded-heartbeat.js';
import {
  type PeerStatus,
  peerStatusFields,
  runningJobFields,
  unassignedMachineFields,
  unchangedHeartbeatFields,
} from './peer-status.js';
import { machineSummaryFields, resourceDemandFields, shardSummaryFields } from './shard-summary.js';

/** What one controller says to another: how it stands, or a report that it passes on. */
export interface PeerMessage {
  node: string;
  status: PeerStatus | null;
  heartbeat: Heartbeat | null;
}

const messageFields = {
  status: { type: 'PeerStatus', id: 1 },
  /** a worker's report, passed on to the owner of its machine by a keeper */
  heartbeat: { type: 'Heartbeat', id: 2 },
  node: { type: 'string', id: 3 },
};

const root = protobuf.Root.fromJSON({
  nested: {
    MachineSummary: { fields: machineSummaryFields },
    ResourceDemand: { fields: resourceDemandFields },
    ShardSummary: { fields: shardSummaryFields },
    RunningJob: { fields: runningJobFields },
    UnassignedMachine: { fields: unassignedMachineFields },
    UnchangedHeartbeat: { fields: unchangedHeartbeatFields },
    PeerStatus: { fields: peerStatusFields },
    TaskStatus: { fields: taskStatusFields },
    Heartbeat: { fields: heartbeatFields },
    Message: { fields: messageFields },
  },
});
const Message = root.lookupType('Message');

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
