/**
 * The machine types that the cloud sells: from the cloud itself, or, at a start while its interface is down, from what is
 * stored. Owns the list of types and the parts of a stored list that was read so far.
 */
import type { MachineType } from '@archpost/protocol';
import { fits, type Job, type Milliseconds, type NameInterner } from '../model/index.js';
import { type MachineTypesPart, parseMachineTypesPart, parseMachineTypesRecord } from './machine-types-record.js';

/** The known machine types, by the dense indices of their names. */
export class MachineTypeRegistry {
  /** null or absent: a type that is known by its name alone */
  readonly types: (MachineType | null)[] = [];
  /** a list with at least one type was read */
  isKnown = false;
  private readonly storedParts = new Map<string, MachineTypesPart>();

  constructor(private readonly typeNames: NameInterner) {}

  /** Takes over a list from the cloud, or a stored one. Types that it lacks stay as they are. */
  setTypes(list: MachineType[]): void {
    for (const machineType of list) this.types[this.typeNames.intern(machineType.name)] = machineType;
    this.isKnown = list.length > 0;
  }

  /** Takes over a list that is stored whole. */
  applyStoredList(value: unknown): void {
    this.setTypes(parseMachineTypesRecord(value));
  }

  /**
   * Takes one part of a stored list. Once all parts are there, and no list is known yet, the types are set: then it returns
   * true. Throws on what is no part.
   */
  applyStoredPart(name: string, value: unknown): boolean {
    const part = parseMachineTypesPart(value);
    this.storedParts.set(name, part);
    if (this.storedParts.size < part.count || this.isKnown) return false;
    this.setTypes([...this.storedParts.values()].flatMap((other) => other.list));
    return true;
  }

  /** How soon a new machine without accelerators can be up for the job; 0 if no type is known that would do. */
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
