/**
 * One controller as a state machine: inputs enter through its methods, each with its time, and effects are returned by
 * `takeEffects`. Each input is dispatched to the responsible part (created by controller-parts.ts); this file makes no decisions.
 *
 * Owns no state besides its parts.
 */
import type {
  CompareAndSwapOutcome,
  Heartbeat,
  KeyChange,
  ListedMachine,
  MachineType,
  MessagePackMap,
  PeerStatus,
  StoredKey,
} from '@archpost/protocol';
import type { ProvisioningOutcome } from './capacity/index.js';
import type { PeerDirectory } from './context/index.js';
import { ControllerParts } from './controller-parts.js';
import { isReadyForClients, type Leader, ownWritesPerS, type ShardLeases } from './leadership/index.js';
import type { ControllerSettings, Effect, Milliseconds } from './model/index.js';
import type { CommandOutcome, ShardController } from './shards/index.js';
import type { ClusterState, Replica, StateWriter } from './state/index.js';

/**
 * A controller's decisions. It never blocks and reads no clock: `now` is the time of an input, by a monotonic clock in
 * milliseconds, and must not decrease from one input to the next. The `id` of an input is the id of the effect whose outcome it
 * carries, or of the request that an effect with the same id will answer.
 */
export class Controller {
  private readonly parts: ControllerParts;

  /** `incarnation`: a name that is unique among all starts of this controller. */
  constructor(
    readonly settings: ControllerSettings,
    incarnation: string,
  ) {
    this.parts = new ControllerParts(settings, incarnation);
  }

  /** The state that is derived from the stored records. */
  get clusterState(): ClusterState {
    return this.parts.clusterState;
  }

  /** The copy of the state service's keys. */
  get replica(): Replica {
    return this.parts.replica;
  }

  /** The queue of writes to the state service. */
  get writer(): StateWriter {
    return this.parts.writer;
  }

  /** The decisions for the shards whose leases this controller holds. */
  get shardController(): ShardController {
    return this.parts.shardController;
  }

  /** The shard leases and the leader lease that this controller holds. */
  get shardLeases(): ShardLeases {
    return this.parts.shardLeases;
  }

  /** The decisions of the leader; active only while this controller leads. */
  get leader(): Leader {
    return this.parts.leader;
  }

  /** The other controllers from which a status has arrived, by name. */
  get peers(): PeerDirectory['peers'] {
    return this.parts.peerRegistry.peers;
  }

  /** Whether this controller is ready for clients, as of the last input. See `isReadyForClients`. */
  get isReady(): boolean {
    return isReadyForClients(this.parts.context);
  }

  /** Reports whether workers are reachable from this controller, as of the last input. */
  reachesWorkers(): boolean {
    return this.parts.context.reachesWorkers();
  }

  /** Returns and removes the effects emitted since the last call, in order. The caller executes them. */
  takeEffects(): Effect[] {
    return this.parts.effects.take();
  }

  /**
   * Called when the process was paused for `pausedMs`, until `now`. Must be called before the inputs that queued up during the
   * pause.
   */
  processPaused(pausedMs: Milliseconds, now: Milliseconds): void {
    this.beginInput(now);
    this.parts.processPause.processPaused(pausedMs, now);
  }

  /**
   * Records this controller's lag at `now`: the delay of a timer, the waiting time of the oldest input, or the time until
   * rejected workers retry, whichever is longest. Time during which the controller lags doesn't count as silence.
   */
  recordLag(lagMs: Milliseconds, now: Milliseconds): void {
    this.beginInput(now);
    this.parts.shardController.recordLag(lagMs, now);
  }

