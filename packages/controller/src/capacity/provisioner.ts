/**
 * Sends provisioning requests to the cloud and takes their outcomes. Owns the number of requests of this leadership, and when the
 * next one may be sent; what was requested and what each pool answered have modules of their own.
 */
import type { ClusterStateView, EffectSink, Logger, SettingsView } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';
import type { BootMonitor } from './boot-monitor.js';
import { type InstanceKind, instanceOptions } from './instance-kind.js';
import type { InstancePools } from './instance-pools.js';
import type { MachineList } from './machine-list.js';
import type { PendingProvisioning, ProvisioningTracker } from './provisioning-tracker.js';

/** Provisioning requests pending at once. */
const MAX_PENDING_REQUESTS = 3;

/** The least time between two requests, however many the cloud permits. */
const MIN_REQUEST_INTERVAL_MS = 300;

/** Added to the lag of lists: after both, a list shows what came of a request without an answer. */
const UNCERTAIN_REQUEST_MARGIN_MS = 3000;

/** Bounds of the longest retry delay. */
const MIN_RETRY_DELAY_LIMIT_MS = 10_000;
const MAX_RETRY_DELAY_LIMIT_MS = 90_000;

/** Each option may be retried once in this time, divided by the permitted requests per second: a quarter of them in all. */
const RETRY_MS_PER_OPTION = 4000;

/** What the cloud answered to a provisioning request. */
export type ProvisioningOutcome =
  /** these machines were provisioned, perhaps fewer than requested */
  | { kind: 'ok'; machines: string[] }
  /** none was provisioned */
  | { kind: 'outOfCapacity' }
  /** there was no answer: the request may have been carried out */
  | { kind: 'unknown' };

/** What the provisioner needs of its controller. */
type ProvisionerContext = SettingsView & ClusterStateView & EffectSink & Logger;

/** The parts of the autoscaler that learn of requests and their outcomes. */
interface ProvisionerParts {
  tracker: ProvisioningTracker;
  pools: InstancePools;
  machineList: MachineList;
  bootMonitor: BootMonitor;
}

/** Turns a request for machines into an effect, and its outcome into retry delays and machines that boot. */
export class Provisioner {
  private leaseRevision = 0;
  private requestCount = 0;
  private nextRequestAt: Milliseconds = 0;

  constructor(
    private readonly context: ProvisionerContext,
    private readonly parts: ProvisionerParts,
  ) {}

  /** The leadership begins: with the revision of its lease the ids of its requests are unique. */
  leaseAcquired(revision: number): void {
    this.leaseRevision = revision;
    this.requestCount = 0;
    this.parts.tracker.leaseAcquired();
  }

  /** Has the interval between requests passed? */
  isRequestDue(now: Milliseconds): boolean {
    return now >= this.nextRequestAt;
  }

  /** Are as many requests pending as may be? */
  get isAtLimit(): boolean {
    return this.parts.tracker.pendingCount >= MAX_PENDING_REQUESTS;
  }

  /** Requests machines of a kind. */
  request({ type, zone, spot }: InstanceKind, count: number, now: Milliseconds): void {
    const id = this.context.nextEffectId();
    const requestId = `r-${this.leaseRevision}-${++this.requestCount}`;
    this.parts.tracker.requestSent(id, { type, zone, spot }, count, now);
    this.context.log('info', 'provisioning machines', { request: requestId, type, zone, spot, count });
    this.context.emit({ type: 'provision', id, request: { requestId, machineType: type, zone, spot, count } });
    this.nextRequestAt = now + Math.max(MIN_REQUEST_INTERVAL_MS, 1000 / this.context.settings.cloud.requestsPerS);
  }

  /** Takes the outcome of a request; one of an earlier leadership is ignored. */
  handleOutcome(id: number, outcome: ProvisioningOutcome, now: Milliseconds): void {
    const request = this.parts.tracker.requestEnded(id);
    if (!request) return;
    switch (outcome.kind) {
      case 'ok':
        return this.requestFulfilled(request, outcome.machines, now);
      case 'outOfCapacity':
        return this.parts.pools.requestRefused(request, this.maxRetryDelayMs(), now);
      case 'unknown':
        // It may have been carried out: what came of it shows in the list.
        return this.parts.pools.delay(request, this.parts.machineList.maxLagMs + UNCERTAIN_REQUEST_MARGIN_MS, now);
      default:
        return outcome satisfies never;
    }
  }

  private requestFulfilled(request: PendingProvisioning, machines: string[], now: Milliseconds): void {
    const { tracker, pools, machineList, bootMonitor } = this.parts;
    for (const machine of machines) if (!machineList.has(machine)) tracker.machineProvisioned(machine, request, now);
    pools.requestFulfilled(request, request.count, machines.length, now);
    // A kind whose boots fail is requested now and then only.
    if (bootMonitor.isFailing(request, now)) pools.delay(request, bootMonitor.limitMs(request.type, now) / 2, now);
  }

  /**
   * Kinds that are sold out are retried as often as a quarter of the cloud's request limit allows: capacity that others release
   * comes back unannounced. At 90 s each, four accelerator machines stayed unprovisioned for a minute while 29 gangs waited.
   */
  private maxRetryDelayMs(): Milliseconds {
    const delayMs = (instanceOptions(this.context).length * RETRY_MS_PER_OPTION) / this.context.settings.cloud.requestsPerS;
    return Math.max(MIN_RETRY_DELAY_LIMIT_MS, Math.min(MAX_RETRY_DELAY_LIMIT_MS, delayMs));
  }
}
