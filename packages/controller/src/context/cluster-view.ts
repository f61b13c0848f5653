/**
 * What a controller knows: its settings, the time of the input that it is taking, the stored state, and how fresh its copy of
 * that state is. These interfaces own nothing; the controller's context implements them.
 */
import type { ControllerSettings, Milliseconds } from '../model/index.js';
import type { ClusterState, Replica, StateWriter } from '../state/index.js';

/** What the controller was started with. It doesn't change while the process runs. */
export interface SettingsView {
  readonly settings: ControllerSettings;
}

/** The time of the input that is being taken, by the controller's steady clock. Nothing in this package reads a clock. */
export interface InputClock {
  readonly now: Milliseconds;
}

/** The state that is derived from the stored records. */
export interface ClusterStateView {
  readonly clusterState: ClusterState;
}

/** The copy of the state service's keys. It may lag behind the service: see `StateFreshness`. */
export interface ReplicaView {
  readonly replica: Replica;
}

/** Writes to the state service, each on the condition that keys still have the revisions that the decision was based on. */
export interface StateWriting {
  readonly writer: StateWriter;
}

/** How fresh the replica is, and whether the state service answers at all. */
export interface StateFreshness {
  /** The replica holds every change that the state service had committed by this time. */
  readonly replicaFreshAt: Milliseconds;

  /** Has the state service answered this controller within the last seconds, with anything but a refusal? */
  stateServiceAnswers(now: Milliseconds): boolean;

  /** Was this process paused a moment ago, and has it read no changes since? Decisions that rest on silence wait meanwhile. */
  isCatchingUp(): boolean;
}

/** Waits for linearizable reads. */
export interface ReadBarrierSource {
  /**
   * Calls `run` once the replica holds every change that was committed by `now`, or `onExpired` if it doesn't by `expiresAt`.
   * One of the two is called, once, in a later input. Without `expiresAt` the wait has no end.
   */
  afterBarrier(now: Milliseconds, run: (now: Milliseconds) => void, expiresAt?: Milliseconds, onExpired?: () => void): void;
}

/** What the cloud has left to provision. */
export interface CapacityView {
  /** Can more machines of this type be provisioned, as far as the leader knows? False while no leader is known. */
  isTypeAvailable(type: string): boolean;
}
