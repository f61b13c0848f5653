/**
 * What a machine is commanded: the tasks to clear away, to stop and to start, as far as one message takes them. Changes
 * nothing but when stops were sent; owns no state.
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

/** Starts are added to a message only while it has no more commands than this. */
const MAX_COMMANDS_WITH_STARTS = 60;

/** A stop is sent again after this long. */
const STOP_RETRY_MS = 4000;

/** Starts of the lowest priority go out this often to a machine. */
const LOW_PRIORITY_START_INTERVAL_MS = 1000;

/** Tasks that are only to be cleared away go out this often to a machine that runs others. */
const FORGET_INTERVAL_MS = 3000;

const NO_RESOURCES: Readonly<Resources> = { cpus: 0, gpus: 0, memory: 0 };

/** One message to a machine. */
export interface MachineCommands {
  commands: Command[];
  /** the allocations whose starts are among the commands */
  starts: Allocation[];
}

/**
 * What is due for the machine; null: nothing, or nothing that can't wait for more. Stops that it contains count as sent: the
 * caller must send them.
 */
export function machineCommands(allocations: TaskAllocations, machine: Machine, now: Milliseconds): MachineCommands | null {
  const free = capacityOf(machine);
  const commands = machine.tenure.orphanedTasks.slice(0, MAX_COMMANDS_PER_BODY).map(clearOrphanedTask);
  addStopsAndForgets(commands, machine, free, now);
  const starts = allocations.startFreshness.mayStart(now) ? addStarts(commands, allocations, machine, free) : [];
  if (commands.length === 0 || canWait(machine, commands, starts, now)) return null;
  return { commands, starts };
}

/** Is there anything that a command is due for, now or later, though nothing else happens? */
export function hasCommandsDue({ tenure: { orphanedTasks, allocations } }: Machine): boolean {
  if (orphanedTasks.length > 0) return true;
  for (const { phase, stopGraceS } of allocations.values())
    if (phase === 'planned' || phase === 'exited' || stopGraceS !== null) return true;
  return false;
}

/**
 * Adds what is to be stopped or cleared away, up to what a message takes; the others come with the next one. Subtracts from
 * `free` what the tasks need that stay on the machine.
 */
function addStopsAndForgets(commands: Command[], machine: Machine, free: Resources, now: Milliseconds): void {
  for (const allocation of machine.tenure.allocations.values()) {
    if (allocation.phase === 'planned') continue;
    const hasRoom = commands.length < MAX_COMMANDS_PER_BODY;
    if (allocation.phase === 'exited') {
      if (hasRoom && !isResultUnstored(allocation)) commands.push(forgetCommand(allocation));
      continue;
    }
    if (allocation.stopGraceS !== null && hasRoom && now - allocation.stopSentAt > STOP_RETRY_MS) {
      commands.push(stopCommand(allocation, allocation.stopGraceS));
      recordStopSent(allocation, now);
    }
    // A task that is stopped without grace is gone before the next command is carried out.
    if (allocation.stopGraceS !== 0) subtract(free, allocation.job.resources);
  }
}

function recordStopSent(allocation: Allocation, now: Milliseconds): void {
  allocation.stopSentAt = now;
  if (allocation.firstStopSentAt === null) allocation.firstStopSentAt = now;
}

/** The worker keeps the result of a completed task until it is stored. */
function isResultUnstored({ status, job, taskIndex }: Allocation): boolean {
  return status?.exitReason === 'done' && job.state === 'live' && !job.storedDone[taskIndex];
}

/** Adds starts of planned tasks that fit into `free`, which it subtracts them from. Returns their allocations. */
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

/** A gang is started once all of its tasks are planned and each of their machines has free resources for them. */
function isGangReady(job: Job): boolean {
  if (job.tenure.gangFailed || job.tenure.allocations.size < job.spec.tasks) return false;
  for (const { phase, machine } of job.tenure.allocations.values())
    if (phase === 'planned' && !isReadyForGang(machine, job)) return false;
  return true;
}

/** Does what may run on the machine leave enough for the gang's tasks there? Other plans give way. */
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
 * Machines that run short tasks of low priority get several commands at once: with a message and its answer for each, the
 * tasks of one large array took all processor time that there was (docs/incidents/inc-3aa6-leith-ops.md).
 */
function canWait(machine: Machine, commands: readonly Command[], starts: readonly Allocation[], now: Milliseconds): boolean {
  if (commands.some((command) => command.type === 'stop') || starts.some((allocation) => allocation.job.priority > 0))
    return false;
  const sinceCommandMs = now - machine.lastCommandAt;
  if (starts.length > 0) return sinceCommandMs < LOW_PRIORITY_START_INTERVAL_MS;
  return sinceCommandMs < FORGET_INTERVAL_MS && canForgetsWait(machine);
}

/** Not on a machine that would be empty without them, nor while one of them keeps a task from starting again. */
function canForgetsWait(machine: Machine): boolean {
  if (machine.moveToShard !== null || machine.isRetired || machine.tenure.preemptionNoticeUntil !== null) return false;
  let runsOthers = false;
  for (const { phase, status } of machine.tenure.allocations.values()) {
    // A task that was stopped or failed can't start again before it is cleared away.
    if (phase === 'exited' && status?.exitReason !== 'done') return false;
    runsOthers ||= phase === 'reported';
  }
  return runsOthers;
}
