/**
 * Sizing: the sockets, memory and write rate that a number of machines requires, and how far the settings fall short of them.
 * Insufficient settings aren't rejected: the service runs with them and sheds the load of the lowest priority.
 */
import { CLOUD_SOCKETS } from '@archpost/cloud-client';
import { STATE_SOCKETS } from '@archpost/state-client';
import type { Settings } from './settings/load-settings.js';

/** Fraction of the sockets for commands to workers. Above it, the least recently used connections are closed. */
const COMMAND_SOCKET_FRACTION = 1 / 6;

/** Minimum number of sockets for users. */
const MIN_USER_SOCKETS = 64;

/** Longest acceptable duration of a first start, which writes an assignment for each machine. */
const MAX_FIRST_START_S = 120;

/** Fraction of the write limit that is used. */
const WRITE_RATE_FRACTION = 0.95;

/** Connections between this controller and each of its peers: one in each direction. */
const SOCKETS_PER_PEER = 2;

/** A process takes 67 MB without machines, and 14 KB per idle machine (docs/results.md); the rest is for work. */
const IDLE_PROCESS_MB = 80;
const KB_PER_MACHINE = 24;

/** Returns the maximum number of open connections to workers for commands. */
export function maxCommandSockets({ maxSockets }: Settings): number {
  return Math.floor(maxSockets * COMMAND_SOCKET_FRACTION);
}

/**
 * Returns the number of sockets for connections from workers and users: those not reserved for peers and for connections that
 * this process opens.
 */
export function maxInboundSockets(settings: Settings): number {
  const peerSockets = SOCKETS_PER_PEER * settings.peers.length;
  return Math.max(1, settings.maxSockets - maxCommandSockets(settings) - STATE_SOCKETS - CLOUD_SOCKETS - peerSockets);
}

/** A setting that is too small for the allowed number of machines. It is logged unchanged: operators know its fields. */
export interface Shortage {
  /** the setting, as a path below the platform's `params` */
  what: 'machine_limits.max_sockets' | 'machine_limits.mem_mb' | 'state.write_rps';
  /** maximum number of machines, set by the operators */
  machines: number;
  /** the configured value */
  have: number;
  /** the value that the maximum number of machines requires */
  need: number;
  /** the missing amount, rounded up */
  short: number;
}

/** Returns the settings that are too small for the maximum number of machines; none if the operators set no maximum. */
export function findShortages(settings: Settings): Shortage[] {
  const machines = settings.controller.policy.maxMachines;
  if (machines === null) return [];
  const neededSockets = settings.maxSockets - maxInboundSockets(settings) + machines + MIN_USER_SOCKETS;
  const requirements: Omit<Shortage, 'short' | 'machines'>[] = [
    // All workers may connect to one controller, with one connection each.
    { what: 'machine_limits.max_sockets', have: settings.maxSockets, need: neededSockets },
    {
      what: 'machine_limits.mem_mb',
      have: settings.memoryMb,
      need: Math.ceil(IDLE_PROCESS_MB + (machines * KB_PER_MACHINE) / 1024),
    },
    {
      what: 'state.write_rps',
      have: settings.controller.state.writesPerS,
      need: Math.ceil(machines / (WRITE_RATE_FRACTION * MAX_FIRST_START_S)),
    },
  ];
  return requirements
    .filter(({ have, need }) => have < need)
    .map((shortage) => ({ ...shortage, machines, short: Math.ceil(shortage.need - shortage.have) }));
}
