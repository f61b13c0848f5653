import { randomUUID } from 'node:crypto';
import { Cloud } from '@archpost/cloud-client';
import { Controller, type Effect } from '@archpost/controller';
import { Api, Connections, type Request, Shedding } from '@archpost/http-api';
import { splitAddr, steady } from '@archpost/http-client';
import { Peers } from '@archpost/peer-transport';
import { StateStore } from '@archpost/state-client';
import { Workers } from '@archpost/worker-client';
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
  private readonly store: StateStore;
  private readonly cloud: Cloud;
  private readonly workers: Workers;
  private readonly peers: Peers;
  private readonly api: Api;
  private readonly inbox: Inbox;
  private readonly shedding: Shedding;

  constructor(
    private readonly settings: Settings,
    private readonly log: Logger,
  ) {
    const c = settings.core;
    const nodes = c.controllers.length;
    this.shedding = new Shedding(steady, REQUESTS_PER_S_OF_CORE * c.cpuShare);
    this.core = new Controller(c, randomUUID().slice(0, 8));
    this.inbox = new Inbox({
      clock: steady,
      afterEach: () => this.carryOut(),
      staleMs: 1500,
      paused: (ms) => {
        this.carryOut(true);
        this.core.processPaused(ms, steady());
      },
      failed: (err) => this.log.error({ err }, 'an input could not be taken'),
    });
    // Half of the time a cancellation has: rides out outages, leaves time to take over.
    const ttlMs = Math.round(Math.min(600, Math.max(1, c.workers.cancelS / 2)) * 1000);
    this.store = new StateStore(
      settings.state,
      'a/',
      (Math.min(c.state.requestsPerS, c.state.next?.requestsPerS ?? c.state.requestsPerS) * 0.9) / nodes,
      ttlMs,
      0.002,
    );
    this.cloud = new Cloud(settings.cloud, c.cloud.requestsPerS * Math.max(0.5, 0.9 / nodes));
    // All workers may come to one controller, with a connection each: those for commands, of which
    // the longest unused are closed, must leave room for that, and for users.
    this.workers = new Workers(commandSockets(settings));
    this.peers = new Peers(settings.others);
    this.api = new Api(
      (r) => this.request(r),
      () => this.core.isReady,
      this.shedding,
      (from) => this.log.warn({ from }, 'a report can not be read'),
      new Connections(inboundSockets(settings)),
    );
  }

  async start(): Promise<void> {
    const { core, inbox } = this;
    this.store.loaded$.subscribe((e) => inbox.decision(() => core.receiveSnapshot(e.rows, e.revision, steady())));
    this.store.changes$.subscribe((e) => inbox.decision(() => core.receiveChanges(e.changes, e.revision, e.asOf, steady())));
    this.store.lease$.subscribe((e) => inbox.decision(() => core.receiveLeaseState(e.permit, e.validUntil, steady())));
    this.peers.message$.subscribe((m) => {
      const { heartbeat: report, status } = m;
      if (report) inbox.report(() => core.receiveForwardedHeartbeat(report, steady()));
      if (status) inbox.decision(() => core.receivePeerStatus(status, steady()));
    });
    this.peers.unreadable$.subscribe((problem) => this.log.warn(problem, 'a peer message can not be read'));
    this.peers.unsent$.subscribe((problem) => this.log.error(problem, 'a peer message can not be sent'));
    const told = throttleTime<string>(UNREADABLE_MS);
    this.cloud.unreadable$.pipe(told).subscribe((what) => this.log.error({ what }, "the cloud's answer can not be read"));
    this.store.unreadable$.pipe(told).subscribe((what) => this.log.error({ what }, "the state service's answer can not be read"));
    this.peers.down$.subscribe((n) => inbox.decision(() => core.peerDisconnected(n, steady())));
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
      const mb = (n: number) => Math.round(n / 1048576);
      this.log.debug(
        { cpuS: (cpu.user + cpu.system) / 1e6, rssMb: mb(rss), heapMb: mb(heapUsed), ...this.inbox.counts() },
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

  private request(r: Request): void {
    const { core, inbox } = this;
    if (r.kind === 'report') {
      inbox.report(() => core.receiveHeartbeat(r.id, r.report, steady()));
      return;
    }
    const refuse = () => this.api.answer(r.id, 503, { error: 'overloaded' }, 1);
    if (r.kind === 'poll') {
      inbox.question(() => core.queryJobStatus(r.id, r.job, steady()), refuse);
      return;
    }
    inbox.request(() => {
      if (r.kind === 'submit') core.submitJob(r.id, r.body, steady(), Date.now());
      else core.cancelJob(r.id, r.job, steady());
    }, refuse);
  }

  private carryOut(beforePause = false): void {
    // What was decided before a pause is not told to machines or the cloud after it: another
    // controller may have decided since. Answers and writes go out: a late answer finds nobody,
    // and a late write fails on its guards.
    const decided = this.inbox.last;
    for (const e of this.core.takeEffects()) {
      if ((beforePause || steady() - decided > PAUSE_MS) && this.unsent(e)) continue;
      this.effect(e);
    }
  }

  /** Is it kept back? Then the core learns that it never left. */
  private unsent(e: Effect): boolean {
    const { core, inbox } = this;
    if (e.type === 'command') inbox.decision(() => core.receiveCommandOutcome(e.id, { kind: 'refused' }, steady()));
    else if (e.type === 'release') inbox.decision(() => core.receiveReleaseOutcome(e.id, false, steady()));
    else if (e.type === 'provision') inbox.decision(() => core.receiveProvisioningOutcome(e.id, { kind: 'unknown' }, steady()));
    else return false;
    return true;
  }

  private effect(e: Effect): void {
    const { core, inbox } = this;
    const back = (run: () => void) => inbox.decision(run);
    switch (e.type) {
      case 'respond':
        this.api.answer(e.id, e.status, e.body, e.retryAfterS);
        break;
      case 'readBarrier':
        this.store.barrier(e.urgent);
        break;
      case 'compareAndSwap':
        void this.store.txn(e.conditions, e.writes).then((r) => back(() => core.receiveCompareAndSwapOutcome(e.id, r, steady())));
        break;
      case 'command':
        void this.workers
          .command(e.address, e.fencingToken, e.agentEpoch, e.commands)
          .then((r) => back(() => core.receiveCommandOutcome(e.id, r, steady())));
        break;
      case 'probe':
        void this.workers.ask(e.address).then((ok) => back(() => core.receiveProbeOutcome(e.id, ok, steady())));
        break;
      case 'provision':
        void this.cloud.rent(e.request).then((r) => back(() => core.receiveProvisioningOutcome(e.id, r, steady())));
        break;
      case 'release':
        void this.cloud.giveBack(e.machines).then((ok) => back(() => core.receiveReleaseOutcome(e.id, ok, steady())));
        break;
      case 'listMachines':
        void this.cloud.list().then((l) => back(() => core.receiveMachineList(l, steady())));
        break;
      case 'fetchMachineTypes':
        void this.cloud.types().then((l) => back(() => core.receiveMachineTypes(l, steady())));
        break;
      case 'sendStatus':
        this.peers.send({ node: this.settings.core.name, status: e.status, heartbeat: null }, e.to);
        break;
      case 'forwardHeartbeat':
        this.peers.send({ node: this.settings.core.name, status: null, heartbeat: e.heartbeat }, e.to);
        break;
      case 'log':
        this.log[e.level](e.fields ?? {}, e.message);
        break;
    }
  }
}
