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
  type Allocation,
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
import { MachineLifecycle } from './machine-lifecycle.js';
import type { ProgressWriter } from './progress-writer.js';
import { ShardSummaries } from './shard-summary.js';

/** All jobs are gone over this often for what time alone brings: plans to release, completions to store. */
const JOBS_MS = 300;

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
    this.allocations.heldShards.add(shard, revision);
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

  machineChanged(machine: Machine, moved: boolean, now: Milliseconds): void {
    if (machine.shard < 0) {
      this.machineRemoved(machine);
      return;
    }
    if (moved) {
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
    if (now - this.summaryLoggedAt > 10_000) {
      this.summaryLoggedAt = now;
      this.logSummary(now);
    }
    if (this.allocations.heldShards.size === 0 || !this.context.isLeaseValid(now)) return;
    if (now - this.jobsCheckedAt >= JOBS_MS) {
      this.jobsCheckedAt = now;
      this.checkJobs(now);
    }
    if (!this.context.isCatchingUp()) this.machineLifecycle.checkMachines(now);
    this.progressWriter.writeDueImages(now);
    this.scheduler.tick(now);
    this.commandDispatcher.dispatchAll(now);
  }

  /** What somebody reading the log wants to know first. */
  private logSummary(now: Milliseconds): void {
    for (const shard of this.allocations.heldShards.keys()) {
      const summary = this.shardSummary(shard, now);
      const types: Record<string, string> = {};
      const by = new Map<string, { n: number; idle: number; unusable: number }>();
      for (const machineSummary of summary.machines) {
        const machine = this.context.clusterState.machines.get(machineSummary.name);
        const key = `${machine?.capacity?.name ?? '?'}${machine?.spot ? '*' : ''}`;
        const counts = by.get(key) ?? { n: 0, idle: 0, unusable: 0 };
        counts.n++;
        if (machineSummary.tasks === 0) counts.idle++;
        if (machine && !this.allocations.isSchedulable(machine, now)) counts.unusable++;
        by.set(key, counts);
      }
      for (const [kind, counts] of by) types[kind] = `${counts.n} (${counts.idle} idle, ${counts.unusable} not usable)`;
      const accelerated: Record<string, string> = {};
      for (const machine of this.context.clusterState.machines.values()) {
        if (machine.shard !== shard || !machine.capacity || machine.capacity.gpus === 0) continue;
        const on = new Map<string, number>();
        for (const allocation of machine.tenure.allocations.values())
          on.set(
            `${allocation.job.spec.cls} ${allocation.phase}`,
            (on.get(`${allocation.job.spec.cls} ${allocation.phase}`) ?? 0) + 1,
          );
        accelerated[`${machine.name}${machine.spot ? '*' : ''}`] = [...on]
          .map(([label, count]) => `${count} ${label}`)
          .join(', ');
      }
      const waiting = this.allocations.unmetDemand
        .filter((unmet) => unmet.job.shard === shard)
        .map((unmet) => `${unmet.job.spec.cls} ${unmet.count} for ${Math.round((now - unmet.job.arrivedAt) / 1000)} s`);
      this.context.log('debug', 'shard summary', { shard, machines: types, accelerated, waiting });
    }
  }

  private checkJobs(now: Milliseconds): void {
    for (const job of this.context.clusterState.jobs.values()) {
      if (!this.allocations.heldShards.has(job.shard)) continue;
      if (job.state === 'live') this.progressWriter.storeProgress(job);
      else this.context.clusterState.forgetIfFinished(job);
      if (job.spec.shape === 'gang' && job.tenure.gangAttempt !== null && !job.tenure.gangFailed) this.checkGang(job, now);
      for (const allocation of job.tenure.allocations.values()) {
        if (
          job.spec.shape !== 'gang' &&
          allocation.phase === 'planned' &&
          now - allocation.plannedAt > this.context.settings.policy.planWaitS * 1000
        ) {
          this.allocations.free(allocation);
        }
        // Still saving long after it should have been done: end it.
        if (
          allocation.stopGraceS !== null &&
          allocation.stopGraceS > 0 &&
          allocation.firstStopSentAt !== null &&
          now - allocation.firstStopSentAt > (allocation.stopGraceS + 8) * 1000
        )
          this.allocations.stop(allocation, 0);
      }
    }
  }

  private checkGang(job: Job, now: Milliseconds): void {
    const all = [...job.tenure.allocations.values()];
    const planned = all.filter((allocation) => allocation.phase === 'planned');
    if (planned.length > 0) {
      if (now - (planned[0] as Allocation).plannedAt > this.context.settings.policy.planWaitS * 1000) {
        this.context.log('info', 'held allocations released', { job: job.spec.id });
        for (const allocation of planned) this.allocations.free(allocation);
      }
      return;
    }
    // Found partly started after a takeover, with nowhere for the rest to be.
    if (all.length < job.spec.tasks && job.doneCount < job.spec.tasks && !this.allocations.mayRunUnseen(job))
      this.allocations.failGang(job);
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
