import type { PeerShare } from '@archpost/protocol';
import { Work } from '../allocation/task-allocations.js';
import type { Context } from '../context/index.js';
import { Reports } from '../heartbeats/heartbeat-reconciler.js';
import type { RunningTasks } from '../leadership/running-task-deltas.js';
import { type Job, type Machine, type Ms, type Placement, TOP_RANK } from '../model/index.js';
import { Order } from '../scheduling/queue-order.js';
import { Planner } from '../scheduling/scheduler.js';
import { Commands } from './command-dispatcher.js';
import { Fleet } from './machine-lifecycle.js';
import { Records } from './progress-writer.js';
import { ShareViews } from './shard-summary.js';

/** All jobs are gone over this often for what time alone brings: plans to release, completions to store. */
const JOBS_MS = 300;

/** Decisions for the shares held here: what starts where, what stops, what is stored. */
export class Owner {
  readonly work: Work;
  readonly reports: Reports;
  readonly fleet: Fleet;
  readonly commands: Commands;
  private readonly records: Records;
  private readonly order: Order;
  private readonly planner: Planner;
  private readonly views: ShareViews;
  private lastSummary: Ms = 0;
  private jobsAt: Ms = -1e12;

  constructor(private readonly context: Context) {
    this.work = new Work(context);
    this.records = new Records(context, this.work);
    this.reports = new Reports(context, this.work, this.records);
    this.fleet = new Fleet(context, this.work);
    this.commands = new Commands(context, this.work, this.reports);
    this.order = new Order(context, this.work);
    this.planner = new Planner(context, this.work, this.order);
    this.views = new ShareViews(context, this.work, this.order, this.planner);
  }

  /** The shares held here. */
  get held(): Work['held'] {
    return this.work.held;
  }

  settled(share: number): boolean {
    for (const m of this.context.table.machines.values()) if (m.share === share && m.suspect) return false;
    // Not the last plan's leftovers: it left out what it could not prove yet.
    for (const j of this.context.table.jobs.values())
      if (
        j.share === share &&
        j.state === 'live' &&
        !j.waits &&
        j.rank === TOP_RANK &&
        !this.work.blame.broken(j) &&
        j.pendingCount() > 0
      )
        return false;
    return true;
  }

  planSoon(): void {
    this.work.wantPlan = true;
  }

  gained(share: number, stamp: number, now: Ms): void {
    this.work.held.set(share, { share, stamp });
    for (const m of this.context.table.machines.values()) {
      if (m.share !== share) continue;
      this.resetMachine(m, now);
      this.context.table.recallImages(m);
      m.suspect = true;
    }
    for (const j of this.context.table.jobs.values()) if (j.share === share) this.resetJob(j);
    this.work.wantPlan = true;
  }

  lost(share: number): void {
    this.work.held.delete(share);
    this.views.forget(share);
    for (const m of this.context.table.machines.values()) {
      if (m.share !== share) continue;
      m.placements.clear();
      m.changed();
      m.resolved = false;
    }
    for (const j of [...this.context.table.jobs.values()]) {
      if (j.share !== share) continue;
      this.resetJob(j);
      this.context.table.dropFinal(j);
    }
  }

  private resetMachine(m: Machine, now: Ms): void {
    m.placements.clear();
    m.changed();
    m.strays = [];
    m.resolved = false;
    m.probed = false;
    m.bearsRank = -1;
    m.dirty = false;
    m.raisingToken = false;
    m.inflight = 0;
    m.retryAt = 0;
    m.session = 0;
    m.seq = -1;
    m.heardAt = now;
    m.lostCount = 0;
    m.lostSince = -1;
    m.giveBack = '';
    m.returning = false;
    m.noticeUntil = -1;
  }

  private resetJob(j: Job): void {
    j.placements.clear();
    j.cursor = 0;
    j.returned = [];
    j.gangAttempt = 0;
    j.gangFailed = false;
    j.progressQueued = false;
    j.progressDirty = true;
    j.finishQueued = false;
  }

  machineChanged(m: Machine, moved: boolean, now: Ms): void {
    if (m.share < 0) {
      this.machineGone(m);
      return;
    }
    if (moved) {
      // Came to, or left, a share: what was known of it here is of no worth any more. Only
      // machines seen empty are handed over, so it bears nothing unknown.
      this.machineGone(m);
      this.resetMachine(m, now);
      m.suspect = false;
    }
    this.work.wantPlan = true;
  }

  /** Left to another share, or gone from the grants: nothing of ours is on it. */
  private machineGone(m: Machine): void {
    for (const p of [...m.placements.values()]) this.work.free(p);
    m.placements.clear();
    m.changed();
    this.work.wantPlan = true;
  }

  jobChanged(j: Job): void {
    if (!this.work.held.has(j.share)) {
      this.context.table.dropFinal(j);
      return;
    }
    if (j.state === 'cancelled') {
      for (const p of [...j.placements.values()]) this.work.stop(p, 0);
      this.context.table.dropFinal(j);
    }
    if (j.state === 'done') this.context.table.dropFinal(j);
    this.work.wantPlan = true;
  }

