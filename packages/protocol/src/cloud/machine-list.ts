/** The cloud's list of machines. It is read in pages and lags behind the actual state of the cloud. */
import * as z from 'zod';
import { boundedList } from '../bounded-list.js';
import type { MessagePackMap } from '../message-pack.js';
import { PATHS } from '../paths.js';

/** Maximum number of machines in one page of the list. */
export const MAX_MACHINES_PER_PAGE = 500;

/** A machine as the cloud lists it. */
export interface ListedMachine {
  machine: string;
  /** address of its worker; empty if the cloud does not report one */
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  /** seconds since the machine was requested, at the time that the list reflects */
  ageS: number;
}

/** One page of the list, sorted by machine name. */
export interface MachinePage {
  machines: ListedMachine[];
  /** whether further pages follow */
  hasMore: boolean;
}

const machineListOnWire = z.object({
  hosts: boundedList(
    z.object({
      ref: z.string(),
      address: z.string().nullish(),
      build: z.string(),
      yard: z.string(),
      loaners: z.boolean(),
      status: z.enum(['booting', 'running', 'failed']),
      age_s: z.number(),
    }),
  ),
  has_next: z.boolean().nullish(),
});

/** Returns the path and query of the page that follows the machine `after`. An empty `after` requests the first page. */
export function machineListPath(after: string): string {
  const start = after === '' ? '' : `since=${after}&`;
  return `${PATHS.machines}?${start}most=${MAX_MACHINES_PER_PAGE}`;
}

/** Parses a page. Returns null if a field is missing or invalid. */
export function parseMachineList(body: MessagePackMap): MachinePage | null {
  const parsed = machineListOnWire.safeParse(body);
  if (!parsed.success) return null;
  return {
    hasMore: parsed.data.has_next ?? false,
    machines: parsed.data.hosts.map((host) => ({
      machine: host.ref,
      address: host.address ?? '',
      type: host.build,
      zone: host.yard,
      spot: host.loaners,
      state: host.status,
      ageS: host.age_s,
    })),
  };
}
