/**
 * Sizing: the sockets, memory and write rate that a number of machines needs, and how far the settings fall short of it.
 * Settings that fall short aren't refused: the service runs and sheds what has the lowest priority.
 */
import { CLOUD_SOCKETS } from '@archpost/cloud-client';
import { STATE_SOCKETS } from '@archpost/state-client';
import type { Settings } from './settings/load-settings.js';

/** Part of the sockets for commands to workers; beyond it the least recently used ones are closed. */
const COMMAND_SOCKET_FRACTION = 1 / 6;

/** The least number of sockets for users. */
const MIN_USER_SOCKETS = 64;

/** The longest that a first start, which writes an assignment for each machine, should take. */
const MAX_FIRST_START_S = 120;

/** Part of the limit on writes that is used. */
const WRITE_RATE_FRACTION = 0.95;

/** Connections between this controller and each of its peers: one each way. */
const SOCKETS_PER_PEER = 2;

/** Measured (docs/results.md): 67 MB without machines and 14 KB a machine without work; the rest is for work. */
const IDLE_PROCESS_MB = 80;
const KB_PER_MACHINE = 24;

/** Connections to workers, for commands, that may be open at once. */
export function maxCommandSockets({ maxSockets }: Settings): number {
  return Math.floor(maxSockets * COMMAND_SOCKET_FRACTION);
}

/** Sockets for workers and users: what is left by those that this process opens, and by its peers. */
export function maxInboundSockets(settings: Settings): number {
  const peerSockets = SOCKETS_PER_PEER * settings.peers.length;
  return Math.max(1, settings.maxSockets - maxCommandSockets(settings) - STATE_SOCKETS - CLOUD_SOCKETS - peerSockets);
}

/** One setting that is too small for the machines it allows. It is logged as it is: its fields are known to operators. */
export interface Shortage {
  /** the setting, below the platform's `params` */
  what: 'machine_limits.max_sockets' | 'machine_limits.mem_mb' | 'state.write_rps';
  /** machines that the operators allow */
  machines: number;
  have: number;
  need: number;
  /** what is missing, rounded up */
  short: number;
}

/** How far the settings fall short for the machines that the operators allow; empty if they don't limit machines. */
export function findShortages(settings: Settings): Shortage[] {
  const machines = settings.controller.policy.maxMachines;
  if (machines === null) return [];
  const neededSockets = settings.maxSockets - maxInboundSockets(settings) + machines + MIN_USER_SOCKETS;
  const requirements: Omit<Shortage, 'short' | 'machines'>[] = [
    // All workers may come to one controller, with a connection each.
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
