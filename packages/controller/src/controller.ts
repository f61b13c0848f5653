import type {
  CompareAndSwapOutcome,
  Heartbeat,
  KeyChange,
  ListedMachine,
  MachineType,
  PeerStatus,
  StoredKey,
} from '@archpost/protocol';
import { TaskAllocations } from './allocation/index.js';
import type { ProvisioningOutcome } from './capacity/index.js';
import type {
  CapacityView,
  ClusterStateView,
  EffectSink,
  IncarnationView,
  InputClock,
  LeaseListener,
  LeaseView,
  Logger,
  PeerDirectory,
  PeerView,
  ReadBarrierSource,
  ReplicaView,
  SettingsView,
  ShardHealth,
  ShardOwnership,
  StateFreshness,
  StateWriting,
} from './context/index.js';

/** All that the parts may ask of their controller; each asks for less. */
interface ControllerContext
  extends SettingsView,
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
    Logger {}

import { HeartbeatForwarding, HeartbeatReconciler, HeartbeatResponder, WorkerRouting } from './heartbeats/index.js';
import { ClientRequests } from './jobs/index.js';
import { CancellationFreshness, Leader, ShardLeases, StatusExchange } from './leadership/index.js';
import { type ControllerSettings, type Effect, type LogLevel, type Milliseconds, NEVER } from './model/index.js';
import { ProgressWriter, ShardController } from './shards/index.js';
import {
  type AppliedChange,
  ClusterState,
  encodedBytes,
  encodeMachineTypes,
  encodeMachineTypesParts,
  parseStatus,
  ReadBarriers,
  Replica,
  type ReplicaEntry,
  StateKey,
  StateWriter,
  WritePriority,
  WriteRateLimit,
} from './state/index.js';

/** How long a peer's silence is borne before its link counts as down. */
const PEER_SILENT_MS = 3500;

/** After a pause decisions wait for news for so long; in an outage none come. */
const SETTLE_MS = 3000;

/** The watch and the lease's renewals bring an answer more often than this. */
const STORE_SILENT_MS = 4000;

/**
 * One controller's decisions as a state machine. Inputs go in through the methods, each
 * with its time; what is to be sent, written and answered is collected by `drain`.
 */
export class Controller implements ControllerContext {
  readonly clusterState: ClusterState;
  readonly replica: Replica;
  readonly writer: StateWriter;
  readonly lease = { id: null as number | null, validUntil: -1 };
  readonly peers = new Map<string, PeerView>();
  replicaFreshAt: Milliseconds = NEVER;
  private stateServiceAnsweredAt: Milliseconds = NEVER;
  readonly clientRequests: ClientRequests;
  readonly shardController: ShardController;
  private readonly heartbeatReconciler: HeartbeatReconciler;
  readonly leader: Leader;
  readonly shardLeases: ShardLeases;
  private readonly cancellationFreshness: CancellationFreshness;
  private readonly writeRateLimit: WriteRateLimit;
  private readonly heartbeatForwarding: HeartbeatForwarding;
  private readonly heartbeatResponder: HeartbeatResponder;
  private readonly readBarriers = new ReadBarriers();
  private readonly workerRouting: WorkerRouting;
  private readonly statusExchange: StatusExchange;
  private effects: Effect[] = [];
  private nextId = 1;
  now: Milliseconds = 0;
  private machineTypesRequestedAt: Milliseconds = NEVER;

