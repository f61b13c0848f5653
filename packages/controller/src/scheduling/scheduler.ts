/**
 * The scheduler: decides when a scheduling run is due, takes the snapshot that the run works on, and processes the queue. Owns
 * the times of the runs; its decisions are planned allocations and the unmet demand in `TaskAllocations`.
 */
import { freeResourcesOf, shardsAwaitingVerification, type TaskAllocations, type UnmetDemand } from '../allocation/index.js';
import type { CapacityView, ClusterStateView, Logger, SettingsView, ShardOwnership } from '../context/index.js';
import { type FreeResources, type Job, type Machine, type Milliseconds, NEVER } from '../model/index.js';
import { reserveForAgedGang } from './aged-gang-reservation.js';
import { Binder } from './binding.js';
import { CrashLoopRetries } from './crash-loop-retries.js';
import { placeGang } from './gang-placement.js';
import { GangPreemption } from './gang-preemption.js';
import { GangServiceEviction } from './gang-service-eviction.js';
import { GpuMachines } from './gpu-machines.js';
import { MachineEligibility } from './machine-eligibility.js';
import { MachineScoring } from './machine-scoring.js';
import { isCandidateFor } from './placement-constraints.js';
import { Preemption } from './preemption.js';
import type { QueueOrder } from './queue-order.js';
import type { QueuedJob } from './queued-job.js';
import type { SchedulingRun } from './scheduling-run.js';
import { ServiceConsolidation } from './service-consolidation.js';
import { ServiceEvacuation } from './service-evacuation.js';
import { TaskPlacement } from './task-placement.js';
import { measureTeamUsage } from './team-usage.js';
import { UnschedulableKinds } from './unschedulable-kinds.js';

/** Jobs that didn't fit are tried again after this long if nothing else triggers a run. */
const RESCHEDULE_INTERVAL_MS = 600;

/** The pause after a run is one millisecond per this many machines considered, up to `RESCHEDULE_INTERVAL_MS`. */
const MACHINES_PER_PAUSE_MS = 25;

/** Machines that a run considers in one millisecond of a whole processor core (docs/results.md). */
const MACHINES_PER_CORE_MS = 2000;

/** The share of this controller's processor time that scheduling may use. */
const SCHEDULING_CPU_SHARE = 0.25;

/** The parts of the controller's context that the scheduler uses. */
type SchedulerContext = SettingsView & ClusterStateView & CapacityView & ShardOwnership & Logger;

/** How a run handles a job in the queue. */
type Readiness =
  /** placed as far as it fits */
  | 'ready'
  /** deferred to a later run, which is due even if nothing else triggers one */
  | 'postponed'
  /** one of its tasks may run on a machine that has not responded to a probe yet; the response triggers another run */
  | 'unverified'
  /** retried after all other jobs */
  | 'crash-looping';

/** The outcome of a scheduling run. */
interface RunOutcome {
  readonly unmetDemand: UnmetDemand[];
  readonly crashLoopingJobs: Job[];
  hasPostponedJobs: boolean;
  /** machines considered, counted once for each job that considered them */
  machinesConsidered: number;
}

/** Places the tasks of waiting jobs on the machines of the shards held by this controller. */
export class Scheduler {
  private hasUnplacedJobs = false;
  private lastRunAt: Milliseconds = NEVER;
  private nextRunAt: Milliseconds = NEVER;
  private readonly machineScoring: MachineScoring;
  private readonly machineEligibility: MachineEligibility;
  private readonly preemption: Preemption;
  private readonly gangPreemption: GangPreemption;
  private readonly binder: Binder;
  private readonly taskPlacement: TaskPlacement;
  private readonly crashLoopRetries: CrashLoopRetries;
  private readonly serviceEvacuation: ServiceEvacuation;
  private readonly gangServiceEviction: GangServiceEviction;
  private readonly serviceConsolidation: ServiceConsolidation;
  private readonly unschedulableKinds = new UnschedulableKinds();

  constructor(
    private readonly context: SchedulerContext,
    private readonly allocations: TaskAllocations,
    private readonly queueOrder: QueueOrder,
  ) {
    const gpuMachines = new GpuMachines(context);
    this.machineScoring = new MachineScoring(context, gpuMachines);
    this.machineEligibility = new MachineEligibility({ context, allocations, queueOrder, gpuMachines });
    this.preemption = new Preemption(context, allocations, this.machineScoring);
    this.gangPreemption = new GangPreemption(this.preemption);
    this.binder = new Binder(allocations);
    this.taskPlacement = new TaskPlacement(this.machineEligibility, this.machineScoring, this.preemption, this.binder);
    this.crashLoopRetries = new CrashLoopRetries(allocations, this.machineScoring, this.binder);
    this.serviceEvacuation = new ServiceEvacuation(context, allocations, gpuMachines);
    this.gangServiceEviction = new GangServiceEviction(context, allocations, this.serviceEvacuation);
    this.serviceConsolidation = new ServiceConsolidation(context, allocations, gpuMachines);
  }

  /** Returns the machines of the shard whose services fit on other machines. */
  evacuableMachines(shard: number, now: Milliseconds): Set<Machine> {
    return this.serviceEvacuation.evacuableMachines(shard, now);
  }

