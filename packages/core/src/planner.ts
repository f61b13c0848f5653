import type { Context } from './context.js';
import { type Job, type Machine, type Ms, type Need, type Placement, SCARCE_AFTER_S, TOP_RANK } from './model.js';
import type { Guarantees, Order } from './order.js';
import { allowed, copies, domains, EPS, fits, placeGang, type Room, take, zoneAllows, zoneCounts } from './placement.js';
import type { Work } from './work.js';

/** How often services of one machine are gathered elsewhere. */
const GATHER_MS = 4000;

/** A service that has run for this long may be moved; a machine that was emptied takes none for as long. */
const SETTLED_MS = 40_000;

/** What has no room is planned for again after this long, if nothing else happens. */
const REPLAN_MS = 600;

/** Places weighed by a plan for which planning pauses a millisecond. */
const WEIGHED_PER_MS = 25;

const NOTHING: Need = { cpus: 0, gpus: 0, memory: 0 };

/** Which task goes where, what is stopped for it, and what moves to make room. */
export class Planner {
  private unsettled = false;
  private plannedAt: Ms = -1e12;
  private nextPlanAt: Ms = -1e12;
  private clearedAt: Ms = -1e12;
  private gatheredAt: Ms = -1e12;
  /** shares with work for accelerators that has no room */
  private readonly gangsWait = new Set<number>();
  /** tasks of pressing services without a place, by share */
  private readonly pressed = new Map<number, number>();

  constructor(
    private readonly cx: Context,
    private readonly work: Work,
    private readonly order: Order,
  ) {}

  /**
   * What has no room looks for it now and then; what happens is planned for soon. A plan
   * that weighs many places is followed by a longer pause, so that reports never wait long.
   */
  tick(now: Ms): void {
    const again = this.unsettled && now - this.plannedAt >= REPLAN_MS;
    if (
      !(this.work.wantPlan || again) ||
      now < this.nextPlanAt ||
      now - this.cx.freshAt >= this.work.staleMs() ||
      this.cx.settling()
    )
      return;
    this.work.wantPlan = false;
    this.plannedAt = now;
    this.plan(now);
  }

  /** Everything of each team that is, or may be, on a machine. */
  private teamUse(): { cpus: number; gpus: number }[] {
    const use = this.cx.settings.teams.map(() => ({ cpus: 0, gpus: 0 }));
    for (const j of this.cx.table.jobs.values()) {
      const u = use[j.team];
      if (!u || !this.work.held.has(j.share)) continue;
      for (const p of j.placements.values()) {
        if (p.phase === 'exited') continue;
        u.cpus += j.spec.cpus;
        u.gpus += j.spec.gpus;
      }
    }
    // Any team of the share may have work on a machine that hasn't answered yet.
    for (const m of this.cx.table.machines.values()) {
      if (!m.suspect || !this.work.held.has(m.share)) continue;
      for (let t = 0; t < use.length; t++) {
        if (this.cx.table.teamShare[t] !== m.share) continue;
        (use[t] as Need).cpus += m.cap?.cpus ?? 0;
        (use[t] as Need).gpus += m.cap?.gpus ?? 0;
      }
    }
    return use;
  }

