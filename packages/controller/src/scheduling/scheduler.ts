import type { TaskAllocations } from '../allocation/task-allocations.js';
import type { ControllerContext } from '../context/index.js';
import type { Job, Machine, Milliseconds, Resources } from '../model/index.js';
import { CandidateMachines } from './candidate-machines.js';
import { MachineScoring } from './machine-scoring.js';
import {
  countThatFit,
  type FreeResources,
  fits,
  isAllowedOn,
  placeGang,
  subtract,
  tasksPerZone,
  topologyDomains,
  zoneAllowsTask,
} from './placement.js';
import { Preemption } from './preemption.js';
import type { QueueOrder, QuotaStatuses } from './queue-order.js';
import { ServiceEviction } from './service-eviction.js';

/** What has no room is planned for again after this long, if nothing else happens. */
const REPLAN_MS = 600;

/** Places weighed by a plan for which planning pauses a millisecond. */
const WEIGHED_PER_MS = 25;

/** Places that a whole core weighs in a millisecond (docs/results.md), and the part of the processor left to plans. */
const WEIGHED_PER_MS_OF_CORE = 2000;
const PLAN_SHARE_OF_PROCESSOR = 0.25;

/** A service whose best place is worth less than this, in seconds of waiting, may have a better one cleared for it. */
const WORTH_STOPPING_FOR = -1;

/** Which task goes where: the plan, in the order of the queue. */
export class Scheduler {
  private hasUnfinishedWork = false;
  private scheduledAt: Milliseconds = -1e12;
  private nextRunAt: Milliseconds = -1e12;
  private readonly machineScoring: MachineScoring;
  private readonly serviceEviction: ServiceEviction;
  private readonly preemption: Preemption;

  constructor(
    private readonly context: ControllerContext,
    private readonly allocations: TaskAllocations,
    private readonly queueOrder: QueueOrder,
  ) {
    this.machineScoring = new MachineScoring(context, allocations, queueOrder);
    this.serviceEviction = new ServiceEviction(context, allocations, this.machineScoring);
    this.preemption = new Preemption(context, allocations, this.machineScoring);
  }

  /** Machines that can be cleared of their services. */
  evacuableMachines(share: number, now: Milliseconds): Set<Machine> {
    return this.serviceEviction.evacuableMachines(share, now);
  }

  /**
   * What has no room looks for it now and then; what happens is planned for soon. A plan
   * that weighs many places is followed by a longer pause, so that reports never wait long.
   */
  tick(now: Milliseconds): void {
    const again = this.hasUnfinishedWork && now - this.scheduledAt >= REPLAN_MS;
    if (!(this.allocations.schedulingRequested || again) || now < this.nextRunAt || !this.allocations.mayStart(now)) return;
    this.allocations.schedulingRequested = false;
    this.scheduledAt = now;
    this.schedule(now);
  }

  /** Everything of each team that is, or may be, on a machine. */
  private teamUsage(): { cpus: number; gpus: number }[] {
    const use = this.context.settings.teams.map(() => ({ cpus: 0, gpus: 0 }));
    for (const j of this.context.clusterState.jobs.values()) {
      const u = use[j.teamIndex];
      if (!u || !this.allocations.heldShards.has(j.shard)) continue;
      for (const p of j.allocations.values()) {
        if (p.phase === 'exited') continue;
        u.cpus += j.spec.cpus;
        u.gpus += j.spec.gpus;
      }
    }
    // Any team of the share may have work on a machine that hasn't answered yet.
    for (const m of this.context.clusterState.machines.values()) {
      if (!m.isUnverifiedTakeover || !this.allocations.heldShards.has(m.shard)) continue;
      for (let t = 0; t < use.length; t++) {
        if (this.context.clusterState.shardOfTeam[t] !== m.shard) continue;
        (use[t] as Resources).cpus += m.capacity?.cpus ?? 0;
        (use[t] as Resources).gpus += m.capacity?.gpus ?? 0;
      }
    }
    return use;
  }