  /** Time that this process itself lost says nothing about the workers. */
  paused(ms: Ms, now: Ms): void {
    this.work.now = now;
    this.work.answeredAt = now;
    this.work.unanswered.clear();
    this.fleet.reachability.paused();
    for (const m of this.context.table.machines.values()) {
      m.heardAt = Math.min(now, m.heardAt + ms);
      m.elsewhereAt = Math.min(now, m.elsewhereAt + ms);
      if (m.lostSince >= 0) m.lostSince = Math.min(now, m.lostSince + ms);
    }
  }

  tick(now: Ms): void {
    this.work.now = now;
    this.fleet.reachability.seekReach(now);
    if (now - this.lastSummary > 10_000) {
      this.lastSummary = now;
      this.summary(now);
    }
    if (this.work.held.size === 0 || !this.context.leaseValid(now)) return;
    if (now - this.jobsAt >= JOBS_MS) {
      this.jobsAt = now;
      this.watchJobs(now);
    }
    if (!this.context.settling()) this.fleet.watchMachines(now);
    this.records.writeImages(now);
    this.planner.tick(now);
    this.commands.flushAll(now);
  }

  /** What somebody reading the log wants to know first. */
  private summary(now: Ms): void {
    for (const share of this.work.held.keys()) {
      const s = this.share(share, now);
      const types: Record<string, string> = {};
      const by = new Map<string, { n: number; idle: number; unusable: number }>();
      for (const p of s.machines) {
        const m = this.context.table.machines.get(p.name);
        const key = `${m?.cap?.name ?? '?'}${m?.spot ? '*' : ''}`;
        const b = by.get(key) ?? { n: 0, idle: 0, unusable: 0 };
        b.n++;
        if (p.tasks === 0) b.idle++;
        if (m && !this.work.usable(m, now)) b.unusable++;
        by.set(key, b);
      }
      for (const [k, b] of by) types[k] = `${b.n} (${b.idle} idle, ${b.unusable} not usable)`;
      const accelerated: Record<string, string> = {};
      for (const m of this.context.table.machines.values()) {
        if (m.share !== share || !m.cap || m.cap.gpus === 0) continue;
        const on = new Map<string, number>();
        for (const p of m.placements.values())
          on.set(`${p.job.spec.cls} ${p.phase}`, (on.get(`${p.job.spec.cls} ${p.phase}`) ?? 0) + 1);
        accelerated[`${m.name}${m.spot ? '*' : ''}`] = [...on].map(([k, n]) => `${n} ${k}`).join(', ');
      }
      const waiting = this.work.unmet
        .filter((u) => u.job.share === share)
        .map((u) => `${u.job.spec.cls} ${u.count} for ${Math.round((now - u.job.arrivedAt) / 1000)} s`);
      this.context.log('debug', 'share', { share, machines: types, accelerated, waiting });
    }
  }

  private watchJobs(now: Ms): void {
    for (const j of this.context.table.jobs.values()) {
      if (!this.work.held.has(j.share)) continue;
      if (j.state === 'live') this.records.storeProgress(j);
      else this.context.table.dropFinal(j);
      if (j.spec.shape === 'gang' && j.gangAttempt !== 0 && !j.gangFailed) this.watchGang(j, now);
      for (const p of j.placements.values()) {
        if (
          j.spec.shape !== 'gang' &&
          p.phase === 'planned' &&
          now - p.plannedAt > this.context.settings.policy.planWaitS * 1000
        ) {
          this.work.free(p);
        }
        // Still saving long after it should have been done: end it.
        if (p.stop !== null && p.stop > 0 && p.stopSince >= 0 && now - p.stopSince > (p.stop + 8) * 1000) this.work.stop(p, 0);
      }
    }
  }

  private watchGang(j: Job, now: Ms): void {
    const all = [...j.placements.values()];
    const planned = all.filter((p) => p.phase === 'planned');
    if (planned.length > 0) {
      if (now - (planned[0] as Placement).plannedAt > this.context.settings.policy.planWaitS * 1000) {
        this.context.log('info', 'plan released', { job: j.spec.id });
        for (const p of planned) this.work.free(p);
      }
      return;
    }
    // Found partly started after a takeover, with nowhere for the rest to be.
    if (all.length < j.spec.tasks && j.doneCount < j.spec.tasks && !this.work.unproven(j)) this.work.failGang(j);
  }

  /** What is told of a share to the leader. */
  share(share: number, now: Ms): PeerShare {
    return this.views.of(share, now);
  }

  /** Tasks that run and are done, by job, and how often one failed of those that fail everywhere. */
  running(): Map<string, RunningTasks> {
    const out = new Map<string, RunningTasks>();
    for (const j of this.context.table.jobs.values()) {
      if (!this.work.held.has(j.share)) continue;
      let count = 0;
      for (const p of j.placements.values()) if (p.phase === 'there' && p.report?.state === 'running') count++;
      const failed = this.work.blame.broken(j) ? j.failures : 0;
      if (count > 0 || j.doneCount > 0 || failed > 0) out.set(j.spec.id, { count, done: j.doneCount, failed });
    }
    return out;
  }
}
