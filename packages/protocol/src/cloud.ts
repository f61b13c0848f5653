import { z } from 'zod';

export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memory: number;
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

const machineTypesOnWire = z.object({
  builds: z.array(
    z.object({
      name: z.string(),
      cores: z.number(),
      accelerators: z.number().nullish(),
      memory_gb: z.number(),
      cache_gb: z.number().nullish(),
      fetch_gb_per_s: z.number().nullish(),
      hourly: z.number().nullish(),
      spot_price: z.number().nullish(),
      boot_s: z.number().nullish(),
      yards: z.array(z.string()).nullish(),
    }),
  ),
});

export function parseMachineTypes(body: Record<string, unknown>): MachineType[] | null {
  const parsed = machineTypesOnWire.safeParse(body);
  if (!parsed.success) return null;
  return parsed.data.builds.map((type) => ({
    name: type.name,
    cpus: type.cores,
    gpus: type.accelerators ?? 0,
    memory: type.memory_gb,
    cacheGb: type.cache_gb ?? 0,
    fetchGbPerS: type.fetch_gb_per_s ?? 1,
    price: type.hourly ?? 0,
    spotPrice: type.spot_price ?? type.hourly ?? 0,
    bootS: type.boot_s ?? 60,
    zones: type.yards ?? [],
  }));
}

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

/** Most machines that the cloud takes or tells of in one request. */
export const MAX_MACHINES_PER_PROVISIONING = 50;
export const MAX_MACHINES_PER_RELEASE = 100;
export const MAX_MACHINES_PER_LIST = 500;

export interface ProvisioningRequest {
  requestId: string;
  machineType: string;
  zone: string;
  spot: boolean;
  count: number;
}

export const encodeProvisioningRequest = (request: ProvisioningRequest) => ({
  booking: request.requestId,
  build: request.machineType,
  yard: request.zone,
  loaners: request.spot,
  number: request.count,
});

export const encodeReleaseRequest = (machines: string[]) => ({ hosts: machines });

export function parseProvisionedMachines(body: Record<string, unknown>): string[] | null {
  const parsed = z.object({ hosts: z.array(z.string()) }).safeParse(body);
  return parsed.success ? parsed.data.hosts : null;
}
