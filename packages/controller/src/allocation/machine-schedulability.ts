/**
 * Whether a machine takes starts: it answers, everything that runs there is known, and nothing is to be done with it first.
 * Reads the machine; owns nothing.
 */
import type { SettingsView } from '../context/index.js';
import type { Machine, Milliseconds } from '../model/index.js';
import type { FailureAttribution } from './failure-attribution.js';

/** Two and a half heartbeat intervals, in milliseconds for each second of the interval. */
const MAX_HEARTBEAT_AGE_MS_PER_INTERVAL_S = 2500;

/** A machine whose last heartbeat came so long ago is not heard here any more. */
const HEARD_HERE_MS = 4000;

/** The same for heartbeats that another controller takes, which it reports with some delay. */
const HEARD_BY_PEER_MS = 5000;

/** Do the machine's heartbeats come to another controller? */
export function isHeardByPeer(machine: Machine, now: Milliseconds): boolean {
  return now - machine.heardByPeerAt < HEARD_BY_PEER_MS;
}

/** Do the machine's heartbeats come, here or to another controller? */
export function isHeardRecently(machine: Machine, now: Milliseconds): boolean {
  return now - machine.tenure.lastHeartbeatAt < HEARD_HERE_MS || isHeardByPeer(machine, now);
}

/** Says which machines take starts. */
export class MachineSchedulability {
  constructor(
    private readonly context: SettingsView,
    private readonly failureAttribution: FailureAttribution,
  ) {}

  /** Does the machine take starts now? It may do so again without any input, once a suspicion has run out. */
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
      !hasOrphanedWork(machine) &&
      now - tenure.lastHeartbeatAt < maxHeartbeatAgeMs
    );
  }
}

/** It is to move to another shard, to be released, or to be taken by the cloud. */
function isLeaving({ moveToShard, isRetired, tenure }: Machine): boolean {
  return moveToShard !== null || isRetired || tenure.releaseReason !== null || tenure.preemptionNoticeUntil !== null;
}

/** What runs there without an allocation here takes resources that aren't known. */
function hasOrphanedWork({ tenure }: Machine): boolean {
  return tenure.orphanedTasks.some((task) => task.state !== 'exited');
}
