/**
 * Whether a machine accepts starts: it responds to commands, every task on it is known, and it isn't about to move or be
 * released. Owns no state.
 */
import type { SettingsView } from '../context/index.js';
import type { Machine, Milliseconds } from '../model/index.js';
import { hasTooManyExitedTasks } from './exited-tasks.js';
import type { FailureAttribution } from './failure-attribution.js';

/** Maximum age of the last heartbeat, in milliseconds per second of the heartbeat interval: two and a half intervals. */
const MAX_HEARTBEAT_AGE_MS_PER_INTERVAL_S = 2500;

/** This controller has recent contact with a machine whose last heartbeat it processed less than this long ago. */
const RECENT_HEARTBEAT_MS = 4000;

/** The same for heartbeats that another controller processes; longer, since that controller reports them with some delay. */
const RECENT_PEER_CONTACT_MS = 5000;

/** Whether another controller recently reported heartbeats of the machine. */
export function hasRecentPeerContact(machine: Machine, now: Milliseconds): boolean {
  return now - machine.lastPeerContactAt < RECENT_PEER_CONTACT_MS;
}

/** Whether heartbeats of the machine recently arrived at this controller or at another one. */
export function hasRecentContact(machine: Machine, now: Milliseconds): boolean {
  return now - machine.tenure.lastHeartbeatAt < RECENT_HEARTBEAT_MS || hasRecentPeerContact(machine, now);
}

/** Decides which machines accept starts. */
export class MachineSchedulability {
  constructor(
    private readonly context: SettingsView,
    private readonly failureAttribution: FailureAttribution,
  ) {}

  /**
   * Whether the machine accepts starts now. The result can become true through the passage of time alone, when a pending failure
   * attribution expires.
   */
  isSchedulable(machine: Machine, now: Milliseconds): boolean {
    const { tenure } = machine;
    const maxHeartbeatAgeMs = this.context.settings.workers.heartbeatIntervalS * MAX_HEARTBEAT_AGE_MS_PER_INTERVAL_S;
    return (
      tenure.isVerified &&
      !tenure.hasUncertainCommand &&
      machine.capacity !== null &&
      !isLeaving(machine) &&
      !this.failureAttribution.isFaulty(machine, now) &&
      !this.failureAttribution.isAttributionPending(machine, now) &&
      tenure.unansweredCommands === 0 &&
      !tenure.hasOrphanedWork &&
      !hasTooManyExitedTasks(machine) &&
      now - tenure.lastHeartbeatAt < maxHeartbeatAgeMs
    );
  }
}

/** Whether the machine is about to move to another shard, to be released, or to be preempted by the cloud. */
function isLeaving({ moveToShard, isRetired, tenure }: Machine): boolean {
  return moveToShard !== null || isRetired || tenure.releaseReason !== null || tenure.preemptionNoticeUntil !== null;
}