  /**
   * Runs periodic work; to be called several times a second. `wallClockMs`: the time of day in milliseconds since 1970, to which
   * stored times refer.
   */
  tick(now: Milliseconds, wallClockMs: Milliseconds = now): void {
    this.beginInput(now);
    const { parts } = this;
    parts.clusterState.wallClockOffsetMs = wallClockMs - now;
    parts.readBarriers.expire(now);
    const hasUrgentReads = parts.readBarriers.size > 0;
    if (hasUrgentReads || parts.clientRequests.hasPendingQueries)
      parts.effects.emit({ type: 'readBarrier', urgent: hasUrgentReads });
    parts.clientRequests.tick(now);
    parts.shardLeases.tick(now);
    parts.shardController.tick(now);
    parts.leader.tick(now);
    parts.machineTypeCatalog.tick(parts.leader.isLeading, now);
    parts.debugFigures.tick(now);
    parts.writer.setRate(ownWritesPerS(parts.context, parts.writeRateLimit.perSecond(now), now));
    parts.statusExchange.tick(now);
    parts.storedStatusWriter.tick(now);
    this.flushWrites(now);
  }

  // Inputs from the state service

  /** Called when all keys were read. `revision`: that of the first page; later changes arrive through `receiveChanges`. */
  receiveSnapshot(rows: StoredKey[], revision: number, now: Milliseconds): void {
    this.beginInput(now);
    this.parts.replica.reset(rows, revision);
    this.flushWrites(now);
  }

  /**
   * Called when changes of keys were read, up to `revision`. `asOf`: when the request that read them was sent, by the same clock
   * as `now`. The changes include every change that was committed by then.
   */
  receiveChanges(changes: KeyChange[], revision: number, asOf: Milliseconds, now: Milliseconds): void {
    this.beginInput(now);
    const { parts } = this;
    parts.replica.apply(changes, revision);
    parts.stateServiceFreshness.recordReplicaRead(asOf, now);
    parts.readBarriers.completeUpTo(asOf, now);
    parts.clientRequests.answerQueriesUpTo(asOf);
    this.flushWrites(now);
  }

  /** Called when a transaction completed or timed out. `id`: that of its `compareAndSwap` effect. */
  receiveCompareAndSwapOutcome(id: number, outcome: CompareAndSwapOutcome, now: Milliseconds): void {
    this.beginInput(now);
    const { parts } = this;
    if (outcome.kind !== 'refused' && outcome.kind !== 'unknown') parts.stateServiceFreshness.recordResponse(now);
    if (outcome.kind === 'limited') parts.writeRateLimit.recordRefusal(now);
    parts.writer.handleOutcome(id, outcome, now);
    this.flushWrites(now);
  }

  /**
   * Called when the lease on the state service was granted or renewed, or has ended. `leaseId`: null if there is no lease.
   * `validUntil`: the earliest possible expiry, by the same clock as `now`; ignored without a lease.
   */
  receiveLeaseState(leaseId: number | null, validUntil: Milliseconds, now: Milliseconds): void {
    this.beginInput(now);
    const { stateLease, stateServiceFreshness } = this.parts;
    if (leaseId === null) {
      stateLease.recordExpiry();
      return;
    }
    stateLease.recordRenewal(leaseId, validUntil, now);
    stateServiceFreshness.recordResponse(now);
    this.flushWrites(now);
  }

  // Inputs from clients

  /**
   * Called when a client submits a job. `body`: the parsed request body; null: it could not be parsed. `wallClockMs`: the time of
   * day in milliseconds since 1970. `isTextValid`: whether all text of the body is UTF-8; if not, only an accepted job is answered
   * with its status.
   */
  submitJob(id: number, body: MessagePackMap | null, now: Milliseconds, wallClockMs: Milliseconds, isTextValid = true): void {
    this.beginInput(now);
    this.parts.clientRequests.submit(id, body, now, wallClockMs, isTextValid);
    this.flushWrites(now);
  }

  /** Called when a client requests the status of the job with this id. */
  queryJobStatus(id: number, job: string, now: Milliseconds): void {
    this.beginInput(now);
    this.parts.clientRequests.queryStatus(id, job, now);
  }

  /** Called when a client cancels the job with this id. */
  cancelJob(id: number, job: string, now: Milliseconds): void {
    this.beginInput(now);
    this.parts.clientRequests.cancel(id, job, now);
    this.flushWrites(now);
  }

