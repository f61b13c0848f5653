/** Executes the controller's effects, and returns their outcomes to it as control events. */
import type { CloudClient } from '@archpost/cloud-client';
import type { Controller, Effect } from '@archpost/controller';
import type { HttpApi } from '@archpost/http-api';
import { monotonicMs } from '@archpost/http-client';
import type { PeerTransport } from '@archpost/peer-transport';
import type { StateServiceClient } from '@archpost/state-client';
import type { WorkerClient } from '@archpost/worker-client';
import { type Inbox, PROCESS_PAUSE_MS } from './inbox.js';
import type { ServiceLog } from './service-log.js';

/** The clients, servers and log through which effects are executed. */
export interface EffectTargets {
  api: HttpApi;
  stateService: StateServiceClient;
  workers: WorkerClient;
  cloud: CloudClient;
  peers: PeerTransport;
  log: ServiceLog;
}

/** The dependencies of an effect executor. */
export interface EffectExecutorOptions {
  controller: Controller;
  inbox: Inbox;
  targets: EffectTargets;
  /** this controller's name, which identifies the sender in messages to peers */
  nodeName: string;
}

/** Executes the controller's effects in the order in which they were emitted. */
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
   * Executes all effects emitted since the last call.
   *
   * Effects on machines and the cloud that were emitted before a pause of the process are withheld after it, because another
   * controller may have made a different decision during the pause. Other effects are harmless when late: the client of a
   * late response has given up, and a late write fails on its conditions.
   *
   * @param wasPaused whether all effects were emitted before a pause
   */
  executeAll(wasPaused = false): void {
    const decidedAt = this.inbox.lastClockReading;
    for (const effect of this.controller.takeEffects()) {
      const isOutdated = wasPaused || monotonicMs() - decidedAt > PROCESS_PAUSE_MS;
      if (isOutdated && this.withhold(effect)) continue;
      this.execute(effect);
    }
  }

  /** Withholds an effect on machines or the cloud, and enqueues its outcome. Returns false for any other effect. */
  private withhold(effect: Effect): boolean {
    const { controller, inbox } = this;
    switch (effect.type) {
      case 'command':
        inbox.enqueueControlEvent(() => controller.receiveCommandOutcome(effect.id, { kind: 'withheld' }, monotonicMs()));
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
    const { controller } = this;
    const { api, stateService, workers, cloud, peers, log } = this.targets;
    switch (effect.type) {
      case 'respond':
        return api.respond(effect.id, effect.status, effect.body, effect.retryAfterS);
      case 'readBarrier':
        return stateService.requestReadBarrier(effect.urgent);
      case 'compareAndSwap':
        return this.enqueueOutcome(stateService.compareAndSwap(effect.conditions, effect.writes), (outcome, now) =>
          controller.receiveCompareAndSwapOutcome(effect.id, outcome, now),
        );
      case 'command':
        return this.enqueueOutcome(workers.sendCommands(effect), (outcome, now) =>
          controller.receiveCommandOutcome(effect.id, outcome, now),
        );
      case 'probe':
        return this.enqueueOutcome(workers.probe(effect.address), (isAnswered, now) =>
          controller.receiveProbeOutcome(effect.id, isAnswered, now),
        );
      case 'provision':
        return this.enqueueOutcome(cloud.provision(effect.request), (outcome, now) =>
          controller.receiveProvisioningOutcome(effect.id, outcome, now),
        );
      case 'release':
        return this.enqueueOutcome(cloud.releaseMachines(effect.machines), (isReleased, now) =>
          controller.receiveReleaseOutcome(effect.id, isReleased, now),
        );
      case 'listMachines':
        return this.enqueueOutcome(cloud.listMachines(), (machines, now) => controller.receiveMachineList(machines, now));
      case 'fetchMachineTypes':
        return this.enqueueOutcome(cloud.fetchMachineTypes(), (types, now) => controller.receiveMachineTypes(types, now));
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

  /** Enqueues the outcome of a call as a control event. `receive` gets the time at which the event is processed. */
  private enqueueOutcome<Outcome>(pending: Promise<Outcome>, receive: (outcome: Outcome, now: number) => void): void {
    void pending.then((outcome) => this.inbox.enqueueControlEvent(() => receive(outcome, monotonicMs())));
  }
}
