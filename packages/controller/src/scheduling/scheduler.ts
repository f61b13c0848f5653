import type { TaskAllocations } from '../allocation/index.js';
import type { CapacityView, ClusterStateView, Logger, SettingsView, ShardOwnership } from '../context/index.js';
import {
  countThatFit,
  type FreeResources,
  fits,
  type Job,
  type Machine,
  type Milliseconds,
  NEVER,
  type Resources,
  subtract,
} from '../model/index.js';
import { CandidateMachines } from './candidate-machines.js';
import { placeGang, topologyDomains } from './gang-placement.js';
import { MachineScoring } from './machine-scoring.js';
import { isAllowedOn, tasksPerZone, zoneAllowsTask } from './placement-constraints.js';
import { Preemption } from './preemption.js';
import type { QueueOrder, QuotaStatuses } from './queue-order.js';
import { ServiceEviction } from './service-eviction.js';

/** What has no room is planned for again after this long, if nothing else happens. */
const RESCHEDULE_INTERVAL_MS = 600;

/** Machines scored in a run for which scheduling then pauses a millisecond. */
const MACHINES_SCORED_PER_PAUSE_MS = 25;

/** Machines that a whole core scores in a millisecond (docs/results.md), and the part of the processor left to scheduling. */
const MACHINES_SCORED_PER_CORE_MS = 2000;
const SCHEDULING_CPU_SHARE = 0.25;

/** A service whose best place is worth less than this, in seconds of waiting, may have a better one cleared for it. */
const MIN_SERVICE_SCORE = -1;

/** What the scheduler needs of its controller. */
type SchedulerContext = SettingsView & ClusterStateView & CapacityView & ShardOwnership & Logger;

/** Which task goes where: the plan, in the order of the queue. */
export class Scheduler {
  private hasUnfinishedWork = false;
  private scheduledAt: Milliseconds = NEVER;
  private nextRunAt: Milliseconds = NEVER;
  private readonly machineScoring: MachineScoring;
  private readonly serviceEviction: ServiceEviction;
  private readonly preemption: Preemption;

  constructor(
    private readonly context: SchedulerContext,
    private readonly allocations: TaskAllocations,
    private readonly queueOrder: QueueOrder,
  ) {
    this.machineScoring = new MachineScoring(context, allocations, queueOrder);
    this.serviceEviction = new ServiceEviction(context, allocations, this.machineScoring);
    this.preemption = new Preemption(context, allocations, this.machineScoring);
  }

  /** Machines that can be cleared of their services. */
  evacuableMachines(shard: number, now: Milliseconds): Set<Machine> {
    return this.serviceEviction.evacuableMachines(shard, now);
  }

  /**
   * What has no room looks for it now and then; what happens is planned for soon. A plan
   * that weighs many places is followed by a longer pause, so that reports never wait long.
   */
  tick(now: Milliseconds): void {
    const again = this.hasUnfinishedWork && now - this.scheduledAt >= RESCHEDULE_INTERVAL_MS;
    if (!(this.allocations.schedulingRequested || again) || now < this.nextRunAt || !this.allocations.mayStart(now)) return;
    this.allocations.schedulingRequested = false;
    this.scheduledAt = now;
    this.schedule(now);
  }

  /** Everything of each team that is, or may be, on a machine. */
  private teamUsage(): { cpus: number; gpus: number }[] {
    const use = this.context.settings.teams.map(() => ({ cpus: 0, gpus: 0 }));
    for (const job of this.context.clusterState.jobs.values()) {
      const usage = use[job.teamIndex];
      if (!usage || !this.allocations.heldShards.has(job.shard)) continue;
      for (const allocation of job.tenure.allocations.values()) {
        if (allocation.phase === 'exited') continue;
        usage.cpus += job.spec.cpus;
        usage.gpus += job.spec.gpus;
      }
    }
    // Any team of the share may have work on a machine that hasn't answered yet.
    for (const machine of this.context.clusterState.machines.values()) {
      if (!machine.tenure.isUnverifiedTakeover || !this.allocations.heldShards.has(machine.shard)) continue;
      for (let teamIndex = 0; teamIndex < use.length; teamIndex++) {
        if (this.context.clusterState.shardOfTeam[teamIndex] !== machine.shard) continue;
        (use[teamIndex] as Resources).cpus += machine.capacity?.cpus ?? 0;
        (use[teamIndex] as Resources).gpus += machine.capacity?.gpus ?? 0;
      }
    }
    return use;
  }