  constructor(
    readonly settings: ControllerSettings,
    readonly incarnation: string,
  ) {
    this.clusterState = new ClusterState(settings);
    this.writeRateLimit = new WriteRateLimit(settings.state);
    this.replica = new Replica(
      (key, entry) => this.keyChanged(key, entry),
      (key, error) => this.log('warn', 'failed to apply a change', { key, error: String(error) }),
    );
    const shard = 0.95 / Math.max(1, settings.controllers.length);
    this.writer = new StateWriter(
      { writesPerS: Math.max(1, settings.state.writesPerS * shard), ...this.clusterState.sizeLimits },
      this.replica,
      (effect) => this.emit(effect),
      () => this.lease.id,
      (now, run) => this.afterBarrier(now, run),
      () => this.stateLeaseLost(),
      (key, bytes) => this.log('warn', 'write rejected as too large or invalid', { key, bytes }),
    );
    this.clientRequests = new ClientRequests(this);
    const allocations = new TaskAllocations(this);
    const progressWriter = new ProgressWriter(this, allocations);
    this.heartbeatReconciler = new HeartbeatReconciler(this, allocations, progressWriter);
    this.shardController = new ShardController(this, { allocations, progressWriter, reconciler: this.heartbeatReconciler });
    this.leader = new Leader(this, this.shardController);
    this.shardLeases = new ShardLeases(this);
    this.cancellationFreshness = new CancellationFreshness(
      settings.controllers.map((controller) => controller.name).filter((controller) => controller !== settings.name),
      incarnation,
    );
    this.heartbeatForwarding = new HeartbeatForwarding(this);
    this.workerRouting = new WorkerRouting(this);
    const { shardController, heartbeatReconciler, leader, heartbeatForwarding, workerRouting, cancellationFreshness } = this;
    this.heartbeatResponder = new HeartbeatResponder(this, {
      shardController,
      heartbeatReconciler,
      leader,
      heartbeatForwarding,
      workerRouting,
      cancellationFreshness,
    });
    const mayAnswerWorkers = (now: Milliseconds) => this.heartbeatResponder.mayAnswerWorkers(now);
    this.statusExchange = new StatusExchange(this, {
      shardController,
      leader,
      heartbeatForwarding,
      workerRouting,
      cancellationFreshness,
      mayAnswerWorkers,
    });
  }

  // ---- context

  emit(effect: Effect): void {
    this.effects.push(effect);
  }

  log(level: LogLevel, message: string, data?: Record<string, unknown>): void {
    this.effects.push(data ? { type: 'log', level, message, fields: data } : { type: 'log', level, message });
  }

  takeEffects(): Effect[] {
    const result = this.effects;
    this.effects = [];
    return result;
  }

  nextEffectId(): number {
    return this.nextId++;
  }

  isLeaseValid(now: Milliseconds): boolean {
    return this.lease.id !== null && now < this.lease.validUntil;
  }

  isPeerAlive(controller: string, now: Milliseconds): boolean {
    const peer = this.peers.get(controller);
    return peer?.isConnected === true && now - peer.heardAt < PEER_SILENT_MS;
  }

  /** Runs once the replica holds everything that was so when this was called. */
  afterBarrier(now: Milliseconds, run: (now: Milliseconds) => void, until = Number.POSITIVE_INFINITY, late?: () => void): void {
    this.readBarriers.add(now, run, until, late);
    this.emit({ type: 'readBarrier', urgent: true });
  }

  leaseAcquired(lease: string, revision: number): void {
    if (lease === 'lead') this.leader.leaseAcquired(revision, this.now);
    else this.shardController.leaseAcquired(Number(lease), revision, this.now);
  }

  leaseLost(lease: string): void {
    if (lease === 'lead') this.leader.leaseLost();
    else this.shardController.leaseLost(Number(lease));
  }

  reachesWorkers(): boolean {
    return this.shardController.machineLifecycle.failureDetector.reachesWorkers;
  }

  mayActFor(shard: number): boolean {
    return this.shardLeases.mayActUnder(String(shard), this.now);
  }

  isShardSettled(shard: number): boolean {
    return this.shardController.isSettled(shard);
  }

  isTypeAvailable(type: string): boolean {
    if (this.leader.isLeading) return this.leader.autoscaler.availableTypes().includes(type);
    for (const peer of this.peers.values()) if (peer.status.isLeader) return peer.status.availableTypes.includes(type);
    return false;
  }

  // ---- the state service

