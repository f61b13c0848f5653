/**
 * Composes the commands of one message to a machine: the tasks to forget, to stop and to start, up to the message's limit.
 * Changes only the times at which stops were sent; owns no state.
 */
import { type Command, MAX_COMMANDS_PER_BODY } from '@archpost/protocol';
import { isResultUnstored, mayForget, mayForgetOrphans, type TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView } from '../context/index.js';
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
import { areForgetsDue } from './forget-commands.js';
import { clearOrphanedTask, forgetCommand, startCommand, stopCommand } from './task-commands.js';

/** Starts are added to a message only while it has at most this many commands. */
const MAX_COMMANDS_WITH_STARTS = 60;

/** Interval after which a stop is sent again. */
const STOP_RETRY_MS = 4000;

/** Minimum interval between messages to a machine whose starts all have the lowest priority. */
const LOW_PRIORITY_START_INTERVAL_MS = 1000;

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
export function composeCommands(
  context: ClusterStateView,
  allocations: TaskAllocations,
  machine: Machine,
  now: Milliseconds,
): MachineCommands | null {
  const free = capacityOf(machine);
  const fencingToken = context.clusterState.fencingToken(machine);
  const commands = orphanCommands(machine, fencingToken);
  addStopsAndForgets(commands, machine, free, fencingToken, now);
  const starts = allocations.startFreshness.mayStart(now) ? addStarts(commands, allocations, machine, free) : [];
  if (commands.length === 0) return null;
  const areAllForgets = starts.length === 0 && commands.every(({ type }) => type === 'forget');
  if (areAllForgets ? !areForgetsDue(context, machine) : canDefer(machine, commands, starts, now)) return null;
  return { commands, starts };
}

/**
 * Whether the machine has a task for which a command is due, now or later without a further change of its allocations, of its
 * orphaned tasks or of its fencing token.
 */
export function hasCommandsDue(context: ClusterStateView, machine: Machine): boolean {
  for (const { phase, stopGraceS } of machine.tenure.allocations.values())
    if (phase === 'planned' || phase === 'exited' || stopGraceS !== null) return true;
  return machine.tenure.hasOrphanedWork || areForgetsDue(context, machine);
}

/** Returns commands that stop the running tasks without an allocation, and have the worker forget the exited ones if it may. */
function orphanCommands(machine: Machine, fencingToken: number): Command[] {
  const { orphanedTasks } = machine.tenure;
  const mayForgetThem = mayForgetOrphans(machine, fencingToken);
  const clearable = mayForgetThem ? orphanedTasks : orphanedTasks.filter(({ state }) => state !== 'exited');
  return clearable.slice(0, MAX_COMMANDS_PER_BODY).map(clearOrphanedTask);
}

/**
 * Adds stop and forget commands up to the limit of a message; the remaining ones follow in the next message. Subtracts from
 * `free` the resources of the tasks that stay on the machine.
 */
function addStopsAndForgets(
  commands: Command[],
  machine: Machine,
  free: Resources,
  fencingToken: number,
  now: Milliseconds,
): void {
  for (const allocation of machine.tenure.allocations.values()) {
    if (allocation.phase === 'planned') continue;
    const fitsInMessage = commands.length < MAX_COMMANDS_PER_BODY;
    if (allocation.phase === 'exited') {
      if (fitsInMessage && !isResultUnstored(allocation) && mayForget(allocation, fencingToken))
        commands.push(forgetCommand(allocation));
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
 * Whether the commands, which aren't all forgets, can wait to be sent together with later ones. With one message and response per
 * command, the short low-priority tasks of one large array took all of the CPU time (docs/incidents/inc-3aa6-leith-ops.md).
 */
function canDefer(machine: Machine, commands: readonly Command[], starts: readonly Allocation[], now: Milliseconds): boolean {
  if (commands.some((command) => command.type === 'stop') || starts.some((allocation) => allocation.job.priority > 0))
    return false;
  return now - machine.lastCommandAt < LOW_PRIORITY_START_INTERVAL_MS;
}
