/**
 * The machines that have an assignment to a shard. Owns the table of machines and the stored fields of each machine: its shard,
 * its address, the revision of its assignment, and whether it is to move or to be released.
 */
import { Machine, type Milliseconds, type NameInterner, UNASSIGNED_SHARD } from '../model/index.js';
import { type MachineAssignment, parseAssignment } from './assignment-record.js';
import type { ImageCaches } from './image-caches.js';
import type { MachineTypeRegistry } from './machine-type-registry.js';
import type { ReplicaEntry } from './replica.js';

/** A change of a machine's assignment, which was set or removed. */
export interface MachineChange {
  kind: 'machine';
  machine: Machine;
  /** whether the machine belongs to another shard than before; false if its assignment was removed */
  isShardChanged: boolean;
}

/** The name tables and registries that the machine registry uses. */
export interface MachineRegistryParts {
  typeNames: NameInterner;
  zoneNames: NameInterner;
  machineTypeRegistry: MachineTypeRegistry;
  imageCaches: ImageCaches;
}

/** The machines, by name. */
export class MachineRegistry {
  readonly machines = new Map<string, Machine>();

  constructor(private readonly parts: MachineRegistryParts) {}

  /**
   * Applies an assignment or its removal. Returns null if the removed machine was unknown. Throws if the record can't be read.
   */
  applyAssignment(name: string, entry: ReplicaEntry | null, now: Milliseconds): MachineChange | null {
    if (!entry) return this.remove(name);
    const assignment = parseAssignment(entry.value);
    const machine = this.machines.get(name) ?? this.create(name, assignment, now);
    const isShardChanged = machine.shard !== assignment.shard;
    if (isShardChanged) {
      machine.shard = assignment.shard;
      machine.tenure.isVerified = false;
      this.parts.imageCaches.restoreImages(machine);
    }
    if (assignment.address) machine.address = assignment.address;
    machine.assignmentRevision = entry.revision;
    // Commands may have waited for the higher fencing token; whether another one is needed is decided when they are composed.
    machine.commandsDue = true;
    machine.tenure.tokenRaise = 'none';
    machine.moveToShard = assignment.moveToShard;
    machine.isRetired = assignment.isRetired;
    return { kind: 'machine', machine, isShardChanged };
  }

  /** Returns the machine's current assignment, without a requested move or release. */
  assignmentOf(machine: Machine): MachineAssignment {
    return {
      shard: machine.shard,
      address: machine.address,
      type: this.parts.typeNames.nameOf(machine.typeIndex),
      zone: this.parts.zoneNames.nameOf(machine.zoneIndex),
      spot: machine.spot,
      moveToShard: null,
      isRetired: false,
    };
  }

  /** Updates the machines' capacities after a change of the machine types. A machine of an unknown type keeps its capacity. */
  refreshCapacities(): void {
    for (const machine of this.machines.values()) {
      machine.capacity = this.parts.machineTypeRegistry.types[machine.typeIndex] ?? machine.capacity;
      machine.allocationsChanged();
    }
  }

  private create(name: string, assignment: MachineAssignment, now: Milliseconds): Machine {
    const typeIndex = this.parts.typeNames.intern(assignment.type);
    const zoneIndex = this.parts.zoneNames.intern(assignment.zone);
    const capacity = this.parts.machineTypeRegistry.types[typeIndex] ?? null;
    const { address, spot } = assignment;
    const machine = new Machine({ name, address, typeIndex, zoneIndex, spot, capacity });
    machine.tenure.resetContact(now);
    machine.idleSince = now;
    this.machines.set(name, machine);
    return machine;
  }

  private remove(name: string): MachineChange | null {
    const machine = this.machines.get(name);
    if (!machine) return null;
    machine.shard = UNASSIGNED_SHARD;
    this.machines.delete(name);
    return { kind: 'machine', machine, isShardChanged: false };
  }
}
