import { z } from 'zod';

/** Most machines that the cloud lists in one response. */
export const MAX_MACHINES_PER_LIST = 500;

export interface ListedMachine {
  machine: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  ageS: number;
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

export function parseMachineList(body: Record<string, unknown>): { machines: ListedMachine[]; more: boolean } | null {
  const parsed = machineListOnWire.safeParse(body);
  if (!parsed.success) return null;
  return {
    more: parsed.data.has_next ?? false,
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