  private keyChanged(key: string, entry: ReplicaEntry | null): void {
    if (!key.startsWith(StateKey.root)) return;
    if (key.startsWith(StateKey.status('')) && entry) this.receiveStoredStatus(entry.value);
    const applied = this.applyChange(key, entry);
    if (!applied) return;
    if (applied.lease !== undefined) this.shardLeases.leaseChanged(applied.lease);
    if (applied.machine) {
      if (applied.machine.shard < 0) {
        this.leader.machineRemoved(applied.machine.name, this.now);
        this.leader.autoscaler.capacityFreed(applied.machine, this.now);
      }
      this.shardController.machineChanged(applied.machine, applied.movedShard === true, this.now);
    }
    if (applied.unreadablePart)
      this.log('warn', 'unreadable stored record', { key, error: `${applied.unreadablePart} can not be read` });
    for (const job of applied.jobs ?? []) this.shardController.jobChanged(job);
  }

  /** One record that can't be read, of another version say, must not keep the rest from being read. */
  private applyChange(key: string, entry: ReplicaEntry | null): AppliedChange | null {
    try {
      return this.clusterState.apply(key, entry, this.now);
    } catch (error) {
      this.log('warn', 'unreadable stored record', { key, error: String(error) });
      return null;
    }
  }

  receiveSnapshot(rows: StoredKey[], revision: number, now: Milliseconds): void {
    this.now = now;
    this.replica.reset(rows, revision);
    this.flushWrites(now);
  }

  /** Changes read by a request that was sent at `asOf`. */
  receiveChanges(list: KeyChange[], revision: number, asOf: Milliseconds, now: Milliseconds): void {
    this.now = now;
    this.replica.apply(list, revision);
    if (asOf > this.replicaFreshAt) this.replicaFreshAt = asOf;
    this.stateServiceAnsweredAt = now;
    this.readBarriers.completeUpTo(asOf, now);
    this.clientRequests.replicaFreshUpTo(asOf);
    this.flushWrites(now);
  }

  receiveCompareAndSwapOutcome(id: number, outcome: CompareAndSwapOutcome, now: Milliseconds): void {
    this.now = now;
    if (outcome.kind !== 'refused' && outcome.kind !== 'unknown') this.stateServiceAnsweredAt = now;
    if (outcome.kind === 'limited') this.writeRateLimit.recordRefusal(now);
    this.writer.handleOutcome(id, outcome, now);
    this.flushWrites(now);
  }

  /** The lease stands until `validUntil` at least; null: there is none. */
  receiveLeaseState(leaseId: number | null, validUntil: Milliseconds, now: Milliseconds): void {
    this.now = now;
    if (leaseId === null) {
      if (this.lease.id !== null) this.stateLeaseLost();
      return;
    }
    if (this.lease.id !== null && this.lease.id !== leaseId) this.stateLeaseLost();
    // It was renewed, so it never ended and nobody can have taken what is attached to it: what is
    // held goes on. An outage longer than the lease cost all machines a round of questions before.
    else if (this.lease.id === leaseId && now >= this.lease.validUntil) {
      this.log('info', 'lease renewed after its assumed expiry', { seconds: Math.round((now - this.lease.validUntil) / 1000) });
      this.shardController.processPaused(now - this.lease.validUntil, now);
    }
    this.stateServiceAnsweredAt = now;
    this.lease.id = leaseId;
    this.lease.validUntil = validUntil;
    this.flushWrites(now);
  }

  private stateLeaseLost(): void {
    this.log('warn', 'lease lost');
    this.lease.id = null;
    this.lease.validUntil = -1;
    this.shardLeases.dropAll();
  }

  // ---- users

  submitJob(id: number, body: Record<string, unknown> | null, now: Milliseconds, wallClockMs: number): void {
    this.now = now;
    this.clientRequests.submit(id, body, now, wallClockMs);
    this.flushWrites(now);
  }

  queryJobStatus(id: number, job: string, now: Milliseconds): void {
    this.now = now;
    this.clientRequests.queryStatus(id, job, now);
  }

  cancelJob(id: number, job: string, now: Milliseconds): void {
    this.now = now;
    this.clientRequests.cancel(id, job, now);
    this.flushWrites(now);
  }

