/** A real controller, of any version, with simulated connections. */
import { Controller, type Effect } from '@archpost/controller';
import {
  decodePeerMessage,
  encodePeerMessage,
  type Heartbeat,
  type JobSpec,
  type PeerMessage,
  type PeerStatus,
  type StoredKey,
} from '@archpost/protocol';
import type { SimulatedCluster } from './cluster.js';
import { settings, submission, TYPES } from './fixtures.js';

/** The code of one version of the controller. */
export interface ControllerVersion {
  Controller: typeof Controller;
  encodePeerMessage: typeof encodePeerMessage;
  decodePeerMessage: typeof decodePeerMessage;
}

/** The limited processor time of a starved controller. */
export interface ProcessorBudget {
  /** time at the end of each period in which the controller runs; a multiple of the simulation step */
  runMs: number;
  periodMs: number;
  /** maximum number of heartbeats, and likewise of other inputs, processed in each step in which the controller runs */
  inputsPerStep: number;
}

interface WaitingInput {
  arrivedAt: number;
  run: () => void;
}

/** Gap between two steps above which the controller counts as paused, as in the inbox of a real controller process. */
const PROCESS_PAUSE_MS = 800;

const STEP_MS = 100;

const CURRENT_VERSION: ControllerVersion = { Controller, encodePeerMessage, decodePeerMessage };

/** Drives a controller in simulated time and applies its effects to the cluster. */
export class SimulatedController {
  controller: Controller;
  /** version that the controller runs after its next start */
  version: ControllerVersion = CURRENT_VERSION;
  /** version that the controller runs now */
  runningVersion: ControllerVersion = CURRENT_VERSION;
  up = true;
  /** whether the process is paused: it reads and sends nothing while its clock continues */
  isPaused = false;
  private pausedAt = 0;
  private backlog: { run: () => void; lost: () => void }[] = [];
  /** whether the state service rejects the requests of this controller only */
  isRefusedByStateService = false;
  /** maximum number of inputs processed per simulation step; further inputs wait, and heartbeats are processed first */
  inputsPerTick = Number.POSITIVE_INFINITY;
  private readonly waitingInputs: { heartbeats: (() => void)[]; others: (() => void)[] } = { heartbeats: [], others: [] };
  /** null: processor time is unlimited */
  processorBudget: ProcessorBudget | null = null;
  private readonly starvedInputs: { heartbeats: WaitingInput[]; others: WaitingInput[] } = { heartbeats: [], others: [] };
  private lastRunAt = 0;
  /** whether the watch delivers no changes; other requests to the state service succeed */
  isWatchLagging = false;
  private leaseId: number | null = null;
  private renewAt = 0;
  private snapshotAt = -1;
  /** the pages of a snapshot read so far, and the revision of the first page */
  private partialSnapshot: { rows: StoredKey[]; revision: number; pages: number } | null = null;
  private incarnations = 0;
  private responseHandlers = new Map<number, (status: number, body: Record<string, unknown>) => void>();
  private nextResponseId = 1;
  /** number of probes without an outcome */
  private pendingProbes = 0;

  constructor(
    readonly cluster: SimulatedCluster,
    readonly name: string,
  ) {
    this.controller = this.newController();
  }

  private newController(): Controller {
    this.runningVersion = this.version;
    return new this.runningVersion.Controller(
      this.cluster.tune(settings(this.name, this.cluster.names)),
      `${this.name}-${this.incarnations++}`,
    );
  }

  crash(): void {
    this.isPaused = false;
    this.backlog = [];
    this.waitingInputs.heartbeats.length = 0;
    this.waitingInputs.others.length = 0;
    this.starvedInputs.heartbeats.length = 0;
    this.starvedInputs.others.length = 0;
    this.up = false;
    this.cluster.note(`${this.name} crashes`);
  }

  restart(): void {
    this.controller = this.newController();
    this.leaseId = null;
    this.renewAt = 0;
    this.snapshotAt = -1;
    this.partialSnapshot = null;
    this.responseHandlers.clear();
    this.pendingProbes = 0;
    this.up = true;
    this.cluster.note(`${this.name} restarts`);
  }

  pause(): void {
    this.isPaused = true;
    this.pausedAt = this.cluster.now;
    this.cluster.note(`${this.name} is paused`);
  }

