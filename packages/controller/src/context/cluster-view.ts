/**
 * Views of a controller's knowledge: its settings, the time of the input that is being processed, the stored state, and the
 * freshness of the local copy of that state. These interfaces own nothing; the controller's context implements them.
 */
import type { ControllerSettings, Milliseconds } from '../model/index.js';
import type { ClusterState, Replica, StateWriter } from '../state/index.js';

/** The settings that the controller was started with. They don't change while the process runs. */
export interface SettingsView {
  readonly settings: ControllerSettings;
}

/** The time of the input that is being processed, by the controller's monotonic clock. This package never reads a clock. */
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

/** Conditional writes to the state service: each requires that keys still have the revisions that the decision was based on. */
export interface StateWriting {
  readonly writer: StateWriter;
}

/** The freshness of the replica, and the availability of the state service. */
export interface StateFreshness {
  /** The replica holds every change that the state service had committed by this time. */
  readonly replicaFreshAt: Milliseconds;

  /** Reports whether the state service sent this controller a response other than a refusal within the last seconds. */
  stateServiceAnswers(now: Milliseconds): boolean;

  /**
   * Reports whether this process was paused recently and has read no changes since. Decisions based on silence are deferred
   * meanwhile.
   */
  isCatchingUp(): boolean;
}

/** Read barriers for linearizable reads. */
export interface ReadBarrierSource {
  /**
   * Calls `run` once the replica holds every change that was committed by `now`, or `onExpired` if that isn't the case by
   * `expiresAt`. Exactly one of the two is called, once, while a later input is processed. Without `expiresAt` there is no
   * timeout.
   */
  afterBarrier(now: Milliseconds, run: (now: Milliseconds) => void, expiresAt?: Milliseconds, onExpired?: () => void): void;
}

/** The availability of machine types in the cloud. */
export interface CapacityView {
  /** Reports whether more machines of the type can be provisioned, according to the leader. False while no leader is known. */
  isTypeAvailable(type: string): boolean;
}
