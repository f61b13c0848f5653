/** The protobuf message that controllers exchange. */
import protobuf from 'protobufjs/light.js';
import type { Heartbeat } from '../worker/heartbeat.js';
import { heartbeatFields, restoreNulls, taskStatusFields, withoutNulls } from './forwarded-heartbeat.js';
import { checkComplexity } from './peer-message-complexity.js';
import {
  type PeerStatus,
  peerStatusFields,
  runningJobFields,
  unassignedMachineFields,
  unchangedHeartbeatFields,
  unchangedHeartbeatOneofs,
} from './peer-status.js';
import type { ProtobufFields } from './protobuf-fields.js';
import { machineSummaryFields, resourceDemandFields, shardSummaryFields } from './shard-summary.js';

/** The sender's own status, or a heartbeat that it forwards. */
export interface PeerMessage {
  /** name of the sending controller */
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
    UnchangedHeartbeat: { fields: unchangedHeartbeatFields, oneofs: unchangedHeartbeatOneofs },
    PeerStatus: { fields: peerStatusFields },
    TaskStatus: { fields: taskStatusFields },
    Heartbeat: { fields: heartbeatFields },
    Message: { fields: messageFields },
  },
});
root.resolveAll();
const Message = root.lookupType('Message');

/** Missing fields get their defaults, missing repeated fields empty arrays, and 64-bit integers are converted to numbers. */
const CONVERSION_OPTIONS = { defaults: true, arrays: true, longs: Number };

/** Encodes a message. Does not check the types of its values, because callers pass typed messages. */
export function encodePeerMessage(message: PeerMessage): Uint8Array {
  const { node, status, heartbeat } = message;
  return Message.encode({
    node,
    status: status ?? undefined,
    heartbeat: heartbeat ? withoutNulls(heartbeat) : undefined,
  }).finish();
}

/**
 * Decodes a message. Throws if the bytes are malformed, and PeerMessageTooComplexError if the message has too many elements.
 * Ignores unknown fields.
 */
export function decodePeerMessage(bytes: Uint8Array): PeerMessage {
  checkComplexity(Message, bytes);
  // The compiler checks the field tables against the model types, so a decoded message has the type PeerMessage.
  const message = Message.toObject(Message.decode(bytes), CONVERSION_OPTIONS) as PeerMessage;
  if (message.heartbeat) restoreNulls(message.heartbeat);
  return message;
}