  /** Resumes the process. Inputs that arrived during the pause are processed first, oldest first; with `lost` they are lost. */
  resume(lost = false): void {
    this.isPaused = false;
    this.cluster.note(`${this.name} resumes`);
    this.controller.processPaused(this.cluster.now - this.pausedAt, this.cluster.now);
    // The controller learns of lost inputs by its own timeouts.
    for (const input of this.backlog.splice(0)) lost ? input.lost() : input.run();
    this.applyEffects();
  }

  private enqueueInput(run: () => void, lost: () => void = () => {}, kind: 'heartbeats' | 'others' = 'others'): void {
    if (this.isPaused) {
      this.backlog.push({ run, lost });
      return;
    }
    if (this.processorBudget !== null) {
      this.starvedInputs[kind].push({ arrivedAt: this.cluster.now, run });
      return;
    }
    if (this.inputsPerTick !== Number.POSITIVE_INFINITY) {
      this.waitingInputs[kind].push(run);
      return;
    }
    run();
    this.applyEffects();
  }

  /** Processes up to `inputsPerTick` of the waiting inputs. */
  private processWaitingInputs(): void {
    const { heartbeats, others } = this.waitingInputs;
    for (let count = 0; count < this.inputsPerTick && heartbeats.length + others.length > 0; count++) {
      (heartbeats.shift() ?? others.shift())?.();
      this.applyEffects();
    }
  }

  /** Processes the inputs that the processor budget allows. Returns false if the controller doesn't run in this step. */
  private runStarved({ runMs, periodMs, inputsPerStep }: ProcessorBudget): boolean {
    const { now } = this.cluster;
    if (now % periodMs < periodMs - runMs) return false;
    const gapMs = now - this.lastRunAt;
    this.lastRunAt = now;
    if (gapMs > PROCESS_PAUSE_MS) this.controller.processPaused(gapMs, now);
    const { heartbeats, others } = this.starvedInputs;
    for (const queue of [heartbeats, others]) {
      for (const { run } of queue.splice(0, inputsPerStep)) {
        run();
        this.applyEffects();
      }
    }
    const oldest = Math.min(now, heartbeats[0]?.arrivedAt ?? now, others[0]?.arrivedAt ?? now);
    this.controller.recordLag(Math.max(gapMs - STEP_MS, now - oldest), now);
    return true;
  }

  private addResponseHandler(then: (status: number, body: Record<string, unknown>) => void): number {
    const id = this.nextResponseId++;
    this.responseHandlers.set(id, then);
    return id;
  }

  receiveHeartbeat(heartbeat: Heartbeat, then: (status: number, body: Record<string, unknown>) => void): void {
    const id = this.addResponseHandler(then);
    this.enqueueInput(
      () => this.controller.receiveHeartbeat(id, heartbeat, this.cluster.now),
      () => {},
      'heartbeats',
    );
  }

  submit(spec: JobSpec, then: (status: number, body: Record<string, unknown>) => void, omittedField = ''): void {
    const body = submission(spec);
    delete body[omittedField];
    const awaits = this.cluster.awaits.get(spec.id);
    if (awaits) body.awaits = awaits;
    this.submitBody(body, then);
  }

  /** Submits a body as it is. */
  submitBody(body: Record<string, unknown>, then: (status: number, body: Record<string, unknown>) => void): void {
    this.enqueueInput(() => this.controller.submitJob(this.addResponseHandler(then), body, this.cluster.now, this.cluster.now));
  }

  queryStatus(id: string, then: (status: number, body: Record<string, unknown>) => void): void {
    this.enqueueInput(() => this.controller.queryJobStatus(this.addResponseHandler(then), id, this.cluster.now));
  }

  cancel(id: string, then: (status: number, body: Record<string, unknown>) => void): void {
    this.enqueueInput(() => this.controller.cancelJob(this.addResponseHandler(then), id, this.cluster.now));
  }

  tick(): void {
    if (!this.up || this.isPaused) return;
    if (this.processorBudget !== null && !this.runStarved(this.processorBudget)) return;
    this.processWaitingInputs();
    const { now, stateService: state } = this.cluster;
    if (!this.cluster.isStateServiceDown && !this.isRefusedByStateService) {
      if (now >= this.renewAt) {
        this.renewAt = now + 3000;
        if (this.leaseId === null || !state.extend(this.leaseId, now)) {
          if (this.leaseId !== null) this.controller.receiveLeaseState(null, 0, now);
          this.leaseId = state.lease(18_000, now);
        }
        this.controller.receiveLeaseState(this.leaseId, now + 17_900, now);
      }
      const isBehind = this.snapshotAt >= 0 && !this.isWatchLagging && state.hasCompacted(this.controller.replica.revision);
      if (this.snapshotAt < 0 || isBehind) this.loadPage(now);
      else if (!this.isWatchLagging)
        this.controller.receiveChanges(state.changesSince(this.controller.replica.revision), state.revision, now, now);
    }
    this.controller.tick(now);
    this.applyEffects();
  }

