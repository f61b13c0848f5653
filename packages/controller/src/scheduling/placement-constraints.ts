/** Where a job allows its tasks: machine types, zones, spot machines, and how they spread over zones. */
import type { Job, Machine } from '../model/index.js';

/** May tasks of the job run on the machine, whatever is free there? */
export function isAllowedOn(job: Job, machine: Machine): boolean {
  return (
    (!machine.spot || job.spec.spot) &&
    (job.typeIndices === null || job.typeIndices.includes(machine.typeIndex)) &&
    (job.zoneIndex < 0 || job.zoneIndex === machine.zoneIndex)
  );
}

/** Most tasks of the job in one zone, by its `spread`. */
export function maxTasksPerZone(job: Job): number {
  return job.spec.spread ? Math.ceil(job.spec.tasks / 2) : Number.POSITIVE_INFINITY;
}

/** Tasks of the job in each zone: all that are, or may be, on a machine. */
export function tasksPerZone(job: Job): Map<number, number> {
  const counts = new Map<number, number>();
  for (const allocation of job.tenure.allocations.values()) {
    if (allocation.phase !== 'exited')
      counts.set(allocation.machine.zoneIndex, (counts.get(allocation.machine.zoneIndex) ?? 0) + 1);
  }
  return counts;
}

/** May one more task of the job run in the zone, given how many there are in each? */
export function zoneAllowsTask(job: Job, counts: Map<number, number>, zone: number): boolean {
  if (job.spec.oneZone) {
    for (const [otherZone, count] of counts) if (otherZone !== zone && count > 0) return false;
  }
  return (counts.get(zone) ?? 0) < maxTasksPerZone(job);
}
