import type { ShardSummary } from '@archpost/protocol';
import type { TaskAllocations } from '../allocation/index.js';
import type {
  CapacityView,
  ClusterStateView,
  EffectSink,
  LeaseView,
  Logger,
  PeerDirectory,
  ReplicaView,
  SettingsView,
  ShardOwnership,
  StateFreshness,
  StateWriting,
} from '../context/index.js';
import {
  HIGHEST_PRIORITY,
  type Job,
  JobTenure,
  type Machine,
  MachineTenure,
  type Milliseconds,
  NEVER,
  type RunningTasks,
} from '../model/index.js';
import { QueueOrder, Scheduler } from '../scheduling/index.js';
import { CommandDispatcher } from './command-dispatcher.js';
import type { HeartbeatReconciliation } from './heartbeat-reconciliation.js';
import { JobChecks } from './job-checks.js';
import { MachineLifecycle } from './machine-lifecycle.js';
import type { ProgressWriter } from './progress-writer.js';
import { shardDebugSummary } from './shard-debug-summary.js';
import { ShardSummaries } from './shard-summary.js';

/** All jobs are gone over this often for what time alone brings: plans to release, completions to store. */
const JOB_CHECK_INTERVAL_MS = 300;

/** The summaries of all shards are logged this often. */
const SUMMARY_LOG_INTERVAL_MS = 10_000;

/** What the shard controller shares with the reconciliation of heartbeats. */
export interface ShardCollaborators {
  allocations: TaskAllocations;
  progressWriter: ProgressWriter;
  reconciler: HeartbeatReconciliation;
}

/** What the shard controller needs of its controller. */
type ShardControllerContext = SettingsView &
  ClusterStateView &
  ReplicaView &
  StateWriting &
  StateFreshness &
  CapacityView &
  LeaseView &
  ShardOwnership &
  PeerDirectory &
  EffectSink &
  Logger;

/** Decisions for the shares held here: what starts where, what stops, what is stored. */
export class ShardController {
  readonly allocations: TaskAllocations;
  readonly machineLifecycle: MachineLifecycle;
  readonly commandDispatcher: CommandDispatcher;
  private readonly progressWriter: ProgressWriter;
  private readonly jobChecks: JobChecks;
  private readonly queueOrder: QueueOrder;
  private readonly scheduler: Scheduler;
  private readonly shardSummaries: ShardSummaries;
  private summaryLoggedAt: Milliseconds = 0;
  private jobsCheckedAt: Milliseconds = NEVER;

  constructor(
    private readonly context: ShardControllerContext,
    { allocations, progressWriter, reconciler }: ShardCollaborators,
  ) {
    this.allocations = allocations;
    this.progressWriter = progressWriter;
    this.jobChecks = new JobChecks(context, allocations, progressWriter);
    this.machineLifecycle = new MachineLifecycle(context, this.allocations);
    this.commandDispatcher = new CommandDispatcher(context, this.allocations, reconciler);
    this.queueOrder = new QueueOrder(context, this.allocations);
    this.scheduler = new Scheduler(context, this.allocations, this.queueOrder);
    this.shardSummaries = new ShardSummaries(context, this.allocations, this.queueOrder, this.scheduler);
  }

  /** The shares held here. */
  get heldShards(): TaskAllocations['heldShards'] {
    return this.allocations.heldShards;
  }

  isSettled(shard: number): boolean {
    for (const machine of this.context.clusterState.machines.values())
      if (machine.shard === shard && machine.tenure.isUnverifiedTakeover) return false;
    // Not the last plan's leftovers: it left out what it could not prove yet.
    for (const job of this.context.clusterState.jobs.values())
      if (
        job.shard === shard &&
        job.state === 'live' &&
        !job.isBlocked &&
        job.priority === HIGHEST_PRIORITY &&
        !this.allocations.failureAttribution.isCrashLooping(job) &&
        job.pendingCount() > 0
      )
        return false;
    return true;
  }

  leaseAcquired(shard: number, revision: number, now: Milliseconds): void {
    this.allocations.heldShards.set(shard, { shard, leaseRevision: revision });
    for (const machine of this.context.clusterState.machines.values()) {
      if (machine.shard !== shard) continue;
      this.beginTenure(machine, true, now);
      this.context.clusterState.restoreImages(machine);
    }
    for (const job of this.context.clusterState.jobs.values()) if (job.shard === shard) job.tenure = new JobTenure();
    this.allocations.schedulingRequested = true;
  }

