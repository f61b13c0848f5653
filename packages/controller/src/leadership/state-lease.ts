/**
 * This controller's lease on the state service. Everything that the controller holds (its shard leases, the leader's, the key
 * that shows its presence) is attached to it and disappears with it.
 *
 * Owns the id of the lease and the time until which it is certainly valid.
 */
import type { LeaseView, Logger } from '../context/index.js';
import { type Milliseconds, NEVER } from '../model/index.js';

/** Learns what became of the lease. */
export interface StateLeaseListener {
  /** The lease has ended, and with it all that was attached to it. */
  onStateLeaseLost(): void;

  /** The lease was renewed `overdueMs` after its assumed expiry. Until then nobody here could rely on it. */
  onStateLeaseRenewedLate(overdueMs: Milliseconds, now: Milliseconds): void;
}

/** The lease, by what the state service answered about it. */
export class StateLease implements LeaseView {
  private id: number | null = null;
  private validUntil: Milliseconds = NEVER;

  constructor(
    private readonly context: Logger,
    private readonly listener: StateLeaseListener,
  ) {}

  /** What writes of keys that are attached to the lease have to name; null without a lease. */
  get leaseId(): number | null {
    return this.id;
  }

  isLeaseValid(now: Milliseconds): boolean {
    return this.id !== null && now < this.validUntil;
  }

  /** The lease was granted or renewed: it is valid until `validUntil` at least. */
  recordRenewal(leaseId: number, validUntil: Milliseconds, now: Milliseconds): void {
    if (this.id !== null && this.id !== leaseId) this.invalidate();
    // It was renewed, so it never ended, and nobody can have taken what is attached to it: what is held stays held. Treating
    // it as lost made every machine be probed anew after each outage that was longer than the lease.
    else if (this.id === leaseId && now >= this.validUntil) this.handleLateRenewal(now - this.validUntil, now);
    this.id = leaseId;
    this.validUntil = validUntil;
  }

  /** The state service says that the lease has expired, or that there is none. */
  recordExpiry(): void {
    if (this.id !== null) this.invalidate();
  }

  /** The lease has ended, or is not to be relied on any more. */
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
