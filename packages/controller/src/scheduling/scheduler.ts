import type { Work } from '../allocation/task-allocations.js';
import type { Context } from '../context/index.js';
import type { Job, Machine, Ms, Need } from '../model/index.js';
import { CandidateRooms } from './candidate-machines.js';
import { Places } from './machine-scoring.js';
import { allowed, copies, domains, fits, placeGang, type Room, take, zoneAllows, zoneCounts } from './placement.js';
import { Preemption } from './preemption.js';
import type { Guarantees, Order } from './queue-order.js';
import { Clearing } from './service-eviction.js';

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
export class Planner {
  private unsettled = false;
  private plannedAt: Ms = -1e12;
  private nextPlanAt: Ms = -1e12;
  private readonly places: Places;
  private readonly clearing: Clearing;
  private readonly preemption: Preemption;

  constructor(
    private readonly context: Context,
    private readonly work: Work,
    private readonly order: Order,
  ) {
    this.places = new Places(context, work, order);
    this.clearing = new Clearing(context, work, this.places);
    this.preemption = new Preemption(context, work, this.places);
  }

  /** Machines that can be cleared of their services. */
  clearable(share: number, now: Ms): Set<Machine> {
    return this.clearing.clearable(share, now);
  }

  /**
   * What has no room looks for it now and then; what happens is planned for soon. A plan
   * that weighs many places is followed by a longer pause, so that reports never wait long.
   */
  tick(now: Ms): void {
    const again = this.unsettled && now - this.plannedAt >= REPLAN_MS;
    if (!(this.work.wantPlan || again) || now < this.nextPlanAt || !this.work.mayStart(now)) return;
    this.work.wantPlan = false;
    this.plannedAt = now;
    this.plan(now);
  }

  /** Everything of each team that is, or may be, on a machine. */
  private teamUse(): { cpus: number; gpus: number }[] {
    const use = this.context.settings.teams.map(() => ({ cpus: 0, gpus: 0 }));
    for (const j of this.context.table.jobs.values()) {
      const u = use[j.team];
      if (!u || !this.work.held.has(j.share)) continue;
      for (const p of j.placements.values()) {
        if (p.phase === 'exited') continue;
        u.cpus += j.spec.cpus;
        u.gpus += j.spec.gpus;
      }
    }
    // Any team of the share may have work on a machine that hasn't answered yet.
    for (const m of this.context.table.machines.values()) {
      if (!m.suspect || !this.work.held.has(m.share)) continue;
      for (let t = 0; t < use.length; t++) {
        if (this.context.table.teamShare[t] !== m.share) continue;
        (use[t] as Need).cpus += m.cap?.cpus ?? 0;
        (use[t] as Need).gpus += m.cap?.gpus ?? 0;
      }
    }
    return use;
  }

  plan(now: Ms): void {
    const rooms: Room[] = [];
    for (const m of this.context.table.machines.values())
      if (this.context.acts(m.share) && this.work.usable(m, now)) rooms.push(this.work.roomOf(m));
    const use = this.teamUse();
    const guar = this.order.guarantees();
    let weighed = 0;
    const queue = this.order.queue(guar, now);
    this.preemption.begin();
    this.full.clear();
    for (const { j } of queue)
      if (this.preemption.waitedOut(j) && !this.work.blame.broken(j))
        this.preemption.pressed.set(j.share, (this.preemption.pressed.get(j.share) ?? 0) + j.pendingCount());
    this.work.unmet = [];
    const suspects = this.work.sharesWithSuspects();
    let later = false;
    const broken: Job[] = [];
    let open = rooms;
    for (const { j, g, aged } of queue) {
      if (now < j.notBefore) {
        later = true;
        continue;
      }
      if (suspects.has(j.share) && this.work.unproven(j)) continue;
      if (this.work.unconfirmed(j)) {
        later = true;
        continue;
      }
      if (this.work.blame.broken(j)) {
        broken.push(j);
        continue;
      }
      if (this.noRoomFor(j, g.within)) {
        this.work.unmet.push({ job: j, count: j.pendingCount(), within: g.within });
        continue;
      }
      weighed += rooms.length;
      const mine = open.filter((r) => r.machine.share === j.share && allowed(j, r.machine) && !j.failedOn.has(r.machine.name));
      const left =
        j.spec.shape === 'gang'
          ? this.planGang(j, g.within, mine, use, guar, now)
          : this.planTasks(j, g.within, mine, use, guar, now);
      if (left > 0) {
        this.work.unmet.push({ job: j, count: left, within: g.within });
        this.foundNoRoom(j, g.within);
      }
      if (aged && j.placements.size === 0) open = this.reserve(j, open, use);
    }
    for (const j of broken) this.tryBroken(j, open, use, now);
    later ||= broken.length > 0;
    this.nextPlanAt = now + this.pauseAfter(weighed);
    this.unsettled = later || this.work.unmet.length > 0;
    this.places.gangsWait.clear();
    for (const u of this.work.unmet) if (u.job.spec.gpus > 0) this.places.gangsWait.add(u.job.share);
    this.clearing.clearForGangs(now);
    this.clearing.gather(now);
  }

