/**
 * The machine types that the cloud offers, from the cloud itself or, at startup while the cloud's API is down, from the stored
 * records. Owns the list of types and the parts of a stored list that were read so far.
 */
import type { MachineType } from '@archpost/protocol';
import { fits, type Job, type Milliseconds, type NameInterner } from '../model/index.js';
import { type MachineTypesPart, parseMachineTypesPart, parseMachineTypesRecord } from './machine-types-record.js';

/** The known machine types, by the dense indices of their names. */
export class MachineTypeRegistry {
  /** null or absent: only the name of the type is known */
  readonly types: (MachineType | null)[] = [];
  /** whether a list with at least one type was read */
  isKnown = false;
  private readonly storedParts = new Map<string, MachineTypesPart>();

  constructor(private readonly typeNames: NameInterner) {}

  /** Sets the types of a list from the cloud, or of a stored one. Types that are not in the list are kept. */
  setTypes(list: MachineType[]): void {
    for (const machineType of list) this.types[this.typeNames.intern(machineType.name)] = machineType;
    this.isKnown = list.length > 0;
  }

  /** Applies a list that is stored in one value. */
  applyStoredList(value: unknown): void {
    this.setTypes(parseMachineTypesRecord(value));
  }

  /**
   * Applies one part of a stored list. Once all parts were read, sets the types and returns true, unless a list is already known.
   * Otherwise returns false. Throws if the part can't be read.
   */
  applyStoredPart(name: string, value: unknown): boolean {
    const part = parseMachineTypesPart(value);
    this.storedParts.set(name, part);
    if (this.storedParts.size < part.count || this.isKnown) return false;
    this.setTypes([...this.storedParts.values()].flatMap((other) => other.list));
    return true;
  }

  /** Returns the shortest boot time of the known machine types without accelerators that can run the job; 0 if there is none. */
  bootTimeFor(job: Job): Milliseconds {
    let bootS = Number.POSITIVE_INFINITY;
    for (const machineType of this.types)
      if (machineType && this.isCpuTypeFor(job, machineType)) bootS = Math.min(bootS, machineType.bootS);
    return bootS === Number.POSITIVE_INFINITY ? 0 : bootS * 1000;
  }

  private isCpuTypeFor(job: Job, machineType: MachineType): boolean {
    return (
      machineType.gpus === 0 &&
      fits(job.resources, machineType) &&
      (job.typeIndices === null || job.typeIndices.includes(this.typeNames.indexOf(machineType.name)))
    );
  }
}
