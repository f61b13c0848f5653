/** Carries out the controller's effects and brings it their outcomes, as control events. */
import type { CloudClient } from '@archpost/cloud-client';
import type { Controller, Effect } from '@archpost/controller';
import type { HttpApi } from '@archpost/http-api';
import { monotonicMs } from '@archpost/http-client';
import type { PeerTransport } from '@archpost/peer-transport';
import type { StateServiceClient } from '@archpost/state-client';
import type { WorkerClient } from '@archpost/worker-client';
import { type Inbox, PROCESS_PAUSE_MS } from './inbox.js';
import type { ServiceLog } from './service-log.js';

type EffectOf<Type extends Effect['type']> = Extract<Effect, { type: Type }>;

/** What effects act on. */
export interface EffectTargets {
  api: HttpApi;
  stateService: StateServiceClient;
  workers: WorkerClient;
  cloud: CloudClient;
  peers: PeerTransport;
  log: ServiceLog;
}

/** What an executor connects. */
export interface EffectExecutorOptions {
  controller: Controller;
  inbox: Inbox;
  targets: EffectTargets;
  /** this controller's name, which its messages to peers contain */
  nodeName: string;
}

/** Executes the controller's effects in the order in which it decided them. */
export class EffectExecutor {
  private readonly controller: Controller;
  private readonly inbox: Inbox;
  private readonly targets: EffectTargets;
  private readonly nodeName: string;

  constructor({ controller, inbox, targets, nodeName }: EffectExecutorOptions) {
    this.controller = controller;
    this.inbox = inbox;
    this.targets = targets;
    this.nodeName = nodeName;
  }

  /**
   * Executes all effects since the last call.
   *
   * Effects on machines and the cloud that were decided before a pause of the process are withheld after it, because
   * another controller may have decided otherwise meanwhile. Others are harmless: a late response has no client left, and a
   * late write fails on its conditions.
   *
   * @param wasPaused all effects were decided before a pause
   */
  executeAll(wasPaused = false): void {
    const decidedAt = this.inbox.lastClockReading;
    for (const effect of this.controller.takeEffects()) {
      const isOutdated = wasPaused || monotonicMs() - decidedAt > PROCESS_PAUSE_MS;
      if (isOutdated && this.withhold(effect)) continue;
      this.execute(effect);
    }
  }

  /** Withholds an effect on machines or the cloud and sends the controller its outcome. Returns false for any other effect. */
  private withhold(effect: Effect): boolean {
    const { controller, inbox } = this;
    switch (effect.type) {
      case 'command':
        inbox.enqueueControlEvent(() => controller.receiveCommandOutcome(effect.id, { kind: 'refused' }, monotonicMs()));
        return true;
      case 'release':
        inbox.enqueueControlEvent(() => controller.receiveReleaseOutcome(effect.id, false, monotonicMs()));
        return true;
      case 'provision':
        inbox.enqueueControlEvent(() => controller.receiveProvisioningOutcome(effect.id, { kind: 'unknown' }, monotonicMs()));
        return true;
      default:
        return false;
    }
  }

  private execute(effect: Effect): void {
    const { api, stateService, peers, log } = this.targets;
    switch (effect.type) {
      case 'respond':
        return api.respond(effect.id, effect.status, effect.body, effect.retryAfterS);
      case 'readBarrier':
        return stateService.readBarrier(effect.urgent);
      case 'compareAndSwap':
        return this.compareAndSwap(effect);
      case 'command':
        return this.command(effect);
      case 'probe':
        return this.probe(effect);
      case 'provision':
        return this.provision(effect);
      case 'release':
        return this.release(effect);
      case 'listMachines':
        return this.listMachines();
      case 'fetchMachineTypes':
        return this.fetchMachineTypes();
      case 'sendStatus':
        return peers.send({ node: this.nodeName, status: effect.status, heartbeat: null }, effect.to);
      case 'forwardHeartbeat':
        return peers.send({ node: this.nodeName, status: null, heartbeat: effect.heartbeat }, effect.to);
      case 'log':
        return log.controllerEvent(effect);
      default:
        // Keeps the switch exhaustive: an effect without a case doesn't compile.
        effect satisfies never;
    }
  }

  private compareAndSwap({ id, conditions, writes }: EffectOf<'compareAndSwap'>): void {
    const { controller, inbox, targets } = this;
    void targets.stateService
      .compareAndSwap(conditions, writes)
      .then((outcome) => inbox.enqueueControlEvent(() => controller.receiveCompareAndSwapOutcome(id, outcome, monotonicMs())));
  }

  private command(effect: EffectOf<'command'>): void {
    const { controller, inbox, targets } = this;
    void targets.workers
      .sendCommands(effect)
      .then((outcome) => inbox.enqueueControlEvent(() => controller.receiveCommandOutcome(effect.id, outcome, monotonicMs())));
  }

  private probe({ id, address }: EffectOf<'probe'>): void {
    const { controller, inbox, targets } = this;
    void targets.workers
      .probe(address)
      .then((isAnswered) => inbox.enqueueControlEvent(() => controller.receiveProbeOutcome(id, isAnswered, monotonicMs())));
  }

  private provision({ id, request }: EffectOf<'provision'>): void {
    const { controller, inbox, targets } = this;
    void targets.cloud
      .provision(request)
      .then((outcome) => inbox.enqueueControlEvent(() => controller.receiveProvisioningOutcome(id, outcome, monotonicMs())));
  }

  private release({ id, machines }: EffectOf<'release'>): void {
    const { controller, inbox, targets } = this;
    void targets.cloud
      .releaseMachines(machines)
      .then((isReleased) => inbox.enqueueControlEvent(() => controller.receiveReleaseOutcome(id, isReleased, monotonicMs())));
  }

  private listMachines(): void {
    const { controller, inbox, targets } = this;
    void targets.cloud
      .listMachines()
      .then((machines) => inbox.enqueueControlEvent(() => controller.receiveMachineList(machines, monotonicMs())));
  }

  private fetchMachineTypes(): void {
    const { controller, inbox, targets } = this;
    void targets.cloud
      .fetchMachineTypes()
      .then((types) => inbox.enqueueControlEvent(() => controller.receiveMachineTypes(types, monotonicMs())));
  }
}