  schedule(now: Milliseconds): void {
    const rooms: FreeResources[] = [];
    for (const m of this.context.clusterState.machines.values())
      if (this.context.mayActFor(m.shard) && this.allocations.isSchedulable(m, now))
        rooms.push(this.allocations.freeResourcesOf(m));
    const use = this.teamUsage();
    const guar = this.queueOrder.quotaStatuses();
    let weighed = 0;
    const queue = this.queueOrder.queue(guar, now);
    this.preemption.beginRun();
    this.exhaustedKinds.clear();
    for (const { j } of queue)
      if (this.preemption.hasExhaustedWait(j) && !this.allocations.failureAttribution.isCrashLooping(j))
        this.preemption.pressingTasks.set(j.shard, (this.preemption.pressingTasks.get(j.shard) ?? 0) + j.pendingCount());
    this.allocations.unmetDemand = [];
    const suspects = this.allocations.shardsAwaitingVerification();
    let later = false;
    const broken: Job[] = [];
    let open = rooms;
    for (const { j, g, aged } of queue) {
      if (now < j.retryAt) {
        later = true;
        continue;
      }
      if (suspects.has(j.shard) && this.allocations.mayRunUnseen(j)) continue;
      if (this.allocations.isStateUnconfirmed(j)) {
        later = true;
        continue;
      }
      if (this.allocations.failureAttribution.isCrashLooping(j)) {
        broken.push(j);
        continue;
      }
      if (this.isKnownNotToFit(j, g.withinQuota)) {
        this.allocations.unmetDemand.push({ job: j, count: j.pendingCount(), withinQuota: g.withinQuota });
        continue;
      }
      weighed += rooms.length;
      const mine = open.filter(
        (r) => r.machine.shard === j.shard && isAllowedOn(j, r.machine) && !j.failedOn.has(r.machine.name),
      );
      const left =
        j.spec.shape === 'gang'
          ? this.placeGangJob(j, g.withinQuota, mine, use, guar, now)
          : this.placeTasks(j, g.withinQuota, mine, use, guar, now);
      if (left > 0) {
        this.allocations.unmetDemand.push({ job: j, count: left, withinQuota: g.withinQuota });
        this.rememberNoFit(j, g.withinQuota);
      }
      if (aged && j.allocations.size === 0) open = this.reserveForAgedGang(j, open, use);
    }
    for (const j of broken) this.retryCrashLooping(j, open, use, now);
    later ||= broken.length > 0;
    this.nextRunAt = now + this.pauseAfter(weighed);
    this.hasUnfinishedWork = later || this.allocations.unmetDemand.length > 0;
    this.machineScoring.shardsWithWaitingGangs.clear();
    for (const u of this.allocations.unmetDemand)
      if (u.job.spec.gpus > 0) this.machineScoring.shardsWithWaitingGangs.add(u.job.shard);
    this.serviceEviction.evictForGangs(now);
    this.serviceEviction.consolidate(now);
  }

  /** In proportion to what was weighed; with thousands of machines and a long queue that may be longer than a replan. */
  private pauseAfter(weighed: number): Milliseconds {
    const planMs = weighed / WEIGHED_PER_MS_OF_CORE;
    const least = planMs / (PLAN_SHARE_OF_PROCESSOR * this.context.settings.cpuShare);
    return Math.max(Math.min(REPLAN_MS, weighed / WEIGHED_PER_MS), least);
  }

  /**
   * Free machines that an aged gang could use are kept for it, up to what it lacks: smaller
   * work would take each as it comes free, and the gang would never see enough at once. The
   * oldest is planned for first, so two gangs don't wait for each other's.
   */
  private reserveForAgedGang(j: Job, rooms: FreeResources[], use: { cpus: number; gpus: number }[]): FreeResources[] {
    const allowedNow = this.quotaLeft(j, use) >= j.spec.tasks;
    // Its part of the team's limit is kept too.
    for (let i = 0; i < j.spec.tasks; i++) this.addUsage(use, j);
    if (!allowedNow) return rooms;
    let lacks = j.spec.tasks;
    const kept = new Set<FreeResources>();
    for (const r of rooms) {
      if (lacks <= 0) break;
      if (r.machine.shard !== j.shard || !isAllowedOn(j, r.machine) || j.failedOn.has(r.machine.name)) continue;
      const n = countThatFit(j.resources, r);
      if (n === 0) continue;
      kept.add(r);
      lacks -= n;
    }
    return kept.size === 0 ? rooms : rooms.filter((r) => !kept.has(r));
  }

