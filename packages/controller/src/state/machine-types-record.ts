/**
 * The stored list of the cloud's machine types, for startup while the cloud's API is down. A list that fits into one value is
 * stored in one record; a longer list is stored in parts of one type each.
 *
 * Stored field names are fixed: other versions read and write the same records. A machine type is stored without conversion.
 *
 * | key | field | meaning |
 * | --- | --- | --- |
 * | `a/types` | (a list) | all machine types |
 * | `a/types/N` | `count` | number of parts |
 * | `a/types/N` | `list` | the machine types of this part |
 * | both | `name`, `zones` | name of the type, and the zones where it is offered |
 * | both | `cpus`, `gpus`, `memory` | resources of a machine; memory in GB |
 * | both | `cacheGb`, `fetchGbPerS` | size of its image cache in GB, and its image fetch rate in GB per second |
 * | both | `price`, `spotPrice` | price per hour, on demand and spot |
 * | both | `bootS` | boot time in seconds |
 */
import type { MachineType } from '@archpost/protocol';
import { UnreadableRecordError } from './unreadable-record-error.js';

/** One part of the list of machine types, and the number of parts. */
export interface MachineTypesPart {
  count: number;
  list: MachineType[];
}

/** Returns the record of a list that fits into one value. */
export function encodeMachineTypes(types: MachineType[]): unknown {
  return types;
}

/** Returns the stored list. It isn't validated, so that no list is rejected that the version in production accepts. */
export function parseMachineTypesRecord(value: unknown): MachineType[] {
  return value as MachineType[];
}

/** Returns the records of the parts of a list that is too long for one value, in order. */
export function encodeMachineTypesParts(types: MachineType[]): unknown[] {
  return types.map((type): MachineTypesPart => ({ count: types.length, list: [type] }));
}

/**
 * Decodes a part of a list. Throws `UnreadableRecordError` if the value is no such part. The types in the list aren't validated.
 */
export function parseMachineTypesPart(value: unknown): MachineTypesPart {
  const part = value as Partial<MachineTypesPart> | null;
  if (!Array.isArray(part?.list) || typeof part.count !== 'number') throw new UnreadableRecordError('machine types part');
  return { count: part.count, list: part.list };
}