  /**
   * Ready for users: what the state service holds is known. In an outage that all share it
   * stays so; a controller that alone has lost the service says no, so that its users'
   * connections leave it.
   */
  get isReady(): boolean {
    if (!this.replica.loaded || !this.clusterState.machineTypesKnown) return false;
    if (this.stateServiceAnswers(this.now)) return true;
    let any = false;
    for (const [controller, peer] of this.peers) {
      if (!this.isPeerAlive(controller, this.now)) continue;
      any = true;
      if (peer.status.stateServiceAnswers) return false;
    }
    return any || this.settings.controllers.length === 1;
  }

  /** The state service has answered lately. */
  stateServiceAnswers(now: Milliseconds): boolean {
    return now - this.stateServiceAnsweredAt < STORE_SILENT_MS;
  }

  // ---- workers

  receiveHeartbeat(id: number, heartbeat: Heartbeat, now: Milliseconds): void {
    this.now = now;
    this.heartbeatResponder.receive(id, heartbeat, now);
    this.flushWrites(now);
  }

  /** A report that another controller answered and passed on. */
  receiveForwardedHeartbeat(heartbeat: Heartbeat, now: Milliseconds): void {
    this.now = now;
    this.heartbeatResponder.receiveForwarded(heartbeat, now);
    this.flushWrites(now);
  }

  receiveCommandOutcome(
    id: number,
    outcome: Parameters<ShardController['commandDispatcher']['handleOutcome']>[1],
    now: Milliseconds,
  ): void {
    this.now = now;
    this.shardController.commandDispatcher.handleOutcome(id, outcome, now);
    this.flushWrites(now);
  }

  /** Whether a worker answered the question that `ask` put. */
  receiveProbeOutcome(id: number, isAnswered: boolean, now: Milliseconds): void {
    this.now = now;
    this.shardController.machineLifecycle.failureDetector.handleProbeOutcome(id, isAnswered);
  }

  // ---- cloud

  receiveMachineTypes(list: MachineType[] | null, now: Milliseconds): void {
    this.now = now;
    if (!list || list.length === 0) return;
    this.clusterState.setMachineTypes(list);
    const known = this.replica.get(StateKey.machineTypes) ?? this.replica.get(StateKey.machineTypesPart(0));
    if (!known && this.replica.loaded) this.storeMachineTypes(list, now);
    this.flushWrites(now);
  }

  /** Kept for a start while the cloud's interface is down; in parts where the list outgrows a value. */
  private storeMachineTypes(list: MachineType[], now: Milliseconds): void {
    const { maxWriteBytes: changeBytes } = this.clusterState.sizeLimits;
    const whole = encodeMachineTypes(list);
    if (encodedBytes(StateKey.machineTypes, whole) <= changeBytes) return this.storeOnce(StateKey.machineTypes, whole, now);
    encodeMachineTypesParts(list).forEach((part, index) => {
      this.storeOnce(StateKey.machineTypesPart(index), part, now);
    });
  }

  private storeOnce(key: string, value: unknown, now: Milliseconds): void {
    this.writer.add({
      key,
      value: () => value,
      expectedRevision: 0,
      priority: WritePriority.progress,
      expiresAt: now + 10_000,
      onOutcome: () => {},
    });
  }

  receiveMachineList(machines: ListedMachine[] | null, now: Milliseconds): void {
    this.now = now;
    this.leader.autoscaler.receiveMachineList(machines, this.leader.isLeading, now);
  }

  receiveProvisioningOutcome(id: number, outcome: ProvisioningOutcome, now: Milliseconds): void {
    this.now = now;
    this.leader.autoscaler.handleProvisioningOutcome(id, outcome, now);
    this.flushWrites(now);
  }

  receiveReleaseOutcome(id: number, isReleased: boolean, now: Milliseconds): void {
    this.now = now;
    if (!this.leader.autoscaler.handleReleaseOutcome(id, isReleased, now))
      this.shardController.machineLifecycle.handleReleaseOutcome(id, isReleased, now);
    this.flushWrites(now);
  }

  // ---- peers

