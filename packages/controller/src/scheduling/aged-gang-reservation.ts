/**
 * Reservation for aged gangs: free machines that an aged gang could use are reserved for it, up to the capacity that it lacks.
 * Otherwise smaller jobs would take each machine as it becomes free, and the gang would never find enough of them free at
 * once. The oldest gang reserves first, so that two gangs don't wait for each other's machines.
 */
import { countThatFit, type FreeResources, type Job } from '../model/index.js';
import { isCandidateFor } from './placement-constraints.js';
import type { SchedulingRun } from './scheduling-run.js';

/**
 * Removes machines that the gang could use from the run's unreserved ones, unless the gang exceeds its team's limits. Counts
 * the gang's tasks against these limits in either case.
 */
export function reserveForAgedGang(gang: Job, run: SchedulingRun): void {
  const { tasks } = gang.spec;
  const isWithinLimit = run.usage.remainingTasks(gang) >= tasks;
  for (let index = 0; index < tasks; index++) run.usage.add(gang);
  if (!isWithinLimit) return;
  const reserved = machinesToReserve(gang, run.unreserved);
  if (reserved.size > 0) run.unreserved = run.unreserved.filter((free) => !reserved.has(free));
}

/**
 * Returns the first candidates on which all of the gang's tasks fit together; if there are too few, all on which at least one
 * fits.
 */
function machinesToReserve(gang: Job, candidates: readonly FreeResources[]): Set<FreeResources> {
  const reserved = new Set<FreeResources>();
  let missing = gang.spec.tasks;
  for (const free of candidates) {
    if (missing <= 0) break;
    if (!isCandidateFor(gang, free.machine)) continue;
    const count = countThatFit(gang.resources, free);
    if (count === 0) continue;
    reserved.add(free);
    missing -= count;
  }
  return reserved;
}
