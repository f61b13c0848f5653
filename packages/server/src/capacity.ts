/**
 * What a number of machines takes of sockets, memory and changes, and what the settings lack of it. Nothing is refused
 * for that: the service starts, and gives up what ranks lowest.
 */
import { CLOUD_SOCKETS } from '@archpost/cloud-client';
import { STATE_SOCKETS } from '@archpost/state-client';
import type { Settings } from './settings.js';

/** Part of the sockets that commands to workers may take; those that were not used for longest are closed. */
const COMMAND_SHARE = 1 / 6;

/** Sockets left to users, at the least. */
const USER_SOCKETS = 64;

/** A first start, which writes a grant for each machine, should not take longer than this. */
const FIRST_START_S = 120;

/** Part of the limit on changes that is used. */
const USED_SHARE = 0.95;

/** Measured (docs/results.md): 67 MB without machines and 14 KB a machine without work; the rest is for work. */
const EMPTY_MB = 80;
const MACHINE_KB = 24;

export function commandSockets({ maxSockets }: Settings): number {
  return Math.floor(maxSockets * COMMAND_SHARE);
}

/** Sockets that workers and users can have: what is left by those that this process opens, and by its peers. */
export function inboundSockets(settings: Settings): number {
  const peers = 2 * settings.others.length;
  return Math.max(1, settings.maxSockets - commandSockets(settings) - STATE_SOCKETS - CLOUD_SOCKETS - peers);
}

/** One setting that is too small for the machines it allows. */
export interface Shortage {
  what: 'machine_limits.max_sockets' | 'machine_limits.mem_mb' | 'state.write_rps';
  machines: number;
  have: number;
  need: number;
  short: number;
}

/** What the settings lack for the machines that the operators allow; nothing where they don't say how many. */
export function shortages(settings: Settings): Shortage[] {
  const machines = settings.core.policy.maxMachines;
  if (machines === null) return [];
  const sockets = settings.maxSockets - inboundSockets(settings) + machines + USER_SOCKETS;
  const all: Omit<Shortage, 'short' | 'machines'>[] = [
    // All workers may come to one controller, with a connection each.
    { what: 'machine_limits.max_sockets', have: settings.maxSockets, need: sockets },
    { what: 'machine_limits.mem_mb', have: settings.memoryMb, need: Math.ceil(EMPTY_MB + (machines * MACHINE_KB) / 1024) },
    { what: 'state.write_rps', have: settings.core.state.writesPerS, need: Math.ceil(machines / (USED_SHARE * FIRST_START_S)) },
  ];
  return all
    .filter(({ have, need: resources }) => have < resources)
    .map((lack) => ({ ...lack, machines, short: Math.ceil(lack.need - lack.have) }));
}
