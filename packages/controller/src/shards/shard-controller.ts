/**
 * What a controller does for the shards whose leases it holds: it begins and ends the tenure of a shard, takes changes of
 * machines and jobs, and at each tick has the parts act in an order that they rely on. Owns the tenures of machines and jobs,
 * and when jobs were last checked and summaries last logged.
 */
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
import type { CommandOutcome } from './command-outcomes.js';
import type { HeartbeatReconciliation } from './heartbeat-reconciliation.js';
import type { ImageCacheWriter } from './image-cache-writer.js';
import { JobChecks } from './job-checks.js';
import { LocalHealth } from './local-health.js';
import { MachineLifecycle } from './machine-lifecycle.js';
import { MachineSilence } from './machine-silence.js';
import type { ProgressWriter } from './progress-writer.js';
import { shardDebugSummary } from './shard-debug-summary.js';
import { ShardSummaries } from './shard-summary.js';
import { WorkerAnswers } from './worker-answers.js';

/** All jobs of the shards held here are checked this often. */
const JOB_CHECK_INTERVAL_MS = 300;

/** A debug summary of each shard held here is logged this often. */
const SUMMARY_LOG_INTERVAL_MS = 10_000;

/** What the shard controller shares with the reconciliation of heartbeats, and therefore does not make itself. */
export interface ShardCollaborators {
  allocations: TaskAllocations;
  progressWriter: ProgressWriter;
  imageCacheWriter: ImageCacheWriter;
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

/** The decisions for the shards held here: what starts where, what stops, and what is stored. */
export class ShardController {
  readonly allocations: TaskAllocations;
  private readonly machineLifecycle: MachineLifecycle;
  private readonly commandDispatcher: CommandDispatcher;
  private readonly workerAnswers = new WorkerAnswers();
  private readonly localHealth: LocalHealth;
  private readonly imageCacheWriter: ImageCacheWriter;
  private readonly jobChecks: JobChecks;
  private readonly queueOrder: QueueOrder;
  private readonly scheduler: Scheduler;
  private readonly shardSummaries: ShardSummaries;
  private summaryLoggedAt: Milliseconds = 0;
  private jobsCheckedAt: Milliseconds = NEVER;

  constructor(
    private readonly context: ShardControllerContext,
    { allocations, progressWriter, imageCacheWriter, reconciler }: ShardCollaborators,
  ) {
    this.allocations = allocations;
    this.imageCacheWriter = imageCacheWriter;
    this.jobChecks = new JobChecks(context, allocations, progressWriter);
    this.localHealth = new LocalHealth(context);
    const silence = new MachineSilence(context, this.localHealth);
    this.machineLifecycle = new MachineLifecycle(context, this.allocations, this.workerAnswers, silence);
    this.commandDispatcher = new CommandDispatcher(context, this.allocations, reconciler, this.workerAnswers);
    this.queueOrder = new QueueOrder(context, this.allocations);
    this.scheduler = new Scheduler(context, this.allocations, this.queueOrder);
    this.shardSummaries = new ShardSummaries(context, this.allocations, this.queueOrder, this.scheduler);
  }

  /** The shards held here, with the revisions at which their leases were acquired. */
  get heldShards(): TaskAllocations['heldShards'] {
    return this.allocations.heldShards;
  }

