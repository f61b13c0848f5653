import type { TaskAllocations } from '../allocation/task-allocations.js';
import type { ControllerContext } from '../context/index.js';
import type { Allocation, Machine, Milliseconds, Resources } from '../model/index.js';
import type { MachineScoring } from './machine-scoring.js';
import { countThatFit, type FreeResources, fits, isAllowedOn, subtract, tasksPerZone, zoneAllowsTask } from './placement.js';
import { RelocationTargets } from './relocation-targets.js';

/** How often services of one machine are gathered elsewhere. */
const CONSOLIDATION_INTERVAL_MS = 4000;

/** A service that has run for this long may be moved; a machine that was emptied takes none for as long. */
const SETTLED_MS = 40_000;

/** Services that move so that machines come free: for gangs, for other shares, or to go back. */
export class ServiceEviction {
  private evictedAt: Milliseconds = -1e12;
  private consolidatedAt: Milliseconds = -1e12;

  constructor(
    private readonly context: ControllerContext,
    private readonly allocations: TaskAllocations,
    private readonly machineScoring: MachineScoring,
  ) {}

  /**
   * Machines whose services the share has other room for: these can be cleared, for work
   * that needs an accelerator or for another share.
   */
  evacuableMachines(share: number, now: Milliseconds): Set<Machine> {
    const out = new Set<Machine>();
    const rooms: FreeResources[] = [];
    for (const m of this.context.clusterState.machines.values()) {
      if (m.shard !== share || !m.capacity || m.spot || !this.allocations.isSchedulable(m, now)) continue;
      if (m.capacity.gpus > 0 && !this.machineScoring.isDedicatedToServices(m)) continue;
      const r = this.allocations.freeResourcesOf(m);
      for (const p of m.allocations.values()) {
        if (p.phase !== 'exited' && p.job.spec.shape === 'array')
          subtract(r, { cpus: -p.job.spec.cpus, gpus: 0, memory: -p.job.spec.memory });
      }
      if (m.allocations.size > 0) rooms.push(r);
    }
    const destinations = new RelocationTargets(rooms, (m) => this.allocations.serviceUsage(m).cpus);
    for (const m of this.context.clusterState.machines.values()) {
      if (m.shard !== share || !m.capacity || m.spot) continue;
      const move = this.allocations.servicesOn(m);
      // What was moved lately stays where it is: moving it on would keep it from running.
      if (move.some((p) => now - p.job.lastStopAt < 60_000)) continue;
      if (move.length === 0 || (m.capacity.gpus === 0 && move.length > 4)) continue;
      if (destinations.canHost(m, move)) out.add(m);
    }
    return out;
  }

  /**
   * Clears machines with accelerators of services when a gang here has no other place: as
   * many as it lacks, or none.
   */
  evictForGangs(now: Milliseconds): void {
    if (now - this.evictedAt < 5000) return;
    for (const { job } of this.allocations.unmetDemand) {
      if (job.spec.gpus === 0 || job.spec.shape !== 'gang') continue;
      const plain: Machine[] = [];
      let room = 0;
      const can = this.evacuableMachines(job.shard, now);
      for (const m of this.context.clusterState.machines.values()) {
        if (m.shard !== job.shard || !m.capacity || !isAllowedOn(job, m) || !this.allocations.isSchedulable(m, now)) continue;
        const here = countThatFit(job.resources, this.allocations.freeResourcesOf(m));
        room += here;
        if (here > 0 || !can.has(m)) continue;
        if ([...m.allocations.values()].some((p) => p.phase !== 'exited' && p.job.spec.gpus > 0)) continue;
        const use = this.allocations.serviceUsage(m);
        const without: Resources = {
          cpus: m.capacity.cpus - use.cpus,
          gpus: m.capacity.gpus,
          memory: m.capacity.memory - use.memory,
        };
        if (use.cpus > 0 && !fits(job.resources, without)) plain.push(m);
      }
      if (plain.length === 0 || room >= job.spec.tasks) continue;
      plain.sort((a, b) => this.allocations.serviceUsage(a).cpus - this.allocations.serviceUsage(b).cpus);
      let gained = 0;
      const chosen = plain.filter((m) => {
        if (room + gained >= job.spec.tasks) return false;
        gained += countThatFit(job.resources, m.capacity as Resources);
        return true;
      });
      if (room + gained < job.spec.tasks) continue;
      this.evictedAt = now;
      for (const m of chosen) {
        this.context.log('info', 'moving services off a machine with accelerators', { machine: m.name });
        m.reservedUntil = now + 2 * this.context.settings.policy.planWaitS * 1000;
        for (const p of this.allocations.servicesOn(m)) this.allocations.stop(p, 0);
      }
      return;
    }
  }

  /**
   * A few services keep a machine with accelerators from being given back. Where others have
   * room for them, with their images at hand, they move there, one machine at a time.
   */
  consolidate(now: Milliseconds): void {
    if (this.context.settings.policy.holdSpareCapacity || now - this.consolidatedAt < CONSOLIDATION_INTERVAL_MS) return;
    this.consolidatedAt = now;
    for (const share of this.allocations.heldShards.keys()) {
      let best: { m: Machine; services: readonly Allocation[] } | null = null;
      const rooms: FreeResources[] = [];
      for (const m of this.context.clusterState.machines.values()) {
        if (m.shard !== share || !m.capacity || m.spot || !this.allocations.isSchedulable(m, now) || now < m.reservedUntil)
          continue;
        const services = this.allocations.servicesOn(m);
        const gpuWork = [...m.allocations.values()].some((p) => p.phase !== 'exited' && p.job.spec.gpus > 0);
        if (m.capacity.gpus === 0 || services.length > 0 || gpuWork) rooms.push(this.allocations.freeResourcesOf(m));
        if (m.capacity.gpus === 0 || services.length === 0 || (best && services.length >= best.services.length)) continue;
        if (services.some((p) => p.stopGraceS !== null || p.runningSince < 0 || now - p.runningSince < SETTLED_MS)) continue;
        if (gpuWork || [...m.allocations.values()].some((p) => p.phase === 'planned')) continue;
        best = { m, services };
      }
      if (!best) continue;
      const { m, services } = best;
      const use = this.allocations.serviceUsage(m).cpus;
      if (use > (m.capacity?.cpus ?? 0) / 2) continue;
      const free = rooms
        .filter(
          (r) =>
            r.machine !== m &&
            (r.machine.capacity?.gpus === 0 ||
              this.machineScoring.isKeptBusy(r.machine) ||
              this.allocations.serviceUsage(r.machine).cpus > use),
        )
        .sort((a, b) => a.cpus - b.cpus);
      const all = services.every((p) => {
        const counts = tasksPerZone(p.job);
        counts.set(m.zoneIndex, (counts.get(m.zoneIndex) ?? 1) - 1);
        const r = free.find(
          (x) =>
            x.machine.images.has(p.job.imageIndex) &&
            fits(p.job.resources, x) &&
            isAllowedOn(p.job, x.machine) &&
            zoneAllowsTask(p.job, counts, x.machine.zoneIndex),
        );
        if (r) subtract(r, p.job.resources);
        return r !== undefined;
      });
      if (!all) continue;
      this.context.log('debug', 'gathering services of a machine elsewhere', { machine: m.name, services: services.length });
      m.reservedUntil = now + SETTLED_MS;
      for (const p of services) this.allocations.stop(p, 0);
    }
  }
}
