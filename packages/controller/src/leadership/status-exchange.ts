/**
 * The status exchange: each controller sends its status to its peers over their links. Each peer gets only the lists that
 * concern it.
 *
 * Owns the time at which statuses were last sent, and which running jobs they have listed.
 */
import type { PeerStatus } from '@archpost/protocol';
import { type ClusterStateView, type EffectSink, LEADER_LEASE, type SettingsView } from '../context/index.js';
import type { HeartbeatForwarding } from '../heartbeats/index.js';
import { type Milliseconds, NEVER, roundRobinSlice } from '../model/index.js';
import type { ShardController } from '../shards/index.js';
import type { CancellationFreshness } from './cancellation-freshness.js';
import { RunningTaskDeltas } from './running-task-deltas.js';
import type { StatusAssembly } from './status-assembly.js';

/** A peer counts as alive as long as one of five consecutive statuses arrives. */
const STATUS_INTERVAL_MS = 700;

/**
 * Maximum number of unchanged heartbeats, and of machines without a shard, in one status. Longer lists are sent in parts, one per
 * status. With the longest names, each list fills a quarter of a frame.
 */
const MAX_UNCHANGED_HEARTBEATS = 4000;
const MAX_UNASSIGNED_MACHINES = 2000;

/** The parts that contribute to a status that is sent over a link. */
export interface StatusExchangeCollaborators {
  statusAssembly: StatusAssembly;
  shardController: ShardController;
  heartbeatForwarding: HeartbeatForwarding;
  cancellationFreshness: CancellationFreshness;
}

type StatusExchangeContext = SettingsView & ClusterStateView & EffectSink;

/** Sends statuses to the other controllers. */
export class StatusExchange {
  private lastSentAt: Milliseconds = NEVER;
  /** number of statuses sent so far, which selects the part of each long list for the next status */
  private turn = 0;
  private readonly runningTaskDeltas = new RunningTaskDeltas();

  constructor(
    private readonly context: StatusExchangeContext,
    private readonly collaborators: StatusExchangeCollaborators,
  ) {}

  /** Sends a status to every other controller when one is due. */
  tick(now: Milliseconds): void {
    if (now - this.lastSentAt <= STATUS_INTERVAL_MS) return;
    this.lastSentAt = now;
    this.sendToAll(now);
  }

  private sendToAll(now: Milliseconds): void {
    const { settings, clusterState } = this.context;
    const turn = this.turn++;
    const status = this.assembleSharedStatus(turn, now);
    const heartbeatsByHolder = this.collaborators.heartbeatForwarding.unchangedByHolder(now);
    const leader = clusterState.leaseOf(LEADER_LEASE)?.holder.controller ?? null;
    for (const { name } of settings.controllers) {
      if (name === settings.name) continue;
      const peerStatus: PeerStatus = {
        ...status,
        unchangedHeartbeats: roundRobinSlice(heartbeatsByHolder.get(name) ?? [], MAX_UNCHANGED_HEARTBEATS, turn),
        ...this.collaborators.cancellationFreshness.pingAndEcho(name, now),
      };
      // Only the leader makes decisions about machines. While no leader is known, each peer may become the leader.
      if (leader !== null && name !== leader) {
        peerStatus.shards = [];
        peerStatus.unassignedMachines = [];
      }
      this.context.emit({ type: 'sendStatus', to: name, status: peerStatus });
    }
  }

  private assembleSharedStatus(turn: number, now: Milliseconds): PeerStatus {
    const { statusAssembly, shardController } = this.collaborators;
    const status = statusAssembly.assemble(now);
    Object.assign(status, this.runningTaskDeltas.next(shardController.runningJobs()));
    status.unassignedMachines = roundRobinSlice(status.unassignedMachines, MAX_UNASSIGNED_MACHINES, turn);
    return status;
  }
}
