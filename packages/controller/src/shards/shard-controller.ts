import type { ShardSummary } from '@archpost/protocol';
import { TaskAllocations } from '../allocation/task-allocations.js';
import type { ControllerContext } from '../context/index.js';
import { HeartbeatReconciler } from '../heartbeats/heartbeat-reconciler.js';
import type { RunningTasks } from '../leadership/running-task-deltas.js';
import { type Allocation, HIGHEST_PRIORITY, type Job, type Machine, type Milliseconds } from '../model/index.js';
import { QueueOrder } from '../scheduling/queue-order.js';
import { Scheduler } from '../scheduling/scheduler.js';
import { CommandDispatcher } from './command-dispatcher.js';
import { MachineLifecycle } from './machine-lifecycle.js';
import { ProgressWriter } from './progress-writer.js';
import { ShardSummaries } from './shard-summary.js';

/** All jobs are gone over this often for what time alone brings: plans to release, completions to store. */
const JOBS_MS = 300;

/** Decisions for the shares held here: what starts where, what stops, what is stored. */
export class ShardController {
  readonly allocations: TaskAllocations;
  readonly heartbeatReconciler: HeartbeatReconciler;
  readonly machineLifecycle: MachineLifecycle;
  readonly commandDispatcher: CommandDispatcher;
  private readonly progressWriter: ProgressWriter;
  private readonly queueOrder: QueueOrder;
  private readonly scheduler: Scheduler;
  private readonly shardSummaries: ShardSummaries;
  private summaryLoggedAt: Milliseconds = 0;
  private jobsCheckedAt: Milliseconds = -1e12;

  constructor(private readonly context: ControllerContext) {
    this.allocations = new TaskAllocations(context);
    this.progressWriter = new ProgressWriter(context, this.allocations);
    this.heartbeatReconciler = new HeartbeatReconciler(context, this.allocations, this.progressWriter);
    this.machineLifecycle = new MachineLifecycle(context, this.allocations);
    this.commandDispatcher = new CommandDispatcher(context, this.allocations, this.heartbeatReconciler);
    this.queueOrder = new QueueOrder(context, this.allocations);
    this.scheduler = new Scheduler(context, this.allocations, this.queueOrder);
    this.shardSummaries = new ShardSummaries(context, this.allocations, this.queueOrder, this.scheduler);
  }

  /** The shares held here. */
  get heldShards(): TaskAllocations['heldShards'] {
    return this.allocations.heldShards;
  }

  isSettled(share: number): boolean {
    for (const m of this.context.clusterState.machines.values()) if (m.shard === share && m.isUnverifiedTakeover) return false;
    // Not the last plan's leftovers: it left out what it could not prove yet.
    for (const j of this.context.clusterState.jobs.values())
      if (
        j.shard === share &&
        j.state === 'live' &&
        !j.isBlocked &&
        j.priority === HIGHEST_PRIORITY &&
        !this.allocations.failureAttribution.isCrashLooping(j) &&
        j.pendingCount() > 0
      )
        return false;
    return true;
  }

  requestScheduling(): void {
    this.allocations.schedulingRequested = true;
  }

  leaseAcquired(share: number, stamp: number, now: Milliseconds): void {
    this.allocations.heldShards.set(share, { shard: share, leaseRevision: stamp });
    for (const m of this.context.clusterState.machines.values()) {
      if (m.shard !== share) continue;
      this.resetMachine(m, now);
      this.context.clusterState.restoreImages(m);
      m.isUnverifiedTakeover = true;
    }
    for (const j of this.context.clusterState.jobs.values()) if (j.shard === share) this.resetJob(j);
    this.allocations.schedulingRequested = true;
  }

  leaseLost(share: number): void {
    this.allocations.heldShards.delete(share);
    this.shardSummaries.forget(share);
    for (const m of this.context.clusterState.machines.values()) {
      if (m.shard !== share) continue;
      m.allocations.clear();
      m.allocationsChanged();
      m.isVerified = false;
    }
    for (const j of [...this.context.clusterState.jobs.values()]) {
      if (j.shard !== share) continue;
      this.resetJob(j);
      this.context.clusterState.forgetIfFinished(j);
    }
  }

  private resetMachine(m: Machine, now: Milliseconds): void {
    m.allocations.clear();
    m.allocationsChanged();
    m.orphanedTasks = [];
    m.isVerified = false;
    m.isProbed = false;
    m.reportedPriority = -1;
    m.hasUncertainCommand = false;
    m.isRaisingToken = false;
    m.pendingCommandId = 0;
    m.retryAt = 0;
    m.agentEpoch = 0;
    m.sequence = -1;
    m.lastHeartbeatAt = now;
    m.unansweredCommands = 0;
    m.unansweredSince = -1;
    m.releaseReason = '';
    m.isReleasing = false;
    m.preemptionNoticeUntil = -1;
  }

  private resetJob(j: Job): void {
    j.allocations.clear();
    j.nextUntriedTask = 0;
    j.releasedTasks = [];
    j.gangAttempt = 0;
    j.gangFailed = false;
    j.progressWriteQueued = false;
    j.progressUnstored = true;
    j.completionWriteQueued = false;
  }

  machineChanged(m: Machine, moved: boolean, now: Milliseconds): void {
    if (m.shard < 0) {
      this.machineRemoved(m);
      return;
    }
    if (moved) {
      // Came to, or left, a share: what was known of it here is of no worth any more. Only
      // machines seen empty are handed over, so it bears nothing unknown.
      this.machineRemoved(m);
      this.resetMachine(m, now);
      m.isUnverifiedTakeover = false;
    }
    this.allocations.schedulingRequested = true;
  }

