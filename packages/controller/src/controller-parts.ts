/**
 * The composition root: creates the parts of one controller and connects them. Each part receives the context, as the interfaces
 * that it needs, and the parts that it depends on.
 *
 * Owns the parts.
 */
import { TaskAllocations } from './allocation/index.js';
import { MachineTypeCatalog } from './capacity/index.js';
import { type ContextParts, ControllerContext } from './controller-context.js';
import { DebugFigures } from './debug-figures.js';
import { EffectBuffer } from './effect-buffer.js';
import { HeartbeatForwarding, HeartbeatReconciler, HeartbeatResponder, WorkerRouting } from './heartbeats/index.js';
import { ClientRequests } from './jobs/index.js';
import {
  CancellationFreshness,
  initialWritesPerS,
  Leader,
  PeerRegistry,
  ProcessPause,
  ReplicaListener,
  ShardLeases,
  StateLease,
  StateServiceFreshness,
  StatusAssembly,
  StatusExchange,
  StoredStatusWriter,
} from './leadership/index.js';
import type { ControllerSettings } from './model/index.js';
import { ImageCacheWriter, ProgressWriter, ShardController } from './shards/index.js';
import { ClusterState, ReadBarriers, Replica, StateWriter, WriteRateLimit } from './state/index.js';

/** The parts of a controller, created in the order of their dependencies. */
export class ControllerParts implements ContextParts {
  readonly effects = new EffectBuffer();
  readonly readBarriers = new ReadBarriers();
  readonly writeRateLimit: WriteRateLimit;
  readonly clusterState: ClusterState;
  readonly replica: Replica;
  readonly writer: StateWriter;
  readonly context: ControllerContext;

  readonly stateLease: StateLease;
  readonly stateServiceFreshness: StateServiceFreshness;
  readonly peerRegistry: PeerRegistry;
  readonly cancellationFreshness: CancellationFreshness;
  readonly machineTypeCatalog: MachineTypeCatalog;
  readonly clientRequests: ClientRequests;
  readonly heartbeatReconciler: HeartbeatReconciler;
  readonly shardController: ShardController;
  readonly leader: Leader;
  readonly shardLeases: ShardLeases;
  readonly heartbeatResponder: HeartbeatResponder;
  readonly statusExchange: StatusExchange;
  readonly storedStatusWriter: StoredStatusWriter;
  readonly processPause: ProcessPause;
  readonly debugFigures: DebugFigures;

  private readonly heartbeatForwarding: HeartbeatForwarding;
  private readonly workerRouting: WorkerRouting;
  private readonly replicaListener: ReplicaListener;

  constructor(settings: ControllerSettings, incarnation: string) {
    this.clusterState = new ClusterState(settings);
    this.writeRateLimit = new WriteRateLimit(settings.state);
    this.replica = this.makeReplica();
    this.writer = this.makeWriter(settings);
    this.context = new ControllerContext(settings, incarnation, this, this);
    const { context } = this;

    this.stateLease = this.makeStateLease();
    this.stateServiceFreshness = new StateServiceFreshness(context);
    this.peerRegistry = new PeerRegistry(context);
    this.cancellationFreshness = new CancellationFreshness(otherControllers(settings), incarnation);
    this.machineTypeCatalog = new MachineTypeCatalog(context);

    this.clientRequests = new ClientRequests(context);
    const allocations = new TaskAllocations(context);
    const progressWriter = new ProgressWriter(context, allocations);
    const imageCacheWriter = new ImageCacheWriter(context, allocations);
    const reconciler = new HeartbeatReconciler(context, allocations, progressWriter, imageCacheWriter);
    this.heartbeatReconciler = reconciler;
    this.shardController = new ShardController(context, { allocations, progressWriter, imageCacheWriter, reconciler });
    this.leader = new Leader(context, this.shardController);
    this.shardLeases = new ShardLeases(context);
    this.heartbeatForwarding = new HeartbeatForwarding(context);
    this.workerRouting = new WorkerRouting(context);
    this.heartbeatResponder = this.makeHeartbeatResponder();

    const statusAssembly = this.makeStatusAssembly();
    this.statusExchange = this.makeStatusExchange(statusAssembly);
    this.storedStatusWriter = new StoredStatusWriter(context, statusAssembly);
    this.replicaListener = this.makeReplicaListener();
    this.processPause = this.makeProcessPause();
    this.debugFigures = new DebugFigures(context, this);
  }

  private makeReplica(): Replica {
    return new Replica(
      (key, entry) => this.replicaListener.onKeyChanged(key, entry),
      (key, error) => this.effects.log('warn', 'failed to apply a change', { key, error: String(error) }),
    );
  }

  private makeWriter({ state, controllers }: ControllerSettings): StateWriter {
    return new StateWriter(
      { writesPerS: initialWritesPerS(state.writesPerS, controllers.length), ...this.clusterState.sizeLimits },
      {
        replica: this.replica,
        emit: (effect) => this.effects.emit(effect),
        leaseId: () => this.stateLease.leaseId,
        afterBarrier: (now, run) => this.context.afterBarrier(now, run),
        onLeaseLost: () => this.stateLease.invalidate(),
        onRejected: (key, bytes) => this.effects.log('warn', 'write rejected as too large or invalid', { key, bytes }),
      },
    );
  }

  private makeStateLease(): StateLease {
    return new StateLease(this.effects, {
      onStateLeaseLost: () => this.shardLeases.onStateLeaseExpired(),
      onStateLeaseRenewedLate: (overdueMs, now) => this.shardController.onProcessPaused(overdueMs, now),
    });
  }

  private makeHeartbeatResponder(): HeartbeatResponder {
    const { shardController, heartbeatReconciler, leader, heartbeatForwarding, workerRouting, cancellationFreshness } = this;
    return new HeartbeatResponder(this.context, {
      shardController,
      heartbeatReconciler,
      leader,
      heartbeatForwarding,
      workerRouting,
      cancellationFreshness,
    });
  }

  private makeStatusAssembly(): StatusAssembly {
    const { shardController, leader, workerRouting, heartbeatResponder } = this;
    return new StatusAssembly(this.context, {
      shardController,
      leader,
      workerRouting,
      mayAnswerWorkers: (now) => heartbeatResponder.mayAnswerWorkers(now),
    });
  }

  private makeStatusExchange(statusAssembly: StatusAssembly): StatusExchange {
    const { shardController, heartbeatForwarding, cancellationFreshness } = this;
    return new StatusExchange(this.context, { statusAssembly, shardController, heartbeatForwarding, cancellationFreshness });
  }

  private makeReplicaListener(): ReplicaListener {
    const { leader, peerRegistry, shardController, shardLeases } = this;
    return new ReplicaListener(this.context, { leader, peerRegistry, shardController, shardLeases });
  }

  private makeProcessPause(): ProcessPause {
    return new ProcessPause(this.context, [
      this.stateServiceFreshness,
      this.peerRegistry,
      this.heartbeatForwarding,
      this.workerRouting,
      this.clusterState,
      this.shardLeases,
      this.shardController,
    ]);
  }
}

function otherControllers({ name, controllers }: ControllerSettings): string[] {
  return controllers.map((controller) => controller.name).filter((other) => other !== name);
}
