/** Commands about single tasks, as a worker takes them. */
import type { Command, TaskReport } from '@archpost/protocol';
import type { Placement } from '../model/index.js';

/**
 * The only place where a start is made, as the command leaves: whatever was true when it was planned, its job must be
 * one that runs, with nothing left to await, and the task not one that was told to stop meanwhile.
 */
export function startCommand(placement: Placement): Command | null {
  const { job, stop } = placement;
  if (job.state !== 'live' || job.waits || stop !== null) return null;
  return { op: 'start', ...taskOf(placement) };
}

export function stopCommand(placement: Placement, graceS: number): Command {
  return { op: 'stop', ...taskOf(placement), graceS };
}

export function forgetCommand(placement: Placement): Command {
  return { op: 'forget', ...taskOf(placement) };
}

function taskOf({ job, index, attempt }: Placement) {
  return { job: job.spec.id, index, attempt };
}

/** Ends a reported task that has no place here, or whose job is over, without time to save. */
export function stopReported({ job, index, attempt }: TaskReport): Command {
  return { op: 'stop', job, index, attempt, graceS: 0 };
}

/** What has no place here is stopped, and cleared away once it has ended. */
export function clearStray(task: TaskReport): Command {
  if (task.state !== 'exited') return stopReported(task);
  return { op: 'forget', job: task.job, index: task.index, attempt: task.attempt };
}
