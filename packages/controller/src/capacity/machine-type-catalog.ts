/**
 * The catalog of the cloud's machine types: fetches it periodically, and stores it so that a controller can start while the
 * cloud's API is down.
 *
 * Owns the time of the last request. The types themselves are part of the cluster state.
 */
import type { MachineType } from '@archpost/protocol';
import type { ClusterStateView, EffectSink, ReplicaView, StateWriting } from '../context/index.js';
import { type Milliseconds, NEVER } from '../model/index.js';
import {
  encodedBytes,
  encodeMachineTypes,
  encodeMachineTypesParts,
  NO_REVISION,
  StateKey,
  WritePriority,
} from '../state/index.js';

/** The fetch interval while the types are unknown: no decision is possible without them. */
const UNKNOWN_TYPES_INTERVAL_MS = 1500;

/** The interval at which the leader refreshes known types: prices and zones may change. */
const KNOWN_TYPES_INTERVAL_MS = 60_000;

/** A write of the catalog that has been queued for longer is dropped. */
const WRITE_EXPIRY_MS = 10_000;

type MachineTypeCatalogContext = ClusterStateView & ReplicaView & StateWriting & EffectSink;

/** Fetches the machine types, applies them to the cluster state, and stores them if they aren't stored yet. */
export class MachineTypeCatalog {
  private requestedAt: Milliseconds = NEVER;

  constructor(private readonly context: MachineTypeCatalogContext) {}

  /** Fetches the types if the interval has passed. Known types are refreshed only by the leader. */
  tick(isLeading: boolean, now: Milliseconds): void {
    const isKnown = this.context.clusterState.areMachineTypesKnown;
    if (isKnown && !isLeading) return;
    if (now - this.requestedAt <= (isKnown ? KNOWN_TYPES_INTERVAL_MS : UNKNOWN_TYPES_INTERVAL_MS)) return;
    this.requestedAt = now;
    this.context.emit({ type: 'fetchMachineTypes' });
  }

  /** Applies a list that the cloud returned, and stores it if none is stored. Nothing is stored before the replica is loaded. */
  receive(types: MachineType[], now: Milliseconds): void {
    this.context.clusterState.setMachineTypes(types);
    const { replica } = this.context;
    const stored = replica.get(StateKey.machineTypes) ?? replica.get(StateKey.machineTypesPart(0));
    if (!stored && replica.isLoaded) this.store(types, now);
  }

  /** Stores the list in one value if it fits, or else in parts. */
  private store(types: MachineType[], now: Milliseconds): void {
    const whole = encodeMachineTypes(types);
    if (encodedBytes(StateKey.machineTypes, whole) <= this.context.clusterState.sizeLimits.maxWriteBytes) {
      this.storeIfAbsent(StateKey.machineTypes, whole, now);
      return;
    }
    encodeMachineTypesParts(types).forEach((part, index) => {
      this.storeIfAbsent(StateKey.machineTypesPart(index), part, now);
    });
  }

  /** Writes the key unless it exists. If it exists, another controller has already stored the same list. */
  private storeIfAbsent(key: string, value: unknown, now: Milliseconds): void {
    this.context.writer.add({
      key,
      value: () => value,
      expectedRevision: NO_REVISION,
      priority: WritePriority.progress,
      expiresAt: now + WRITE_EXPIRY_MS,
      onOutcome: () => {},
    });
  }
}
