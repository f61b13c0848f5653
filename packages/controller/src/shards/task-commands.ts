/** Commands about single tasks, as a worker takes them. */
import type { Command, TaskStatus } from '@archpost/protocol';
import type { Allocation } from '../model/index.js';

/**
 * The only place where a start is made, as the command leaves: whatever was true when it was planned, its job must be
 * one that runs, with nothing left to await, and the task not one that was told to stop meanwhile.
 */
export function startCommand(allocation: Allocation): Command | null {
  const { job, stopGraceS: stop } = allocation;
  if (job.state !== 'live' || job.isBlocked || stop !== null) return null;
  return { type: 'start', ...taskOf(allocation) };
}

export function stopCommand(allocation: Allocation, graceS: number): Command {
  return { type: 'stop', ...taskOf(allocation), graceS };
}

export function forgetCommand(allocation: Allocation): Command {
  return { type: 'forget', ...taskOf(allocation) };
}

function taskOf({ job, taskIndex: index, attempt }: Allocation) {
  return { job: job.spec.id, index, attempt };
}

/** Ends a reported task that has no place here, or whose job is over, without time to save. */
export function stopReportedTask({ job, index, attempt }: TaskStatus): Command {
  return { type: 'stop', job, index, attempt, graceS: 0 };
}

/** What has no place here is stopped, and cleared away once it has ended. */
export function clearOrphanedTask(task: TaskStatus): Command {
  if (task.state !== 'exited') return stopReportedTask(task);
  return { type: 'forget', job: task.job, index: task.index, attempt: task.attempt };
}
