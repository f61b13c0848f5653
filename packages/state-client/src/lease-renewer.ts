/** The lease of this controller at the state service, to which it attaches its keys. */
import { type CallOutcome, Delay, monotonicMs } from '@archpost/http-client';
import { encodeLeaseRequest, leaseRenewalPath, PATHS, pack, parseLeaseId, unpackMap } from '@archpost/protocol';
import { Subject } from 'rxjs';
import type { StateServiceConnection } from './state-service-connection.js';

/** The lease that the controller has now. */
export interface LeaseState {
  /** null: it has ended */
  leaseId: number | null;
  /** in milliseconds of this machine's monotonic clock */
  validUntil: number;
}

const CALL_TIMEOUT_MS = 2000;

/** Wait after a request that failed. */
const RETRY_MS = 400;

/** Interval of renewals: this part of the lease's time, and no more than MAX_RENEWAL_MS. */
const RENEWALS_PER_LEASE = 6;
const MAX_RENEWAL_INTERVAL_MS = 2500;

/** The lease counts as ended this much earlier than it may end. */
const SAFETY_MARGIN_MS = 20;

/** Requests a lease, renews it, and requests another one when it has ended. */
export class LeaseRenewer {
  /** Emits after each renewal, and when the lease has ended. */
  readonly lease$ = new Subject<LeaseState>();
  private readonly delay = new Delay();
  private readonly renewalIntervalMs: number;
  private leaseId: number | null = null;

  /** `clockDrift`: part by which this machine's clock may run faster or slower than the service's. */
  constructor(
    private readonly connection: StateServiceConnection,
    private readonly ttlMs: number,
    private readonly clockDrift: number,
  ) {
    this.renewalIntervalMs = Math.min(ttlMs / RENEWALS_PER_LEASE, MAX_RENEWAL_INTERVAL_MS);
  }

  /** Starts the requests. */
  start(): void {
    void this.run();
  }

  /** Ends the requests. The lease expires by itself. */
  close(): void {
    this.delay.close();
  }

  private async run(): Promise<void> {
    while (!this.delay.isClosed) await this.delay.wait(await this.renew());
  }

  /** Renews the lease, or requests one; returns the milliseconds until the next request. */
  private async renew(): Promise<number> {
    // A renewal does not wait for the budget: without a lease this controller may do nothing else either.
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

  private acceptLease(body: Buffer, sentAt: number): number {
    this.leaseId ??= parseLeaseId(unpackMap(body) ?? {});
    if (this.leaseId === null) return RETRY_MS;
    // The service counts from when it got the request, which is not before it was sent.
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