  /**
   * What found no room in this plan, smallest first found: of a swarm of small jobs that are all
   * alike, one is weighed, not each. Only what may go anywhere and stops nothing is left out so:
   * work of the lowest rank beyond any guarantee.
   */
  private readonly exhaustedKinds = new Map<string, Resources[]>();

  private interchangeableKind(j: Job, within: boolean): string | null {
    const s = j.spec;
    if (j.priority > 0 || within || s.shape !== 'array' || s.gpus > 0 || s.oneZone || s.spread || j.failedOn.size > 0)
      return null;
    return `${j.shard}/${j.teamIndex}/${j.zoneIndex}/${s.spot}/${j.typeIndices?.join(',') ?? ''}`;
  }

  private isKnownNotToFit(j: Job, within: boolean): boolean {
    const kind = this.interchangeableKind(j, within);
    if (kind === null) return false;
    return this.exhaustedKinds.get(kind)?.some((n) => n.cpus <= j.spec.cpus && n.memory <= j.spec.memory) ?? false;
  }

  private rememberNoFit(j: Job, within: boolean): void {
    const kind = this.interchangeableKind(j, within);
    if (kind === null) return;
    const list = this.exhaustedKinds.get(kind);
    if (list) list.push(j.resources);
    else this.exhaustedKinds.set(kind, [j.resources]);
  }

  private quotaLeft(j: Job, use: { cpus: number; gpus: number }[]): number {
    const t = this.context.settings.teams[j.teamIndex];
    const u = use[j.teamIndex];
    if (!t || !u) return 0;
    let n = j.spec.tasks;
    if (t.maxCpus > 0 && j.spec.cpus > 0) n = Math.min(n, Math.floor((t.maxCpus - u.cpus + 1e-6) / j.spec.cpus));
    if (t.maxGpus > 0 && j.spec.gpus > 0) n = Math.min(n, Math.floor((t.maxGpus - u.gpus + 1e-6) / j.spec.gpus));
    return Math.max(0, n);
  }

  private placeTasks(
    j: Job,
    within: boolean,
    rooms: FreeResources[],
    use: { cpus: number; gpus: number }[],
    guar: QuotaStatuses,
    now: Milliseconds,
  ): number {
    let left = j.pendingCount();
    const quota = this.quotaLeft(j, use);
    let can = Math.min(left, quota);
    const unplaceable = left - can;
    const counts = tasksPerZone(j);
    if (j.waitingSince < 0) j.waitingSince = now;
    const waited = now - j.waitingSince;
    this.machineScoring.beginJob();
    const candidates = new CandidateMachines(
      j,
      rooms.filter((r) => this.machineScoring.mayUseMachine(j, r, waited)),
      (r) => this.machineScoring.score(j, r),
    );
    while (can > 0) {
      const best = candidates.best(counts);
      let room: FreeResources | null = best?.free ?? null;
      // A better place (the image at hand) may be had from lesser work.
      const mayGain = !best || (j.spec.shape === 'service' && best.score < WORTH_STOPPING_FOR);
      if (mayGain && this.preemption.hasVictims(j, within)) {
        const other = candidates.withHigherScore(best ? best.score + 1 : Number.NEGATIVE_INFINITY, counts);
        const open = best ? other.filter((r) => !this.preemption.hasProtectedWork(r.machine, guar)) : other;
        room = this.preemption.evictFor(j, within, open, guar, now) ?? room;
      }
      if (!room) break;
      const index = j.nextPendingTask();
      if (index < 0) break;
      this.allocateTask(j, index, room, use, counts, now);
      if (this.preemption.hasExhaustedWait(j))
        this.preemption.pressingTasks.set(j.shard, (this.preemption.pressingTasks.get(j.shard) ?? 0) - 1);
      can--;
      left--;
    }
    if (left === 0) j.waitingSince = -1;
    return left - unplaceable;
  }

  private allocateTask(
    j: Job,
    index: number,
    room: FreeResources,
    use: { cpus: number; gpus: number }[],
    counts: Map<number, number>,
    now: Milliseconds,
  ): void {
    subtract(room, j.resources);
    this.allocations.allocate(j, index, this.allocations.nextAttempt(j.shard), room.machine, 'planned', now);
    this.addUsage(use, j);
    counts.set(room.machine.zoneIndex, (counts.get(room.machine.zoneIndex) ?? 0) + 1);
  }

