/** The order in which a worker sent its heartbeats, which may differ from the order of their arrival. Pure; owns no state. */

import type { HeartbeatPosition } from '../model/index.js';

/** Whether the heartbeat was sent after the other. False for a copy of the same heartbeat. */
export function isNewer(heartbeat: HeartbeatPosition, other: HeartbeatPosition): boolean {
  if (heartbeat.agentEpoch !== other.agentEpoch) return heartbeat.agentEpoch > other.agentEpoch;
  return heartbeat.sequence > other.sequence;
}
