import { randomUUID } from 'node:crypto';
import { Cloud } from '@archpost/cloud-client';
import { Controller, type Effect } from '@archpost/controller';
import { type ApiRequest, ConnectionLimiter, HttpApi, LoadShedder } from '@archpost/http-api';
import { monotonicMs, parseAddress } from '@archpost/http-client';
import { Peers } from '@archpost/peer-transport';
import { StateStore } from '@archpost/state-client';
import { Workers } from '@archpost/worker-client';
import type { Logger } from 'pino';
import { interval, throttleTime, timer } from 'rxjs';
import { Inbox, PROCESS_PAUSE_MS } from './inbox.js';
import type { Settings } from './settings/load-settings.js';
import { maxCommandSockets, maxInboundSockets } from './sizing.js';

const TICK_INTERVAL_MS = 100;

/**
 * Submissions and cancellations taken a second, by a whole core, though reports wait: each costs a few milliseconds, so
 * this is a tenth of the processor.
 */
const MUTATIONS_PER_S_AND_CORE = 30;

/** An answer that can't be read is asked for again at once: it is told of this often. */
const UNREADABLE_LOG_INTERVAL_MS = 10_000;

/** Wires the core to its edges: inputs in, effects out. */
export class Service {
  private readonly controller: Controller;
  private readonly stateStore: StateStore;
  private readonly cloud: Cloud;
  private readonly workers: Workers;
  private readonly peers: Peers;
  private readonly api: HttpApi;
  private readonly inbox: Inbox;
  private readonly loadShedder: LoadShedder;

  constructor(
    private readonly settings: Settings,
    private readonly log: Logger,
  ) {
    const controllerSettings = settings.controller;
    const controllerCount = controllerSettings.controllers.length;
    this.loadShedder = new LoadShedder(monotonicMs, MUTATIONS_PER_S_AND_CORE * controllerSettings.cpuShare);
    this.controller = new Controller(controllerSettings, randomUUID().slice(0, 8));
    this.inbox = new Inbox({
      clock: monotonicMs,
      onTurnEnd: () => this.executeEffects(),
      maxClientRequestAgeMs: 1500,
      onProcessPause: (ms) => {
        this.executeEffects(true);
        this.controller.processPaused(ms, monotonicMs());
      },
      onError: (error) => this.log.error({ err: error }, 'an input could not be taken'),
    });
    // Half of the time a cancellation has: rides out outages, leaves time to take over.
    const ttlMs = Math.round(Math.min(600, Math.max(1, controllerSettings.workers.cancelS / 2)) * 1000);
    this.stateStore = new StateStore(
      settings.state,
      'a/',
      (Math.min(
        controllerSettings.state.requestsPerS,
        controllerSettings.state.next?.requestsPerS ?? controllerSettings.state.requestsPerS,
      ) *
        0.9) /
        controllerCount,
      ttlMs,
      0.002,
    );
    this.cloud = new Cloud(settings.cloud, controllerSettings.cloud.requestsPerS * Math.max(0.5, 0.9 / controllerCount));
    // All workers may come to one controller, with a connection each: those for commands, of which
    // the longest unused are closed, must leave room for that, and for users.
    this.workers = new Workers(maxCommandSockets(settings));
    this.peers = new Peers(settings.peers);
    this.api = new HttpApi(
      (request) => this.receiveRequest(request),
      () => this.controller.isReady,
      this.loadShedder,
      (from) => this.log.warn({ from }, 'a report can not be read'),
      new ConnectionLimiter(maxInboundSockets(settings)),
    );
  }