  /** Reads the next page of the snapshot. After the last page the controller receives the whole snapshot. */
  private loadPage(now: number): void {
    const { stateService: state } = this.cluster;
    if (this.partialSnapshot === null) this.partialSnapshot = { rows: [], revision: state.revision, pages: 0 };
    const { rows, revision } = this.partialSnapshot;
    this.partialSnapshot.pages++;
    const isLast = this.partialSnapshot.pages >= state.pages;
    rows.push(...(state.pages === 1 ? state.rows() : state.page(rows.at(-1)?.key ?? '', isLast)));
    if (!isLast) return;
    this.partialSnapshot = null;
    if (this.snapshotAt < 0) this.controller.receiveMachineTypes(TYPES, now);
    this.snapshotAt = now;
    this.controller.receiveSnapshot(rows, revision, now);
    if (!this.isWatchLagging) this.controller.receiveChanges(state.changesSince(revision), state.revision, now, now);
  }

  applyEffects(): void {
    for (const effect of this.controller.takeEffects()) this.applyEffect(effect);
  }

  /** Returns the message as the receiving controller sees it: encoded and decoded if the two controllers run different versions. */
  private transmit(to: SimulatedController, message: PeerMessage): PeerMessage {
    this.cluster.onPeerMessage?.(this.runningVersion.encodePeerMessage(message));
    if (to.runningVersion === this.runningVersion) return structuredClone(message);
    return to.runningVersion.decodePeerMessage(this.runningVersion.encodePeerMessage(message));
  }

