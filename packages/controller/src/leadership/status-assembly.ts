/**
 * Assembly of this controller's status, on which the other controllers base decisions. Owns no state.
 *
 * Fields that depend on the receiver (pings, unchanged heartbeats) or on earlier statuses (running jobs) are left empty.
 */
import type { PeerStatus } from '@archpost/protocol';
import type { ClusterStateView, ReplicaView, SettingsView, StateFreshness, StateWriting } from '../context/index.js';
import type { WorkerRouting } from '../heartbeats/index.js';
import type { Milliseconds } from '../model/index.js';
import type { ShardController } from '../shards/index.js';
import type { Leader } from './leader.js';

/** The sources of a status's fields. */
export interface StatusSources {
  shardController: ShardController;
  leader: Leader;
  workerRouting: WorkerRouting;
  /** Whether this controller may answer the heartbeats of workers. */
  mayAnswerWorkers(now: Milliseconds): boolean;
}

type StatusAssemblyContext = SettingsView & ClusterStateView & ReplicaView & StateWriting & StateFreshness;

/** Assembles statuses. Each is a new object that the caller may modify. */
export class StatusAssembly {
  constructor(
    private readonly context: StatusAssemblyContext,
    private readonly sources: StatusSources,
  ) {}

  /** Returns this controller's status as of `now`. */
  assemble(now: Milliseconds): PeerStatus {
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
      reachesWorkers: shardController.reachesWorkers,
      wantedWritesPerS: Math.round(context.writer.wantedWritesPerS(now)),
      stateServiceAnswers: context.stateServiceAnswers(now),
      heardWorkers: workerRouting.servedWorkerCount(now),
      replicaLoaded: context.replica.isLoaded,
      cancellationRevision: context.clusterState.cancellationRevision,
      ping: '',
      echo: '',
    };
  }
}
