/** Placement constraints of jobs: machine types, zones, spot machines, and the spread of tasks over zones. Pure functions. */
import type { Job, Machine } from '../model/index.js';

/**
 * Whether the job's machine types, its zone and its consent to spot machines allow the machine, regardless of free resources.
 */
export function isAllowedOn(job: Job, machine: Machine): boolean {
  return (
    (!machine.spot || job.spec.allowsSpot) &&
    (job.typeIndices === null || job.typeIndices.includes(machine.typeIndex)) &&
    (job.zoneIndex < 0 || job.zoneIndex === machine.zoneIndex)
  );
}

/** Whether the machine is in the job's shard, the job's constraints allow it, and none of the job's tasks has failed there. */
export function isCandidateFor(job: Job, machine: Machine): boolean {
  return machine.shard === job.shard && isAllowedOn(job, machine) && !job.failedOn.has(machine.name);
}

/** Returns the number of the job's tasks that are, or may be, on a machine, by zone index. */
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

/** Whether one more task of the job may run in the zone. `counts`: number of the job's tasks by zone index. */
export function zoneAllowsTask(job: Job, counts: ReadonlyMap<number, number>, zoneIndex: number): boolean {
  if (job.spec.oneZone) {
    for (const [otherZone, count] of counts) if (otherZone !== zoneIndex && count > 0) return false;
  }
  return (counts.get(zoneIndex) ?? 0) < maxTasksPerZone(job);
}

/** Returns the maximum number of the job's tasks in one zone: half of its tasks, rounded up, if it is spread over zones. */
function maxTasksPerZone(job: Job): number {
  return job.spec.spread ? Math.ceil(job.spec.tasks / 2) : Number.POSITIVE_INFINITY;
}
