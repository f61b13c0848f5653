import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, Logger, SettingsView } from '../context/index.js';
import {
  type Allocation,
  countThatFit,
  type FreeResources,
  fits,
  type Machine,
  type Milliseconds,
  NEVER,
  type Resources,
  subtract,
} from '../model/index.js';
import type { MachineScoring } from './machine-scoring.js';
import { isAllowedOn, tasksPerZone, zoneAllowsTask } from './placement-constraints.js';
import { RelocationTargets } from './relocation-targets.js';

/** How often services of one machine are gathered elsewhere. */
const CONSOLIDATION_INTERVAL_MS = 4000;

/** A service that has run for this long may be moved; a machine that was emptied takes none for as long. */
const SETTLED_MS = 40_000;

/** What the service eviction needs of its controller. */
type ServiceEvictionContext = SettingsView & ClusterStateView & Logger;

/** Services that move so that machines come free: for gangs, for other shares, or to go back. */
export class ServiceEviction {
  private evictedAt: Milliseconds = NEVER;
  private consolidatedAt: Milliseconds = NEVER;

  constructor(
    private readonly context: ServiceEvictionContext,
    private readonly allocations: TaskAllocations,
    private readonly machineScoring: MachineScoring,
  ) {}

  /**
   * Machines whose services the share has other room for: these can be cleared, for work
   * that needs an accelerator or for another share.
   */
  evacuableMachines(shard: number, now: Milliseconds): Set<Machine> {
    const result = new Set<Machine>();
    const candidates: FreeResources[] = [];
    for (const machine of this.context.clusterState.machines.values()) {
      if (machine.shard !== shard || !machine.capacity || machine.spot || !this.allocations.isSchedulable(machine, now)) continue;
      if (machine.capacity.gpus > 0 && !this.machineScoring.isDedicatedToServices(machine)) continue;
      const free = this.allocations.freeResourcesOf(machine);
      for (const allocation of machine.tenure.allocations.values()) {
        if (allocation.phase !== 'exited' && allocation.job.spec.shape === 'array')
          subtract(free, { cpus: -allocation.job.spec.cpus, gpus: 0, memory: -allocation.job.spec.memory });
      }
      if (machine.tenure.allocations.size > 0) candidates.push(free);
    }
    const destinations = new RelocationTargets(candidates, (machine) => this.allocations.serviceUsage(machine).cpus);
    for (const machine of this.context.clusterState.machines.values()) {
      if (machine.shard !== shard || !machine.capacity || machine.spot) continue;
      const move = this.allocations.servicesOn(machine);
      // What was moved lately stays where it is: moving it on would keep it from running.
      if (move.some((allocation) => now - allocation.job.lastStopAt < 60_000)) continue;
      if (move.length === 0 || (machine.capacity.gpus === 0 && move.length > 4)) continue;
      if (destinations.canHost(machine, move)) result.add(machine);
    }
    return result;
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
      let remaining = 0;
      const can = this.evacuableMachines(job.shard, now);
      for (const machine of this.context.clusterState.machines.values()) {
        if (
          machine.shard !== job.shard ||
          !machine.capacity ||
          !isAllowedOn(job, machine) ||
          !this.allocations.isSchedulable(machine, now)
        )
          continue;
        const here = countThatFit(job.resources, this.allocations.freeResourcesOf(machine));
        remaining += here;
        if (here > 0 || !can.has(machine)) continue;
        if (
          [...machine.tenure.allocations.values()].some(
            (allocation) => allocation.phase !== 'exited' && allocation.job.spec.gpus > 0,
          )
        )
          continue;
        const usage = this.allocations.serviceUsage(machine);
        const without: Resources = {
          cpus: machine.capacity.cpus - usage.cpus,
          gpus: machine.capacity.gpus,
          memory: machine.capacity.memory - usage.memory,
        };
        if (usage.cpus > 0 && !fits(job.resources, without)) plain.push(machine);
      }
      if (plain.length === 0 || remaining >= job.spec.tasks) continue;
      plain.sort((a, b) => this.allocations.serviceUsage(a).cpus - this.allocations.serviceUsage(b).cpus);
      let gained = 0;
      const chosen = plain.filter((machine) => {
        if (remaining + gained >= job.spec.tasks) return false;
        gained += countThatFit(job.resources, machine.capacity as Resources);
        return true;
      });
      if (remaining + gained < job.spec.tasks) continue;
      this.evictedAt = now;
      for (const machine of chosen) {
        this.context.log('info', 'evicting services from a GPU machine', { machine: machine.name });
        machine.reservedUntil = now + 2 * this.context.settings.policy.planWaitS * 1000;
        for (const allocation of this.allocations.servicesOn(machine)) this.allocations.stop(allocation, 0);
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
    for (const shard of this.allocations.heldShards.keys()) {
      let best: { m: Machine; services: readonly Allocation[] } | null = null;
      const candidates: FreeResources[] = [];
      for (const machine of this.context.clusterState.machines.values()) {
        if (
          machine.shard !== shard ||
          !machine.capacity ||
          machine.spot ||
          !this.allocations.isSchedulable(machine, now) ||
          now < machine.reservedUntil
        )
          continue;
        const services = this.allocations.servicesOn(machine);
        const gpuWork = [...machine.tenure.allocations.values()].some(
          (allocation) => allocation.phase !== 'exited' && allocation.job.spec.gpus > 0,
        );
        if (machine.capacity.gpus === 0 || services.length > 0 || gpuWork)
          candidates.push(this.allocations.freeResourcesOf(machine));
        if (machine.capacity.gpus === 0 || services.length === 0 || (best && services.length >= best.services.length)) continue;
        if (
          services.some(
            (allocation) =>
              allocation.stopGraceS !== null || allocation.runningSince === null || now - allocation.runningSince < SETTLED_MS,
          )
        )
          continue;
        if (gpuWork || [...machine.tenure.allocations.values()].some((allocation) => allocation.phase === 'planned')) continue;
        best = { m: machine, services };
      }
      if (!best) continue;
      const { m: machine, services } = best;
      const usage = this.allocations.serviceUsage(machine).cpus;
      if (usage > (machine.capacity?.cpus ?? 0) / 2) continue;
      const free = candidates
        .filter(
          (free) =>
            free.machine !== machine &&
            (free.machine.capacity?.gpus === 0 ||
              this.machineScoring.isKeptBusy(free.machine) ||
              this.allocations.serviceUsage(free.machine).cpus > usage),
        )
        .sort((a, b) => a.cpus - b.cpus);
      const all = services.every((allocation) => {
        const counts = tasksPerZone(allocation.job);
        counts.set(machine.zoneIndex, (counts.get(machine.zoneIndex) ?? 1) - 1);
        const candidate = free.find(
          (free) =>
            free.machine.images.has(allocation.job.imageIndex) &&
            fits(allocation.job.resources, free) &&
            isAllowedOn(allocation.job, free.machine) &&
            zoneAllowsTask(allocation.job, counts, free.machine.zoneIndex),
        );
        if (candidate) subtract(candidate, allocation.job.resources);
        return candidate !== undefined;
      });
      if (!all) continue;
      this.context.log('debug', 'consolidating services on other machines', {
        machine: machine.name,
        services: services.length,
      });
      machine.reservedUntil = now + SETTLED_MS;
      for (const allocation of services) this.allocations.stop(allocation, 0);
    }
  }
}
