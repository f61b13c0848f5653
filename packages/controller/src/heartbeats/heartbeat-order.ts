/** The order in which a worker sent its heartbeats, which need not be the order in which they come. Pure; owns no state. */

import type { HeartbeatPosition } from '../model/index.js';

/** Was the heartbeat sent after the other? A copy of the same one was not. */
export function isNewer(heartbeat: HeartbeatPosition, other: HeartbeatPosition): boolean {
  if (heartbeat.agentEpoch !== other.agentEpoch) return heartbeat.agentEpoch > other.agentEpoch;
  return heartbeat.sequence > other.sequence;
}
