/**
 * Machines that were taken over with a shard and have not answered yet. They may have tasks of the earlier holder that nobody
 * has reported. Pure functions of the cluster state.
 */
import type { Job, Machine } from '../model/index.js';

/** The shards with such machines. */
export function shardsAwaitingVerification(machines: ReadonlyMap<string, Machine>): Set<number> {
  const shards = new Set<number>();
  for (const machine of machines.values()) if (machine.tenure.isUnverifiedTakeover) shards.add(machine.shard);
  return shards;
}

/**
 * Could a task of the job run on one of them? Not of a job that was stored after the shard's lease was acquired: the earlier
 * holder never placed it. `leaseRevision`: null if the shard isn't held.
 */
export function mayRunUnseen(job: Job, leaseRevision: number | null, machines: ReadonlyMap<string, Machine>): boolean {
  if (leaseRevision === null || job.modRevision > leaseRevision) return false;
  for (const machine of machines.values()) if (machine.shard === job.shard && machine.tenure.isUnverifiedTakeover) return true;
  return false;
}