  /**
   * Starts a run soon after one is requested, and at intervals while work remains unplaced. A run that considers many machines
   * is followed by a longer pause, so that heartbeats never wait long.
   */
  tick(now: Milliseconds): void {
    const isRetryDue = this.hasUnplacedJobs && now - this.lastRunAt >= RESCHEDULE_INTERVAL_MS;
    const isDue = (this.allocations.schedulingRequested || isRetryDue) && now >= this.nextRunAt;
    if (!isDue || !this.allocations.startFreshness.mayStart(now)) return;
    this.allocations.schedulingRequested = false;
    this.lastRunAt = now;
    this.run(now);
  }

  private run(now: Milliseconds): void {
    const run = this.takeSnapshot(now);
    const queue = this.queueOrder.queue(run.quotaStatuses, now);
    const outcome = this.placeQueue(queue, run);
    for (const job of outcome.crashLoopingJobs) this.crashLoopRetries.retry(job, run);
    this.nextRunAt = now + this.pauseAfter(outcome.machinesConsidered);
    this.hasUnplacedJobs = outcome.hasPostponedJobs || outcome.crashLoopingJobs.length > 0 || outcome.unmetDemand.length > 0;
    this.allocations.recordUnmetDemand(outcome.unmetDemand);
    this.machineEligibility.recordUnmetDemand(outcome.unmetDemand);
    this.gangServiceEviction.evictFor(outcome.unmetDemand, now);
    this.serviceConsolidation.consolidate(now);
  }

  private takeSnapshot(now: Milliseconds): SchedulingRun {
    const freeResources: FreeResources[] = [];
    for (const machine of this.context.clusterState.machines.values())
      if (this.context.mayActFor(machine.shard) && this.allocations.isSchedulable(machine, now))
        freeResources.push(freeResourcesOf(machine));
    return {
      now,
      usage: measureTeamUsage(this.context, this.allocations.heldShards),
      quotaStatuses: this.queueOrder.quotaStatuses(),
      freeResources,
      unreserved: freeResources,
    };
  }

  /** Places jobs in queue order, as far as they fit. */
  private placeQueue(queue: readonly QueuedJob[], run: SchedulingRun): RunOutcome {
    const outcome: RunOutcome = { unmetDemand: [], crashLoopingJobs: [], hasPostponedJobs: false, machinesConsidered: 0 };
    this.preemption.beginRun(queue, run.now);
    this.unschedulableKinds.clear();
    const unverifiedShards = shardsAwaitingVerification(this.context.clusterState.machines);
    for (const queued of queue) {
      const readiness = this.readinessOf(queued.job, unverifiedShards, run.now);
      switch (readiness) {
        case 'ready':
          this.placeJob(queued, run, outcome);
          break;
        case 'postponed':
          outcome.hasPostponedJobs = true;
          break;
        case 'crash-looping':
          outcome.crashLoopingJobs.push(queued.job);
          break;
        case 'unverified':
          break;
        default:
          readiness satisfies never;
      }
    }
    return outcome;
  }

  private readinessOf(job: Job, unverifiedShards: ReadonlySet<number>, now: Milliseconds): Readiness {
    if (now < job.retryAt) return 'postponed';
    if (unverifiedShards.has(job.shard) && this.allocations.mayRunUnreported(job)) return 'unverified';
    if (this.allocations.startFreshness.isStateUnconfirmed(job)) return 'postponed';
    if (this.allocations.failureAttribution.isCrashLooping(job)) return 'crash-looping';
    return 'ready';
  }

  private placeJob(queued: QueuedJob, run: SchedulingRun, outcome: RunOutcome): void {
    const { job, isAged } = queued;
    const { withinQuota } = queued.quota;
    if (this.unschedulableKinds.includes(job, withinQuota)) {
      outcome.unmetDemand.push({ job, count: job.pendingCount(), withinQuota });
      return;
    }
    outcome.machinesConsidered += run.freeResources.length;
    const candidates = run.unreserved.filter((free) => isCandidateFor(job, free.machine));
    const unplacedCount =
      job.spec.shape === 'gang' ? this.placeGangJob(queued, candidates, run) : this.taskPlacement.place(queued, candidates, run);
    if (unplacedCount > 0) {
      outcome.unmetDemand.push({ job, count: unplacedCount, withinQuota });
      this.unschedulableKinds.add(job, withinQuota);
    }
    if (isAged && job.tenure.allocations.size === 0) reserveForAgedGang(job, run);
  }

  /** Places the gang as a whole or not at all. Returns how many of its tasks didn't fit. */
  private placeGangJob(queued: QueuedJob, candidates: readonly FreeResources[], run: SchedulingRun): number {
    const { job } = queued;
    const { tasks } = job.spec;
    const hasAttempt = job.tenure.gangAttempt !== null || job.tenure.allocations.size > 0;
    if (hasAttempt || run.usage.remainingTasks(job) < tasks) return 0;
    const machines =
      placeGang(job, tasks, candidates, (free) => this.machineScoring.score(job, free)) ??
      this.gangPreemption.preemptFor(queued, candidates, run);
    if (!machines) return tasks;
    this.binder.bindGang(job, machines, candidates, run);
    return 0;
  }

  /**
   * Returns the pause after a run, which is proportional to the machines considered. With thousands of machines and a long
   * queue it exceeds `RESCHEDULE_INTERVAL_MS`.
   */
  private pauseAfter(machinesConsidered: number): Milliseconds {
    const runMs = machinesConsidered / MACHINES_PER_CORE_MS;
    const minPauseMs = runMs / (SCHEDULING_CPU_SHARE * this.context.settings.cpuShare);
    return Math.max(Math.min(RESCHEDULE_INTERVAL_MS, machinesConsidered / MACHINES_PER_PAUSE_MS), minPauseMs);
  }
}