  receivePeerStatus(status: PeerStatus, now: Milliseconds): void {
    this.now = now;
    const running = status.runningJobsComplete ? new Map() : (this.peers.get(status.node)?.runningJobs ?? new Map());
    for (const { job, ...tasks } of status.runningJobs) {
      if (tasks.count > 0 || tasks.done > 0 || tasks.failed > 0) running.set(job, tasks);
      else running.delete(job);
    }
    this.peers.set(status.node, { status, runningJobs: running, heardAt: now, isConnected: true });
    this.cancellationFreshness.statusReceived(status, this.replica.revision);
    for (const unchanged of status.unchangedHeartbeats) this.heartbeatReconciler.reconcileUnchanged(unchanged, status.node, now);
    this.flushWrites(now);
  }

  peerDisconnected(controller: string, now: Milliseconds): void {
    this.now = now;
    const peer = this.peers.get(controller);
    if (peer) peer.isConnected = false;
  }

  /** Used only while the link itself is silent: it is slower, and costs writes. */
  private receiveStoredStatus(stored: unknown): void {
    const status = parseStatus(stored);
    if (status === null || status.node === this.settings.name || this.isPeerAlive(status.node, this.now)) return;
    if (!this.replica.loaded) return;
    this.peers.set(status.node, {
      status,
      runningJobs: this.peers.get(status.node)?.runningJobs ?? new Map(),
      heardAt: this.now,
      isConnected: false,
    });
  }

  private figuresLoggedAt: Milliseconds = 0;
  // ---- time

  /**
   * This process stood still until now, for so long. Everybody else went on: what was silent
   * meanwhile was not heard because of this, and says nothing about workers, peers or the state
   * service. What is decided waits until news from after the pause are in (`settling`). Leases
   * and the age of what was confirmed are not touched: they did run out.
   */
  processPaused(ms: Milliseconds, now: Milliseconds): void {
    this.now = now;
    this.log(ms > 3000 ? 'info' : 'debug', 'process paused', {
      seconds: Math.round(ms / 100) / 10,
      leaseValid: this.isLeaseValid(now),
    });
    this.processPausedAt = now;
    if (this.stateServiceAnsweredAt > 0) this.stateServiceAnsweredAt += ms;
    for (const peer of this.peers.values()) peer.heardAt += ms;
    this.heartbeatForwarding.processPaused(ms);
    this.workerRouting.processPaused(ms);
    for (const [controller, at] of this.clusterState.absentSince) this.clusterState.absentSince.set(controller, at + ms);
    this.shardLeases.processPaused(ms);
    this.shardController.processPaused(ms, now);
  }

  private processPausedAt: Milliseconds = NEVER;

  isCatchingUp(): boolean {
    return this.replicaFreshAt < this.processPausedAt && this.now - this.processPausedAt < SETTLE_MS;
  }

  /** `wall`: the time of day, to which stored times of submissions and ends refer. */
  tick(now: Milliseconds, wallClockMs: Milliseconds = now): void {
    this.now = now;
    this.clusterState.wallClockOffsetMs = wallClockMs - now;
    this.readBarriers.expire(now);
    const soon = this.readBarriers.size > 0;
    if (soon || this.clientRequests.hasPendingQueries) this.emit({ type: 'readBarrier', urgent: soon });
    this.clientRequests.tick(now);
    this.shardLeases.tick(now);
    this.shardController.tick(now);
    this.leader.tick(now);
    const wantTypes = !this.clusterState.machineTypesKnown || this.leader.isLeading;
    if (wantTypes && now - this.machineTypesRequestedAt > (this.clusterState.machineTypesKnown ? 60_000 : 1500)) {
      this.machineTypesRequestedAt = now;
      this.emit({ type: 'fetchMachineTypes' });
    }
    if (now - this.figuresLoggedAt > 10_000) {
      this.figuresLoggedAt = now;
      this.log('debug', 'figures', {
        changes: this.writer.takeWriteCounts(),
        workers: this.heartbeatResponder.takeResponseCounts(),
        jobs: this.clusterState.jobs.size,
        machines: this.clusterState.machines.size,
        barriers: this.readBarriers.size,
      });
    }
    this.writer.setRate(this.statusExchange.ownWritesPerS(this.writeRateLimit.perSecond(now), now));
    this.statusExchange.tick(now);
    this.flushWrites(now);
  }

  private flushWrites(now: Milliseconds): void {
    this.writer.flush(now);
  }
}