  schedule(now: Milliseconds): void {
    const candidates: FreeResources[] = [];
    for (const machine of this.context.clusterState.machines.values())
      if (this.context.mayActFor(machine.shard) && this.allocations.isSchedulable(machine, now))
        candidates.push(this.allocations.freeResourcesOf(machine));
    const usage = this.teamUsage();
    const quotaStatuses = this.queueOrder.quotaStatuses();
    let machinesScored = 0;
    const queue = this.queueOrder.queue(quotaStatuses, now);
    this.preemption.beginRun();
    this.unschedulableKinds.clear();
    for (const { job } of queue)
      if (this.preemption.hasExhaustedWait(job) && !this.allocations.failureAttribution.isCrashLooping(job))
        this.preemption.pressingTasks.set(job.shard, (this.preemption.pressingTasks.get(job.shard) ?? 0) + job.pendingCount());
    this.allocations.unmetDemand = [];
    const unverifiedShards = this.allocations.shardsAwaitingVerification();
    let later = false;
    const crashLooping: Job[] = [];
    let open = candidates;
    for (const { job, quota, isAged } of queue) {
      if (now < job.retryAt) {
        later = true;
        continue;
      }
      if (unverifiedShards.has(job.shard) && this.allocations.mayRunUnseen(job)) continue;
      if (this.allocations.isStateUnconfirmed(job)) {
        later = true;
        continue;
      }
      if (this.allocations.failureAttribution.isCrashLooping(job)) {
        crashLooping.push(job);
        continue;
      }
      if (this.isKnownNotToFit(job, quota.withinQuota)) {
        this.allocations.unmetDemand.push({ job, count: job.pendingCount(), withinQuota: quota.withinQuota });
        continue;
      }
      machinesScored += candidates.length;
      const allowed = open.filter(
        (free) => free.machine.shard === job.shard && isAllowedOn(job, free.machine) && !job.failedOn.has(free.machine.name),
      );
      const left =
        job.spec.shape === 'gang'
          ? this.placeGangJob(job, quota.withinQuota, allowed, usage, quotaStatuses, now)
          : this.placeTasks(job, quota.withinQuota, allowed, usage, quotaStatuses, now);
      if (left > 0) {
        this.allocations.unmetDemand.push({ job, count: left, withinQuota: quota.withinQuota });
        this.rememberNoFit(job, quota.withinQuota);
      }
      if (isAged && job.tenure.allocations.size === 0) open = this.reserveForAgedGang(job, open, usage);
    }
    for (const job of crashLooping) this.retryCrashLooping(job, open, usage, now);
    later ||= crashLooping.length > 0;
    this.nextRunAt = now + this.pauseAfter(machinesScored);
    this.hasUnfinishedWork = later || this.allocations.unmetDemand.length > 0;
    this.machineScoring.shardsWithWaitingGangs.clear();
    for (const unmet of this.allocations.unmetDemand)
      if (unmet.job.spec.gpus > 0) this.machineScoring.shardsWithWaitingGangs.add(unmet.job.shard);
    this.serviceEviction.evictForGangs(now);
    this.serviceEviction.consolidate(now);
  }

  /** In proportion to the machines scored; with thousands of them and a long queue it may exceed the rescheduling interval. */
  private pauseAfter(machinesScored: number): Milliseconds {
    const planMs = machinesScored / MACHINES_SCORED_PER_CORE_MS;
    const least = planMs / (SCHEDULING_CPU_SHARE * this.context.settings.cpuShare);
    return Math.max(Math.min(RESCHEDULE_INTERVAL_MS, machinesScored / MACHINES_SCORED_PER_PAUSE_MS), least);
  }

  /**
   * Free machines that an aged gang could use are kept for it, up to what it lacks: smaller
   * work would take each as it comes free, and the gang would never see enough at once. The
   * oldest is planned for first, so two gangs don't wait for each other's.
   */
  private reserveForAgedGang(job: Job, candidates: FreeResources[], usage: { cpus: number; gpus: number }[]): FreeResources[] {
    const allowedNow = this.quotaLeft(job, usage) >= job.spec.tasks;
    // Its part of the team's limit is kept too.
    for (let index = 0; index < job.spec.tasks; index++) this.addUsage(usage, job);
    if (!allowedNow) return candidates;
    let missing = job.spec.tasks;
    const reserved = new Set<FreeResources>();
    for (const free of candidates) {
      if (missing <= 0) break;
      if (free.machine.shard !== job.shard || !isAllowedOn(job, free.machine) || job.failedOn.has(free.machine.name)) continue;
      const count = countThatFit(job.resources, free);
      if (count === 0) continue;
      reserved.add(free);
      missing -= count;
    }
    return reserved.size === 0 ? candidates : candidates.filter((free) => !reserved.has(free));
  }

