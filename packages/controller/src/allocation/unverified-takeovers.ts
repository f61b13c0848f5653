/**
 * Machines that were taken over with a shard and have not responded to a probe since. They may run tasks that the previous lease
 * holder started and that have not been reported to this controller. Pure functions of the cluster state.
 */
import type { Job, Machine } from '../model/index.js';

/** Returns the shards with machines that have not responded since the takeover. */
export function shardsAwaitingVerification(machines: ReadonlyMap<string, Machine>): Set<number> {
  const shards = new Set<number>();
  for (const machine of machines.values()) if (machine.tenure.isUnverifiedTakeover) shards.add(machine.shard);
  return shards;
}

/**
 * Whether a task of the job may run on a machine that has not responded since the takeover. False for a job that was stored after
 * the shard's lease was acquired, since the previous lease holder never placed it. `leaseRevision`: null if the shard isn't held.
 */
export function mayRunUnreported(job: Job, leaseRevision: number | null, machines: ReadonlyMap<string, Machine>): boolean {
  if (leaseRevision === null || job.modRevision > leaseRevision) return false;
  for (const machine of machines.values()) if (machine.shard === job.shard && machine.tenure.isUnverifiedTakeover) return true;
  return false;
}