  async start(): Promise<void> {
    const { controller, inbox } = this;
    this.stateStore.loaded$.subscribe((snapshot) =>
      inbox.enqueueControlEvent(() => controller.receiveSnapshot(snapshot.rows, snapshot.revision, monotonicMs())),
    );
    this.stateStore.changes$.subscribe((event) =>
      inbox.enqueueControlEvent(() => controller.receiveChanges(event.changes, event.revision, event.asOf, monotonicMs())),
    );
    this.stateStore.lease$.subscribe((lease) =>
      inbox.enqueueControlEvent(() => controller.receiveLeaseState(lease.permit, lease.validUntil, monotonicMs())),
    );
    this.peers.message$.subscribe((message) => {
      const { heartbeat, status } = message;
      if (heartbeat) inbox.enqueueHeartbeat(() => controller.receiveForwardedHeartbeat(heartbeat, monotonicMs()));
      if (status) inbox.enqueueControlEvent(() => controller.receivePeerStatus(status, monotonicMs()));
    });
    this.peers.unreadable$.subscribe((problem) => this.log.warn(problem, 'a peer message can not be read'));
    this.peers.unsent$.subscribe((problem) => this.log.error(problem, 'a peer message can not be sent'));
    const throttled = throttleTime<string>(UNREADABLE_LOG_INTERVAL_MS);
    this.cloud.unreadable$.pipe(throttled).subscribe((what) => this.log.error({ what }, "the cloud's answer can not be read"));
    this.stateStore.unreadable$
      .pipe(throttled)
      .subscribe((what) => this.log.error({ what }, "the state service's answer can not be read"));
    this.peers.down$.subscribe((peer) => inbox.enqueueControlEvent(() => controller.peerDisconnected(peer, monotonicMs())));
    this.stateStore.start();
    const peerAddress = parseAddress(this.settings.peerListen);
    await this.peers.listen(peerAddress.host, peerAddress.port);
    this.peers.start();
    const publicAddress = parseAddress(this.settings.publicAddr);
    await this.api.listen(publicAddress.host, publicAddress.port);
    this.scheduleTick(TICK_INTERVAL_MS);
    // What each controller refused, and what its processor time and memory go to, is worth seeing at any size.
    interval(10_000).subscribe(() => {
      const rejected = this.loadShedder.takeRejectedCounts();
      if (rejected.statusQueries + rejected.mutations > 0)
        this.log.info({ questions: rejected.statusQueries, requests: rejected.mutations }, 'users refused');
      const connections = this.api.connections.takeRejectedCount();
      if (connections > 0) this.log.warn({ connections }, 'connections refused');
      const cpu = process.cpuUsage();
      const { rss, heapUsed } = process.memoryUsage();
      const toMegabytes = (count: number) => Math.round(count / 1048576);
      this.log.debug(
        {
          cpuS: (cpu.user + cpu.system) / 1e6,
          rssMb: toMegabytes(rss),
          heapMb: toMegabytes(heapUsed),
          ...this.inbox.takeProcessedCounts(),
        },
        'process',
      );
    });
    this.log.info({ node: this.settings.controller.name, addr: this.settings.publicAddr }, 'started');
  }

  /** One tick after the other: one that took long is followed by as long a time for everything else. */
  private scheduleTick(delayMs: number): void {
    const { controller, inbox } = this;
    const dueAt = monotonicMs() + delayMs;
    timer(delayMs).subscribe(() => {
      this.loadShedder.recordTimerDelay(Math.max(monotonicMs() - dueAt, inbox.queueDelayMs));
      inbox.enqueueControlEvent(() => {
        const startedAt = monotonicMs();
        try {
          controller.tick(startedAt, Date.now());
        } finally {
          const tookMs = monotonicMs() - startedAt;
          this.scheduleTick(Math.max(TICK_INTERVAL_MS - tookMs, tookMs));
        }
      });
    });
  }

  private receiveRequest(request: ApiRequest): void {
    const { controller, inbox } = this;
    if (request.kind === 'heartbeat') {
      inbox.enqueueHeartbeat(() => controller.receiveHeartbeat(request.id, request.heartbeat, monotonicMs()));
      return;
    }
    const reject = () => this.api.respond(request.id, 503, { error: 'overloaded' }, 1);
    if (request.kind === 'statusQuery') {
      inbox.enqueueStatusQuery(() => controller.queryJobStatus(request.id, request.job, monotonicMs()), reject);
      return;
    }
    inbox.enqueueMutation(() => {
      if (request.kind === 'submit') controller.submitJob(request.id, request.body, monotonicMs(), Date.now());
      else controller.cancelJob(request.id, request.job, monotonicMs());
    }, reject);
  }

