/**
 * Reservation for aged gangs: free machines that such a gang could use are kept for it, up to what it lacks. Smaller work
 * would take each of them as it comes free, and the gang would never see enough at once. The oldest gang reserves first, so
 * two gangs don't wait for each other's machines.
 */
import { countThatFit, type FreeResources, type Job } from '../model/index.js';
import { isCandidateFor } from './placement-constraints.js';
import type { SchedulingRun } from './scheduling-run.js';

/** Takes the machines that the gang could use out of the run's unreserved ones, and its tasks off its team's limit. */
export function reserveForAgedGang(gang: Job, run: SchedulingRun): void {
  const { tasks } = gang.spec;
  const isWithinLimit = run.usage.remainingTasks(gang) >= tasks;
  for (let index = 0; index < tasks; index++) run.usage.add(gang);
  if (!isWithinLimit) return;
  const reserved = machinesToReserve(gang, run.unreserved);
  if (reserved.size > 0) run.unreserved = run.unreserved.filter((free) => !reserved.has(free));
}

/** The first machines on which all the gang's tasks fit together, or all on which one fits. */
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
