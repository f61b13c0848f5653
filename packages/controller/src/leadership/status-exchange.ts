/**
 * The status exchange: each controller sends the others its status over their links, and each receiver what concerns it.
 *
 * Owns when statuses were last sent, and what they have listed of the running jobs.
 */
import type { PeerStatus } from '@archpost/protocol';
import { type ClusterStateView, type EffectSink, LEADER_LEASE, type SettingsView } from '../context/index.js';
import type { HeartbeatForwarding } from '../heartbeats/index.js';
import { type Milliseconds, NEVER, roundRobinSlice } from '../model/index.js';
import type { ShardController } from '../shards/index.js';
import type { CancellationFreshness } from './cancellation-freshness.js';
import { RunningTaskDeltas } from './running-task-deltas.js';
import type { StatusAssembly } from './status-assembly.js';

/** A peer counts as alive as long as one of five statuses comes through. */
const STATUS_INTERVAL_MS = 700;

/**
 * Most unchanged heartbeats, and most machines without a shard, in one status. Longer lists are sent in turns. With the longest
 * names each list fills a quarter of a frame.
 */
const MAX_UNCHANGED_HEARTBEATS = 4000;
const MAX_UNASSIGNED_MACHINES = 2000;

/** The parts that contribute to a status over a link. */
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
  /** how many statuses were sent: the turn that long lists are at */
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
      // The leader alone decides about machines; while none is known, anybody may become it.
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
