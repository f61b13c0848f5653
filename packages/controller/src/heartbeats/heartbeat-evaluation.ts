/**
 * Evaluation of heartbeats: whether a heartbeat counts, given the newest message that this controller received from its worker.
 * Copies can arrive late and messages can be lost, so most of the rules guard against processing an old heartbeat as a new one.
 * Pure; owns no state.
 */
import type { Heartbeat } from '@archpost/protocol';
import type { FencedPosition, MachineTenure, Milliseconds } from '../model/index.js';
import { mayFollow } from './heartbeat-order.js';

/**
 * Upper bound on the messages of a worker per second. A worker numbers its heartbeats, at most two per second, and its responses
 * to probes and commands.
 */
const MAX_MESSAGES_PER_S = 10;

/** Number of additional messages that a worker may send in a burst. */
const MAX_MESSAGE_BURST = 200;

/** The result of evaluating a heartbeat, or the status in a command response. */
export type HeartbeatEvaluation =
  /** newer than all earlier messages of the worker: it counts. `hasGapBefore`: messages before it didn't reach this controller */
  | { readonly kind: 'accepted'; readonly hasGapBefore: boolean }
  /**
   * a response that can't follow the newest heartbeat received before its command was sent: the agent restarted, and none of its
   * earlier tasks runs any more
   */
  | { readonly kind: 'agentRestarted' }
  /**
   * the worker has sent no response since the shard was taken over: its earlier messages are unknown, so the heartbeat may be a
   * late copy
   */
  | { readonly kind: 'unverified' }
  /** can't follow the newest message received: a late copy, perhaps of an earlier incarnation, or the agent restarted */
  | { readonly kind: 'stale' }
  /**
   * the sequence is higher than the worker can have reached, or the heartbeat can't be the first of a new epoch: a copy from
   * before an agent restart, or many messages were lost
   */
  | { readonly kind: 'implausible' };

// One shared instance of each, so that no object is allocated for a heartbeat.
const ACCEPTED: HeartbeatEvaluation = { kind: 'accepted', hasGapBefore: false };
const ACCEPTED_AFTER_GAP: HeartbeatEvaluation = { kind: 'accepted', hasGapBefore: true };
const AGENT_RESTARTED: HeartbeatEvaluation = { kind: 'agentRestarted' };
const UNVERIFIED: HeartbeatEvaluation = { kind: 'unverified' };
const STALE: HeartbeatEvaluation = { kind: 'stale' };
const IMPLAUSIBLE: HeartbeatEvaluation = { kind: 'implausible' };

/** Evaluates a heartbeat that the worker sent on its own. */
export function evaluateHeartbeat(tenure: MachineTenure, heartbeat: Heartbeat, now: Milliseconds): HeartbeatEvaluation {
  if (!tenure.isVerified) return UNVERIFIED;
  if (!mayFollow(heartbeat, tenure)) return STALE;
  if (isImplausible(tenure, heartbeat.sequence, now)) return IMPLAUSIBLE;
  if (heartbeat.agentEpoch > tenure.agentEpoch && !mayBeginEpoch(tenure, heartbeat)) return IMPLAUSIBLE;
  const hasGapBefore = heartbeat.agentEpoch === tenure.agentEpoch && heartbeat.sequence > tenure.sequence + 1;
  return hasGapBefore ? ACCEPTED_AFTER_GAP : ACCEPTED;
}

/**
 * Evaluates the status in a command response. `positionAtSend`: the position of the newest heartbeat that was known when the
 * command was sent. A response follows that unless the agent restarted.
 */
export function evaluateCommandResponse(
  tenure: MachineTenure,
  response: Heartbeat,
  positionAtSend: FencedPosition,
): HeartbeatEvaluation {
  if (!mayFollow(response, positionAtSend)) return AGENT_RESTARTED;
  if (!tenure.isVerified) return isContradicted(tenure, response) ? STALE : ACCEPTED;
  return mayFollow(response, tenure) ? ACCEPTED : STALE;
}

/**
 * Whether an unverified machine's heartbeat of a higher epoch arrived since the command was sent. Only the next response shows
 * whether the lease has expired, or an earlier incarnation of the agent sent the heartbeat.
 */
function isContradicted(tenure: MachineTenure, response: Heartbeat): boolean {
  return tenure.agentEpoch > response.agentEpoch;
}

/** Whether the sequence is higher than the worker can have reached since its last heartbeat. False before its first heartbeat. */
export function isImplausible(tenure: MachineTenure, sequence: number, now: Milliseconds): boolean {
  const sinceHeartbeatMs = now - tenure.lastHeartbeatAt;
  return tenure.sequence >= 0 && sequence - tenure.sequence > MAX_MESSAGE_BURST + (MAX_MESSAGES_PER_S * sinceHeartbeatMs) / 1000;
}

/**
 * Whether the heartbeat can be the first that arrives from a new epoch. An expired lease leaves the worker without tasks, and
 * none was started in an epoch that this controller doesn't know, but its sequence goes on. An earlier incarnation of the agent,
 * which may have received the current fencing token without this controller hearing it, can have tasks and lower numbers.
 */
function mayBeginEpoch(tenure: MachineTenure, { sequence, tasks }: Heartbeat): boolean {
  return tasks.length === 0 && sequence > tenure.sequence;
}
