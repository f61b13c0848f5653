/** Where a job allows its tasks: machine types, zones, spot machines, and how they spread over zones. Pure functions. */
import type { Job, Machine } from '../model/index.js';

/** Do the job's types, its zone and its consent to spot machines allow the machine, whatever is free there? */
export function isAllowedOn(job: Job, machine: Machine): boolean {
  return (
    (!machine.spot || job.spec.allowsSpot) &&
    (job.typeIndices === null || job.typeIndices.includes(machine.typeIndex)) &&
    (job.zoneIndex < 0 || job.zoneIndex === machine.zoneIndex)
  );
}

/** Is the machine allowed, in the job's shard, and one that the job has not failed on? */
export function isCandidateFor(job: Job, machine: Machine): boolean {
  return machine.shard === job.shard && isAllowedOn(job, machine) && !job.failedOn.has(machine.name);
}

/** The job's tasks that are, or may be, on a machine, by zone index. */
export function tasksPerZone(job: Job): Map<number, number> {
  const counts = new Map<number, number>();
  for (const allocation of job.tenure.allocations.values())
    if (allocation.phase !== 'exited') countTaskInZone(counts, allocation.machine.zoneIndex);
  return counts;
}

/** Adds one task to the zone's count. */
export function countTaskInZone(counts: Map<number, number>, zoneIndex: number): void {
  counts.set(zoneIndex, (counts.get(zoneIndex) ?? 0) + 1);
}

/** May one more task of the job run in the zone, given how many there are in each? */
export function zoneAllowsTask(job: Job, counts: ReadonlyMap<number, number>, zoneIndex: number): boolean {
  if (job.spec.oneZone) {
    for (const [otherZone, count] of counts) if (otherZone !== zoneIndex && count > 0) return false;
  }
  return (counts.get(zoneIndex) ?? 0) < maxTasksPerZone(job);
}

/** A job that is to be spread has half of its tasks in one zone at most. */
function maxTasksPerZone(job: Job): number {
  return job.spec.spread ? Math.ceil(job.spec.tasks / 2) : Number.POSITIVE_INFINITY;
}
