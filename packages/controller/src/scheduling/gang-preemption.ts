/**
 * Preemption for gangs: chooses the smallest topology domain of the finest layer that holds the gang once all possible victims
 * there are stopped, and in this domain the machines on which preemption costs least.
 */
import type { FreeResources, Machine } from '../model/index.js';
import { domainsFor, placeGang } from './gang-placement.js';
import { type Preemption, releaseResources, stopCostS } from './preemption.js';
import type { QueuedJob } from './queued-job.js';
import type { SchedulingRun } from './scheduling-run.js';

/** Cost of a machine on which not even one task fits after preemption: higher than that of any set of victims. */
const INFEASIBLE_COST_S = 1e9;

/** Preempts work so that a whole gang fits. */
export class GangPreemption {
  constructor(private readonly preemption: Preemption) {}

  /**
   * Stops the work that blocks the gang, adds its resources to the candidates' free resources, and returns the machine of each
   * task; null if the whole gang doesn't fit.
   */
  preemptFor(queued: QueuedJob, candidates: readonly FreeResources[], run: SchedulingRun): Machine[] | null {
    const machines = this.chooseMachines(queued, candidates, run);
    if (!machines) return null;
    const isFeasible = this.preemptVictims(machines, queued, candidates, run);
    return isFeasible ? machines : null;
  }

  private chooseMachines(queued: QueuedJob, candidates: readonly FreeResources[], run: SchedulingRun): Machine[] | null {
    const { job } = queued;
    for (const domain of domainsFor(job, candidates)) {
      const afterPreemption = domain.map((free) => this.freeAfterPreemption(free, queued, run));
      const costs = this.costsOf(domain, queued, run);
      const machines = placeGang(job, job.spec.tasks, afterPreemption, ({ machine }) => -(costs.get(machine) ?? 0));
      if (machines) return machines;
    }
    return null;
  }

  private freeAfterPreemption(free: FreeResources, queued: QueuedJob, run: SchedulingRun): FreeResources {
    const result = { ...free };
    for (const allocation of free.machine.tenure.allocations.values())
      if (this.preemption.isVictim(allocation, queued, run)) releaseResources(result, allocation);
    return result;
  }

  /** Returns the cost of preempting enough work for one of the gang's tasks, by machine. */
  private costsOf(domain: readonly FreeResources[], queued: QueuedJob, run: SchedulingRun): Map<Machine, number> {
    const costs = new Map<Machine, number>();
    for (const free of domain) {
      const victims = this.preemption.victimsOn(free, queued, run);
      costs.set(free.machine, victims ? stopCostS(victims, run.now) : INFEASIBLE_COST_S);
    }
    return costs;
  }

  /**
   * Stops enough victims on each machine for the gang's tasks there. Returns false if the tasks don't fit on one of the
   * machines even then.
   */
  private preemptVictims(
    machines: readonly Machine[],
    queued: QueuedJob,
    candidates: readonly FreeResources[],
    run: SchedulingRun,
  ): boolean {
    const tasksByMachine = new Map<Machine, number>();
    for (const machine of machines) tasksByMachine.set(machine, (tasksByMachine.get(machine) ?? 0) + 1);
    for (const [machine, count] of tasksByMachine) {
      const free = candidates.find((candidate) => candidate.machine === machine);
      const victims = free ? this.preemption.victimsOn(free, queued, run, count) : null;
      if (!free || !victims) return false;
      this.preemption.preempt(victims, free);
    }
    return true;
  }
}