  /** In proportion to what was weighed; with thousands of machines and a long queue that may be longer than a replan. */
  private pauseAfter(weighed: number): Ms {
    const planMs = weighed / WEIGHED_PER_MS_OF_CORE;
    const least = planMs / (PLAN_SHARE_OF_PROCESSOR * this.context.settings.cpuShare);
    return Math.max(Math.min(REPLAN_MS, weighed / WEIGHED_PER_MS), least);
  }

  /**
   * Free machines that an aged gang could use are kept for it, up to what it lacks: smaller
   * work would take each as it comes free, and the gang would never see enough at once. The
   * oldest is planned for first, so two gangs don't wait for each other's.
   */
  private reserve(j: Job, rooms: Room[], use: { cpus: number; gpus: number }[]): Room[] {
    const allowedNow = this.quotaLeft(j, use) >= j.spec.tasks;
    // Its part of the team's limit is kept too.
    for (let i = 0; i < j.spec.tasks; i++) this.addUse(use, j);
    if (!allowedNow) return rooms;
    let lacks = j.spec.tasks;
    const kept = new Set<Room>();
    for (const r of rooms) {
      if (lacks <= 0) break;
      if (r.machine.share !== j.share || !allowed(j, r.machine) || j.failedOn.has(r.machine.name)) continue;
      const n = copies(j.need, r);
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
  private readonly full = new Map<string, Need[]>();

  private kindOf(j: Job, within: boolean): string | null {
    const s = j.spec;
    if (j.rank > 0 || within || s.shape !== 'array' || s.gpus > 0 || s.oneZone || s.spread || j.failedOn.size > 0) return null;
    return `${j.share}/${j.team}/${j.zone}/${s.spot}/${j.types?.join(',') ?? ''}`;
  }

  private noRoomFor(j: Job, within: boolean): boolean {
    const kind = this.kindOf(j, within);
    if (kind === null) return false;
    return this.full.get(kind)?.some((n) => n.cpus <= j.spec.cpus && n.memory <= j.spec.memory) ?? false;
  }

  private foundNoRoom(j: Job, within: boolean): void {
    const kind = this.kindOf(j, within);
    if (kind === null) return;
    const list = this.full.get(kind);
    if (list) list.push(j.need);
    else this.full.set(kind, [j.need]);
  }

  private quotaLeft(j: Job, use: { cpus: number; gpus: number }[]): number {
    const t = this.context.settings.teams[j.team];
    const u = use[j.team];
    if (!t || !u) return 0;
    let n = j.spec.tasks;
    if (t.cpusMax > 0 && j.spec.cpus > 0) n = Math.min(n, Math.floor((t.cpusMax - u.cpus + 1e-6) / j.spec.cpus));
    if (t.gpusMax > 0 && j.spec.gpus > 0) n = Math.min(n, Math.floor((t.gpusMax - u.gpus + 1e-6) / j.spec.gpus));
    return Math.max(0, n);
  }

  private planTasks(
    j: Job,
    within: boolean,
    rooms: Room[],
    use: { cpus: number; gpus: number }[],
    guar: Guarantees,
    now: Ms,
  ): number {
    let left = j.pendingCount();
    const quota = this.quotaLeft(j, use);
    let can = Math.min(left, quota);
    const unplaceable = left - can;
    const counts = zoneCounts(j);
    if (j.waitsSince < 0) j.waitsSince = now;
    const waited = now - j.waitsSince;
    this.places.begin();
    const candidates = new CandidateRooms(
      j,
      rooms.filter((r) => this.places.mayUse(j, r, waited)),
      (r) => this.places.preference(j, r),
    );
    while (can > 0) {
      const best = candidates.best(counts);
      let room: Room | null = best?.room ?? null;
      // A better place (the image at hand) may be had from lesser work.
      const mayGain = !best || (j.spec.shape === 'service' && best.worth < WORTH_STOPPING_FOR);
      if (mayGain && this.preemption.hasVictims(j, within)) {
        const other = candidates.worthMore(best ? best.worth + 1 : Number.NEGATIVE_INFINITY, counts);
        const open = best ? other.filter((r) => !this.preemption.bearsFirm(r.machine, guar)) : other;
        room = this.preemption.evictFor(j, within, open, guar, now) ?? room;
      }
      if (!room) break;
      const index = j.nextPending();
      if (index < 0) break;
      this.holdTask(j, index, room, use, counts, now);
      if (this.preemption.waitedOut(j)) this.preemption.pressed.set(j.share, (this.preemption.pressed.get(j.share) ?? 0) - 1);
      can--;
      left--;
    }
    if (left === 0) j.waitsSince = -1;
    return left - unplaceable;
  }

  private holdTask(
    j: Job,
    index: number,
    room: Room,
    use: { cpus: number; gpus: number }[],
    counts: Map<number, number>,
    now: Ms,
  ): void {
    take(room, j.need);
    this.work.place(j, index, this.work.attempt(j.share), room.machine, 'planned', now);
    this.addUse(use, j);
    counts.set(room.machine.zone, (counts.get(room.machine.zone) ?? 0) + 1);
  }

  private addUse(use: { cpus: number; gpus: number }[], j: Job): void {
    const u = use[j.team];
    if (!u) return;
    u.cpus += j.spec.cpus;
    u.gpus += j.spec.gpus;
  }

  private planGang(
    j: Job,
    within: boolean,
    rooms: Room[],
    use: { cpus: number; gpus: number }[],
    guar: Guarantees,
    now: Ms,
  ): number {
    const n = j.spec.tasks;
    if (j.gangAttempt !== 0 || j.placements.size > 0) return 0;
    if (this.quotaLeft(j, use) < n) return 0;
    let spots = placeGang(j, n, rooms, (r) => this.places.preference(j, r));
    if (!spots) {
      // By layers again, with what may be stopped taken as free; the domain with the least to stop wins.
      for (const layer of [0, 1, 2] as const) {
        if (layer === 2 && j.spec.oneZone) continue;
        for (const domain of domains(rooms, layer)) {
          const widened = domain.map((r) => {
            const w = { ...r };
            for (const p of r.machine.placements.values()) {
              if (!this.preemption.victim(p, j, within, guar)) continue;
              w.cpus += p.job.spec.cpus;
              w.gpus += p.job.spec.gpus;
              w.memory += p.job.spec.memory;
            }
            return w;
          });
          const costs = new Map(
            domain.map((r) => [
              r.machine,
              this.preemption.victimsOn(j, within, r, guar, now)?.reduce((a, p) => a + this.preemption.cost(p, now), 0) ?? 1e9,
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
    this.holdGang(j, spots, rooms, use, now);
    return 0;
  }

  private holdGang(j: Job, spots: Machine[], rooms: Room[], use: { cpus: number; gpus: number }[], now: Ms): void {
    j.gangAttempt = this.work.attempt(j.share);
    j.gangFailed = false;
    const pending = j.allPending();
    spots.forEach((m, i) => {
      const r = rooms.find((x) => x.machine === m);
      if (r) take(r, j.need);
      this.work.place(j, pending[i] as number, j.gangAttempt, m, 'planned', now);
      this.addUse(use, j);
    });
  }

  /**
   * What fails everywhere is tried now and then, after all else and where there is room: nothing
   * is stopped, moved or rented for it. Machines that have its image come first.
   */
  private tryBroken(j: Job, rooms: Room[], use: { cpus: number; gpus: number }[], now: Ms): void {
    const mine = rooms.filter(
      (r) => r.machine.share === j.share && allowed(j, r.machine) && j.spec.gpus > 0 === (r.machine.cap?.gpus ?? 0) > 0,
    );
    const n = Math.min(this.work.blame.tries(j, now), this.quotaLeft(j, use));
    if (j.spec.shape === 'gang') {
      if (j.gangAttempt !== 0 || j.placements.size > 0 || n < j.spec.tasks) return;
      const spots = placeGang(j, n, mine, (r) => this.places.preference(j, r));
      if (spots) this.holdGang(j, spots, mine, use, now);
      return;
    }
    const counts = zoneCounts(j);
    mine.sort((a, b) => Number(b.machine.images.has(j.image)) - Number(a.machine.images.has(j.image)));
    for (let i = 0; i < n; i++) {
      const room = mine.find((r) => fits(j.need, r) && zoneAllows(j, counts, r.machine.zone));
      const index = room ? j.nextUntried() : -1;
      if (!room || index < 0) return;
      this.holdTask(j, index, room, use, counts, now);
    }
  }
}
