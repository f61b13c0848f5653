/**
 * When a machine is commanded to forget exited tasks, and when its fencing token has to rise first (docs/design.md, "Repeated
 * commands"). Pure; owns no state.
 */
import { hasUnfinishedOrphan, isFinished, isResultUnstored, mayForget, mayForgetOrphans } from '../allocation/index.js';
import type { ClusterStateView } from '../context/index.js';
import type { Allocation, Machine, TokenRaise } from '../model/index.js';

/**
 * Finished tasks are forgotten with the next start or stop, or once the worker reports this many of them. Each takes about 40
 * bytes of every heartbeat, and a higher fencing token takes a write.
 */
const MAX_FINISHED_TASKS = 32;

/** Returns whether the machine's fencing token should rise so that its worker may forget exited tasks. */
export function tokenRaiseToForget({ clusterState }: ClusterStateView, machine: Machine): TokenRaise {
  const { tenure, moveToShard } = machine;
  const fencingToken = clusterState.fencingToken(machine);
  for (const allocation of tenure.allocations.values()) {
    // The write of a move raises the token too.
    if (moveToShard === null && isRestartAwaitingForget(allocation) && !mayForget(allocation, fencingToken)) return 'prompt';
  }
  if (tenure.orphanedTasks.length === 0 || mayForgetOrphans(machine, fencingToken)) return 'none';
  if (hasUnfinishedOrphan(machine, clusterState)) return 'prompt';
  return tenure.orphanedTasks.length >= MAX_FINISHED_TASKS ? 'background' : 'none';
}

/** Whether the task is to start again, and the worker has to forget this attempt before: it was told to stop, or has exited. */
function isRestartAwaitingForget(allocation: Allocation): boolean {
  const { phase, stopGraceS } = allocation;
  if (phase === 'planned' || (phase !== 'exited' && stopGraceS === null)) return false;
  return !isFinished(allocation) && !isResultUnstored(allocation);
}

/**
 * Whether a message is due that only has the worker forget tasks: a task can't restart before, or the worker reports many that
 * it may forget.
 */
export function areForgetsDue({ clusterState }: ClusterStateView, machine: Machine): boolean {
  const { allocations, orphanedTasks } = machine.tenure;
  const fencingToken = clusterState.fencingToken(machine);
  for (const allocation of allocations.values())
    if (allocation.phase === 'exited' && isRestartAwaitingForget(allocation) && mayForget(allocation, fencingToken)) return true;
  if (!mayForgetOrphans(machine, fencingToken)) return false;
  return orphanedTasks.length >= MAX_FINISHED_TASKS || hasUnfinishedOrphan(machine, clusterState);
}