  leaseLost(shard: number): void {
    this.allocations.heldShards.delete(shard);
    this.shardSummaries.forget(shard);
    for (const machine of this.context.clusterState.machines.values()) {
      if (machine.shard !== shard) continue;
      machine.tenure.allocations.clear();
      machine.allocationsChanged();
      machine.tenure.isVerified = false;
    }
    for (const job of [...this.context.clusterState.jobs.values()]) {
      if (job.shard !== shard) continue;
      job.tenure = new JobTenure();
      this.context.clusterState.forgetIfFinished(job);
    }
  }

  private beginTenure(machine: Machine, isTakeover: boolean, now: Milliseconds): void {
    machine.tenure = new MachineTenure(now, isTakeover);
    machine.allocationsChanged();
  }

  machineChanged(machine: Machine, hasChangedShard: boolean, now: Milliseconds): void {
    if (machine.shard < 0) {
      this.machineRemoved(machine);
      return;
    }
    if (hasChangedShard) {
      // Came to, or left, a share: what was known of it here is of no worth any more. Only
      // machines seen empty are handed over, so it bears nothing unknown.
      this.machineRemoved(machine);
      this.beginTenure(machine, false, now);
    }
    this.allocations.schedulingRequested = true;
  }

  /** Left to another share, or gone from the grants: nothing of ours is on it. */
  private machineRemoved(machine: Machine): void {
    for (const allocation of [...machine.tenure.allocations.values()]) this.allocations.free(allocation);
    machine.tenure.allocations.clear();
    machine.allocationsChanged();
    this.allocations.schedulingRequested = true;
  }

  jobChanged(job: Job): void {
    if (!this.allocations.heldShards.has(job.shard)) {
      this.context.clusterState.forgetIfFinished(job);
      return;
    }
    if (job.state === 'cancelled') {
      for (const allocation of [...job.tenure.allocations.values()]) this.allocations.stop(allocation, 0);
      this.context.clusterState.forgetIfFinished(job);
    }
    if (job.state === 'done') this.context.clusterState.forgetIfFinished(job);
    this.allocations.schedulingRequested = true;
  }

  /** Time that this process itself lost says nothing about the workers. */
  processPaused(ms: Milliseconds, now: Milliseconds): void {
    this.allocations.now = now;
    this.allocations.lastAnswerAt = now;
    this.allocations.unansweredMachines.clear();
    this.machineLifecycle.failureDetector.processPaused();
    for (const machine of this.context.clusterState.machines.values()) {
      machine.tenure.lastHeartbeatAt = Math.min(now, machine.tenure.lastHeartbeatAt + ms);
      machine.heardByPeerAt = Math.min(now, machine.heardByPeerAt + ms);
      if (machine.tenure.unansweredSince !== null)
        machine.tenure.unansweredSince = Math.min(now, machine.tenure.unansweredSince + ms);
    }
  }

  tick(now: Milliseconds): void {
    this.allocations.now = now;
    this.machineLifecycle.failureDetector.probeForRecovery(now);
    if (now - this.summaryLoggedAt > SUMMARY_LOG_INTERVAL_MS) {
      this.summaryLoggedAt = now;
      this.logSummaries(now);
    }
    if (this.allocations.heldShards.size === 0 || !this.context.isLeaseValid(now)) return;
    if (now - this.jobsCheckedAt >= JOB_CHECK_INTERVAL_MS) {
      this.jobsCheckedAt = now;
      this.jobChecks.checkAll(now);
    }
    if (!this.context.isCatchingUp()) this.machineLifecycle.checkMachines(now);
    this.progressWriter.writeDueImages(now);
    this.scheduler.tick(now);
    this.commandDispatcher.dispatchAll(now);
  }

  private logSummaries(now: Milliseconds): void {
    const sources = { clusterState: this.context.clusterState, allocations: this.allocations };
    for (const shard of this.allocations.heldShards.keys()) {
      const { machines } = this.shardSummary(shard, now);
      this.context.log('debug', 'shard summary', { ...shardDebugSummary(sources, shard, machines, now) });
    }
  }

  /** What is told of a share to the leader. */
  shardSummary(shard: number, now: Milliseconds): ShardSummary {
    return this.shardSummaries.summaryOf(shard, now);
  }

  /** Tasks that run and are done, by job, and how often one failed of those that fail everywhere. */
  runningJobs(): Map<string, RunningTasks> {
    const result = new Map<string, RunningTasks>();
    for (const job of this.context.clusterState.jobs.values()) {
      if (!this.allocations.heldShards.has(job.shard)) continue;
      let count = 0;
      for (const allocation of job.tenure.allocations.values())
        if (allocation.phase === 'there' && allocation.status?.state === 'running') count++;
      const failed = this.allocations.failureAttribution.isCrashLooping(job) ? job.failureCount : 0;
      if (count > 0 || job.doneCount > 0 || failed > 0) result.set(job.spec.id, { count, done: job.doneCount, failed });
    }
    return result;
  }
}
