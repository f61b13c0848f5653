/** Queries about the work on a machine, answered from its tenure. Pure functions of the machine. */
import type { Machine } from '../model/index.js';

/** Whether a task of a cancelled job may still run on the machine. Such machines are probed and released before others. */
export function hasCancelledWork({ tenure }: Machine): boolean {
  for (const { job, phase } of tenure.allocations.values()) if (job.state === 'cancelled' && phase !== 'exited') return true;
  return false;
}

/** Whether the machine has no allocated task, no orphaned task and no pending command. */
export function isEmpty({ tenure }: Machine): boolean {
  return tenure.allocations.size === 0 && tenure.orphanedTasks.length === 0 && tenure.pendingCommandId === null;
}