  private addUsage(use: { cpus: number; gpus: number }[], j: Job): void {
    const u = use[j.teamIndex];
    if (!u) return;
    u.cpus += j.spec.cpus;
    u.gpus += j.spec.gpus;
  }

  private placeGangJob(
    j: Job,
    within: boolean,
    rooms: FreeResources[],
    use: { cpus: number; gpus: number }[],
    guar: QuotaStatuses,
    now: Milliseconds,
  ): number {
    const n = j.spec.tasks;
    if (j.gangAttempt !== 0 || j.allocations.size > 0) return 0;
    if (this.quotaLeft(j, use) < n) return 0;
    let spots = placeGang(j, n, rooms, (r) => this.machineScoring.score(j, r));
    if (!spots) {
      // By layers again, with what may be stopped taken as free; the domain with the least to stop wins.
      for (const layer of [0, 1, 2] as const) {
        if (layer === 2 && j.spec.oneZone) continue;
        for (const domain of topologyDomains(rooms, layer)) {
          const widened = domain.map((r) => {
            const w = { ...r };
            for (const p of r.machine.allocations.values()) {
              if (!this.preemption.isVictim(p, j, within, guar)) continue;
              w.cpus += p.job.spec.cpus;
              w.gpus += p.job.spec.gpus;
              w.memory += p.job.spec.memory;
            }
            return w;
          });
          const costs = new Map(
            domain.map((r) => [
              r.machine,
              this.preemption.victimsOn(j, within, r, guar, now)?.reduce((a, p) => a + this.preemption.stopCost(p, now), 0) ??
                1e9,
            ]),
          );
          spots = placeGang(j, n, widened, (r) => -(costs.get(r.machine) ?? 0));
          if (spots) break;
        }
        if (spots) break;
      }
      if (!spots) return n;
      const per = new Map<Machine, number>();
      for (const m of spots) per.set(m, (per.get(m) ?? 0) + 1);
      for (const [m, c] of per) {
        const r = rooms.find((x) => x.machine === m);
        if (!r) return n;
        const v = this.preemption.victimsOn(j, within, r, guar, now, c);
        if (!v) return n;
        this.preemption.evict(v, r);
      }
    }
    this.allocateGang(j, spots, rooms, use, now);
    return 0;
  }

  private allocateGang(
    j: Job,
    spots: Machine[],
    rooms: FreeResources[],
    use: { cpus: number; gpus: number }[],
    now: Milliseconds,
  ): void {
    j.gangAttempt = this.allocations.nextAttempt(j.shard);
    j.gangFailed = false;
    const pending = j.pendingTasks();
    spots.forEach((m, i) => {
      const r = rooms.find((x) => x.machine === m);
      if (r) subtract(r, j.resources);
      this.allocations.allocate(j, pending[i] as number, j.gangAttempt, m, 'planned', now);
      this.addUsage(use, j);
    });
  }

  /**
   * What fails everywhere is tried now and then, after all else and where there is room: nothing
   * is stopped, moved or rented for it. Machines that have its image come first.
   */
  private retryCrashLooping(j: Job, rooms: FreeResources[], use: { cpus: number; gpus: number }[], now: Milliseconds): void {
    const mine = rooms.filter(
      (r) => r.machine.shard === j.shard && isAllowedOn(j, r.machine) && j.spec.gpus > 0 === (r.machine.capacity?.gpus ?? 0) > 0,
    );
    const n = Math.min(this.allocations.failureAttribution.nextRetryCount(j, now), this.quotaLeft(j, use));
    if (j.spec.shape === 'gang') {
      if (j.gangAttempt !== 0 || j.allocations.size > 0 || n < j.spec.tasks) return;
      const spots = placeGang(j, n, mine, (r) => this.machineScoring.score(j, r));
      if (spots) this.allocateGang(j, spots, mine, use, now);
      return;
    }
    const counts = tasksPerZone(j);
    mine.sort((a, b) => Number(b.machine.images.has(j.imageIndex)) - Number(a.machine.images.has(j.imageIndex)));
    for (let i = 0; i < n; i++) {
      const room = mine.find((r) => fits(j.resources, r) && zoneAllowsTask(j, counts, r.machine.zoneIndex));
      const index = room ? j.nextUntriedTaskFirst() : -1;
      if (!room || index < 0) return;
      this.allocateTask(j, index, room, use, counts, now);
    }
  }
}
