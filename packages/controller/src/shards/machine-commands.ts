/**
 * Composes the commands of one message to a machine: the tasks to forget, to stop and to start, up to the message's limit.
 * Changes only the times at which stops were sent; owns no state.
 */
import { type Command, MAX_COMMANDS_PER_BODY } from '@archpost/protocol';
import type { TaskAllocations } from '../allocation/index.js';
import {
  type Allocation,
  capacityOf,
  fits,
  type Job,
  type Machine,
  type Milliseconds,
  type Resources,
  subtract,
} from '../model/index.js';
import { clearOrphanedTask, forgetCommand, startCommand, stopCommand } from './task-commands.js';

/** Starts are added to a message only while it has at most this many commands. */
const MAX_COMMANDS_WITH_STARTS = 60;

/** Interval after which a stop is sent again. */
const STOP_RETRY_MS = 4000;

/** Minimum interval between messages to a machine whose starts all have the lowest priority. */
const LOW_PRIORITY_START_INTERVAL_MS = 1000;

/** Minimum interval between messages that only have a machine forget tasks, while it runs other tasks. */
const FORGET_INTERVAL_MS = 3000;

const NO_RESOURCES: Readonly<Resources> = { cpus: 0, gpus: 0, memory: 0 };

/** The contents of one message to a machine. */
export interface MachineCommands {
  commands: Command[];
  /** the allocations whose starts are among the commands */
  starts: Allocation[];
}

/**
 * Returns the commands that are due for the machine; null if there are none, or if all can wait to be sent with later ones. The
 * stops that it returns count as sent, so the caller must send them.
 */
export function composeCommands(allocations: TaskAllocations, machine: Machine, now: Milliseconds): MachineCommands | null {
  const free = capacityOf(machine);
  const commands = machine.tenure.orphanedTasks.slice(0, MAX_COMMANDS_PER_BODY).map(clearOrphanedTask);
  addStopsAndForgets(commands, machine, free, now);
  const starts = allocations.startFreshness.mayStart(now) ? addStarts(commands, allocations, machine, free) : [];
  if (commands.length === 0 || canDefer(machine, commands, starts, now)) return null;
  return { commands, starts };
}

/** Whether the machine has a task for which a command is due, now or later without a further change of its allocations. */
export function hasCommandsDue({ tenure: { orphanedTasks, allocations } }: Machine): boolean {
  if (orphanedTasks.length > 0) return true;
  for (const { phase, stopGraceS } of allocations.values())
    if (phase === 'planned' || phase === 'exited' || stopGraceS !== null) return true;
  return false;
}

/**
 * Adds stop and forget commands up to the limit of a message; the remaining ones follow in the next message. Subtracts from
 * `free` the resources of the tasks that stay on the machine.
 */
function addStopsAndForgets(commands: Command[], machine: Machine, free: Resources, now: Milliseconds): void {
  for (const allocation of machine.tenure.allocations.values()) {
    if (allocation.phase === 'planned') continue;
    const fitsInMessage = commands.length < MAX_COMMANDS_PER_BODY;
    if (allocation.phase === 'exited') {
      if (fitsInMessage && !isResultUnstored(allocation)) commands.push(forgetCommand(allocation));
      continue;
    }
    if (allocation.stopGraceS !== null && fitsInMessage && now - allocation.stopSentAt > STOP_RETRY_MS) {
      commands.push(stopCommand(allocation, allocation.stopGraceS));
      recordStopSent(allocation, now);
    }
    // A task that is stopped without a grace period has ended before the next command is executed.
    if (allocation.stopGraceS !== 0) subtract(free, allocation.job.resources);
  }
}

function recordStopSent(allocation: Allocation, now: Milliseconds): void {
  allocation.stopSentAt = now;
  if (allocation.firstStopSentAt === null) allocation.firstStopSentAt = now;
}

/** Whether the task is completed but not stored as done. Until then the worker must keep its result. */
function isResultUnstored({ status, job, taskIndex }: Allocation): boolean {
  return status?.exitReason === 'done' && job.state === 'live' && !job.storedDone[taskIndex];
}

/** Adds starts of planned tasks that fit into `free`, from which it subtracts their resources. Returns their allocations. */
function addStarts(commands: Command[], allocations: TaskAllocations, machine: Machine, free: Resources): Allocation[] {
  const limit = MAX_COMMANDS_WITH_STARTS - commands.length;
  const starts: Allocation[] = [];
  for (const allocation of machine.tenure.allocations.values()) {
    const { job } = allocation;
    if (allocation.phase !== 'planned' || starts.length > limit || allocations.startFreshness.isStateUnconfirmed(job)) continue;
    if (job.spec.shape === 'gang' ? !isGangReady(job) : !fits(job.resources, free)) continue;
    const command = startCommand(allocation);
    if (command === null) continue;
    subtract(free, job.resources);
    commands.push(command);
    starts.push(allocation);
  }
  return starts;
}

/** Whether a gang can be started: all of its tasks are allocated, and each machine has free resources for its planned tasks. */
function isGangReady(job: Job): boolean {
  if (job.tenure.gangFailed || job.tenure.allocations.size < job.spec.tasks) return false;
  for (const { phase, machine } of job.tenure.allocations.values())
    if (phase === 'planned' && !isReadyForGang(machine, job)) return false;
  return true;
}

/**
 * Whether the tasks that may run on the machine leave enough resources for the gang's tasks on it. Planned tasks of other jobs
 * don't count.
 */
function isReadyForGang(machine: Machine, gang: Job): boolean {
  if (!machine.tenure.isVerified || machine.tenure.hasUncertainCommand || !machine.capacity) return false;
  const free = capacityOf(machine);
  for (const { phase, job } of machine.tenure.allocations.values()) {
    const mayBeRunning = phase === 'sent' || phase === 'reported';
    if (mayBeRunning || (phase === 'planned' && job === gang)) subtract(free, job.resources);
  }
  return fits(NO_RESOURCES, free);
}

/**
 * Whether the commands can wait to be sent together with later ones. With one message and response per command, the short
 * low-priority tasks of one large array took all of the CPU time (docs/incidents/inc-3aa6-leith-ops.md).
 */
function canDefer(machine: Machine, commands: readonly Command[], starts: readonly Allocation[], now: Milliseconds): boolean {
  if (commands.some((command) => command.type === 'stop') || starts.some((allocation) => allocation.job.priority > 0))
    return false;
  const sinceCommandMs = now - machine.lastCommandAt;
  if (starts.length > 0) return sinceCommandMs < LOW_PRIORITY_START_INTERVAL_MS;
  return sinceCommandMs < FORGET_INTERVAL_MS && canDeferForgets(machine);
}

/**
 * Whether forget commands can wait. They can't on a machine that would otherwise be empty or is about to leave, nor if one of
 * them is required before a task can restart.
 */
function canDeferForgets(machine: Machine): boolean {
  if (machine.moveToShard !== null || machine.isRetired || machine.tenure.preemptionNoticeUntil !== null) return false;
  let runsOtherTasks = false;
  for (const { phase, status } of machine.tenure.allocations.values()) {
    // A task that was stopped or failed can't restart until the worker has forgotten it.
    if (phase === 'exited' && status?.exitReason !== 'done') return false;
    runsOtherTasks ||= phase === 'reported';
  }
  return runsOtherTasks;
}
