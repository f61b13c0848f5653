/** What a controller knows: its settings, the state that is stored, how fresh its copy of that is, and the time of the input. */
import type { ControllerSettings, Milliseconds } from '../model/index.js';
import type { ClusterState, Replica, StateWriter } from '../state/index.js';

/** What the controller was started with. */
export interface SettingsView {
  readonly settings: ControllerSettings;
}

/** The time of the input that is being taken. Nothing in this package reads a clock. */
export interface InputClock {
  readonly now: Milliseconds;
}

/** The state that is derived from the stored records. */
export interface ClusterStateView {
  readonly clusterState: ClusterState;
}

/** The copy of the state service's keys. */
export interface ReplicaView {
  readonly replica: Replica;
}

/** Writes to the state service, each under conditions. */
export interface StateWriting {
  readonly writer: StateWriter;
}

/** How fresh the replica is, and whether the state service answers at all. */
export interface StateFreshness {
  /** the replica holds everything that was so at this time */
  readonly replicaFreshAt: Milliseconds;
  /** Has the state service answered lately? */
  stateServiceAnswers(now: Milliseconds): boolean;
  /** Did this process stand still, and has it read nothing since? Then decisions wait. */
  isCatchingUp(): boolean;
}

/** Waits for linearizable reads. */
export interface ReadBarrierSource {
  /**
   * Runs `run` once the replica holds everything that was so at this call; `onExpired` if that has not come to pass at
   * `expiresAt`.
   */
  afterBarrier(now: Milliseconds, run: (now: Milliseconds) => void, expiresAt?: Milliseconds, onExpired?: () => void): void;
}

/** What the cloud has left to give. */
export interface CapacityView {
  /** Can more machines of this type be had, as far as is known? */
  isTypeAvailable(type: string): boolean;
}