  /** Has every machine of the shard answered since the lease was acquired, and is all work of the highest priority placed? */
  isSettled(shard: number): boolean {
    for (const machine of this.context.clusterState.machines.values())
      if (machine.shard === shard && machine.tenure.isUnverifiedTakeover) return false;
    // `unmetDemand` would not do: the scheduler leaves out of it what may run on a machine that has not answered yet.
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

  /** A tenure begins: nothing that an earlier holder, or an earlier tenure of this one, knew or intended counts. */
  leaseAcquired(shard: number, revision: number, now: Milliseconds): void {
    this.allocations.heldShards.add(shard, revision);
    for (const machine of this.context.clusterState.machines.values()) {
      if (machine.shard !== shard) continue;
      this.beginTenure(machine, true, now);
      this.context.clusterState.restoreImages(machine);
    }
    for (const job of this.context.clusterState.jobs.values()) if (job.shard === shard) job.tenure = new JobTenure();
    this.allocations.schedulingRequested = true;
  }

  /** The tenure ends: the next holder learns of the shard's tasks from the workers. */
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

  /** The machine's stored assignment was written or removed. `hasChangedShard`: it came from another shard, or is new. */
  machineChanged(machine: Machine, hasChangedShard: boolean, now: Milliseconds): void {
    // Not only `UNASSIGNED_SHARD`: a stored record is not refused for a shard that there isn't.
    if (machine.shard < 0) {
      this.forgetAllocations(machine);
      return;
    }
    if (hasChangedShard) {
      // What was known of it here counts no more. Only machines that were seen empty are handed over, so there is nothing
      // on it that isn't known.
      this.forgetAllocations(machine);
      this.beginTenure(machine, false, now);
    }
    this.allocations.schedulingRequested = true;
  }

  /** The job's stored record was written or removed. */
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

  /** Can workers be reached from here, as far as their answers show? */
  get reachesWorkers(): boolean {
    return this.machineLifecycle.failureDetector.reachesWorkers;
  }

  /** Is the zone of this name cut off from here? */
  isZoneCut(zone: string): boolean {
    return this.machineLifecycle.failureDetector.isZoneNameCut(zone);
  }

  /** The outcome of the command or probe with this effect id. */
  handleCommandOutcome(id: number, outcome: CommandOutcome, now: Milliseconds): void {
    this.commandDispatcher.handleOutcome(id, outcome, now);
  }

  /** The outcome of a probe for recovery: did the worker answer? */
  handleProbeOutcome(id: number, isAnswered: boolean): void {
    this.machineLifecycle.failureDetector.handleProbeOutcome(id, isAnswered);
  }

  /** The outcome of the release request with this effect id. */
  handleReleaseOutcome(id: number, isReleased: boolean, now: Milliseconds): void {
    this.machineLifecycle.handleReleaseOutcome(id, isReleased, now);
  }

  /** What arrived within the last `lagMs` may not have been taken yet: see `LocalHealth`. */
  recordLag(lagMs: Milliseconds, now: Milliseconds): void {
    this.localHealth.recordLag(lagMs, now);
  }

  /** This process was paused until `now`: workers that it did not hear meanwhile were not silent. */
  processPaused(pauseMs: Milliseconds, now: Milliseconds): void {
    this.allocations.advanceTo(now);
    this.localHealth.recordLag(pauseMs, now);
    this.workerAnswers.recordAnswer(now);
    this.machineLifecycle.failureDetector.processPaused();
    for (const machine of this.context.clusterState.machines.values()) {
      machine.tenure.lastHeartbeatAt = Math.min(now, machine.tenure.lastHeartbeatAt + pauseMs);
      machine.heardByPeerAt = Math.min(now, machine.heardByPeerAt + pauseMs);
      if (machine.tenure.unansweredSince !== null)
        machine.tenure.unansweredSince = Math.min(now, machine.tenure.unansweredSince + pauseMs);
    }
  }

  /**
   * The order matters: jobs free what waited for too long before the scheduler plans, and the dispatcher sends what the
   * machine lifecycle and the scheduler decided.
   */
  tick(now: Milliseconds): void {
    this.allocations.advanceTo(now);
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
    this.imageCacheWriter.writeDue(now);
    this.scheduler.tick(now);
    this.commandDispatcher.dispatchAll(now);
  }

  /** The shard's summary for the leader and the status exchange; at most a moment old. */
  shardSummary(shard: number, now: Milliseconds): ShardSummary {
    return this.shardSummaries.summaryOf(shard, now);
  }

  /**
   * How far the jobs of the shards held here are, by id, for the status queries of other controllers. Jobs without running,
   * completed or failed tasks are left out.
   */
  runningJobs(): Map<string, RunningTasks> {
    const result = new Map<string, RunningTasks>();
    for (const job of this.context.clusterState.jobs.values()) {
      if (!this.allocations.heldShards.has(job.shard)) continue;
      const count = job.runningCount();
      const failed = this.allocations.failureAttribution.isCrashLooping(job) ? job.failureCount : 0;
      if (count > 0 || job.doneCount > 0 || failed > 0) result.set(job.spec.id, { count, done: job.doneCount, failed });
    }
    return result;
  }

  private beginTenure(machine: Machine, isTakeover: boolean, now: Milliseconds): void {
    machine.tenure = new MachineTenure(now, isTakeover);
    machine.allocationsChanged();
  }

  /** It went to another shard, or its assignment is gone: none of our tasks is on it. */
  private forgetAllocations(machine: Machine): void {
    for (const allocation of [...machine.tenure.allocations.values()]) this.allocations.free(allocation);
    machine.tenure.allocations.clear();
    machine.allocationsChanged();
    this.allocations.schedulingRequested = true;
  }

  private logSummaries(now: Milliseconds): void {
    const sources = { clusterState: this.context.clusterState, allocations: this.allocations };
    for (const shard of this.allocations.heldShards.keys()) {
      const { machines } = this.shardSummary(shard, now);
      this.context.log('debug', 'shard summary', { ...shardDebugSummary(sources, shard, machines, now) });
    }
  }
}
