/**
 * One controller as a state machine: inputs go in through its methods, each with its time, and effects come out by
 * `takeEffects`. Each input goes to the part that it concerns (controller-parts.ts makes them); nothing is decided here.
 *
 * Owns no state beside its parts.
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
 * A controller's decisions. It never waits, and reads no clock: `now` is the time of an input by a steady clock in
 * milliseconds, which must not go back from one input to the next. An `id` in an input is that of the effect whose outcome it
 * brings, or of the request that is to be answered by an effect with the same id.
 */
export class Controller {
  private readonly parts: ControllerParts;

  /** `incarnation`: a name that no other start of this controller has. */
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

  /** The decisions for the shards that are held here. */
  get shardController(): ShardController {
    return this.parts.shardController;
  }

  /** The leases that are held here. */
  get shardLeases(): ShardLeases {
    return this.parts.shardLeases;
  }

  /** The decisions of the leader; it acts only while this controller leads. */
  get leader(): Leader {
    return this.parts.leader;
  }

  /** The other controllers that were heard. */
  get peers(): PeerDirectory['peers'] {
    return this.parts.peerRegistry.peers;
  }

  /** Is this controller ready for clients, as of the last input? See `isReadyForClients`. */
  get isReady(): boolean {
    return isReadyForClients(this.parts.context);
  }

  /** Could workers be reached from here, as of the last input? */
  reachesWorkers(): boolean {
    return this.parts.context.reachesWorkers();
  }

  /** What the inputs since the last call want done, in its order. The caller carries it out. */
  takeEffects(): Effect[] {
    return this.parts.effects.take();
  }

  /** The process was paused for `pausedMs`, until `now`. Comes before the inputs that waited meanwhile. */
  processPaused(pausedMs: Milliseconds, now: Milliseconds): void {
    this.beginInput(now);
    this.parts.processPause.processPaused(pausedMs, now);
  }

  /**
   * By how much this controller is behind at `now`: how late a timer fired, how long the oldest input has waited, or until when
   * rejected workers come back, whichever is longest. Silences don't count for that time.
   */
  recordLag(lagMs: Milliseconds, now: Milliseconds): void {
    this.beginInput(now);
    this.parts.shardController.recordLag(lagMs, now);
  }

