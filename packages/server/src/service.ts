import { randomUUID } from 'node:crypto';
import { CloudClient } from '@archpost/cloud-client';
import { Controller, type Effect } from '@archpost/controller';
import { Api, Connections, type Request, Shedding } from '@archpost/http-api';
import { splitAddr, steady } from '@archpost/http-client';
import { PeerTransport } from '@archpost/peer-transport';
import { StateServiceClient } from '@archpost/state-client';
import { WorkerClient } from '@archpost/worker-client';
import type { Logger } from 'pino';
import { interval, throttleTime, timer } from 'rxjs';
import { commandSockets, inboundSockets } from './capacity.js';
import { Inbox, PAUSE_MS } from './inbox.js';
import type { Settings } from './settings.js';

const TICK_MS = 100;

/**
 * Submissions and cancellations taken a second, by a whole core, though reports wait: each costs a few milliseconds, so
 * this is a tenth of the processor.
 */
const REQUESTS_PER_S_OF_CORE = 30;

/** An answer that can't be read is asked for again at once: it is told of this often. */
const UNREADABLE_MS = 10_000;

/** Wires the core to its edges: inputs in, effects out. */
export class Service {
  private readonly core: Controller;
  private readonly store: StateServiceClient;
  private readonly cloud: CloudClient;
  private readonly workers: WorkerClient;
  private readonly peers: PeerTransport;
  private readonly api: Api;
  private readonly inbox: Inbox;
  private readonly shedding: Shedding;

