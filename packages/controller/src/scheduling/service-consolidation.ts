/**
 * Consolidation of services: a few services prevent the release of a machine with accelerators. If other machines have enough
 * free resources for these services and have their images in the cache, the services move there, one machine per shard at a
 * time. Owns the time of the last attempt.
 */
import { freeResourcesOf, type TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, Logger, SettingsView } from '../context/index.js';
import {
  type Allocation,
  type FreeResources,
  fits,
  type Machine,
  type Milliseconds,
  machineLoadOf,
  NEVER,
  subtract,
} from '../model/index.js';
import { type GpuMachines, hasGpuWork } from './gpu-machines.js';
import { isAllowedOn, tasksPerZone, zoneAllowsTask } from './placement-constraints.js';

/** Minimum interval between attempts. */
const CONSOLIDATION_INTERVAL_MS = 4000;

/**
 * A service may be moved once it has run for this long. A cleared machine accepts no work without accelerators for the same
 * time.
 */
const STABILIZATION_MS = 40_000;

/** A machine whose services use more than this fraction of its processor cores is not cleared. */
const MAX_CPU_FRACTION = 0.5;

/** A machine that may be cleared, with its services. */
interface ConsolidationSource {
  readonly machine: Machine;
  readonly services: readonly Allocation[];
}

/** Consolidates services unless the policy is to hold spare capacity. */
export class ServiceConsolidation {
  private lastAttemptAt: Milliseconds = NEVER;

  constructor(
    private readonly context: SettingsView & ClusterStateView & Logger,
    private readonly allocations: TaskAllocations,
    private readonly gpuMachines: GpuMachines,
  ) {}

  /** Stops the services of at most one machine per shard. The scheduler then places them again. */
  consolidate(now: Milliseconds): void {
    if (this.context.settings.policy.holdSpareCapacity || now - this.lastAttemptAt < CONSOLIDATION_INTERVAL_MS) return;
    this.lastAttemptAt = now;
    for (const shard of this.allocations.heldShards.keys()) {
      const machines = this.usableMachines(shard, now);
      const source = this.chooseSource(machines, now);
      if (source && this.canRelocate(source, machines)) this.evictServices(source, now);
    }
  }

  private usableMachines(shard: number, now: Milliseconds): Machine[] {
    const result: Machine[] = [];
    for (const machine of this.context.clusterState.machines.values()) {
      if (machine.shard !== shard || !machine.capacity || machine.spot) continue;
      if (this.allocations.isSchedulable(machine, now) && now >= machine.reservedUntil) result.push(machine);
    }
    return result;
  }

  /**
   * Returns the machine with the fewest services, of equal ones the first; null if there is none, or if its services use too
   * much of it.
   */
  private chooseSource(machines: readonly Machine[], now: Milliseconds): ConsolidationSource | null {
    let best: ConsolidationSource | null = null;
    for (const machine of machines) {
      if (machine.capacity?.gpus === 0) continue;
      const services = machineLoadOf(machine).services;
      if (services.length === 0 || (best && services.length >= best.services.length)) continue;
      if (services.every((service) => isStable(service, now)) && !hasGpuWork(machine) && !hasPlannedWork(machine))
        best = { machine, services };
    }
    if (!best) return null;
    const cpus = best.machine.capacity?.cpus ?? 0;
    return machineLoadOf(best.machine).serviceUsage.cpus > cpus * MAX_CPU_FRACTION ? null : best;
  }

  /** Whether all services of the source could move at once to machines that have their images. */
  private canRelocate({ machine, services }: ConsolidationSource, machines: readonly Machine[]): boolean {
    const targets = this.targetsFor(machine, machines);
    return services.every(({ job }) => {
      const tasksInZones = tasksPerZone(job);
      tasksInZones.set(machine.zoneIndex, (tasksInZones.get(machine.zoneIndex) ?? 1) - 1);
      const target = targets.find(
        (free) =>
          free.machine.images.has(job.imageIndex) &&
          fits(job.resources, free) &&
          isAllowedOn(job, free.machine) &&
          zoneAllowsTask(job, tasksInZones, free.machine.zoneIndex),
      );
      if (target) subtract(target, job.resources);
      return target !== undefined;
    });
  }

  /**
   * Returns the machines that stay in use anyway, or whose services use more processor cores than the source's; the fullest
   * first.
   */
  private targetsFor(source: Machine, machines: readonly Machine[]): FreeResources[] {
    const sourceCpus = machineLoadOf(source).serviceUsage.cpus;
    const mayReceiveServices = (machine: Machine) =>
      machine.capacity?.gpus === 0 ||
      (this.hasWork(machine) && (this.gpuMachines.isOccupied(machine) || machineLoadOf(machine).serviceUsage.cpus > sourceCpus));
    return machines
      .filter((machine) => machine !== source && mayReceiveServices(machine))
      .map(freeResourcesOf)
      .sort((a, b) => a.cpus - b.cpus);
  }

  private hasWork(machine: Machine): boolean {
    return machineLoadOf(machine).services.length > 0 || hasGpuWork(machine);
  }

  private evictServices({ machine, services }: ConsolidationSource, now: Milliseconds): void {
    this.context.log('debug', 'consolidating services on other machines', {
      machine: machine.name,
      services: services.length,
    });
    machine.reservedUntil = now + STABILIZATION_MS;
    for (const allocation of services) this.allocations.stop(allocation, 0);
  }
}

function isStable({ stopGraceS, runningSince }: Allocation, now: Milliseconds): boolean {
  return stopGraceS === null && runningSince !== null && now - runningSince >= STABILIZATION_MS;
}

function hasPlannedWork(machine: Machine): boolean {
  for (const allocation of machine.tenure.allocations.values()) if (allocation.phase === 'planned') return true;
  return false;
}
