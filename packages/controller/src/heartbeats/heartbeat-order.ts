/**
 * The order in which a worker sent its heartbeats, which may differ from the order of their arrival. Epochs and sequence numbers
 * start over when the agent restarts, so they order only the heartbeats of one incarnation. Fencing tokens distinguish the
 * incarnations: the highest token that an agent has received never decreases while it runs, and the lease holder raises the
 * machine's token after each restart that it detects. Pure; owns no state.
 */

import type { FencedPosition, HeartbeatPosition } from '../model/index.js';

/**
 * Whether the heartbeat was sent after the other, if one incarnation of the agent sent both. False for a copy of the same
 * heartbeat.
 */
export function isNewer(heartbeat: HeartbeatPosition, other: HeartbeatPosition): boolean {
  if (heartbeat.agentEpoch !== other.agentEpoch) return heartbeat.agentEpoch > other.agentEpoch;
  return heartbeat.sequence > other.sequence;
}

/** Whether the incarnation of the agent that sent the other heartbeat may have sent this one after it. */
export function mayFollow(heartbeat: FencedPosition, other: FencedPosition): boolean {
  return heartbeat.fencingToken >= other.fencingToken && isNewer(heartbeat, other);
}

/**
 * Whether the heartbeat was sent after the other, by the same incarnation of the agent or a later one. Two incarnations that
 * received the same token can't be distinguished.
 */
export function isNewerOfAnyIncarnation(heartbeat: FencedPosition, other: FencedPosition): boolean {
  if (heartbeat.fencingToken !== other.fencingToken) return heartbeat.fencingToken > other.fencingToken;
  return isNewer(heartbeat, other);
}
