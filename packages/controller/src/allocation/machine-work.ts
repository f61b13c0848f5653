/** What a machine's tenure says of the work on it. Pure functions of the machine. */
import type { Machine } from '../model/index.js';

/** Does something on the machine belong to a cancelled job? Such machines are attended to first. */
export function hasCancelledWork({ tenure }: Machine): boolean {
  for (const { job, phase } of tenure.allocations.values()) if (job.state === 'cancelled' && phase !== 'exited') return true;
  return false;
}

/** Has the machine no task, known or orphaned, and no command under way? */
export function isEmpty({ tenure }: Machine): boolean {
  return tenure.allocations.size === 0 && tenure.orphanedTasks.length === 0 && tenure.pendingCommandId === null;
}
