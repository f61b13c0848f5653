/**
 * Whether a heartbeat counts, by what is known of its worker. Copies can come late and messages can be lost, so most of what
 * is decided here guards against taking an old heartbeat for a new one. Pure; owns no state.
 */
import type { Heartbeat } from '@archpost/protocol';
import type { HeartbeatPosition, MachineTenure, Milliseconds } from '../model/index.js';
import { isNewer } from './heartbeat-order.js';

/** A worker numbers its heartbeats, two a second at most, and its answers to probes and commands: together fewer than this. */
const MAX_MESSAGES_PER_S = 10;

/** This many more may have been sent at once. */
const MAX_MESSAGE_BURST = 200;

/** What is to be done with a heartbeat, or with the status in an answer. */
export type HeartbeatEvaluation =
  /** newer than all that is known: it counts. `hasGapBefore`: messages before it did not come here */
  | { readonly kind: 'accepted'; readonly hasGapBefore: boolean }
  /**
   * an answer older than what was known when its command was sent: the agent restarted, and none of its earlier tasks runs any
   * more
   */
  | { readonly kind: 'agentRestarted' }
  /** no answer came since the shard was taken over: what the worker sent before isn't known, so it may be a late copy */
  | { readonly kind: 'unverified' }
  /** not newer than what is known: a late copy, or the agent began again */
  | { readonly kind: 'stale' }
  /** numbered higher than the worker can have come to: a copy of before the agent began again, or much was lost */
  | { readonly kind: 'implausible' };

// One of each, so that no object is made for a heartbeat.
const ACCEPTED: HeartbeatEvaluation = { kind: 'accepted', hasGapBefore: false };
const ACCEPTED_AFTER_GAP: HeartbeatEvaluation = { kind: 'accepted', hasGapBefore: true };
const AGENT_RESTARTED: HeartbeatEvaluation = { kind: 'agentRestarted' };
const UNVERIFIED: HeartbeatEvaluation = { kind: 'unverified' };
const STALE: HeartbeatEvaluation = { kind: 'stale' };
const IMPLAUSIBLE: HeartbeatEvaluation = { kind: 'implausible' };

/** Judges a heartbeat that the worker sent on its own. */
export function evaluateHeartbeat(tenure: MachineTenure, heartbeat: Heartbeat, now: Milliseconds): HeartbeatEvaluation {
  if (!tenure.isVerified) return UNVERIFIED;
  if (!isNewer(heartbeat, tenure)) return STALE;
  if (isImplausible(tenure, heartbeat.sequence, now)) return IMPLAUSIBLE;
  const hasGapBefore = heartbeat.agentEpoch === tenure.agentEpoch && heartbeat.sequence > tenure.sequence + 1;
  return hasGapBefore ? ACCEPTED_AFTER_GAP : ACCEPTED;
}

/**
 * Judges the status in an answer. `positionAtSend`: what was known when the command was sent that it answers. An answer is newer
 * than that, unless the agent has begun again.
 */
export function evaluateCommandResponse(
  tenure: MachineTenure,
  response: Heartbeat,
  positionAtSend: HeartbeatPosition,
): HeartbeatEvaluation {
  if (!isNewer(response, positionAtSend)) return AGENT_RESTARTED;
  return isNewer(response, tenure) ? ACCEPTED : STALE;
}

/** Is the sequence higher than the worker can have come to since it was last heard? Not known before its first heartbeat. */
export function isImplausible(tenure: MachineTenure, sequence: number, now: Milliseconds): boolean {
  const sinceHeartbeatMs = now - tenure.lastHeartbeatAt;
  return tenure.sequence >= 0 && sequence - tenure.sequence > MAX_MESSAGE_BURST + (MAX_MESSAGES_PER_S * sinceHeartbeatMs) / 1000;
}
