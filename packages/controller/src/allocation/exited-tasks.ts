/**
 * Exited tasks that a worker still reports, and when it may be made to forget them. Once a worker has forgotten an attempt, a
 * repeat of the attempt's start runs the task again. So an attempt is forgotten only under a higher fencing token than that of
 * its start, which the worker then rejects (docs/design.md, "Repeated commands"). Pure; owns no state.
 */
import type { ClusterStateView } from '../context/index.js';
import type { Allocation, Machine } from '../model/index.js';

/** Number of exited tasks in a heartbeat above which a machine accepts no starts, so that its heartbeats stay small. */
const MAX_EXITED_TASKS_WITH_STARTS = 200;

/** Whether the task never starts again: its job is done or cancelled, or the task is stored as done. */
export function isFinished({ job, taskIndex }: Allocation): boolean {
  return job.state !== 'live' || job.storedDone[taskIndex] === 1;
}

/** Whether the task is completed but not stored as done. Until then the worker must keep its result. */
export function isResultUnstored(allocation: Allocation): boolean {
  return allocation.status?.exitReason === 'done' && !isFinished(allocation);
}

/** Whether the worker may forget the exited task under this fencing token. */
export function mayForget({ startToken }: Allocation, fencingToken: number): boolean {
  return startToken < fencingToken;
}

/**
 * Whether the worker may forget exited tasks without an allocation under this fencing token. The tokens of their starts are not
 * known, but none is higher than that of the last start: earlier lease holders had lower ones.
 */
export function mayForgetOrphans({ lastStartToken }: Machine, fencingToken: number): boolean {
  return lastStartToken < fencingToken;
}

/** Whether the worker reports an exited task without an allocation that may start again. */
export function hasUnfinishedOrphan({ tenure }: Machine, clusterState: ClusterStateView['clusterState']): boolean {
  return tenure.orphanedTasks.some(({ job, index, state }) => state === 'exited' && !clusterState.isTaskFinished(job, index));
}

/** Whether the worker reports so many exited tasks that it should start no more. */
export function hasTooManyExitedTasks({ tenure }: Machine): boolean {
  return tenure.exitedTaskCount > MAX_EXITED_TASKS_WITH_STARTS;
}
