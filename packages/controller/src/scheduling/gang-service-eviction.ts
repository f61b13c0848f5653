/**
 * Eviction of services for gangs: if a gang doesn't fit otherwise, machines with accelerators are cleared of their services,
 * either enough of them for all of the gang's tasks or none. Owns the time of the last eviction.
 */
import { freeResourcesOf, type TaskAllocations, type UnmetDemand } from '../allocation/index.js';
import type { ClusterStateView, Logger, SettingsView } from '../context/index.js';
import {
  countThatFit,
  fits,
  type Job,
  type Machine,
  type Milliseconds,
  machineLoadOf,
  NEVER,
  type Resources,
} from '../model/index.js';
import { hasGpuWork } from './gpu-machines.js';
import { isAllowedOn } from './placement-constraints.js';
import type { ServiceEvacuation } from './service-evacuation.js';

/** Machines are cleared for one gang at a time. The next gang has to wait for this long. */
const EVICTION_INTERVAL_MS = 5000;

/** A cleared machine accepts no work without accelerators for this many plan waits. */
const RESERVATION_PLAN_WAITS = 2;

/** How much of a gang fits in its shard, and which machines could be cleared for the rest. */
interface GangCandidates {
  /** how many of the gang's tasks fit without an eviction */
  tasksThatFit: number;
  /** machines on which no task fits because of their services alone, and whose services fit on other machines */
  readonly clearable: ClearableMachine[];
}

interface ClearableMachine {
  readonly machine: Machine;
  /** processor cores that its services use */
  readonly serviceCpus: number;
  /** how many of the gang's tasks fit once the machine is cleared */
  readonly tasksOnceCleared: number;
}

/** Clears machines for gangs that didn't fit in a scheduling run. */
export class GangServiceEviction {
  private lastEvictionAt: Milliseconds = NEVER;

  constructor(
    private readonly context: SettingsView & ClusterStateView & Logger,
    private readonly allocations: TaskAllocations,
    private readonly evacuation: ServiceEvacuation,
  ) {}

  /**
   * Clears machines for the first gang of the unmet demand that fits afterward, unless the last eviction was less than
   * `EVICTION_INTERVAL_MS` ago.
   */
  evictFor(unmetDemand: readonly UnmetDemand[], now: Milliseconds): void {
    if (now - this.lastEvictionAt < EVICTION_INTERVAL_MS) return;
    for (const { job } of unmetDemand) {
      if (job.spec.gpus === 0 || job.spec.shape !== 'gang') continue;
      const machines = chooseMachines(job, this.candidatesFor(job, now));
      if (!machines) continue;
      this.lastEvictionAt = now;
      for (const machine of machines) this.evictFrom(machine, now);
      return;
    }
  }

  private candidatesFor(gang: Job, now: Milliseconds): GangCandidates {
    const evacuable = this.evacuation.evacuableMachines(gang.shard, now);
    const result: GangCandidates = { tasksThatFit: 0, clearable: [] };
    for (const machine of this.context.clusterState.machines.values()) {
      if (machine.shard !== gang.shard || !machine.capacity || !isAllowedOn(gang, machine)) continue;
      if (!this.allocations.isSchedulable(machine, now)) continue;
      const count = countThatFit(gang.resources, freeResourcesOf(machine));
      result.tasksThatFit += count;
      if (count > 0 || !evacuable.has(machine) || !isBlockedByServices(gang, machine, machine.capacity)) continue;
      result.clearable.push({
        machine,
        serviceCpus: machineLoadOf(machine).serviceUsage.cpus,
        tasksOnceCleared: countThatFit(gang.resources, machine.capacity),
      });
    }
    return result;
  }

  private evictFrom(machine: Machine, now: Milliseconds): void {
    this.context.log('info', 'evicting services from a GPU machine', { machine: machine.name });
    machine.reservedUntil = now + RESERVATION_PLAN_WAITS * this.context.settings.policy.planWaitS * 1000;
    for (const allocation of machineLoadOf(machine).services) this.allocations.stop(allocation, 0);
  }
}

/** Whether the machine's services alone prevent the gang's tasks from fitting. */
function isBlockedByServices(gang: Job, machine: Machine, capacity: Resources): boolean {
  if (hasGpuWork(machine)) return false;
  const usage = machineLoadOf(machine).serviceUsage;
  const capacityBesideServices: Resources = {
    cpus: capacity.cpus - usage.cpus,
    gpus: capacity.gpus,
    memory: capacity.memory - usage.memory,
  };
  return usage.cpus > 0 && !fits(gang.resources, capacityBesideServices);
}

/**
 * Chooses enough machines for the gang's tasks that don't fit otherwise, those with the fewest processor cores used by services
 * first. Returns null if all tasks fit already, or if the clearable machines are not enough.
 */
function chooseMachines(gang: Job, { tasksThatFit, clearable }: GangCandidates): Machine[] | null {
  let missing = gang.spec.tasks - tasksThatFit;
  if (missing <= 0) return null;
  clearable.sort((a, b) => a.serviceCpus - b.serviceCpus);
  const chosen: Machine[] = [];
  for (const { machine, tasksOnceCleared } of clearable) {
    if (missing <= 0) break;
    chosen.push(machine);
    missing -= tasksOnceCleared;
  }
  return missing > 0 ? null : chosen;
}
