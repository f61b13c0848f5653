/** Assembles a controller: its state machine, the clients and servers around it, and the components that connect them. */
import { randomUUID } from 'node:crypto';
import { CloudClient } from '@archpost/cloud-client';
import { Controller } from '@archpost/controller';
import { ConnectionLimiter, HttpApi, LoadShedder } from '@archpost/http-api';
import { monotonicMs, parseAddress } from '@archpost/http-client';
import { type LinkProblem, PeerTransport } from '@archpost/peer-transport';
import { StateServiceClient } from '@archpost/state-client';
import { WorkerClient } from '@archpost/worker-client';
import { Subscription } from 'rxjs';
import { EffectExecutor } from './effect-executor.js';
import { Inbox } from './inbox.js';
import { InputRouter } from './input-router.js';
import { LagMeter } from './lag-meter.js';
import { MetricsReporter } from './metrics-reporter.js';
import { RateLimitedReport } from './rate-limited-report.js';
import { cloudRequestsPerS, stateLeaseMs, stateRequestsPerS } from './request-limits.js';
import type { MalformedHeartbeat, ServiceLog } from './service-log.js';
import type { Settings } from './settings/load-settings.js';
import { maxCommandSockets, maxInboundSockets } from './sizing.js';
import { TickTimer } from './tick-timer.js';

/**
 * Submissions and cancellations that are admitted per second and core under overload. Each takes a few milliseconds, so
 * they take a tenth of the core's CPU time.
 */
const MUTATIONS_PER_S_PER_CORE = 30;

/** Older requests are rejected: users' timeout is 2 s for a status query and 5 s for any other request. */
const MAX_CLIENT_REQUEST_AGE_MS = 1500;

/** The prefix of all stored keys. */
const STATE_KEY_PREFIX = 'a/';

/** Allowance for the drift of the monotonic clock during a lease. The platform's clocks drift by a fraction of up to 0.0005. */
const CLOCK_DRIFT_FRACTION = 0.002;

const INCARNATION_LENGTH = 8;

/** Owns all components of a running controller. */
export class Service {
  private readonly controller: Controller;
  private readonly inbox: Inbox;
  private readonly loadShedder: LoadShedder;
  private readonly stateService: StateServiceClient;
  private readonly cloud: CloudClient;
  private readonly workers: WorkerClient;
  private readonly peers: PeerTransport;
  private readonly api: HttpApi;
  private readonly inputRouter: InputRouter;
  private readonly effectExecutor: EffectExecutor;
  private readonly tickTimer: TickTimer;
  private readonly lagMeter: LagMeter;
  private readonly metricsReporter: MetricsReporter;
  private readonly logSubscriptions = new Subscription();

  constructor(
    private readonly settings: Settings,
    private readonly log: ServiceLog,
  ) {
    const { controller: controllerSettings } = settings;
    this.controller = new Controller(controllerSettings, randomUUID().slice(0, INCARNATION_LENGTH));
    this.inbox = this.createInbox();
    this.loadShedder = new LoadShedder(monotonicMs, MUTATIONS_PER_S_PER_CORE * controllerSettings.cpuShare);
    this.stateService = new StateServiceClient({
      address: settings.stateAddress,
      keyPrefix: STATE_KEY_PREFIX,
      requestsPerS: stateRequestsPerS(controllerSettings),
      leaseMs: stateLeaseMs(controllerSettings),
      clockDrift: CLOCK_DRIFT_FRACTION,
    });
    this.cloud = new CloudClient(settings.cloudAddress, cloudRequestsPerS(controllerSettings));
    // All workers may connect to one controller, with one connection each. The connections for commands must leave enough
    // sockets for these connections and for users, so the least recently used ones are closed.
    this.workers = new WorkerClient(maxCommandSockets(settings));
    this.peers = new PeerTransport(settings.peers);
    this.api = this.createApi();
    this.inputRouter = new InputRouter(this.controller, this.inbox, this.api);
    this.effectExecutor = this.createEffectExecutor();
    const { controller, inbox, loadShedder } = this;
    const { connections } = this.api;
    this.tickTimer = new TickTimer(controller, inbox, loadShedder);
    this.lagMeter = new LagMeter({ controller, inbox, connections });
    this.metricsReporter = new MetricsReporter({ inbox, loadShedder, connections, log });
  }

