/**
 * Decides which machines may be sent commands, which are probed instead, and in which order. A probe is a message without
 * commands; the response to it is the worker's status. Owns no state.
 */
import { hasCancelledWork, hasRecentContact } from '../allocation/index.js';
import type { SettingsView } from '../context/index.js';
import { CANCELLED_WORK_PRIORITY, type Machine, type Milliseconds, NO_REPORTED_PRIORITY } from '../model/index.js';
import { exceedsMaxSilence, isUnresponsive } from './machine-silence.js';

/**
 * Maximum number of probes per tick with a full CPU core. After a takeover all machines must be probed, but heartbeats of
 * workers, whose leases are running, must not wait behind a hundred probes.
 */
const MAX_PROBES_PER_TICK = 32;

/** Lower bound of the maximum number of probes per tick, however small the controller's share of a core is. */
const MIN_PROBES_PER_TICK = 2;

/** A machine is probed after a silence of this many heartbeat intervals. */
const PROBE_AFTER_SILENT_INTERVALS = 2;

/**
 * Probes per tick that are reserved for machines beyond the maximum silence, until it is known whether they respond. Otherwise
 * machines that seem silent only because this controller is slow would precede them indefinitely.
 */
const RESERVED_PROBES = 4;

/** One probe may be pending per this many sockets; the remaining sockets are for commands and heartbeats. */
const SOCKETS_PER_PROBE = 12;

/** The same for probes of healthy machines, so that they don't wait behind probes of unresponsive machines. */
const SOCKETS_PER_HEALTHY_PROBE = 8;

/** Whether a command or probe may be sent to the machine now. */
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

/**
 * Whether the machine must be probed before it is sent commands: it is unverified, silent or unresponsive, or a probe of it was
 * requested.
 */
export function needsProbe(machine: Machine, context: SettingsView, now: Milliseconds): boolean {
  const { tenure } = machine;
  if (!tenure.isVerified || machine.probeRequested || tenure.unansweredCommands > 0) return true;
  const { heartbeatIntervalS } = context.settings.workers;
  if (now - tenure.lastHeartbeatAt > PROBE_AFTER_SILENT_INTERVALS * heartbeatIntervalS * 1000) return true;
  return exceedsMaxSilence(machine, context, now);
}

/**
 * Selects the machines to probe now, limited by the controller's CPU share and by the sockets that the `pendingProbes` leave:
 * probes of a silent zone must not use up the sockets needed for live machines. Sorts `machines` in place if not all of them can
 * be probed.
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

/** Whether the machine is verified, has recent contact, and has left no command unanswered. */
function isHealthy(machine: Machine, now: Milliseconds): boolean {
  const { tenure } = machine;
  return tenure.isVerified && tenure.unansweredCommands === 0 && hasRecentContact(machine, now);
}

/**
 * Sorts machines without unanswered commands first, then by cancelled work or the highest reported priority, then by the time of
 * the last probe, oldest first. When machines were probed in the order of their names, a hundred machines of a zone that was cut
 * off were probed repeatedly, and 31 live machines that were never probed were released as silent
 * (docs/incidents/zone-takeover.md).
 */
function sortForProbing(machines: Machine[]): void {
  const priorities = new Map<Machine, number>();
  for (const machine of machines) priorities.set(machine, probePriority(machine));
  const priorityOf = (machine: Machine) => priorities.get(machine) ?? NO_REPORTED_PRIORITY;
  machines.sort(
    (a, b) => unansweredOrder(a) - unansweredOrder(b) || priorityOf(b) - priorityOf(a) || a.lastProbeAt - b.lastProbeAt,
  );
}

/** Moves up to `RESERVED_PROBES` machines beyond the maximum silence to the front that are not yet known to be unresponsive. */
function moveUndecidedFirst(machines: Machine[], context: SettingsView, now: Milliseconds): void {
  const undecided = machines.filter((machine) => !isUnresponsive(machine) && exceedsMaxSilence(machine, context, now));
  // Machines with more unanswered commands are closer to a decision.
  undecided.sort((a, b) => b.tenure.unansweredCommands - a.tenure.unansweredCommands || a.lastProbeAt - b.lastProbeAt);
  const first = new Set(undecided.slice(0, RESERVED_PROBES));
  if (first.size === 0) return;
  const others = machines.filter((machine) => !first.has(machine));
  machines.splice(0, machines.length, ...first, ...others);
}

function probePriority(machine: Machine): number {
  return hasCancelledWork(machine) ? CANCELLED_WORK_PRIORITY : machine.tenure.reportedPriority;
}

/** Returns a sort key that only distinguishes whether the machine left a command unanswered, not how many. */
function unansweredOrder({ tenure }: Machine): number {
  return Math.min(tenure.unansweredCommands, 1);
}
