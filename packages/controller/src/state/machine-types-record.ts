/**
 * The stored list of the cloud's machine types, for a start while the cloud's interface is down. A list that fits one value
 * is stored whole; a longer one in parts of one type each.
 *
 * Stored field names are fixed: other versions read and write the same records. A machine type is stored as it is.
 *
 * | key | field | meaning |
 * | --- | --- | --- |
 * | `a/types` | (a list) | all machine types |
 * | `a/types/N` | `count` | number of parts |
 * | `a/types/N` | `list` | the machine types of this part |
 * | both | `name`, `zones` | name of the type, and the zones where it is sold |
 * | both | `cpus`, `gpus`, `memory` | what a machine has; memory in GB |
 * | both | `cacheGb`, `fetchGbPerS` | size of its image cache, and how fast it fetches images |
 * | both | `price`, `spotPrice` | price of an hour, on demand and spot |
 * | both | `bootS` | seconds until such a machine is up |
 */
import type { MachineType } from '@archpost/protocol';
import { UnreadableRecordError } from './unreadable-record-error.js';

/** One part of the machine types, and how many parts there are. */
export interface MachineTypesPart {
  count: number;
  list: MachineType[];
}

/** The record of a whole list. */
export function encodeMachineTypes(types: MachineType[]): unknown {
  return types;
}

/** The whole list as it was stored. It isn't checked, so that nothing is refused here that the version in production takes. */
export function parseMachineTypesRecord(value: unknown): MachineType[] {
  return value as MachineType[];
}

/** The records of a list that is too long for one value, in their order. */
export function encodeMachineTypesParts(types: MachineType[]): unknown[] {
  return types.map((type): MachineTypesPart => ({ count: types.length, list: [type] }));
}

/** Throws `UnreadableRecordError` on what is no part of a list. The types in the list are taken as they are. */
export function parseMachineTypesPart(value: unknown): MachineTypesPart {
  const part = value as Partial<MachineTypesPart> | null;
  if (!Array.isArray(part?.list) || typeof part.count !== 'number') throw new UnreadableRecordError('machine types part');
  return { count: part.count, list: part.list };
}
