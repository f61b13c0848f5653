/** Commands about single tasks, as a worker takes them. Owns no state. */
import type { Command, TaskStatus } from '@archpost/protocol';
import type { Allocation } from '../model/index.js';

/** Which attempt of which task a command is about. */
interface TaskAttempt {
  job: string;
  index: number;
  attempt: number;
}

/**
 * The only place where a start is made, as the command leaves. Whatever was true when the task was planned, its job must be
 * live and not blocked now, and no stop of the task may have been requested meanwhile; null: it may not start.
 */
export function startCommand(allocation: Allocation): Command | null {
  const { job, stopGraceS } = allocation;
  if (job.state !== 'live' || job.isBlocked || stopGraceS !== null) return null;
  return { type: 'start', ...attemptOf(allocation) };
}

/** Ends the task. `graceS`: seconds that it has for saving its state. */
export function stopCommand(allocation: Allocation, graceS: number): Command {
  return { type: 'stop', ...attemptOf(allocation), graceS };
}

/** Has the worker drop an exited task from its status. */
export function forgetCommand(allocation: Allocation): Command {
  return { type: 'forget', ...attemptOf(allocation) };
}

/** Ends a reported task that is not allocated, or whose job is finished, without time for saving. */
export function stopReportedTask({ job, index, attempt }: TaskStatus): Command {
  return { type: 'stop', job, index, attempt, graceS: 0 };
}

/** A reported task that is not allocated is stopped, and cleared away once it has exited. */
export function clearOrphanedTask(task: TaskStatus): Command {
  if (task.state !== 'exited') return stopReportedTask(task);
  return { type: 'forget', job: task.job, index: task.index, attempt: task.attempt };
}

function attemptOf({ job, taskIndex, attempt }: Allocation): TaskAttempt {
  return { job: job.spec.id, index: taskIndex, attempt };
}
