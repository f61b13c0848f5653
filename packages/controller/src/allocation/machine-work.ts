/** Queries about the work on a machine, answered from its tenure. Pure functions of the machine. */
import type { ClusterStateView } from '../context/index.js';
import type { Machine } from '../model/index.js';
import { hasUnfinishedOrphan, isResultUnstored } from './exited-tasks.js';

/** Whether a task of a cancelled job may still run on the machine. Such machines are probed and released before others. */
export function hasCancelledWork({ tenure }: Machine): boolean {
  for (const { job, phase } of tenure.allocations.values()) if (job.state === 'cancelled' && phase !== 'exited') return true;
  return false;
}

/** Whether the machine has no allocated task, no orphaned task that has not exited and no pending command. */
export function isEmpty({ tenure }: Machine): boolean {
  return tenure.allocations.size === 0 && tenure.pendingCommandId === null && !tenure.hasOrphanedWork;
}

/**
 * Whether the machine can move to another shard. The worker need not have forgotten exited tasks of this shard: it does before
 * the machine moves on, and the move raises its fencing token.
 */
export function canMove(machine: Machine, clusterState: ClusterStateView['clusterState']): boolean {
  const { allocations, hasOrphanedWork, pendingCommandId } = machine.tenure;
  if (pendingCommandId !== null || hasOrphanedWork || hasUnfinishedOrphan(machine, clusterState)) return false;
  for (const allocation of allocations.values()) if (allocation.phase !== 'exited' || isResultUnstored(allocation)) return false;
  return true;
}