  private applyEffect(effect: Effect): void {
    const { cluster, controller: core, runningVersion: version } = this;
    const schedule = (delayMs: number, run: () => void, lost: () => void = run) =>
      cluster.runAt(cluster.now + delayMs, () => {
        if (this.up && this.controller === core) this.enqueueInput(run, lost);
      });
    if (effect.type === 'respond') {
      const then = this.responseHandlers.get(effect.id);
      this.responseHandlers.delete(effect.id);
      then?.(effect.status, effect.body as Record<string, unknown>);
    } else if (effect.type === 'compareAndSwap') {
      for (const write of effect.writes) {
        const kind = ('put' in write ? write.put : write.del).slice(2, 3);
        cluster.changes.set(kind, (cluster.changes.get(kind) ?? 0) + 1);
      }
      if (cluster.isStateServiceDown || this.isRefusedByStateService)
        return schedule(20, () => core.receiveCompareAndSwapOutcome(effect.id, { kind: 'refused' }, cluster.now));
      const apply = () => cluster.stateService.compareAndSwap(effect, cluster.now);
      if (cluster.losesTransactionResponse?.(effect, apply))
        return schedule(1500, () => core.receiveCompareAndSwapOutcome(effect.id, { kind: 'unknown' }, cluster.now));
      const outcome = apply();
      schedule(
        cluster.transactionResponseMs(this.name),
        () => core.receiveCompareAndSwapOutcome(effect.id, outcome, cluster.now),
        () => core.receiveCompareAndSwapOutcome(effect.id, { kind: 'unknown' }, cluster.now),
      );
    } else if (effect.type === 'command') {
      const probeCount = effect.commands.length === 0 ? 1 : 0;
      cluster.commands += 1 - probeCount;
      cluster.onCommands?.(effect.commands);
      this.pendingProbes += probeCount;
      cluster.maxPendingProbes = Math.max(cluster.maxPendingProbes, this.pendingProbes);
      if (cluster.withholdsCommands(this.name, effect.machine)) {
        return schedule(10, () => {
          this.pendingProbes -= probeCount;
          core.receiveCommandOutcome(effect.id, { kind: 'withheld' }, cluster.now);
        });
      }
      if (cluster.refusesCommands(this.name, effect.machine)) {
        return schedule(2500, () => {
          this.pendingProbes -= probeCount;
          core.receiveCommandOutcome(effect.id, { kind: 'refused' }, cluster.now);
        });
      }
      const worker = cluster.worker(effect.machine);
      const isLost =
        cluster.losesControllerMessages(this.name, effect.machine) || cluster.losesCommands(this.name, effect.machine);
      if (!worker || worker.dead || worker.hung || cluster.isPartitioned(this.name, effect.machine) || isLost) {
        if (worker?.hung)
          worker.heldCommands.push(
            () => void worker.receiveCommands(effect.fencingToken, effect.agentEpoch, effect.commands, version),
          );
        // The network may deliver a command long after the controller gave up on it.
        else if (worker && cluster.lateCommandDelayMs) {
          cluster.runAt(cluster.now + cluster.lateCommandDelayMs(), () => {
            const deliver = () => void worker.receiveCommands(effect.fencingToken, effect.agentEpoch, effect.commands, version);
            if (worker.hung) worker.heldCommands.push(deliver);
            else if (!worker.dead) deliver();
          });
        }
        return schedule(2500, () => {
          this.pendingProbes -= probeCount;
          core.receiveCommandOutcome(effect.id, { kind: 'lost' }, cluster.now);
        });
      }
      const receiveOutcome = (outcome: Parameters<Controller['receiveCommandOutcome']>[1]) => () => {
        this.pendingProbes -= probeCount;
        core.receiveCommandOutcome(effect.id, outcome, cluster.now);
      };
      const outcome = worker.receiveCommands(effect.fencingToken, effect.agentEpoch, effect.commands, version);
      const unreadable = outcome.kind === 'ok' && cluster.garblesCommandResponses(this.name, effect.machine);
      schedule(
        cluster.commandResponseMs(),
        receiveOutcome(unreadable ? { ...outcome, heartbeat: null } : outcome),
        receiveOutcome({ kind: 'lost' }),
      );
    } else if (effect.type === 'probe') {
      const worker = cluster.worker(effect.address);
      const isAnswered =
        worker !== undefined &&
        !worker.dead &&
        !worker.hung &&
        !cluster.isPartitioned(this.name, worker.name) &&
        !cluster.losesControllerMessages(this.name, worker.name);
      schedule(isAnswered ? 10 : 1500, () => core.receiveProbeOutcome(effect.id, isAnswered, cluster.now));
    } else if (effect.type === 'sendStatus') {
      cluster.statuses++;
      cluster.statusBytes += encodePeerMessage({ node: this.name, status: effect.status, heartbeat: null }).length;
      const node = cluster.controller(effect.to);
      const copy = this.transmit(node, { node: this.name, status: effect.status, heartbeat: null }).status as PeerStatus;
      if (node.up && !cluster.isPartitioned(this.name, node.name) && !cluster.losesPeerMessages(this.name, node.name)) {
        const deliver = () => node.up && node.enqueueInput(() => node.controller.receivePeerStatus(copy, cluster.now));
        if (cluster.delaysPeerMessages(this.name, node.name)) cluster.runAt(cluster.now + 15_000, deliver);
        else deliver();
      }
    } else if (effect.type === 'forwardHeartbeat') {
      cluster.forwardedHeartbeats++;
      const node = cluster.controller(effect.to);
      if (node.up && !cluster.isPartitioned(this.name, node.name)) {
        const heartbeat = this.transmit(node, { node: this.name, status: null, heartbeat: effect.heartbeat })
          .heartbeat as Heartbeat;
        node.enqueueInput(() => node.controller.receiveForwardedHeartbeat(heartbeat, cluster.now));
      }
    } else if (effect.type === 'log') {
      cluster.onLog?.(this.name, effect);
    } else if (effect.type === 'readBarrier') {
      cluster.readBarriers++;
    } else if (effect.type === 'release') {
      if (cluster.isCloudDown) return schedule(100, () => core.receiveReleaseOutcome(effect.id, false, cluster.now));
      for (const name of effect.machines) cluster.releaseMachine(name);
      schedule(100, () => core.receiveReleaseOutcome(effect.id, true, cluster.now));
    } else if (effect.type === 'listMachines') {
      cluster.listRequests++;
      const list = cluster.isCloudDown ? null : cluster.machineList();
      schedule(100, () => core.receiveMachineList(list, cluster.now));
    } else if (effect.type === 'provision') {
      cluster.provisioningRequests.push({ type: effect.request.machineType, spot: effect.request.spot, at: cluster.now });
      const machines = cluster.provision(
        effect.request.machineType,
        effect.request.zone,
        effect.request.spot,
        effect.request.count,
      );
      schedule(100, () =>
        core.receiveProvisioningOutcome(effect.id, machines ? { kind: 'ok', machines } : { kind: 'outOfCapacity' }, cluster.now),
      );
    } else if (effect.type === 'fetchMachineTypes') schedule(50, () => core.receiveMachineTypes(TYPES, cluster.now));
  }
}
