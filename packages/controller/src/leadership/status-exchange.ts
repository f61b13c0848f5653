/**
 * What controllers tell one another of themselves: each other one what concerns it, and the leader by way of the
 * state service while the link to it is down. The limit on changes to the state service is shared out by the same
 * statuses.
 */
import type { PeerStatus } from '@archpost/protocol';
import type {
  ClusterStateView,
  EffectSink,
  LeaseView,
  PeerDirectory,
  ReplicaView,
  SettingsView,
  StateFreshness,
  StateWriting,
} from '../context/index.js';
import type { HeartbeatForwarding, WorkerRouting } from '../heartbeats/index.js';
import { type Milliseconds, NEVER, roundRobinSlice } from '../model/index.js';
import type { ShardController } from '../shards/index.js';
import { encodeStatus, StateKey, WritePriority } from '../state/index.js';
import type { CancellationFreshness } from './cancellation-freshness.js';
import type { Leader } from './leader.js';
import { RunningTaskDeltas } from './running-task-deltas.js';
import { fitStoredStatus } from './stored-status.js';

const STATUS_INTERVAL_MS = 700;

/**
 * Machines in one status that others own and that were heard here, and machines without a grant. Of more, these are
 * told in turn; with the longest names each list fills a quarter of a frame.
 */
const MOST_HEARD = 4000;
const MOST_UNGRANTED = 2000;

/** How often the leader is told by way of the state service: it is slower, and costs changes. */
const STORED_STATUS_INTERVAL_MS = 2000;

/** Part of the limit on changes that is used at all, and of that the part left to each in any case. */
const USED_SHARE = 0.95;
const LEAST_SHARE = 0.3;

/** What of this controller goes into a status. */
export interface StatusSources {
  shardController: ShardController;
  leader: Leader;
  heartbeatForwarding: HeartbeatForwarding;
  workerRouting: WorkerRouting;
  cancellationFreshness: CancellationFreshness;
  /** may workers' reports be answered here? */
  mayAnswerWorkers(now: Milliseconds): boolean;
}

/** What the status exchange needs of its controller. */
type StatusExchangeContext = SettingsView &
  ClusterStateView &
  ReplicaView &
  StateWriting &
  StateFreshness &
  LeaseView &
  PeerDirectory &
  EffectSink;

export class StatusExchange {
  private sentAt: Milliseconds = NEVER;
  private statusCount = 0;
  private readonly runningTaskDeltas = new RunningTaskDeltas();
  private isStoring = false;
  private storedAt: Milliseconds = NEVER;
  private storedCount = 0;

  constructor(
    private readonly context: StatusExchangeContext,
    private readonly sources: StatusSources,
  ) {}

  tick(now: Milliseconds): void {
    if (now - this.sentAt > STATUS_INTERVAL_MS) {
      this.sentAt = now;
      this.sendToAll(now);
    }
    this.storeForLeader(now);
  }

  /** What this controller may use of the changes that all may make in a second. */
  ownWritesPerS(perSecond: number, now: Milliseconds): number {
    const { context } = this;
    const count = Math.max(1, context.settings.controllers.length);
    const all = perSecond * USED_SHARE;
    const floor = (LEAST_SHARE * all) / count;
    const own = context.writer.wantedWritesPerS(now);
    let free = all - floor;
    let wanted = own;
    for (const node of context.settings.controllers) {
      if (node.name === context.settings.name) continue;
      // What a controller that isn't heard uses is not known: an equal share is left to it.
      const heard = context.isPeerAlive(node.name, now);
      free -= heard ? floor : all / count;
      if (heard) wanted += context.peers.get(node.name)?.status.wantedWritesPerS ?? 0;
    }
    return Math.max(1, floor + (wanted > 0 ? (free * own) / wanted : free / count));
  }

  private get leader(): string | null {
    return this.context.clusterState.leaseOf('lead')?.holder.controller ?? null;
  }

  /** To each other controller what concerns it: the leader alone decides over machines. */
  private sendToAll(now: Milliseconds): void {
    const { cancellationFreshness, heartbeatForwarding, shardController } = this.sources;
    const status = this.status(now);
    Object.assign(status, this.runningTaskDeltas.next(shardController.runningJobs()));
    const turn = this.statusCount++;
    status.unassignedMachines = roundRobinSlice(status.unassignedMachines, MOST_UNGRANTED, turn);
    const heard = heartbeatForwarding.recentByHolder(now);
    const { leader } = this;
    for (const { name } of this.context.settings.controllers) {
      if (name === this.context.settings.name) continue;
      const own: PeerStatus = {
        ...status,
        unchangedHeartbeats: roundRobinSlice(heard.get(name) ?? [], MOST_HEARD, turn),
        ...cancellationFreshness.pingAndEcho(name, now),
      };
      if (leader !== null && name !== leader) {
        own.shards = [];
        own.unassignedMachines = [];
      }
      this.context.emit({ type: 'sendStatus', to: name, status: own });
    }
  }

  private status(now: Milliseconds): PeerStatus {
    const { context } = this;
    const { shardController, leader, workerRouting } = this.sources;
    return {
      node: context.settings.name,
      shards: [...shardController.heldShards.keys()].map((shard) => shardController.shardSummary(shard, now)),
      runningJobs: [],
      runningJobsComplete: false,
      unassignedMachines: leader.unassignedMachines(now),
      unchangedHeartbeats: [],
      availableTypes: leader.isLeading ? leader.autoscaler.availableTypes() : [],
      isLeader: leader.isLeading,
      mayAnswerWorkers: this.sources.mayAnswerWorkers(now),
      reachesWorkers: shardController.machineLifecycle.failureDetector.reachesWorkers,
      wantedWritesPerS: Math.round(context.writer.wantedWritesPerS(now)),
      stateServiceAnswers: context.stateServiceAnswers(now),
      heardWorkers: workerRouting.servedWorkers(now),
      replicaLoaded: context.replica.loaded,
      cancellationRevision: context.clusterState.cancellationRevision,
      ping: '',
      echo: '',
    };
  }

  /**
   * A zone that is cut off still reaches the state service: without this, the leader would neither grant its new
   * machines nor rent for its waiting work until the cut ends.
   */
  private storeForLeader(now: Milliseconds): void {
    const { context, leader } = this;
    if (leader === null || leader === context.settings.name || context.isPeerAlive(leader, now)) return;
    if (
      !context.replica.loaded ||
      !context.isLeaseValid(now) ||
      this.isStoring ||
      now - this.storedAt < STORED_STATUS_INTERVAL_MS
    )
      return;
    this.storedAt = now;
    this.isStoring = true;
    const key = StateKey.status(context.settings.name);
    const status = fitStoredStatus(key, this.status(now), context.clusterState.sizeLimits.maxWriteBytes, this.storedCount++);
    context.writer.add({
      key,
      value: () => encodeStatus(status),
      expectedRevision: context.replica.get(key)?.revision ?? 0,
      priority: WritePriority.progress,
      expiresAt: now + STORED_STATUS_INTERVAL_MS,
      onOutcome: () => {
        this.isStoring = false;
      },
    });
  }
}
