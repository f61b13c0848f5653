/**
 * The work of a controller for the shards whose leases it holds: it begins and ends tenures of shards, processes changes of
 * machines and jobs, and at each tick runs its parts in the order that they depend on. Owns the tenures of machines and jobs, and
 * the times of the last job check and of the last logged summaries.
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
import { WorkerResponses } from './worker-responses.js';

/** Interval between checks of all jobs of the held shards. */
const JOB_CHECK_INTERVAL_MS = 300;

/** Interval at which a debug summary of each held shard is logged. */
const SUMMARY_LOG_INTERVAL_MS = 10_000;

/** Objects that the shard controller shares with heartbeat reconciliation and therefore doesn't create itself. */
export interface ShardCollaborators {
  allocations: TaskAllocations;
  progressWriter: ProgressWriter;
  imageCacheWriter: ImageCacheWriter;
  reconciler: HeartbeatReconciliation;
}

/** The parts of the controller's context that `ShardController` and its parts use. */
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

/** Decides for the held shards which tasks start on which machines, which stop, and what is stored. */
export class ShardController {
  readonly allocations: TaskAllocations;
  private readonly machineLifecycle: MachineLifecycle;
  private readonly commandDispatcher: CommandDispatcher;
  private readonly workerResponses = new WorkerResponses();
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
    this.machineLifecycle = new MachineLifecycle(context, this.allocations, this.workerResponses, silence);
    this.commandDispatcher = new CommandDispatcher(context, this.allocations, reconciler, this.workerResponses);
    this.queueOrder = new QueueOrder(context, this.allocations);
    this.scheduler = new Scheduler(context, this.allocations, this.queueOrder);
    this.shardSummaries = new ShardSummaries(context, this.allocations, this.queueOrder, this.scheduler);
  }

  /** The held shards, with the revisions at which their leases were acquired. */
  get heldShards(): TaskAllocations['heldShards'] {
    return this.allocations.heldShards;
  }

  /**
   * Whether every machine of the shard has responded since the lease was acquired, and all tasks of jobs of the highest priority
   * that can be scheduled are allocated.
   */
  isSettled(shard: number): boolean {
    for (const machine of this.context.clusterState.machines.values())
      if (machine.shard === shard && machine.tenure.isUnverifiedTakeover) return false;
    // `unmetDemand` doesn't suffice: the scheduler omits tasks that may run on a machine that has not responded yet.
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

  /** Begins a tenure of the shard with new state: nothing from an earlier tenure, of this or another lease holder, is kept. */
  onLeaseAcquired(shard: number, revision: number, now: Milliseconds): void {
    this.allocations.heldShards.add(shard, revision);
    for (const machine of this.context.clusterState.machines.values()) {
      if (machine.shard !== shard) continue;
      this.beginTenure(machine, true, now);
      this.context.clusterState.restoreImages(machine);
    }
    for (const job of this.context.clusterState.jobs.values()) if (job.shard === shard) job.tenure = new JobTenure();
    this.allocations.schedulingRequested = true;
  }

  /** Ends the tenure of the shard. The next lease holder learns the shard's tasks from the workers. */
  onLeaseLost(shard: number): void {
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

  /**
   * Processes a written or removed assignment of a machine. `hasChangedShard`: the machine came from another shard, or is new.
   */
  onMachineChanged(machine: Machine, hasChangedShard: boolean, now: Milliseconds): void {
    // Not only `UNASSIGNED_SHARD`: a stored record with a shard number that doesn't exist is not rejected.
    if (machine.shard < 0) {
      this.forgetAllocations(machine);
      return;
    }
    if (hasChangedShard) {
      // Earlier state of the machine is no longer valid. Only machines on which nothing runs move between shards, so it has no
      // unknown tasks but exited ones.
      this.forgetAllocations(machine);
      this.beginTenure(machine, false, now);
    }
    this.allocations.schedulingRequested = true;
  }

  /** Processes a written or removed record of a job: stops the tasks of a cancelled one. */
  onJobChanged(job: Job): void {
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

  /** Whether this controller can reach workers, according to their responses. */
  get reachesWorkers(): boolean {
    return this.machineLifecycle.failureDetector.reachesWorkers;
  }

  /** Whether the zone with this name is cut off from this controller. */
  isZoneCut(zone: string): boolean {
    return this.machineLifecycle.failureDetector.isZoneNameCut(zone);
  }

  /** Processes the outcome of the command or probe with this effect id. */
  handleCommandOutcome(id: number, outcome: CommandOutcome, now: Milliseconds): void {
    this.commandDispatcher.handleOutcome(id, outcome, now);
  }

  /** Processes the outcome of a recovery probe. `isAnswered`: whether the worker responded. */
  handleProbeOutcome(id: number, isAnswered: boolean): void {
    this.machineLifecycle.failureDetector.handleProbeOutcome(id, isAnswered);
  }

  /** Processes the outcome of the release request with this effect id. */
  handleReleaseOutcome(id: number, isReleased: boolean, now: Milliseconds): void {
    this.machineLifecycle.handleReleaseOutcome(id, isReleased, now);
  }

  /** Records that inputs that arrived within the last `lagMs` may not have been processed yet: see `LocalHealth`. */
  recordLag(lagMs: Milliseconds, now: Milliseconds): void {
    this.localHealth.recordLag(lagMs, now);
  }

  /**
   * Accounts for a pause of this process that lasted `pauseMs` and ended at `now`: heartbeats could not be read meanwhile, so the
   * pause doesn't count as silence of workers.
   */
  onProcessPaused(pauseMs: Milliseconds, now: Milliseconds): void {
    this.allocations.advanceTo(now);
    this.localHealth.recordLag(pauseMs, now);
    this.workerResponses.recordResponse(now);
    this.machineLifecycle.failureDetector.onProcessPaused();
    for (const machine of this.context.clusterState.machines.values()) {
      machine.tenure.lastHeartbeatAt = Math.min(now, machine.tenure.lastHeartbeatAt + pauseMs);
      machine.lastPeerContactAt = Math.min(now, machine.lastPeerContactAt + pauseMs);
      if (machine.tenure.unansweredSince !== null)
        machine.tenure.unansweredSince = Math.min(now, machine.tenure.unansweredSince + pauseMs);
    }
  }

  /**
   * Runs the periodic work. The order matters: the job checks free overdue allocations before the scheduler runs, and the
   * dispatcher sends what the machine lifecycle and the scheduler decided.
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

  /** Returns the shard's summary for the leader and the status exchange. It may be cached for a short time. */
  shardSummary(shard: number, now: Milliseconds): ShardSummary {
    return this.shardSummaries.summaryOf(shard, now);
  }

  /**
   * Returns the task counts of the jobs of the held shards, by job id, for status queries at other controllers. Jobs without
   * running, completed or failed tasks are omitted.
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

  /** Frees the allocations of a machine whose shard changed or whose assignment was removed: no task of this shard is on it. */
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
