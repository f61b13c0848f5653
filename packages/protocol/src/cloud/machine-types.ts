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