  // Inputs from workers

  /** Called when a worker sent a heartbeat to this controller. The worker waits for the response. */
  receiveHeartbeat(id: number, heartbeat: Heartbeat, now: Milliseconds): void {
    this.beginInput(now);
    this.parts.heartbeatResponder.receive(id, heartbeat, now);
    this.flushWrites(now);
  }

  /**
   * Called when another controller answered a heartbeat and forwarded it to this one, which holds the lease of the machine's
   * shard.
   */
  receiveForwardedHeartbeat(heartbeat: Heartbeat, now: Milliseconds): void {
    this.beginInput(now);
    this.parts.heartbeatResponder.receiveForwarded(heartbeat, now);
    this.flushWrites(now);
  }

  /** Called when a worker responded to commands, or the request timed out. `id`: that of the `command` effect. */
  receiveCommandOutcome(id: number, outcome: CommandOutcome, now: Milliseconds): void {
    this.beginInput(now);
    this.parts.shardController.handleCommandOutcome(id, outcome, now);
    this.flushWrites(now);
  }

  /** Called when a worker responded to a probe, or the probe timed out. `id`: that of the `probe` effect. */
  receiveProbeOutcome(id: number, isAnswered: boolean, now: Milliseconds): void {
    this.beginInput(now);
    this.parts.shardController.handleProbeOutcome(id, isAnswered);
  }

  // Inputs from the cloud

  /** Called when the cloud listed its machine types. `types`: null if the request failed. An empty list is ignored. */
  receiveMachineTypes(types: MachineType[] | null, now: Milliseconds): void {
    this.beginInput(now);
    if (types === null || types.length === 0) return;
    this.parts.machineTypeCatalog.receive(types, now);
    this.flushWrites(now);
  }

  /** Called when the cloud listed the provisioned machines. `machines`: null if the request failed. */
  receiveMachineList(machines: ListedMachine[] | null, now: Milliseconds): void {
    this.beginInput(now);
    const { leader } = this.parts;
    leader.autoscaler.receiveMachineList(machines, leader.isLeading, now);
  }

  /**
   * Called when the cloud responded to a provisioning request, or the request timed out. `id`: that of the `provision` effect.
   */
  receiveProvisioningOutcome(id: number, outcome: ProvisioningOutcome, now: Milliseconds): void {
    this.beginInput(now);
    this.parts.leader.autoscaler.handleProvisioningOutcome(id, outcome, now);
    this.flushWrites(now);
  }

  /**
   * Called when the cloud responded to a release request, or the request timed out. `isReleased`: false if the cloud refused or
   * did not respond. `id`: that of the `release` effect.
   */
  receiveReleaseOutcome(id: number, isReleased: boolean, now: Milliseconds): void {
    this.beginInput(now);
    const { leader, shardController } = this.parts;
    const isOfAutoscaler = leader.autoscaler.handleReleaseOutcome(id, isReleased, now);
    if (!isOfAutoscaler) shardController.handleReleaseOutcome(id, isReleased, now);
    this.flushWrites(now);
  }

  // Inputs from the other controllers

  /** Called when another controller's status arrived over the link to it, which is therefore up. */
  receivePeerStatus(status: PeerStatus, now: Milliseconds): void {
    this.beginInput(now);
    const { parts } = this;
    parts.peerRegistry.receiveStatus(status, now);
    parts.cancellationFreshness.recordStatus(status, parts.replica.revision);
    for (const unchanged of status.unchangedHeartbeats) parts.heartbeatReconciler.reconcileUnchanged(unchanged, status.node, now);
    this.flushWrites(now);
  }

  /** Called when the link to another controller is down. */
  peerDisconnected(controller: string, now: Milliseconds): void {
    this.beginInput(now);
    this.parts.peerRegistry.peerDisconnected(controller);
  }

  private beginInput(now: Milliseconds): void {
    this.parts.context.now = now;
  }

  private flushWrites(now: Milliseconds): void {
    this.parts.writer.flush(now);
  }
}
