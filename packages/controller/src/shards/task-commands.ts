/** Creates the commands about single tasks that are sent to workers. Owns no state. */
import type { Command, TaskStatus } from '@archpost/protocol';
import type { Allocation } from '../model/index.js';

/** Identifies the attempt of a task that a command applies to. */
interface TaskAttempt {
  job: string;
  index: number;
  attempt: number;
}

/**
 * Creates the start command of an allocation. It is the only place where starts are created, immediately before they are sent.
 * Returns null if the task may no longer start: its job is not live or is blocked, or a stop of the task was requested.
 */
export function startCommand(allocation: Allocation): Command | null {
  const { job, stopGraceS } = allocation;
  if (job.state !== 'live' || job.isBlocked || stopGraceS !== null) return null;
  return { type: 'start', ...attemptOf(allocation) };
}

/** Creates the command that stops a task. `graceS`: grace period for saving its state, in seconds. */
export function stopCommand(allocation: Allocation, graceS: number): Command {
  return { type: 'stop', ...attemptOf(allocation), graceS };
}

/** Creates the command that makes the worker remove an exited task from its status. */
export function forgetCommand(allocation: Allocation): Command {
  return { type: 'forget', ...attemptOf(allocation) };
}

/** Creates the command that stops, without grace, a reported task that has no allocation or whose job is finished. */
export function stopReportedTask({ job, index, attempt }: TaskStatus): Command {
  return { type: 'stop', job, index, attempt, graceS: 0 };
}

/** Creates the command for a reported task without an allocation: a stop or, if the task has exited, a forget command. */
export function clearOrphanedTask(task: TaskStatus): Command {
  if (task.state !== 'exited') return stopReportedTask(task);
  return { type: 'forget', job: task.job, index: task.index, attempt: task.attempt };
}

function attemptOf({ job, taskIndex, attempt }: Allocation): TaskAttempt {
  return { job: job.spec.id, index: taskIndex, attempt };
}
