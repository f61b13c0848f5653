/** The machine types that the cloud offers. */
import * as z from 'zod';
import { boundedList } from '../bounded-list.js';
import type { MessagePackMap } from '../message-pack.js';

/** A machine type and its current prices. Controllers store it under these field names. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  /** in GB */
  memory: number;
  /** space for cached images, in GB */
  cacheGb: number;
  /** nominal rate at which a machine fetches images, in GB per second */
  fetchGbPerS: number;
  /** price of an on-demand machine per hour */
  price: number;
  /** price of a spot machine per hour, at the time of the request */
  spotPrice: number;
  /** typical boot time in seconds; individual machines take several times as long */
  bootS: number;
  /** zones in which machines of this type are offered */
  zones: string[];
}

const DEFAULT_FETCH_GB_PER_S = 1;
const DEFAULT_BOOT_S = 60;

const machineTypesOnWire = z.object({
  builds: boundedList(
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
      yards: boundedList(z.string()).nullish(),
    }),
  ),
});

/** Parses the machine types. Returns null if a field is missing or invalid. Missing optional fields get their defaults. */
export function parseMachineTypes(body: MessagePackMap): MachineType[] | null {
  const parsed = machineTypesOnWire.safeParse(body);
  if (!parsed.success) return null;
  return parsed.data.builds.map((type) => ({
    name: type.name,
    cpus: type.cores,
    gpus: type.accelerators ?? 0,
    memory: type.memory_gb,
    cacheGb: type.cache_gb ?? 0,
    fetchGbPerS: type.fetch_gb_per_s ?? DEFAULT_FETCH_GB_PER_S,
    price: type.hourly ?? 0,
    spotPrice: type.spot_price ?? type.hourly ?? 0,
    bootS: type.boot_s ?? DEFAULT_BOOT_S,
    zones: type.yards ?? [],
  }));
}