  /**
   * What found no room in this plan, smallest first found: of a swarm of small jobs that are all
   * alike, one is scored, not each. Only what may go anywhere and stops nothing is left out so:
   * work of the lowest rank beyond any guarantee.
   */
  private readonly unschedulableKinds = new Map<string, Resources[]>();

  private interchangeableKind(job: Job, withinQuota: boolean): string | null {
    const spec = job.spec;
    if (
      job.priority > 0 ||
      withinQuota ||
      spec.shape !== 'array' ||
      spec.gpus > 0 ||
      spec.oneZone ||
      spec.spread ||
      job.failedOn.size > 0
    )
      return null;
    return `${job.shard}/${job.teamIndex}/${job.zoneIndex}/${spec.spot}/${job.typeIndices?.join(',') ?? ''}`;
  }

  private isKnownNotToFit(job: Job, withinQuota: boolean): boolean {
    const kind = this.interchangeableKind(job, withinQuota);
    if (kind === null) return false;
    return (
      this.unschedulableKinds
        .get(kind)
        ?.some((resources) => resources.cpus <= job.spec.cpus && resources.memory <= job.spec.memory) ?? false
    );
  }

  private rememberNoFit(job: Job, withinQuota: boolean): void {
    const kind = this.interchangeableKind(job, withinQuota);
    if (kind === null) return;
    const list = this.unschedulableKinds.get(kind);
    if (list) list.push(job.resources);
    else this.unschedulableKinds.set(kind, [job.resources]);
  }

  private quotaLeft(job: Job, use: { cpus: number; gpus: number }[]): number {
    const team = this.context.settings.teams[job.teamIndex];
    const usage = use[job.teamIndex];
    if (!team || !usage) return 0;
    let count = job.spec.tasks;
    if (team.maxCpus > 0 && job.spec.cpus > 0)
      count = Math.min(count, Math.floor((team.maxCpus - usage.cpus + 1e-6) / job.spec.cpus));
    if (team.maxGpus > 0 && job.spec.gpus > 0)
      count = Math.min(count, Math.floor((team.maxGpus - usage.gpus + 1e-6) / job.spec.gpus));
    return Math.max(0, count);
  }

  private placeTasks(
    job: Job,
    withinQuota: boolean,
    freeResources: FreeResources[],
    usage: { cpus: number; gpus: number }[],
    quotaStatuses: QuotaStatuses,
    now: Milliseconds,
  ): number {
    let left = job.pendingCount();
    const quota = this.quotaLeft(job, usage);
    let can = Math.min(left, quota);
    const unplaceable = left - can;
    const counts = tasksPerZone(job);
    if (job.waitingSince === null) job.waitingSince = now;
    const waited = now - job.waitingSince;
    this.machineScoring.beginJob();
    const candidates = new CandidateMachines(
      job,
      freeResources.filter((free) => this.machineScoring.mayUseMachine(job, free, waited)),
      (free) => this.machineScoring.score(job, free),
    );
    while (can > 0) {
      const best = candidates.best(counts);
      let candidate: FreeResources | null = best?.free ?? null;
      // A better place (the image at hand) may be had from lesser work.
      const mayGain = !best || (job.spec.shape === 'service' && best.score < MIN_SERVICE_SCORE);
      if (mayGain && this.preemption.hasVictims(job, withinQuota)) {
        const other = candidates.withHigherScore(best ? best.score + 1 : Number.NEGATIVE_INFINITY, counts);
        const open = best ? other.filter((free) => !this.preemption.hasProtectedWork(free.machine, quotaStatuses)) : other;
        candidate = this.preemption.evictFor(job, withinQuota, open, quotaStatuses, now) ?? candidate;
      }
      if (!candidate) break;
      const index = job.nextPendingTask();
      if (index < 0) break;
      this.allocateTask(job, index, candidate, usage, counts, now);
      if (this.preemption.hasExhaustedWait(job))
        this.preemption.pressingTasks.set(job.shard, (this.preemption.pressingTasks.get(job.shard) ?? 0) - 1);
      can--;
      left--;
    }
    if (left === 0) job.waitingSince = null;
    return left - unplaceable;
  }

  private allocateTask(
    job: Job,
    index: number,
    free: FreeResources,
    usage: { cpus: number; gpus: number }[],
    counts: Map<number, number>,
    now: Milliseconds,
  ): void {
    subtract(free, job.resources);
    this.allocations.allocate(job, index, this.allocations.nextAttempt(job.shard), free.machine, 'planned', now);
    this.addUsage(usage, job);
    counts.set(free.machine.zoneIndex, (counts.get(free.machine.zoneIndex) ?? 0) + 1);
  }

  private addUsage(use: { cpus: number; gpus: number }[], job: Job): void {
    const usage = use[job.teamIndex];
    if (!usage) return;
    usage.cpus += job.spec.cpus;
    usage.gpus += job.spec.gpus;
  }

