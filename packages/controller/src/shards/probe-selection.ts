/**
 * Which machines may be commanded, which are probed instead, and in which order. A probe is a command without contents: its
 * answer is the worker's status. Judgements alone; owns no state.
 */
import { hasCancelledWork, isHeardRecently } from '../allocation/index.js';
import type { SettingsView } from '../context/index.js';
import { CANCELLED_WORK_PRIORITY, LOWEST_REPORTED_PRIORITY, type Machine, type Milliseconds } from '../model/index.js';
import { isBeyondForgiveness, isUnanswering } from './machine-silence.js';

/**
 * Machines that a whole core probes in one tick. After a takeover all have to be, and workers' heartbeats, whose leases run,
 * must not wait behind a hundred probes.
 */
const MAX_PROBES_PER_TICK = 32;

/** This many are probed in a tick however small the controller's part of a core is. */
const MIN_PROBES_PER_TICK = 2;

/** A machine that is silent for this many heartbeat intervals is probed. */
const PROBE_AFTER_SILENT_INTERVALS = 2;

/**
 * As many in a tick are for machines that have not been heard for so long that none of their silence is forgiven any more, until
 * it is known whether they answer. Else those that seem silent because this controller is slow come before them for ever.
 */
const RESERVED_PROBES = 4;

/** One probe at a time may be pending per this many sockets: the others are for commands and heartbeats. */
const SOCKETS_PER_PROBE = 12;

/** The same where a healthy machine is probed, so that it doesn't wait behind those that do not answer. */
const SOCKETS_PER_HEALTHY_PROBE = 8;

/** May a message leave for the machine now? */
export function mayCommand(machine: Machine, now: Milliseconds): boolean {
  const { tenure } = machine;
  return (
    tenure.releaseReason === null &&
    machine.address !== '' &&
    tenure.pendingCommandId === null &&
    now >= tenure.retryAt &&
    !tenure.hasUncertainCommand &&
    !tenure.isRaisingToken
  );
}

/** Is the machine to be probed before it is commanded? It is silent, does not answer, or something about it is odd. */
export function needsProbe(machine: Machine, context: SettingsView, now: Milliseconds): boolean {
  const { tenure } = machine;
  if (!tenure.isVerified || machine.probeRequested || tenure.unansweredCommands > 0) return true;
  const { heartbeatIntervalS } = context.settings.workers;
  if (now - tenure.lastHeartbeatAt > PROBE_AFTER_SILENT_INTERVALS * heartbeatIntervalS * 1000) return true;
  return isBeyondForgiveness(machine, context, now);
}

/**
 * Those of the machines that are probed now: as many as there is processor time for, and sockets beside the `pendingProbes`.
 * Probes to a silent zone must not take the sockets of live machines. Sorts `machines` where not all can be probed.
 */
export function selectForProbing(
  machines: Machine[],
  pendingProbes: number,
  context: SettingsView,
  now: Milliseconds,
): Machine[] {
  const { settings } = context;
  const limit = Math.max(MIN_PROBES_PER_TICK, Math.round(MAX_PROBES_PER_TICK * settings.cpuShare));
  if (machines.length > limit) {
    sortForProbing(machines);
    moveUndecidedFirst(machines, context, now);
  }
  const selected: Machine[] = [];
  for (const machine of machines) {
    if (selected.length >= limit) break;
    const socketsPerProbe = isHealthy(machine, now) ? SOCKETS_PER_HEALTHY_PROBE : SOCKETS_PER_PROBE;
    if (pendingProbes + selected.length < settings.maxSockets / socketsPerProbe) selected.push(machine);
  }
  return selected;
}

/** Is it heard, and did it answer so far? */
function isHealthy(machine: Machine, now: Milliseconds): boolean {
  const { tenure } = machine;
  return tenure.isVerified && tenure.unansweredCommands === 0 && isHeardRecently(machine, now);
}

/**
 * First those that answered so far; then those with cancelled work, or the most urgent work as far as is heard; then those
 * that were not probed for longest. In the order of their names, a hundred machines of a cut zone were probed again and
 * again, and 31 live ones, never probed, were released as silent (docs/incidents/zone-takeover.md).
 */
function sortForProbing(machines: Machine[]): void {
  const priorities = new Map<Machine, number>();
  for (const machine of machines) priorities.set(machine, probePriority(machine));
  const priorityOf = (machine: Machine) => priorities.get(machine) ?? LOWEST_REPORTED_PRIORITY;
  machines.sort(
    (a, b) => unansweredOrder(a) - unansweredOrder(b) || priorityOf(b) - priorityOf(a) || a.lastProbeAt - b.lastProbeAt,
  );
}

/** Puts a few machines first whose silence isn't forgiven any more, and that have yet to show that they don't answer. */
function moveUndecidedFirst(machines: Machine[], context: SettingsView, now: Milliseconds): void {
  const undecided = machines.filter((machine) => !isUnanswering(machine) && isBeyondForgiveness(machine, context, now));
  // Those that have missed a command are nearest to a decision.
  undecided.sort((a, b) => b.tenure.unansweredCommands - a.tenure.unansweredCommands || a.lastProbeAt - b.lastProbeAt);
  const first = new Set(undecided.slice(0, RESERVED_PROBES));
  if (first.size === 0) return;
  const others = machines.filter((machine) => !first.has(machine));
  machines.splice(0, machines.length, ...first, ...others);
}

function probePriority(machine: Machine): number {
  return hasCancelledWork(machine) ? CANCELLED_WORK_PRIORITY : machine.tenure.reportedPriority;
}

/** How often it did not answer makes no difference, only whether it did. */
function unansweredOrder({ tenure }: Machine): number {
  return Math.min(tenure.unansweredCommands, 1);
}
