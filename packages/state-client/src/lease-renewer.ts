/** This controller's lease on the state service, to which it attaches its keys. */
import { type CallOutcome, Delay, monotonicMs } from '@archpost/http-client';
import { encodeLeaseRequest, leaseRenewalPath, PATHS, pack, parseLeaseId, unpackResponse } from '@archpost/protocol';
import { Subject } from 'rxjs';
import type { StateServiceConnection } from './state-service-connection.js';

/** The current lease of the controller. */
export interface LeaseState {
  /** null: the lease has ended */
  leaseId: number | null;
  /** time until which the lease is valid, in milliseconds of this machine's monotonic clock */
  validUntil: number;
}

const CALL_TIMEOUT_MS = 2000;

/** Wait after a failed request. */
const RETRY_MS = 400;

/** Renewals per lease duration. The interval between renewals is at most MAX_RENEWAL_INTERVAL_MS. */
const RENEWALS_PER_LEASE = 6;
const MAX_RENEWAL_INTERVAL_MS = 2500;

/** The lease is considered ended this long before the service may end it. */
const SAFETY_MARGIN_MS = 20;

/** Requests a lease, renews it, and requests a new one after it has ended. */
export class LeaseRenewer {
  /** Emits after the lease was granted or renewed, and when it has ended. */
  readonly lease$ = new Subject<LeaseState>();
  private readonly delay = new Delay();
  private readonly renewalIntervalMs: number;
  private leaseId: number | null = null;

  /** `clockDrift`: maximum fraction by which this machine's clock may run faster or slower than the service's. */
  constructor(
    private readonly connection: StateServiceConnection,
    private readonly ttlMs: number,
    private readonly clockDrift: number,
  ) {
    this.renewalIntervalMs = Math.min(ttlMs / RENEWALS_PER_LEASE, MAX_RENEWAL_INTERVAL_MS);
  }

  /** Starts to request and renew the lease. */
  start(): void {
    void this.run();
  }

  /** Stops all requests. The lease is not revoked; it expires. */
  close(): void {
    this.delay.close();
  }

  private async run(): Promise<void> {
    while (!this.delay.isClosed) await this.delay.wait(await this.renew());
  }

  /** Renews the lease, or requests one if there is none. Resolves with the milliseconds until the next request. */
  private async renew(): Promise<number> {
    // Lease requests don't wait for the request budget: without a lease this controller may not do anything else either.
    this.connection.budget.forceTake();
    const sentAt = monotonicMs();
    const outcome = await this.sendRequest();
    if (outcome.kind !== 'response') return RETRY_MS;
    if (outcome.status === 200) return this.acceptLease(outcome.body, sentAt);
    if (this.leaseId !== null && (outcome.status === 404 || outcome.status === 400)) return this.discardLease();
    return RETRY_MS;
  }

  private sendRequest(): Promise<CallOutcome> {
    if (this.leaseId === null) return this.connection.post(PATHS.leases, pack(encodeLeaseRequest(this.ttlMs)), CALL_TIMEOUT_MS);
    return this.connection.post(leaseRenewalPath(this.leaseId), pack({}), CALL_TIMEOUT_MS);
  }

  private acceptLease(body: Buffer | null, sentAt: number): number {
    this.leaseId ??= parseLeaseId(unpackResponse(body) ?? {});
    if (this.leaseId === null) return RETRY_MS;
    // The service measures the lease duration from the arrival of the request, which is not earlier than `sentAt`.
    const validUntil = sentAt + this.ttlMs * (1 - this.clockDrift) - SAFETY_MARGIN_MS;
    this.lease$.next({ leaseId: this.leaseId, validUntil });
    return this.renewalIntervalMs;
  }

  private discardLease(): number {
    this.leaseId = null;
    this.lease$.next({ leaseId: null, validUntil: 0 });
    return 0;
  }
}
