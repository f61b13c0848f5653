import type { PeerStatus } from '@archpost/protocol';
import type { ControllerSettings, Effect, LogLevel, Milliseconds } from '../model/index.js';
import type { ClusterState, Replica, StateWriter } from '../state/index.js';

export interface PeerView {
  status: PeerStatus;
  /** tasks that run and are done there, by job */
  runningJobs: Map<string, { count: number; done: number; failed: number }>;
  heardAt: Milliseconds;
  isConnected: boolean;
}

/** What the parts of the core share. */
export interface ControllerContext {
  readonly settings: ControllerSettings;
  /** the time of the input being taken */
  readonly now: Milliseconds;
  readonly incarnation: string;
  readonly clusterState: ClusterState;
  readonly replica: Replica;
  readonly writer: StateWriter;
  readonly lease: { id: number | null; validUntil: Milliseconds };
  readonly peers: Map<string, PeerView>;
  /** the replica holds everything that was so at this time */
  replicaFreshAt: Milliseconds;
  emit(effect: Effect): void;
  log(level: LogLevel, message: string, data?: Record<string, unknown>): void;
  nextEffectId(): number;
  isLeaseValid(now: Milliseconds): boolean;
  stateServiceAnswers(now: Milliseconds): boolean;
  /** this process stood still, and has read nothing since */
  isCatchingUp(): boolean;
  /** can workers be reached from here? */
  reachesWorkers(): boolean;
  /** held, and not being released: commands, plans and returns may leave for it */
  mayActFor(shard: number): boolean;
  isPeerAlive(controller: string, now: Milliseconds): boolean;
  afterBarrier(now: Milliseconds, run: (now: Milliseconds) => void, until?: Milliseconds, late?: () => void): void;
  leaseAcquired(lease: string, revision: number): void;
  leaseLost(lease: string): void;
  /** do all machines of a share held here answer, and is the most urgent work placed? */
  isShardSettled(shard: number): boolean;
  requestScheduling(): void;
  /** can more machines of this type be had, as far as is known? */
  isTypeAvailable(type: string): boolean;
}
