/**
 * Sends provisioning requests to the cloud and handles their outcomes. Owns the number of requests of this leadership, and when
 * the next one may be sent. `ProvisioningTracker` owns the requests, and `InstancePools` owns the cloud's responses.
 */
import type { ClusterStateView, EffectSink, Logger, SettingsView } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';
import type { BootMonitor } from './boot-monitor.js';
import { type InstanceKind, instanceOptions } from './instance-kind.js';
import type { InstancePools } from './instance-pools.js';
import type { MachineList } from './machine-list.js';
import type { PendingProvisioning, ProvisioningTracker } from './provisioning-tracker.js';

/** The limit of concurrently pending provisioning requests. */
const MAX_PENDING_REQUESTS = 3;

/** The minimum interval between two requests, regardless of the cloud's rate limit. */
const MIN_REQUEST_INTERVAL_MS = 300;

/** The margin on the lag of machine lists: after lag and margin, a list shows the result of a request that got no response. */
const UNCERTAIN_REQUEST_MARGIN_MS = 3000;

/** The bounds of the maximum retry delay. */
const MIN_RETRY_DELAY_LIMIT_MS = 10_000;
const MAX_RETRY_DELAY_LIMIT_MS = 90_000;

/**
 * Each option may be retried once in this time, divided by the permitted requests per second. Retries of all options together use
 * a quarter of the permitted requests.
 */
const RETRY_MS_PER_OPTION = 4000;

/** The outcome of a provisioning request. */
export type ProvisioningOutcome =
  /** these machines were provisioned, possibly fewer than requested */
  | { kind: 'ok'; machines: string[] }
  /** no machine was provisioned */
  | { kind: 'outOfCapacity' }
  /** no response arrived: the cloud may have executed the request */
  | { kind: 'unknown' };

/** The parts of the controller's context that the provisioner uses. */
type ProvisionerContext = SettingsView & ClusterStateView & EffectSink & Logger;

/** The parts of the autoscaler that are notified of requests and their outcomes. */
interface ProvisionerParts {
  tracker: ProvisioningTracker;
  pools: InstancePools;
  machineList: MachineList;
  bootMonitor: BootMonitor;
}

/** Emits requests for machines as effects, and derives retry delays and booting machines from their outcomes. */
export class Provisioner {
  private leaseRevision = 0;
  private requestCount = 0;
  private nextRequestAt: Milliseconds = 0;

  constructor(
    private readonly context: ProvisionerContext,
    private readonly parts: ProvisionerParts,
  ) {}

  /** Called when a leadership begins: request ids contain the revision of the leader lease, which makes them unique. */
  onLeaseAcquired(revision: number): void {
    this.leaseRevision = revision;
    this.requestCount = 0;
    this.parts.tracker.onLeaseAcquired();
  }

  /** Whether the interval since the last request has passed. */
  isRequestDue(now: Milliseconds): boolean {
    return now >= this.nextRequestAt;
  }

  /** Whether the limit of pending requests is reached. */
  get isAtLimit(): boolean {
    return this.parts.tracker.pendingCount >= MAX_PENDING_REQUESTS;
  }

  /** Requests `count` machines of a kind. */
  request({ type, zone, spot }: InstanceKind, count: number, now: Milliseconds): void {
    const id = this.context.nextEffectId();
    const requestId = `r-${this.leaseRevision}-${++this.requestCount}`;
    this.parts.tracker.addRequest(id, { type, zone, spot }, count, now);
    this.context.log('info', 'provisioning machines', { request: requestId, type, zone, spot, count });
    this.context.emit({ type: 'provision', id, request: { requestId, machineType: type, zone, spot, count } });
    this.nextRequestAt = now + Math.max(MIN_REQUEST_INTERVAL_MS, 1000 / this.context.settings.cloud.requestsPerS);
  }

  /** Handles the outcome of a request; outcomes of an earlier leadership's requests are ignored. */
  handleOutcome(id: number, outcome: ProvisioningOutcome, now: Milliseconds): void {
    const request = this.parts.tracker.removeRequest(id);
    if (!request) return;
    switch (outcome.kind) {
      case 'ok':
        return this.handleFulfillment(request, outcome.machines, now);
      case 'outOfCapacity':
        return this.parts.pools.recordRefusal(request, this.maxRetryDelayMs(), now);
      case 'unknown':
        // The request may have been executed: the list will show its machines.
        return this.parts.pools.delayRequests(request, this.parts.machineList.maxLagMs + UNCERTAIN_REQUEST_MARGIN_MS, now);
      default:
        return outcome satisfies never;
    }
  }

  private handleFulfillment(request: PendingProvisioning, machines: string[], now: Milliseconds): void {
    const { tracker, pools, machineList, bootMonitor } = this.parts;
    for (const machine of machines) if (!machineList.has(machine)) tracker.addBootingMachine(machine, request, now);
    pools.recordFulfillment(request, request.count, machines.length, now);
    // A kind that fails to boot is requested only occasionally.
    if (bootMonitor.isFailing(request, now)) pools.delayRequests(request, bootMonitor.limitMs(request.type, now) / 2, now);
  }

  /**
   * Returns the limit of the retry delay. Kinds that are out of capacity are retried as often as a quarter of the cloud's request
   * rate limit allows, since capacity that other customers release becomes available unannounced. With a delay of 90 s per kind,
   * four accelerator machines stayed unprovisioned for a minute while 29 gangs waited.
   */
  private maxRetryDelayMs(): Milliseconds {
    const delayMs = (instanceOptions(this.context).length * RETRY_MS_PER_OPTION) / this.context.settings.cloud.requestsPerS;
    return Math.max(MIN_RETRY_DELAY_LIMIT_MS, Math.min(MAX_RETRY_DELAY_LIMIT_MS, delayMs));
  }
}
