/** The machine kinds that the cloud offers. Pure functions of the machine types in the cluster state. */
import type { MachineType } from '@archpost/protocol';
import type { ClusterStateView, SettingsView } from '../context/index.js';
import type { Machine } from '../model/index.js';

/** A machine type in a zone, on-demand or spot. */
export interface InstanceKind {
  /** the machine type's name */
  type: string;
  zone: string;
  spot: boolean;
}

/** A machine kind that can be provisioned, with the resources and prices of its type. */
export interface InstanceOption {
  kind: InstanceKind;
  type: MachineType;
}

/** Returns the map key of a kind. */
export const instanceKindKey = (kind: InstanceKind): string => `${kind.type}/${kind.zone}/${kind.spot}`;

/** Returns the type's name in the map key of a kind. */
export const typeOfKey = (key: string): string => key.slice(0, key.indexOf('/'));

/** Returns the kind of a machine of the cluster. */
export function instanceKindOf({ clusterState }: ClusterStateView, machine: Machine): InstanceKind {
  return {
    type: clusterState.typeNames.nameOf(machine.typeIndex),
    zone: clusterState.zoneNames.nameOf(machine.zoneIndex),
    spot: machine.spot,
  };
}

/** Returns the machine type with this name; null if the cloud has not listed it. */
export function machineTypeNamed(context: ClusterStateView, name: string): MachineType | null {
  return context.clusterState.machineTypes[context.clusterState.typeNames.indexOf(name)] ?? null;
}

/**
 * Returns every kind that can be provisioned, ordered by type, then by zone, on-demand before spot. The order breaks ties between
 * equally good options. A type that lists no zones is offered in all zones.
 */
export function instanceOptions(context: SettingsView & ClusterStateView): InstanceOption[] {
  const options: InstanceOption[] = [];
  for (const type of context.clusterState.machineTypes) {
    if (!type) continue;
    for (const zone of type.zones.length > 0 ? type.zones : context.settings.zones) {
      for (const spot of [false, true]) options.push({ kind: { type: type.name, zone, spot }, type });
    }
  }
  return options;
}
