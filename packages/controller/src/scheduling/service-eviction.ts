import type { Work } from '../allocation/task-allocations.js';
import type { Context } from '../context/index.js';
import type { Machine, Ms, Need, Placement } from '../model/index.js';
import type { Places } from './machine-scoring.js';
import { allowed, copies, fits, type Room, take, zoneAllows, zoneCounts } from './placement.js';
import { Destinations } from './relocation-targets.js';

/** How often services of one machine are gathered elsewhere. */
const GATHER_MS = 4000;

/** A service that has run for this long may be moved; a machine that was emptied takes none for as long. */
const SETTLED_MS = 40_000;

/** Services that move so that machines come free: for gangs, for other shares, or to go back. */
export class Clearing {
  private clearedAt: Ms = -1e12;
  private gatheredAt: Ms = -1e12;

  constructor(
    private readonly context: Context,
    private readonly work: Work,
    private readonly places: Places,
  ) {}

  /**
   * Machines whose services the share has other room for: these can be cleared, for work
   * that needs an accelerator or for another share.
   */
  clearable(share: number, now: Ms): Set<Machine> {
    const out = new Set<Machine>();
    const rooms: Room[] = [];
    for (const m of this.context.table.machines.values()) {
      if (m.share !== share || !m.cap || m.spot || !this.work.usable(m, now)) continue;
      if (m.cap.gpus > 0 && !this.places.givenToServices(m)) continue;
      const r = this.work.roomOf(m);
      for (const p of m.placements.values()) {
        if (p.phase !== 'exited' && p.job.spec.shape === 'array')
          take(r, { cpus: -p.job.spec.cpus, gpus: 0, memory: -p.job.spec.memory });
      }
      if (m.placements.size > 0) rooms.push(r);
    }
    const destinations = new Destinations(rooms, (m) => this.work.serviceUse(m).cpus);
    for (const m of this.context.table.machines.values()) {
      if (m.share !== share || !m.cap || m.spot) continue;
      const move = this.work.servicesOn(m);
      // What was moved lately stays where it is: moving it on would keep it from running.
      if (move.some((p) => now - p.job.lastStop < 60_000)) continue;
      if (move.length === 0 || (m.cap.gpus === 0 && move.length > 4)) continue;
      if (destinations.hold(m, move)) out.add(m);
    }
    return out;
  }

  /**
   * Clears machines with accelerators of services when a gang here has no other place: as
   * many as it lacks, or none.
   */
  clearForGangs(now: Ms): void {
    if (now - this.clearedAt < 5000) return;
    for (const { job } of this.work.unmet) {
      if (job.spec.gpus === 0 || job.spec.shape !== 'gang') continue;
      const plain: Machine[] = [];
      let room = 0;
      const can = this.clearable(job.share, now);
      for (const m of this.context.table.machines.values()) {
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
        this.context.log('info', 'moving services off a machine with accelerators', { machine: m.name });
        m.emptyUntil = now + 2 * this.context.settings.policy.planWaitS * 1000;
        for (const p of this.work.servicesOn(m)) this.work.stop(p, 0);
      }
      return;
    }
  }

  /**
   * A few services keep a machine with accelerators from being given back. Where others have
   * room for them, with their images at hand, they move there, one machine at a time.
   */
  gather(now: Ms): void {
    if (this.context.settings.policy.hold || now - this.gatheredAt < GATHER_MS) return;
    this.gatheredAt = now;
    for (const share of this.work.held.keys()) {
      let best: { m: Machine; services: readonly Placement[] } | null = null;
      const rooms: Room[] = [];
      for (const m of this.context.table.machines.values()) {
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
            (r.machine.cap?.gpus === 0 || this.places.keptAnyway(r.machine) || this.work.serviceUse(r.machine).cpus > use),
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
      this.context.log('debug', 'gathering services of a machine elsewhere', { machine: m.name, services: services.length });
      m.emptyUntil = now + SETTLED_MS;
      for (const p of services) this.work.stop(p, 0);
    }
  }
}