  private executeEffects(beforePause = false): void {
    // What was decided before a pause is not told to machines or the cloud after it: another
    // controller may have decided since. Answers and writes go out: a late answer finds nobody,
    // and a late write fails on its guards.
    const decidedAt = this.inbox.lastClockReading;
    for (const effect of this.controller.takeEffects()) {
      if ((beforePause || monotonicMs() - decidedAt > PROCESS_PAUSE_MS) && this.withholdAfterPause(effect)) continue;
      this.execute(effect);
    }
  }

  /** Is it kept back? Then the core learns that it never left. */
  private withholdAfterPause(effect: Effect): boolean {
    const { controller, inbox } = this;
    if (effect.type === 'command')
      inbox.enqueueControlEvent(() => controller.receiveCommandOutcome(effect.id, { kind: 'refused' }, monotonicMs()));
    else if (effect.type === 'release')
      inbox.enqueueControlEvent(() => controller.receiveReleaseOutcome(effect.id, false, monotonicMs()));
    else if (effect.type === 'provision')
      inbox.enqueueControlEvent(() => controller.receiveProvisioningOutcome(effect.id, { kind: 'unknown' }, monotonicMs()));
    else return false;
    return true;
  }

  private execute(effect: Effect): void {
    const { controller, inbox } = this;
    const enqueueOutcome = (run: () => void) => inbox.enqueueControlEvent(run);
    switch (effect.type) {
      case 'respond':
        this.api.respond(effect.id, effect.status, effect.body, effect.retryAfterS);
        break;
      case 'readBarrier':
        this.stateStore.barrier(effect.urgent);
        break;
      case 'compareAndSwap':
        void this.stateStore
          .txn(effect.conditions, effect.writes)
          .then((outcome) => enqueueOutcome(() => controller.receiveCompareAndSwapOutcome(effect.id, outcome, monotonicMs())));
        break;
      case 'command':
        void this.workers
          .command(effect.address, effect.fencingToken, effect.agentEpoch, effect.commands)
          .then((outcome) => enqueueOutcome(() => controller.receiveCommandOutcome(effect.id, outcome, monotonicMs())));
        break;
      case 'probe':
        void this.workers
          .ask(effect.address)
          .then((isAnswered) => enqueueOutcome(() => controller.receiveProbeOutcome(effect.id, isAnswered, monotonicMs())));
        break;
      case 'provision':
        void this.cloud
          .rent(effect.request)
          .then((outcome) => enqueueOutcome(() => controller.receiveProvisioningOutcome(effect.id, outcome, monotonicMs())));
        break;
      case 'release':
        void this.cloud
          .giveBack(effect.machines)
          .then((isReleased) => enqueueOutcome(() => controller.receiveReleaseOutcome(effect.id, isReleased, monotonicMs())));
        break;
      case 'listMachines':
        void this.cloud.list().then((machines) => enqueueOutcome(() => controller.receiveMachineList(machines, monotonicMs())));
        break;
      case 'fetchMachineTypes':
        void this.cloud.types().then((types) => enqueueOutcome(() => controller.receiveMachineTypes(types, monotonicMs())));
        break;
      case 'sendStatus':
        this.peers.send({ node: this.settings.controller.name, status: effect.status, heartbeat: null }, effect.to);
        break;
      case 'forwardHeartbeat':
        this.peers.send({ node: this.settings.controller.name, status: null, heartbeat: effect.heartbeat }, effect.to);
        break;
      case 'log':
        this.log[effect.level](effect.fields ?? {}, effect.message);
        break;
    }
  }
}
