/**
 * This controller's lease on the state service. The controller's shard leases, the leader lease and its presence key are
 * attached to this lease and disappear when it expires.
 *
 * Owns the lease id and the time until which the lease is certainly valid.
 */
import type { LeaseView, Logger } from '../context/index.js';
import { type Milliseconds, NEVER } from '../model/index.js';

/** Is notified of changes in the validity of the state lease. */
export interface StateLeaseListener {
  /** Called when the lease has ended or can no longer be relied on. Everything that was attached to it counts as lost. */
  onStateLeaseLost(): void;

  /**
   * Called when the lease was renewed `overdueMs` after its assumed expiry. In between, no part of this controller acted under
   * it.
   */
  onStateLeaseRenewedLate(overdueMs: Milliseconds, now: Milliseconds): void;
}

/** Tracks the state lease from the responses of the state service. */
export class StateLease implements LeaseView {
  private id: number | null = null;
  private validUntil: Milliseconds = NEVER;

  constructor(
    private readonly context: Logger,
    private readonly listener: StateLeaseListener,
  ) {}

  /** The lease id that writes of attached keys have to name; null without a lease. */
  get leaseId(): number | null {
    return this.id;
  }

  isLeaseValid(now: Milliseconds): boolean {
    return this.id !== null && now < this.validUntil;
  }

  /** Records that the lease was granted or renewed. It is valid at least until `validUntil`. */
  recordRenewal(leaseId: number, validUntil: Milliseconds, now: Milliseconds): void {
    if (this.id !== null && this.id !== leaseId) this.invalidate();
    // A lease that can be renewed never expired, so no other controller can have acquired the leases attached to it: they stay
    // held. Treating them as lost caused every machine to be probed again after each outage longer than the lease.
    else if (this.id === leaseId && now >= this.validUntil) this.handleLateRenewal(now - this.validUntil, now);
    this.id = leaseId;
    this.validUntil = validUntil;
  }

  /** Records a response of the state service that the lease has expired or doesn't exist. */
  recordExpiry(): void {
    if (this.id !== null) this.invalidate();
  }

  /** Drops the lease, which has ended or can no longer be relied on. */
  invalidate(): void {
    this.context.log('warn', 'lease lost');
    this.id = null;
    this.validUntil = NEVER;
    this.listener.onStateLeaseLost();
  }

  private handleLateRenewal(overdueMs: Milliseconds, now: Milliseconds): void {
    this.context.log('info', 'lease renewed after its assumed expiry', { seconds: Math.round(overdueMs / 1000) });
    this.listener.onStateLeaseRenewedLate(overdueMs, now);
  }
}