  /** Starts the service. Resolves once peers, users and workers can connect. Rejects if it can't listen on an address. */
  async start(): Promise<void> {
    const { settings } = this;
    this.inputRouter.subscribe(this.stateService, this.peers);
    this.subscribeLog();
    this.stateService.start();
    const peerAddress = parseAddress(settings.peerAddress);
    await this.peers.listen(peerAddress.host, peerAddress.port);
    this.peers.start();
    const publicAddress = parseAddress(settings.publicAddress);
    await this.api.listen(publicAddress.host, publicAddress.port);
    this.tickTimer.start();
    this.lagMeter.start();
    this.metricsReporter.start();
    this.log.started(settings.controller.name, settings.publicAddress);
  }

  /** Stops all timers, ends all subscriptions and closes all connections. */
  close(): void {
    this.tickTimer.close();
    this.lagMeter.close();
    this.metricsReporter.close();
    this.inputRouter.close();
    this.logSubscriptions.unsubscribe();
    this.inbox.close();
    this.api.close();
    this.peers.close();
    this.workers.close();
    this.cloud.close();
    this.stateService.close();
  }

  private createInbox(): Inbox {
    return new Inbox({
      clock: monotonicMs,
      onTurnEnd: () => this.effectExecutor.executeAll(),
      maxClientRequestAgeMs: MAX_CLIENT_REQUEST_AGE_MS,
      onProcessPause: (ms) => {
        this.effectExecutor.executeAll(true);
        this.controller.processPaused(ms, monotonicMs());
      },
      onError: (error) => this.log.inputFailed(error),
    });
  }

  private createApi(): HttpApi {
    const malformedHeartbeats = new RateLimitedReport<MalformedHeartbeat>(monotonicMs, (problem, count) =>
      this.log.heartbeatMalformed(problem, count),
    );
    return new HttpApi({
      onRequest: (request) => this.inputRouter.receiveRequest(request),
      isReady: () => this.controller.isReady,
      loadShedder: this.loadShedder,
      onMalformedHeartbeat: (from, fault) => malformedHeartbeats.record({ from, fault }),
      connections: new ConnectionLimiter(maxInboundSockets(this.settings)),
    });
  }

  private createEffectExecutor(): EffectExecutor {
    const { api, stateService, workers, cloud, peers, log, settings } = this;
    const targets = { api, stateService, workers, cloud, peers, log };
    return new EffectExecutor({ controller: this.controller, inbox: this.inbox, targets, nodeName: settings.controller.name });
  }

  private subscribeLog(): void {
    const { log, logSubscriptions, peers, cloud, stateService } = this;
    const unreadableMessages = new RateLimitedReport<LinkProblem>(monotonicMs, (problem, count) =>
      log.peerMessageUnreadable(problem, count),
    );
    const unreadableCloud = new RateLimitedReport<string>(monotonicMs, (what, count) => log.cloudResponseUnreadable(what, count));
    const unreadableState = new RateLimitedReport<string>(monotonicMs, (what, count) => log.stateResponseUnreadable(what, count));
    logSubscriptions.add(peers.unreadable$.subscribe((problem) => unreadableMessages.record(problem)));
    logSubscriptions.add(peers.unsent$.subscribe((problem) => log.peerMessageNotSent(problem)));
    logSubscriptions.add(cloud.unreadable$.subscribe((what) => unreadableCloud.record(what)));
    logSubscriptions.add(stateService.unreadable$.subscribe((what) => unreadableState.record(what)));
  }
}
