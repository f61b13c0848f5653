/** The order in which a worker sent its heartbeats, which need not be the order in which they come. Pure; owns no state. */

/** The position of a heartbeat in the order of those of its worker. */
export interface HeartbeatPosition {
  /** rises each time that the worker's agent begins anew */
  readonly agentEpoch: number;
  /** numbers the messages of one epoch, heartbeats and answers alike */
  readonly sequence: number;
}

/** Was the heartbeat sent after the other? A copy of the same one was not. */
export function isNewer(heartbeat: HeartbeatPosition, other: HeartbeatPosition): boolean {
  if (heartbeat.agentEpoch !== other.agentEpoch) return heartbeat.agentEpoch > other.agentEpoch;
  return heartbeat.sequence > other.sequence;
}
