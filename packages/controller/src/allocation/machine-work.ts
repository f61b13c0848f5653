/** Queries about the work on a machine, answered from its tenure. Pure functions of the machine. */
import type { ClusterStateView } from '../context/index.js';
import type { Machine } from '../model/index.js';
import { hasUnfinishedOrphan, isResultUnstored } from './exited-tasks.js';

/** Whether a task of a cancelled job may still run on the machine. Such machines are probed and released before others. */
export function hasCancelledWork({ tenure }: Machine): boolean {
  for (const { job, phase } of tenure.allocations.values()) if (job.state === 'cancelled' && phase !== 'exited') return true;
  return false;
}

/** Whether tasks without an allocation run on the machine: the resources that they use are unknown. */
export function hasOrphanedWork({ tenure }: Machine): boolean {
  return tenure.orphanedTasks.some((task) => task.state !== 'exited');
}

/** Whether the machine has no allocated task, no orphaned task that has not exited and no pending command. */
export function isEmpty(machine: Machine): boolean {
  const { allocations, pendingCommandId } = machine.tenure;
  return allocations.size === 0 && pendingCommandId === null && !hasOrphanedWork(machine);
}

/**
 * Whether the machine can move to another shard. The worker need not have forgotten exited tasks of this shard: it does before
 * the machine moves on, and the move raises its fencing token.
 */
export function canMove(machine: Machine, clusterState: ClusterStateView['clusterState']): boolean {
  const { allocations, pendingCommandId } = machine.tenure;
  if (pendingCommandId !== null || hasOrphanedWork(machine) || hasUnfinishedOrphan(machine, clusterState)) return false;
  for (const allocation of allocations.values()) if (allocation.phase !== 'exited' || isResultUnstored(allocation)) return false;
  return true;
}
