/**
 * The context of a controller's parts. It implements the interfaces of context/, of which each part uses those that it needs, and
 * delegates each call to the responsible part.
 *
 * Owns the time of the input that is being processed.
 */
import {
  type CapacityView,
  type ClusterStateView,
  type EffectSink,
  type IncarnationView,
  type InputClock,
  LEADER_LEASE,
  type LeaseListener,
  type LeaseName,
  type LeaseView,
  type Logger,
  type PeerDirectory,
  type ReadBarrierSource,
  type ReplicaView,
  type SettingsView,
  type ShardHealth,
  type ShardOwnership,
  type StateFreshness,
  type StateWriting,
} from './context/index.js';
import type { EffectBuffer } from './effect-buffer.js';
import type { Leader, PeerRegistry, ShardLeases, StateLease, StateServiceFreshness } from './leadership/index.js';
import type { ControllerSettings, Effect, LogFields, LogLevel, Milliseconds } from './model/index.js';
import type { ShardController } from './shards/index.js';
import type { ClusterState, ReadBarriers, Replica, StateWriter } from './state/index.js';

/** The local copy of the state service's keys, the writer that changes them, and the buffer of emitted effects. */
export interface ContextState {
  readonly clusterState: ClusterState;
  readonly replica: Replica;
  readonly writer: StateWriter;
  readonly readBarriers: ReadBarriers;
  readonly effects: EffectBuffer;
}

/** The parts that the context delegates to. They depend on the context, so it refers to the object that will hold them. */
export interface ContextParts {
  readonly stateLease: StateLease;
  readonly stateServiceFreshness: StateServiceFreshness;
  readonly peerRegistry: PeerRegistry;
  readonly shardController: ShardController;
  readonly shardLeases: ShardLeases;
  readonly leader: Leader;
}

/** Implements every interface of context/ for the parts of one controller. */
export class ControllerContext
  implements
    SettingsView,
    InputClock,
    ClusterStateView,
    ReplicaView,
    StateWriting,
    StateFreshness,
    ReadBarrierSource,
    CapacityView,
    LeaseView,
    IncarnationView,
    ShardOwnership,
    LeaseListener,
    ShardHealth,
    PeerDirectory,
    EffectSink,
    Logger
{
  now: Milliseconds = 0;
  readonly clusterState: ClusterState;
  readonly replica: Replica;
  readonly writer: StateWriter;
  private readonly effects: EffectBuffer;
  private readonly readBarriers: ReadBarriers;

  /** `parts` may be incomplete until the first input is processed. */
  constructor(
    readonly settings: ControllerSettings,
    readonly incarnation: string,
    state: ContextState,
    private readonly parts: ContextParts,
  ) {
    this.effects = state.effects;
    this.clusterState = state.clusterState;
    this.replica = state.replica;
    this.writer = state.writer;
    this.readBarriers = state.readBarriers;
  }

  get peers(): PeerDirectory['peers'] {
    return this.parts.peerRegistry.peers;
  }

  get replicaFreshAt(): Milliseconds {
    return this.parts.stateServiceFreshness.replicaFreshAt;
  }

  emit(effect: Effect): void {
    this.effects.emit(effect);
  }

  nextEffectId(): number {
    return this.effects.nextEffectId();
  }

  log(level: LogLevel, message: string, fields?: LogFields): void {
    this.effects.log(level, message, fields);
  }

  stateServiceAnswers(now: Milliseconds): boolean {
    return this.parts.stateServiceFreshness.stateServiceAnswers(now);
  }

  isCatchingUp(): boolean {
    return this.parts.stateServiceFreshness.isCatchingUp();
  }

  afterBarrier(
    now: Milliseconds,
    run: (now: Milliseconds) => void,
    expiresAt = Number.POSITIVE_INFINITY,
    onExpired?: () => void,
  ): void {
    this.readBarriers.add({ requestedAt: now, run, expiresAt, onExpired });
    this.emit({ type: 'readBarrier', urgent: true });
  }

  isLeaseValid(now: Milliseconds): boolean {
    return this.parts.stateLease.isLeaseValid(now);
  }

  isPeerAlive(controller: string, now: Milliseconds): boolean {
    return this.parts.peerRegistry.isPeerAlive(controller, now);
  }

  mayActFor(shard: number): boolean {
    return this.parts.shardLeases.mayActUnder(shard, this.now);
  }

  onLeaseAcquired(lease: LeaseName, revision: number): void {
    if (lease === LEADER_LEASE) this.parts.leader.onLeaseAcquired(revision, this.now);
    else this.parts.shardController.onLeaseAcquired(lease, revision, this.now);
  }

  onLeaseLost(lease: LeaseName): void {
    if (lease === LEADER_LEASE) this.parts.leader.onLeaseLost();
    else this.parts.shardController.onLeaseLost(lease);
  }

  isShardSettled(shard: number): boolean {
    return this.parts.shardController.isSettled(shard);
  }

  reachesWorkers(): boolean {
    return this.parts.shardController.reachesWorkers;
  }

  isTypeAvailable(type: string): boolean {
    const { leader, peerRegistry } = this.parts;
    return leader.isLeading ? leader.autoscaler.isTypeAvailable(type) : peerRegistry.isTypeAvailable(type);
  }
}