  plan(now: Ms): void {
    const rooms: Room[] = [];
    for (const m of this.cx.table.machines.values())
      if (this.work.held.has(m.share) && this.work.usable(m, now)) rooms.push(this.work.roomOf(m));
    const use = this.teamUse();
    const guar = this.order.guarantees();
    let weighed = 0;
    const queue = this.order.queue(guar, now);
    this.pressed.clear();
    this.full.clear();
    for (const { j } of queue)
      if (this.waitedOut(j) && !this.work.blame.broken(j))
        this.pressed.set(j.share, (this.pressed.get(j.share) ?? 0) + j.pendingCount());
    this.work.unmet = [];
    let later = false;
    const broken: Job[] = [];
    let open = rooms;
    for (const { j, g, aged } of queue) {
      if (now < j.notBefore) {
        later = true;
        continue;
      }
      if (this.work.unproven(j)) continue;
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
    this.nextPlanAt = now + Math.min(REPLAN_MS, weighed / WEIGHED_PER_MS);
    this.unsettled = later || this.work.unmet.length > 0;
    this.gangsWait.clear();
    for (const u of this.work.unmet) if (u.job.spec.gpus > 0) this.gangsWait.add(u.job.share);
    this.clearForGangs(now);
    this.gather(now);
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
    if (s.rank > 0 || within || s.shape !== 'array' || s.gpus > 0 || s.oneZone || s.spread || j.failedOn.size > 0) return null;
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
    const t = this.cx.settings.teams[j.team];
    const u = use[j.team];
    if (!t || !u) return 0;
    let n = j.spec.tasks;
    if (t.cpusMax > 0 && j.spec.cpus > 0) n = Math.min(n, Math.floor((t.cpusMax - u.cpus + 1e-6) / j.spec.cpus));
    if (t.gpusMax > 0 && j.spec.gpus > 0) n = Math.min(n, Math.floor((t.gpusMax - u.gpus + 1e-6) / j.spec.gpus));
    return Math.max(0, n);
  }

  /**
   * Larger is better, about in seconds: the time until the image is there counts, and
   * machines with accelerators are left to the work that needs them.
   */
  private preference(j: Job, r: Room): number {
    const m = r.machine;
    const cap = m.cap;
    if (!cap) return -100;
    let s = 0;
    if (!m.images.has(j.image)) {
      let coming = false;
      for (const p of m.placements.values()) if (p.job.image === j.image && p.phase !== 'exited') coming = true;
      s -= (j.spec.imageGb / cap.fetchGbPerS) * (coming ? 0.5 : 1);
    }
    if (j.spec.gpus === 0 && cap.gpus > 0) s -= this.gpuPenalty(j, r);
    if (m.spot && j.spec.shape === 'array') s += 1;
    // Services stand together, so that whole machines stay free for others.
    if (j.spec.shape === 'service' && this.work.serviceUse(m).cpus > 0) s += 0.6;
    return s;
  }

  /**
   * Where no more of them can be had, services keep off machines with accelerators until
   * nothing else has come free for a while: there they would stand in the way for hours.
   */
  private mayUse(j: Job, r: Room, waitedMs: Ms): boolean {
    const cap = r.machine.cap;
    // Fetches share a machine's rate: a small image would hold up a gang's large one.
    if (j.spec.gpus === 0 && this.work.now < r.machine.emptyUntil) return false;
    if (j.spec.gpus === 0 && !r.machine.images.has(j.image) && this.fetchesForGang(r.machine)) return false;
    if (j.spec.gpus > 0 || !cap || cap.gpus === 0 || r.machine.spot) return true;
    if (j.spec.shape !== 'service') return this.arrayMayUse(j, r);
    if (this.cx.plenty(cap.name)) return true;
    // One machine given to services whole leaves the others to the work they are made for.
    if (this.givenToServices(r.machine)) return waitedMs > 800;
    if (this.leavesRoomForGang(r.machine, j.need)) return waitedMs > 1500;
    for (const m of this.cx.table.machines.values()) {
      if (
        m !== r.machine &&
        m.share === j.share &&
        this.givenToServices(m) &&
        this.work.usable(m, this.work.now) &&
        allowed(j, m)
      ) {
        if (fits(j.need, this.work.roomOf(m))) return waitedMs > 30_000;
      }
    }
    return waitedMs > SCARCE_AFTER_S * 1000;
  }

  private fetchesForGang(m: Machine): boolean {
    for (const p of m.placements.values()) {
      if (p.job.spec.gpus === 0 || p.phase === 'exited' || p.stop !== null || m.images.has(p.job.image)) continue;
      if (p.phase !== 'there' || p.report?.state === 'fetching') return true;
    }
    return false;
  }

  /** Independent tasks take a dear machine whole only when their time runs out. */
  private arrayMayUse(j: Job, r: Room): boolean {
    const cap = r.machine.cap;
    if (!cap) return true;
    const want = this.cx.table.gpuNeed.get(r.machine.type);
    // Where no more are to be had and what needs them outranks this, it does no harm there.
    if (!want || (want.rank > j.spec.rank && !this.cx.plenty(cap.name))) return true;
    let cpus = j.spec.cpus;
    for (const p of r.machine.placements.values()) if (p.phase !== 'exited' && p.job.spec.gpus === 0) cpus += p.job.spec.cpus;
    // Beside what keeps the machine here anyway, it costs nothing; alone it would keep it.
    if (cpus <= cap.cpus - want.cpus + EPS && this.keptAnyway(r.machine)) return true;
    if (this.gangsWait.has(j.share)) return false;
    const due = this.order.dueOf(j, this.work.now) - this.work.now;
    // Half of the run on top: estimates are often wrong by as much.
    const run = (j.ranS > 0 ? j.ranS : j.spec.estimateS) * 1000;
    return due < this.cx.table.bootMs(j) * 1.5 + run / 2 || due > 1e6;
  }

  /** Bears more services than accelerator work leaves room for, or is in a share without such work. */
  private givenToServices(m: Machine): boolean {
    if (!m.cap || m.cap.gpus === 0 || m.spot) return false;
    if (!this.cx.table.gpuShares.has(m.share)) return true;
    return !this.leavesRoomForGang(m, NOTHING);
  }

  /** Would accelerator work of the largest kind seen still fit beside the machine's services and this? */
  private leavesRoomForGang(m: Machine, more: Need): boolean {
    const want = this.cx.table.gpuNeed.get(m.type);
    if (!want || !m.cap) return true;
    const used = this.work.serviceUse(m);
    return used.cpus + more.cpus <= m.cap.cpus - want.cpus + EPS && used.memory + more.memory <= m.cap.memory - want.memory + EPS;
  }

  /**
   * Machines whose services the share has other room for: these can be cleared, for work
   * that needs an accelerator or for another share.
   */
  clearable(share: number, now: Ms): Set<Machine> {
    const out = new Set<Machine>();
    const rooms: Room[] = [];
    for (const m of this.cx.table.machines.values()) {
      if (m.share !== share || !m.cap || m.spot || !this.work.usable(m, now)) continue;
      if (m.cap.gpus > 0 && !this.givenToServices(m)) continue;
      const r = this.work.roomOf(m);
      for (const p of m.placements.values()) {
        if (p.phase !== 'exited' && p.job.spec.shape === 'array')
          take(r, { cpus: -p.job.spec.cpus, gpus: 0, memory: -p.job.spec.memory });
      }
      rooms.push(r);
    }
    for (const m of this.cx.table.machines.values()) {
      if (m.share !== share || !m.cap || m.spot) continue;
      const move = this.work.servicesOn(m);
      // What was moved lately stays where it is: moving it on would keep it from running.
      if (move.some((p) => now - p.job.lastStop < 60_000)) continue;
      if (move.length === 0 || (m.cap.gpus === 0 && move.length > 4)) continue;
      const tried = rooms
        .filter((r) => r.machine !== m && r.machine.placements.size > 0 && this.wider(r.machine, m))
        .map((r) => ({ ...r }));
      let all = true;
      for (const p of move) {
        const r = tried.find((x) => fits(p.job.need, x) && allowed(p.job, x.machine));
        if (r) take(r, p.job.need);
        else all = false;
      }
      if (all) out.add(m);
    }
    return out;
  }

  /** May services go from `from` to `to`? From one accelerator machine only to one with more of them. */
  private wider(to: Machine, from: Machine): boolean {
    if (from.cap?.gpus === 0 || to.cap?.gpus === 0) return true;
    return this.work.serviceUse(to).cpus > this.work.serviceUse(from).cpus;
  }

  /**
   * Clears machines with accelerators of services when a gang here has no other place: as
   * many as it lacks, or none.
   */
  private clearForGangs(now: Ms): void {
    if (now - this.clearedAt < 5000) return;
    for (const { job } of this.work.unmet) {
      if (job.spec.gpus === 0 || job.spec.shape !== 'gang') continue;
      const plain: Machine[] = [];
      let room = 0;
      const can = this.clearable(job.share, now);
      for (const m of this.cx.table.machines.values()) {
        if (m.share !== job.share || !m.cap || !allowed(job, m) || !this.work.usable(m, now)) continue;
        const here = copies(job.need, this.work.roomOf(m));
        room += here;
        if (here > 0 || !can.has(m)) continue;
        if ([...m.placements.values()].some((p) => p.phase !== 'exited' && p.job.spec.gpus > 0)) continue;
        const use = this.work.serviceUse(m);
        const without: Need = { cpus: m.cap.cpus - use.cpus, gpus: m.cap.gpus, memory: m.cap.memory - use.memory };
        if (use.cpus > 0 && !fits(job.need, without)) plain.push(m);
      }
      if (plain.length === 0 || room >= job.spec.tasks) continue;
      plain.sort((a, b) => this.work.serviceUse(a).cpus - this.work.serviceUse(b).cpus);
      let gained = 0;
      const chosen = plain.filter((m) => {
        if (room + gained >= job.spec.tasks) return false;
        gained += copies(job.need, m.cap as Need);
        return true;
      });
      if (room + gained < job.spec.tasks) continue;
      this.clearedAt = now;
      for (const m of chosen) {
        this.cx.log('info', 'moving services off a machine with accelerators', { machine: m.name });
        m.emptyUntil = now + 2 * this.cx.settings.policy.planWaitS * 1000;
        for (const p of this.work.servicesOn(m)) this.work.stop(p, 0);
      }
      return;
    }
  }

  /**
   * A few services keep a machine with accelerators from being given back. Where others have
   * room for them, with their images at hand, they move there, one machine at a time.
   */
  private gather(now: Ms): void {
    if (this.cx.settings.policy.hold || now - this.gatheredAt < GATHER_MS) return;
    this.gatheredAt = now;
    for (const share of this.work.held.keys()) {
      let best: { m: Machine; services: Placement[] } | null = null;
      const rooms: Room[] = [];
      for (const m of this.cx.table.machines.values()) {
        if (m.share !== share || !m.cap || m.spot || !this.work.usable(m, now) || now < m.emptyUntil) continue;
        const services = this.work.servicesOn(m);
        const gpuWork = [...m.placements.values()].some((p) => p.phase !== 'exited' && p.job.spec.gpus > 0);
        if (m.cap.gpus === 0 || services.length > 0 || gpuWork) rooms.push(this.work.roomOf(m));
        if (m.cap.gpus === 0 || services.length === 0 || (best && services.length >= best.services.length)) continue;
        if (services.some((p) => p.stop !== null || p.ranSince < 0 || now - p.ranSince < SETTLED_MS)) continue;
        if (gpuWork || [...m.placements.values()].some((p) => p.phase === 'planned')) continue;
        best = { m, services };
      }
      if (!best) continue;
      const { m, services } = best;
      const use = this.work.serviceUse(m).cpus;
      if (use > (m.cap?.cpus ?? 0) / 2) continue;
      const free = rooms
        .filter(
          (r) =>
            r.machine !== m &&
            (r.machine.cap?.gpus === 0 || this.keptAnyway(r.machine) || this.work.serviceUse(r.machine).cpus > use),
        )
        .sort((a, b) => a.cpus - b.cpus);
      const all = services.every((p) => {
        const counts = zoneCounts(p.job);
        counts.set(m.zone, (counts.get(m.zone) ?? 1) - 1);
        const r = free.find(
          (x) =>
            x.machine.images.has(p.job.image) &&
            fits(p.job.need, x) &&
            allowed(p.job, x.machine) &&
            zoneAllows(p.job, counts, x.machine.zone),
        );
        if (r) take(r, p.job.need);
        return r !== undefined;
      });
      if (!all) continue;
      this.cx.log('debug', 'gathering services of a machine elsewhere', { machine: m.name, services: services.length });
      m.emptyUntil = now + SETTLED_MS;
      for (const p of services) this.work.stop(p, 0);
    }
  }

  private gpuPenalty(j: Job, r: Room): number {
    const m = r.machine;
    if (m.spot) return 1;
    const want = this.cx.table.gpuNeed.get(m.type);
    if (!want || !m.cap) return 5;
    // What an accelerator task leaves over is free for others; where services stand in its
    // way already, more of them cost nothing.
    if (this.leavesRoomForGang(m, j.need)) {
      if (!this.cx.plenty(m.cap.name)) return 6;
      // Yet what stands there when the accelerator work ends keeps the machine from going back.
      return this.keptAnyway(m) ? (j.spec.shape === 'service' ? 1.5 : 0) : 20;
    }
    if (j.spec.shape === 'service' && this.givenToServices(m)) return 2;
    return j.spec.rank < want.rank ? 8 : 40;
  }

  /** Bears work for accelerators, or is full of services. */
  private keptAnyway(m: Machine): boolean {
    for (const p of m.placements.values()) if (p.phase !== 'exited' && p.job.spec.gpus > 0) return true;
    return !this.leavesRoomForGang(m, NOTHING);
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
    const order = rooms
      .filter((r) => this.mayUse(j, r, waited))
      .map((r) => ({ r, s: this.preference(j, r) }))
      .sort((a, b) => b.s - a.s || a.r.cpus - b.r.cpus);
    while (can > 0) {
      let best: { r: Room; s: number } | null = null;
      for (const o of order) {
        if (fits(j.need, o.r) && zoneAllows(j, counts, o.r.machine.zone)) {
          best = o;
          break;
        }
      }
      let room: Room | null = best?.r ?? null;
      // A better place (the image at hand) may be had from lesser work.
      if (!best || (j.spec.shape === 'service' && best.s < -1)) {
        const other = order.filter((o) => (!best || o.s > best.s + 1) && zoneAllows(j, counts, o.r.machine.zone)).map((o) => o.r);
        room = this.evictFor(j, within, best ? other.filter((r) => !this.bearsFirm(r.machine, guar)) : other, guar, now) ?? room;
      }
      if (!room) break;
      const index = j.nextPending();
      if (index < 0) break;
      take(room, j.need);
      this.work.place(j, index, this.work.attempt(j.share), room.machine, 'planned', now);
      this.addUse(use, j);
      if (this.waitedOut(j)) this.pressed.set(j.share, (this.pressed.get(j.share) ?? 0) - 1);
      counts.set(room.machine.zone, (counts.get(room.machine.zone) ?? 0) + 1);
      can--;
      left--;
    }
    if (left === 0) j.waitsSince = -1;
    return left - unplaceable;
  }

  private bearsFirm(m: Machine, guar: Guarantees): boolean {
    for (const p of m.placements.values()) if (p.phase !== 'exited' && guar.get(p.job)?.firm) return true;
    return false;
  }

  private addUse(use: { cpus: number; gpus: number }[], j: Job): void {
    const u = use[j.team];
    if (!u) return;
    u.cpus += j.spec.cpus;
    u.gpus += j.spec.gpus;
  }

  /**
   * May this placement be stopped for a job of that rank? (DESIGN: above guarantee; PROTOCOL: rank)
   * Work within a guarantee is stopped for a pressing service alone.
   */
  private victim(p: Placement, j: Job, within: boolean, guar: Guarantees): boolean {
    if (p.stop !== null || p.phase === 'exited' || p.job === j) return false;
    const g = guar.get(p.job);
    if (g?.firm && !this.pressing(j, p.machine)) return false;
    if (p.job.spec.rank < j.spec.rank) return true;
    if (!within || p.job.team === j.team || g === undefined || j.spec.gpus === 0) return false;
    return !g.within || p.job.spec.shape === 'array';
  }

  /**
   * When many machines are gone at once, services of the highest rank that found no room for a
   * plan wait come before gangs that stand within a guarantee: where so many wait that they
   * fill half of the machine at least. Without this, 176 replicas waited out a cut of 90 s
   * while 24 machines trained on; for a few replicas, gangs that were stopped cost more.
   */
  private pressing(j: Job, m: Machine): boolean {
    return m.cap !== null && this.waitedOut(j) && (this.pressed.get(j.share) ?? 0) * 2 >= copies(j.need, m.cap);
  }

  private waitedOut(j: Job): boolean {
    return (
      j.spec.rank === TOP_RANK &&
      j.spec.shape === 'service' &&
      j.waitsSince >= 0 &&
      this.work.now - j.waitsSince > this.cx.settings.policy.planWaitS * 1000
    );
  }

  private cost(p: Placement, now: Ms): number {
    const ran = p.ranSince >= 0 ? (now - p.ranSince) / 1000 : 0;
    return p.job.spec.rank * 1000 + (p.phase === 'planned' ? -1 : ran) + (p.job.spec.shape === 'gang' ? 500 : 0);
  }

  /** The least work to stop on one machine so that a task of the job fits, or null. */
  private victimsOn(j: Job, within: boolean, r: Room, guar: Guarantees, now: Ms, count = 1): Placement[] | null {
    const need: Need = { cpus: j.spec.cpus * count, gpus: j.spec.gpus * count, memory: j.spec.memory * count };
    const free: Need = { cpus: r.cpus, gpus: r.gpus, memory: r.memory };
    const out: Placement[] = [];
    const list = [...r.machine.placements.values()]
      .filter((p) => this.victim(p, j, within, guar))
      .sort((a, b) => this.cost(a, now) - this.cost(b, now));
    for (const p of list) {
      if (fits(need, free)) break;
      out.push(p);
      free.cpus += p.job.spec.cpus;
      free.gpus += p.job.spec.gpus;
      free.memory += p.job.spec.memory;
    }
    return fits(need, free) ? out : null;
  }

  private evictFor(j: Job, within: boolean, rooms: Room[], guar: Guarantees, now: Ms): Room | null {
    // Nothing stands below it.
    if (j.spec.rank === 0 && (!within || j.spec.gpus === 0)) return null;
    let best: { r: Room; v: Placement[]; c: number } | null = null;
    for (const r of rooms) {
      const v = this.victimsOn(j, within, r, guar, now);
      if (!v) continue;
      const c = v.reduce((a, p) => a + this.cost(p, now), 0) - 20 * this.preference(j, r);
      if (!best || c < best.c) best = { r, v, c };
    }
    if (!best) return null;
    this.evict(best.v, best.r);
    return best.r;
  }

  private evict(victims: Placement[], r: Room): void {
    for (const p of victims) {
      r.cpus += p.job.spec.cpus;
      r.gpus += p.job.spec.gpus;
      r.memory += p.job.spec.memory;
      // A gang is stopped whole.
      if (p.job.spec.shape === 'gang') this.work.stopJob(p.job);
      else this.work.stop(p, this.work.graceOf(p.job));
    }
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
    let spots = placeGang(j, n, rooms, (r) => this.preference(j, r));
    if (!spots) {
      // By layers again, with what may be stopped taken as free; the domain with the least to stop wins.
      for (const layer of [0, 1, 2] as const) {
        if (layer === 2 && j.spec.oneZone) continue;
        for (const domain of domains(rooms, layer)) {
          const widened = domain.map((r) => {
            const w = { ...r };
            for (const p of r.machine.placements.values()) {
              if (!this.victim(p, j, within, guar)) continue;
              w.cpus += p.job.spec.cpus;
              w.gpus += p.job.spec.gpus;
              w.memory += p.job.spec.memory;
            }
            return w;
          });
          const costs = new Map(
            domain.map((r) => [
              r.machine,
              this.victimsOn(j, within, r, guar, now)?.reduce((a, p) => a + this.cost(p, now), 0) ?? 1e9,
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
        const v = this.victimsOn(j, within, r, guar, now, c);
        if (!v) return n;
        this.evict(v, r);
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
      const spots = placeGang(j, n, mine, (r) => this.preference(j, r));
      if (spots) this.holdGang(j, spots, mine, use, now);
      return;
    }
    const counts = zoneCounts(j);
    mine.sort((a, b) => Number(b.machine.images.has(j.image)) - Number(a.machine.images.has(j.image)));
    for (let i = 0; i < n; i++) {
      const room = mine.find((r) => fits(j.need, r) && zoneAllows(j, counts, r.machine.zone));
      const index = room ? j.nextUntried() : -1;
      if (!room || index < 0) return;
      take(room, j.need);
      this.work.place(j, index, this.work.attempt(j.share), room.machine, 'planned', now);
      this.addUse(use, j);
      counts.set(room.machine.zone, (counts.get(room.machine.zone) ?? 0) + 1);
    }
  }
}