  /** Time has passed. Comes several times a second. `wallClockMs`: the time of day, to which stored times refer, since 1970. */
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
    parts.machineTypeCatalogue.tick(parts.leader.isLeading, now);
    parts.debugFigures.tick(now);
    parts.writer.setRate(ownWritesPerS(parts.context, parts.writeRateLimit.perSecond(now), now));
    parts.statusExchange.tick(now);
    parts.storedStatusWriter.tick(now);
    this.flushWrites(now);
  }

  // Inputs from the state service

  /** All keys were read. `revision`: that of the first page; changes since then come by `receiveChanges`. */
  receiveSnapshot(rows: StoredKey[], revision: number, now: Milliseconds): void {
    this.beginInput(now);
    this.parts.replica.reset(rows, revision);
    this.flushWrites(now);
  }

  /**
   * Keys changed, up to `revision`. `asOf`: when the request that read them was sent, by the same clock as `now`; the changes
   * include all that were committed by then.
   */
  receiveChanges(changes: KeyChange[], revision: number, asOf: Milliseconds, now: Milliseconds): void {
    this.beginInput(now);
    const { parts } = this;
    parts.replica.apply(changes, revision);
    parts.stateServiceFreshness.replicaRead(asOf, now);
    parts.readBarriers.completeUpTo(asOf, now);
    parts.clientRequests.answerQueriesUpTo(asOf);
    this.flushWrites(now);
  }

  /** A transaction was answered, or wasn't in time. `id`: that of its `compareAndSwap` effect. */
  receiveCompareAndSwapOutcome(id: number, outcome: CompareAndSwapOutcome, now: Milliseconds): void {
    this.beginInput(now);
    const { parts } = this;
    if (outcome.kind !== 'refused' && outcome.kind !== 'unknown') parts.stateServiceFreshness.stateServiceAnswered(now);
    if (outcome.kind === 'limited') parts.writeRateLimit.recordRefusal(now);
    parts.writer.handleOutcome(id, outcome, now);
    this.flushWrites(now);
  }

  /**
   * The lease on the state service was granted or renewed; `leaseId` null: there is none. `validUntil`: until when it stands at
   * least, by the same clock as `now`; without a lease it means nothing.
   */
  receiveLeaseState(leaseId: number | null, validUntil: Milliseconds, now: Milliseconds): void {
    this.beginInput(now);
    const { stateLease, stateServiceFreshness } = this.parts;
    if (leaseId === null) {
      stateLease.expired();
      return;
    }
    stateLease.renewed(leaseId, validUntil, now);
    stateServiceFreshness.stateServiceAnswered(now);
    this.flushWrites(now);
  }

  // Inputs from clients

  /**
   * A client submits a job. `body`: the parsed request body; null: it could not be parsed. `wallClockMs`: the time of day,
   * since 1970.
   */
  submitJob(id: number, body: MessagePackMap | null, now: Milliseconds, wallClockMs: Milliseconds): void {
    this.beginInput(now);
    this.parts.clientRequests.submit(id, body, now, wallClockMs);
    this.flushWrites(now);
  }

  /** A client asks for the status of the job with this id. */
  queryJobStatus(id: number, job: string, now: Milliseconds): void {
    this.beginInput(now);
    this.parts.clientRequests.queryStatus(id, job, now);
  }

  /** A client cancels the job with this id. */
  cancelJob(id: number, job: string, now: Milliseconds): void {
    this.beginInput(now);
    this.parts.clientRequests.cancel(id, job, now);
    this.flushWrites(now);
  }

  // Inputs from workers

  /** A worker sent a heartbeat here, and waits for the response. */
  receiveHeartbeat(id: number, heartbeat: Heartbeat, now: Milliseconds): void {
    this.beginInput(now);
    this.parts.heartbeatResponder.receive(id, heartbeat, now);
    this.flushWrites(now);
  }

  /** Another controller answered a heartbeat and forwarded it, since this one holds the shard of the machine. */
  receiveForwardedHeartbeat(heartbeat: Heartbeat, now: Milliseconds): void {
    this.beginInput(now);
    this.parts.heartbeatResponder.receiveForwarded(heartbeat, now);
    this.flushWrites(now);
  }

  /** A worker answered commands, or didn't in time. `id`: that of the `command` effect. */
  receiveCommandOutcome(id: number, outcome: CommandOutcome, now: Milliseconds): void {
    this.beginInput(now);
    this.parts.shardController.handleCommandOutcome(id, outcome, now);
    this.flushWrites(now);
  }

  /** A worker answered a probe, or didn't in time. `id`: that of the `probe` effect. */
  receiveProbeOutcome(id: number, isAnswered: boolean, now: Milliseconds): void {
    this.beginInput(now);
    this.parts.shardController.handleProbeOutcome(id, isAnswered);
  }

  // Inputs from the cloud

  /** The cloud listed the machine types that it sells; null: it didn't answer. An empty list is ignored. */
  receiveMachineTypes(types: MachineType[] | null, now: Milliseconds): void {
    this.beginInput(now);
    if (types === null || types.length === 0) return;
    this.parts.machineTypeCatalogue.receive(types, now);
    this.flushWrites(now);
  }

  /** The cloud listed the machines that it has provisioned; null: it didn't answer. */
  receiveMachineList(machines: ListedMachine[] | null, now: Milliseconds): void {
    this.beginInput(now);
    const { leader } = this.parts;
    leader.autoscaler.receiveMachineList(machines, leader.isLeading, now);
  }

  /** The cloud answered a request for machines, or didn't in time. `id`: that of the `provision` effect. */
  receiveProvisioningOutcome(id: number, outcome: ProvisioningOutcome, now: Milliseconds): void {
    this.beginInput(now);
    this.parts.leader.autoscaler.handleProvisioningOutcome(id, outcome, now);
    this.flushWrites(now);
  }

  /**
   * The cloud released machines; `isReleased` false: it refused, or didn't answer in time. `id`: that of the `release` effect.
   */
  receiveReleaseOutcome(id: number, isReleased: boolean, now: Milliseconds): void {
    this.beginInput(now);
    const { leader, shardController } = this.parts;
    const isOfAutoscaler = leader.autoscaler.handleReleaseOutcome(id, isReleased, now);
    if (!isOfAutoscaler) shardController.handleReleaseOutcome(id, isReleased, now);
    this.flushWrites(now);
  }

  // Inputs from the other controllers

  /** Another controller sent its status over the link to it, which therefore is up. */
  receivePeerStatus(status: PeerStatus, now: Milliseconds): void {
    this.beginInput(now);
    const { parts } = this;
    parts.peerRegistry.receiveStatus(status, now);
    parts.cancellationFreshness.statusReceived(status, parts.replica.revision);
    for (const unchanged of status.unchangedHeartbeats) parts.heartbeatReconciler.reconcileUnchanged(unchanged, status.node, now);
    this.flushWrites(now);
  }

  /** The link to another controller is down. */
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