  private placeGangJob(
    job: Job,
    withinQuota: boolean,
    candidates: FreeResources[],
    usage: { cpus: number; gpus: number }[],
    quotaStatuses: QuotaStatuses,
    now: Milliseconds,
  ): number {
    const count = job.spec.tasks;
    if (job.tenure.gangAttempt !== null || job.tenure.allocations.size > 0) return 0;
    if (this.quotaLeft(job, usage) < count) return 0;
    let machines = placeGang(job, count, candidates, (free) => this.machineScoring.score(job, free));
    if (!machines) {
      // By layers again, with what may be stopped taken as free; the domain with the least to stop wins.
      for (const layer of [0, 1, 2] as const) {
        if (layer === 2 && job.spec.oneZone) continue;
        for (const domain of topologyDomains(candidates, layer)) {
          const afterEviction = domain.map((free) => {
            const afterEviction = { ...free };
            for (const allocation of free.machine.tenure.allocations.values()) {
              if (!this.preemption.isVictim(allocation, job, withinQuota, quotaStatuses)) continue;
              afterEviction.cpus += allocation.job.spec.cpus;
              afterEviction.gpus += allocation.job.spec.gpus;
              afterEviction.memory += allocation.job.spec.memory;
            }
            return afterEviction;
          });
          const costs = new Map(
            domain.map((free) => [
              free.machine,
              this.preemption
                .victimsOn(job, withinQuota, free, quotaStatuses, now)
                ?.reduce((a, allocation) => a + this.preemption.stopCost(allocation, now), 0) ?? 1e9,
            ]),
          );
          machines = placeGang(job, count, afterEviction, (free) => -(costs.get(free.machine) ?? 0));
          if (machines) break;
        }
        if (machines) break;
      }
      if (!machines) return count;
      const per = new Map<Machine, number>();
      for (const machine of machines) per.set(machine, (per.get(machine) ?? 0) + 1);
      for (const [machine, c] of per) {
        const free = candidates.find((candidate) => candidate.machine === machine);
        if (!free) return count;
        const allocations = this.preemption.victimsOn(job, withinQuota, free, quotaStatuses, now, c);
        if (!allocations) return count;
        this.preemption.evict(allocations, free);
      }
    }
    this.allocateGang(job, machines, candidates, usage, now);
    return 0;
  }

  private allocateGang(
    job: Job,
    machines: Machine[],
    candidates: FreeResources[],
    usage: { cpus: number; gpus: number }[],
    now: Milliseconds,
  ): void {
    const attempt = this.allocations.nextAttempt(job.shard);
    job.tenure.gangAttempt = attempt;
    job.tenure.gangFailed = false;
    const pending = job.pendingTasks();
    machines.forEach((machine, index) => {
      const free = candidates.find((candidate) => candidate.machine === machine);
      if (free) subtract(free, job.resources);
      this.allocations.allocate(job, pending[index] as number, attempt, machine, 'planned', now);
      this.addUsage(usage, job);
    });
  }

  /**
   * What fails everywhere is tried now and then, after all else and where there is room: nothing
   * is stopped, moved or rented for it. Machines that have its image come first.
   */
  private retryCrashLooping(
    job: Job,
    candidates: FreeResources[],
    usage: { cpus: number; gpus: number }[],
    now: Milliseconds,
  ): void {
    const allowed = candidates.filter(
      (free) =>
        free.machine.shard === job.shard &&
        isAllowedOn(job, free.machine) &&
        job.spec.gpus > 0 === (free.machine.capacity?.gpus ?? 0) > 0,
    );
    const count = Math.min(this.allocations.failureAttribution.nextRetryCount(job, now), this.quotaLeft(job, usage));
    if (job.spec.shape === 'gang') {
      if (job.tenure.gangAttempt !== null || job.tenure.allocations.size > 0 || count < job.spec.tasks) return;
      const machines = placeGang(job, count, allowed, (free) => this.machineScoring.score(job, free));
      if (machines) this.allocateGang(job, machines, allowed, usage, now);
      return;
    }
    const counts = tasksPerZone(job);
    allowed.sort((a, b) => Number(b.machine.images.has(job.imageIndex)) - Number(a.machine.images.has(job.imageIndex)));
    for (let attempt = 0; attempt < count; attempt++) {
      const candidate = allowed.find((free) => fits(job.resources, free) && zoneAllowsTask(job, counts, free.machine.zoneIndex));
      const index = candidate ? job.nextUntriedTaskFirst() : -1;
      if (!candidate || index < 0) return;
      this.allocateTask(job, index, candidate, usage, counts, now);
    }
  }
}
