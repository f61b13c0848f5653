/**
 * The catalogue of machine types that the cloud sells: when it is fetched, and that it is stored, so that a controller can
 * start while the cloud's interface is down.
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

/** Types that aren't known are fetched this often: nothing can be decided without them. */
const UNKNOWN_TYPES_INTERVAL_MS = 1500;

/** The leader asks again this often for types that are known: prices and zones may change. */
const KNOWN_TYPES_INTERVAL_MS = 60_000;

/** A write of the catalogue that waited for longer is dropped. */
const WRITE_EXPIRY_MS = 10_000;

type MachineTypeCatalogueContext = ClusterStateView & ReplicaView & StateWriting & EffectSink;

/** Asks for the machine types, takes them, and stores them once. */
export class MachineTypeCatalogue {
  private requestedAt: Milliseconds = NEVER;

  constructor(private readonly context: MachineTypeCatalogueContext) {}

  /** Asks for the types when they are due. */
  tick(isLeading: boolean, now: Milliseconds): void {
    const isKnown = this.context.clusterState.areMachineTypesKnown;
    if (isKnown && !isLeading) return;
    if (now - this.requestedAt <= (isKnown ? KNOWN_TYPES_INTERVAL_MS : UNKNOWN_TYPES_INTERVAL_MS)) return;
    this.requestedAt = now;
    this.context.emit({ type: 'fetchMachineTypes' });
  }

  /** Takes a list that the cloud returned. */
  receive(types: MachineType[], now: Milliseconds): void {
    this.context.clusterState.setMachineTypes(types);
    const { replica } = this.context;
    const stored = replica.get(StateKey.machineTypes) ?? replica.get(StateKey.machineTypesPart(0));
    if (!stored && replica.isLoaded) this.store(types, now);
  }

  /** In one value if the list fits it, else in parts. */
  private store(types: MachineType[], now: Milliseconds): void {
    const whole = encodeMachineTypes(types);
    if (encodedBytes(StateKey.machineTypes, whole) <= this.context.clusterState.sizeLimits.maxWriteBytes) {
      this.storeOnce(StateKey.machineTypes, whole, now);
      return;
    }
    encodeMachineTypesParts(types).forEach((part, index) => {
      this.storeOnce(StateKey.machineTypesPart(index), part, now);
    });
  }

  /** Writes the key if it doesn't exist. Another controller that was first has stored the same list. */
  private storeOnce(key: string, value: unknown, now: Milliseconds): void {
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