  /** Left to another share, or gone from the grants: nothing of ours is on it. */
  private machineRemoved(m: Machine): void {
    for (const p of [...m.allocations.values()]) this.allocations.free(p);
    m.allocations.clear();
    m.allocationsChanged();
    this.allocations.schedulingRequested = true;
  }

  jobChanged(j: Job): void {
    if (!this.allocations.heldShards.has(j.shard)) {
      this.context.clusterState.forgetIfFinished(j);
      return;
    }
    if (j.state === 'cancelled') {
      for (const p of [...j.allocations.values()]) this.allocations.stop(p, 0);
      this.context.clusterState.forgetIfFinished(j);
    }
    if (j.state === 'done') this.context.clusterState.forgetIfFinished(j);
    this.allocations.schedulingRequested = true;
  }

  /** Time that this process itself lost says nothing about the workers. */
  processPaused(ms: Milliseconds, now: Milliseconds): void {
    this.allocations.now = now;
    this.allocations.lastAnswerAt = now;
    this.allocations.unansweredMachines.clear();
    this.machineLifecycle.failureDetector.processPaused();
    for (const m of this.context.clusterState.machines.values()) {
      m.lastHeartbeatAt = Math.min(now, m.lastHeartbeatAt + ms);
      m.heardByPeerAt = Math.min(now, m.heardByPeerAt + ms);
      if (m.unansweredSince >= 0) m.unansweredSince = Math.min(now, m.unansweredSince + ms);
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
    for (const share of this.allocations.heldShards.keys()) {
      const s = this.shardSummary(share, now);
      const types: Record<string, string> = {};
      const by = new Map<string, { n: number; idle: number; unusable: number }>();
      for (const p of s.machines) {
        const m = this.context.clusterState.machines.get(p.name);
        const key = `${m?.capacity?.name ?? '?'}${m?.spot ? '*' : ''}`;
        const b = by.get(key) ?? { n: 0, idle: 0, unusable: 0 };
        b.n++;
        if (p.tasks === 0) b.idle++;
        if (m && !this.allocations.isSchedulable(m, now)) b.unusable++;
        by.set(key, b);
      }
      for (const [k, b] of by) types[k] = `${b.n} (${b.idle} idle, ${b.unusable} not usable)`;
      const accelerated: Record<string, string> = {};
      for (const m of this.context.clusterState.machines.values()) {
        if (m.shard !== share || !m.capacity || m.capacity.gpus === 0) continue;
        const on = new Map<string, number>();
        for (const p of m.allocations.values())
          on.set(`${p.job.spec.cls} ${p.phase}`, (on.get(`${p.job.spec.cls} ${p.phase}`) ?? 0) + 1);
        accelerated[`${m.name}${m.spot ? '*' : ''}`] = [...on].map(([k, n]) => `${n} ${k}`).join(', ');
      }
      const waiting = this.allocations.unmetDemand
        .filter((u) => u.job.shard === share)
        .map((u) => `${u.job.spec.cls} ${u.count} for ${Math.round((now - u.job.arrivedAt) / 1000)} s`);
      this.context.log('debug', 'share', { share, machines: types, accelerated, waiting });
    }
  }

  private checkJobs(now: Milliseconds): void {
    for (const j of this.context.clusterState.jobs.values()) {
      if (!this.allocations.heldShards.has(j.shard)) continue;
      if (j.state === 'live') this.progressWriter.storeProgress(j);
      else this.context.clusterState.forgetIfFinished(j);
      if (j.spec.shape === 'gang' && j.gangAttempt !== 0 && !j.gangFailed) this.checkGang(j, now);
      for (const p of j.allocations.values()) {
        if (
          j.spec.shape !== 'gang' &&
          p.phase === 'planned' &&
          now - p.plannedAt > this.context.settings.policy.planWaitS * 1000
        ) {
          this.allocations.free(p);
        }
        // Still saving long after it should have been done: end it.
        if (
          p.stopGraceS !== null &&
          p.stopGraceS > 0 &&
          p.firstStopSentAt >= 0 &&
          now - p.firstStopSentAt > (p.stopGraceS + 8) * 1000
        )
          this.allocations.stop(p, 0);
      }
    }
  }

  private checkGang(j: Job, now: Milliseconds): void {
    const all = [...j.allocations.values()];
    const planned = all.filter((p) => p.phase === 'planned');
    if (planned.length > 0) {
      if (now - (planned[0] as Allocation).plannedAt > this.context.settings.policy.planWaitS * 1000) {
        this.context.log('info', 'plan released', { job: j.spec.id });
        for (const p of planned) this.allocations.free(p);
      }
      return;
    }
    // Found partly started after a takeover, with nowhere for the rest to be.
    if (all.length < j.spec.tasks && j.doneCount < j.spec.tasks && !this.allocations.mayRunUnseen(j))
      this.allocations.failGang(j);
  }

  /** What is told of a share to the leader. */
  shardSummary(share: number, now: Milliseconds): ShardSummary {
    return this.shardSummaries.summaryOf(share, now);
  }

  /** Tasks that run and are done, by job, and how often one failed of those that fail everywhere. */
  runningJobs(): Map<string, RunningTasks> {
    const out = new Map<string, RunningTasks>();
    for (const j of this.context.clusterState.jobs.values()) {
      if (!this.allocations.heldShards.has(j.shard)) continue;
      let count = 0;
      for (const p of j.allocations.values()) if (p.phase === 'there' && p.status?.state === 'running') count++;
      const failed = this.allocations.failureAttribution.isCrashLooping(j) ? j.failureCount : 0;
      if (count > 0 || j.doneCount > 0 || failed > 0) out.set(j.spec.id, { count, done: j.doneCount, failed });
    }
    return out;
  }
}
