/** The message that controllers exchange, in protobuf. */
import protobuf from 'protobufjs/light.js';
import type { Heartbeat } from '../worker/heartbeat.js';
import { heartbeatFields, restoreNulls, taskStatusFields, withoutNulls } from './forwarded-heartbeat.js';
import {
  type PeerStatus,
  peerStatusFields,
  runningJobFields,
  unassignedMachineFields,
  unchangedHeartbeatFields,
} from './peer-status.js';
import type { ProtobufFields } from './protobuf-fields.js';
import { machineSummaryFields, resourceDemandFields, shardSummaryFields } from './shard-summary.js';

/** A controller's own status, or a heartbeat that it forwards. */
export interface PeerMessage {
  /** name of the controller that sends it */
  node: string;
  status: PeerStatus | null;
  heartbeat: Heartbeat | null;
}

const messageFields = {
  status: { type: 'PeerStatus', id: 1 },
  heartbeat: { type: 'Heartbeat', id: 2 },
  node: { type: 'string', id: 3 },
} satisfies ProtobufFields<PeerMessage>;

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

/** Each field gets its value or its default, each list is an array, and 64-bit integers are numbers. */
const CONVERSION_OPTIONS = { defaults: true, arrays: true, longs: Number };

/** The bytes of a message. Values of the wrong type are not refused here; callers pass typed messages. */
export function encodePeerMessage(message: PeerMessage): Uint8Array {
  const { node, status, heartbeat } = message;
  return Message.encode({
    node,
    status: status ?? undefined,
    heartbeat: heartbeat ? withoutNulls(heartbeat) : undefined,
  }).finish();
}

/** Throws on bytes that are no message. Unknown fields are ignored. */
export function decodePeerMessage(bytes: Uint8Array): PeerMessage {
  // The tables are checked against the model types, so what they decode to has these types.
  const message = Message.toObject(Message.decode(bytes), CONVERSION_OPTIONS) as PeerMessage;
  if (message.heartbeat) restoreNulls(message.heartbeat);
  return message;
}
