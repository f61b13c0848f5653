/** The cloud's list of machines, which is read in pages and lags behind what the cloud does. */
import * as z from 'zod';
import type { MessagePackMap } from '../message-pack.js';
import { PATHS } from '../paths.js';

/** Most machines that the cloud lists in one response. */
export const MAX_MACHINES_PER_PAGE = 500;

/** A machine as the cloud lists it. */
export interface ListedMachine {
  machine: string;
  /** address of its worker; empty if it is not known */
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  /** seconds since it was requested, at the time that the list describes */
  ageS: number;
}

/** One page of the list, in the order of the machines' names. */
export interface MachinePage {
  machines: ListedMachine[];
  /** whether further pages follow */
  hasMore: boolean;
}

const machineListOnWire = z.object({
  hosts: z.array(
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

/** Path and query of the page that begins after this machine; an empty name requests the first page. */
export function machineListPath(after: string): string {
  const start = after === '' ? '' : `since=${after}&`;
  return `${PATHS.machines}?${start}most=${MAX_MACHINES_PER_PAGE}`;
}

/** The page; null if a field is missing or invalid. */
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