  constructor(
    private readonly settings: Settings,
    private readonly log: Logger,
  ) {
    const controllerSettings = settings.core;
    const controllerCount = controllerSettings.controllers.length;
    this.shedding = new Shedding(steady, REQUESTS_PER_S_OF_CORE * controllerSettings.cpuShare);
    this.core = new Controller(controllerSettings, randomUUID().slice(0, 8));
    this.inbox = new Inbox({
      clock: steady,
      afterEach: () => this.carryOut(),
      staleMs: 1500,
      paused: (ms) => {
        this.carryOut(true);
        this.core.processPaused(ms, steady());
      },
      failed: (error) => this.log.error({ err: error }, 'an input could not be taken'),
    });
    // Half of the time a cancellation has: rides out outages, leaves time to take over.
    const ttlMs = Math.round(Math.min(600, Math.max(1, controllerSettings.workers.cancelS / 2)) * 1000);
    this.store = new StateServiceClient(
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
    this.cloud = new CloudClient(settings.cloud, controllerSettings.cloud.requestsPerS * Math.max(0.5, 0.9 / controllerCount));
    // All workers may come to one controller, with a connection each: those for commands, of which
    // the longest unused are closed, must leave room for that, and for users.
    this.workers = new WorkerClient(commandSockets(settings));
    this.peers = new PeerTransport(settings.others);
    this.api = new Api(
      (request) => this.request(request),
      () => this.core.isReady,
      this.shedding,
      (from) => this.log.warn({ from }, 'a report can not be read'),
      new Connections(inboundSockets(settings)),
    );
  }

  async start(): Promise<void> {
    const { core, inbox } = this;
    this.store.snapshot$.subscribe((snapshot) =>
      inbox.decision(() => core.receiveSnapshot(snapshot.rows, snapshot.revision, steady())),
    );
    this.store.changes$.subscribe((event) =>
      inbox.decision(() => core.receiveChanges(event.changes, event.revision, event.asOf, steady())),
    );
    this.store.lease$.subscribe((lease) =>
      inbox.decision(() => core.receiveLeaseState(lease.leaseId, lease.validUntil, steady())),
    );
    this.peers.message$.subscribe((message) => {
      const { heartbeat, status } = message;
      if (heartbeat) inbox.report(() => core.receiveForwardedHeartbeat(heartbeat, steady()));
      if (status) inbox.decision(() => core.receivePeerStatus(status, steady()));
    });
    this.peers.unreadable$.subscribe((problem) => this.log.warn(problem, 'a peer message can not be read'));
    this.peers.unsent$.subscribe((problem) => this.log.error(problem, 'a peer message can not be sent'));
    const told = throttleTime<string>(UNREADABLE_MS);
    this.cloud.unreadable$.pipe(told).subscribe((what) => this.log.error({ what }, "the cloud's answer can not be read"));
    this.store.unreadable$.pipe(told).subscribe((what) => this.log.error({ what }, "the state service's answer can not be read"));
    this.peers.disconnected$.subscribe((controller) => inbox.decision(() => core.peerDisconnected(controller, steady())));
    this.store.start();
    const peer = splitAddr(this.settings.peerListen);
    await this.peers.listen(peer.host, peer.port);
    this.peers.start();
    const pub = splitAddr(this.settings.publicAddr);
    await this.api.listen(pub.host, pub.port);
    this.tickIn(TICK_MS);
    // What each controller refused, and what its processor time and memory go to, is worth seeing at any size.
    interval(10_000).subscribe(() => {
      const refused = this.shedding.refused();
      if (refused.questions + refused.requests > 0) this.log.info(refused, 'users refused');
      const connections = this.api.connections.takeDropped();
      if (connections > 0) this.log.warn({ connections }, 'connections refused');
      const cpu = process.cpuUsage();
      const { rss, heapUsed } = process.memoryUsage();
      const toMegabytes = (count: number) => Math.round(count / 1048576);
      this.log.debug(
        { cpuS: (cpu.user + cpu.system) / 1e6, rssMb: toMegabytes(rss), heapMb: toMegabytes(heapUsed), ...this.inbox.counts() },
        'process',
      );
    });
    this.log.info({ node: this.settings.core.name, addr: this.settings.publicAddr }, 'started');
  }

  /** One tick after the other: one that took long is followed by as long a time for everything else. */
  private tickIn(delayMs: number): void {
    const { core, inbox } = this;
    const due = steady() + delayMs;
    timer(delayMs).subscribe(() => {
      this.shedding.late(Math.max(steady() - due, inbox.waitedMs));
      inbox.decision(() => {
        const startedAt = steady();
        try {
          core.tick(startedAt, Date.now());
        } finally {
          const tookMs = steady() - startedAt;
          this.tickIn(Math.max(TICK_MS - tookMs, tookMs));
        }
      });
    });
  }

  private request(request: Request): void {
    const { core, inbox } = this;
    if (request.kind === 'report') {
      inbox.report(() => core.receiveHeartbeat(request.id, request.report, steady()));
      return;
    }
    const refuse = () => this.api.answer(request.id, 503, { error: 'overloaded' }, 1);
    if (request.kind === 'poll') {
      inbox.question(() => core.queryJobStatus(request.id, request.job, steady()), refuse);
      return;
    }
    inbox.request(() => {
      if (request.kind === 'submit') core.submitJob(request.id, request.body, steady(), Date.now());
      else core.cancelJob(request.id, request.job, steady());
    }, refuse);
  }

  private carryOut(beforePause = false): void {
    // What was decided before a pause is not told to machines or the cloud after it: another
    // controller may have decided since. Answers and writes go out: a late answer finds nobody,
    // and a late write fails on its guards.
    const decided = this.inbox.last;
    for (const effect of this.core.takeEffects()) {
      if ((beforePause || steady() - decided > PAUSE_MS) && this.unsent(effect)) continue;
      this.effect(effect);
    }
  }

  /** Is it kept back? Then the core learns that it never left. */
  private unsent(effect: Effect): boolean {
    const { core, inbox } = this;
    if (effect.type === 'command') inbox.decision(() => core.receiveCommandOutcome(effect.id, { kind: 'refused' }, steady()));
    else if (effect.type === 'release') inbox.decision(() => core.receiveReleaseOutcome(effect.id, false, steady()));
    else if (effect.type === 'provision')
      inbox.decision(() => core.receiveProvisioningOutcome(effect.id, { kind: 'unknown' }, steady()));
    else return false;
    return true;
  }

  private effect(effect: Effect): void {
    const { core, inbox } = this;
    const back = (run: () => void) => inbox.decision(run);
    switch (effect.type) {
      case 'respond':
        this.api.answer(effect.id, effect.status, effect.body, effect.retryAfterS);
        break;
      case 'readBarrier':
        this.store.readBarrier(effect.urgent);
        break;
      case 'compareAndSwap':
        void this.store
          .compareAndSwap(effect.conditions, effect.writes)
          .then((outcome) => back(() => core.receiveCompareAndSwapOutcome(effect.id, outcome, steady())));
        break;
      case 'command':
        void this.workers
          .sendCommands(effect.address, effect.fencingToken, effect.agentEpoch, effect.commands)
          .then((outcome) => back(() => core.receiveCommandOutcome(effect.id, outcome, steady())));
        break;
      case 'probe':
        void this.workers
          .probe(effect.address)
          .then((isAnswered) => back(() => core.receiveProbeOutcome(effect.id, isAnswered, steady())));
        break;
      case 'provision':
        void this.cloud
          .provision(effect.request)
          .then((outcome) => back(() => core.receiveProvisioningOutcome(effect.id, outcome, steady())));
        break;
      case 'release':
        void this.cloud
          .releaseMachines(effect.machines)
          .then((isReleased) => back(() => core.receiveReleaseOutcome(effect.id, isReleased, steady())));
        break;
      case 'listMachines':
        void this.cloud.listMachines().then((machines) => back(() => core.receiveMachineList(machines, steady())));
        break;
      case 'fetchMachineTypes':
        void this.cloud.fetchMachineTypes().then((types) => back(() => core.receiveMachineTypes(types, steady())));
        break;
      case 'sendStatus':
        this.peers.send({ node: this.settings.core.name, status: effect.status, heartbeat: null }, effect.to);
        break;
      case 'forwardHeartbeat':
        this.peers.send({ node: this.settings.core.name, status: null, heartbeat: effect.heartbeat }, effect.to);
        break;
      case 'log':
        this.log[effect.level](effect.fields ?? {}, effect.message);
        break;
    }
  }
}
