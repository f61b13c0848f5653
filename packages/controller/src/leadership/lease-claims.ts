/**
 * Claims of leases: who waits how long before it claims a lease that nobody holds, and the writes that claim. The same writes
 * show the other controllers that this one is present.
 *
 * Owns the claims that are under way, and since when each lease has had no holder.
 */
import type {
  ClusterStateView,
  IncarnationView,
  LeaseName,
  ReplicaView,
  SettingsView,
  StateFreshness,
  StateWriting,
} from '../context/index.js';
import { type Milliseconds, shiftTimes } from '../model/index.js';
import { encodeHolder, encodePresence, isPresenceOf, NO_REVISION, StateKey, WritePriority } from '../state/index.js';
import type { HolderSelection } from './holder-selection.js';
import type { PauseListener } from './process-pause.js';

/** While its preferred holder is fit to hold a lease, the others leave it this long to claim it. */
const PREFERRED_HOLDER_WAIT_MS = 3000;

/** With an unfit preferred holder the others wait for this long only: its shards are without a holder meanwhile. */
const UNFIT_HOLDER_WAIT_MS = 200;

/** Controllers that hold more leases wait longer, by this much for each, so that leases spread. */
const WAIT_PER_HELD_LEASE_MS = 400;

/** Controllers that hold equally many claim one after the other, this far apart, rather than against each other. */
const WAIT_PER_CONTROLLER_MS = 150;

/** Nothing is claimed on a view of the state service that is older: another holder may be there by now. */
const MAX_REPLICA_AGE_MS = 3000;

/** A claim, or a sign of presence, that waited for longer is dropped, and written anew if it still applies. */
const WRITE_EXPIRY_MS = 5000;

type LeaseClaimsContext = SettingsView & ClusterStateView & ReplicaView & StateWriting & StateFreshness & IncarnationView;

/** Claims leases for this controller. What came of a claim shows in the cluster state. */
export class LeaseClaims implements PauseListener {
  private readonly unheldSince = new Map<LeaseName, Milliseconds>();
  private readonly pendingClaims = new Set<LeaseName>();
  /** of the pending claims, those of leases that nobody held */
  private readonly pendingTakeovers = new Set<LeaseName>();
  private isPresenceWritePending = false;

  constructor(
    private readonly context: LeaseClaimsContext,
    private readonly holderSelection: HolderSelection,
  ) {}

  /**
   * Waiting for a holder goes on where it was when the process was paused: the preferred holder did not see that time pass
   * either.
   */
  processPaused(pausedMs: Milliseconds): void {
    shiftTimes(this.unheldSince, pausedMs);
  }

  /** The lease has a holder. */
  recordHolder(lease: LeaseName): void {
    this.unheldSince.delete(lease);
  }

  /** Nobody holds the lease: claims it once it is this controller's turn. `heldCount`: how many leases it holds already. */
  claimWhenDue(lease: LeaseName, heldCount: number, now: Milliseconds): void {
    const since = this.unheldSince.get(lease) ?? now;
    this.unheldSince.set(lease, since);
    if (now - since >= this.waitBeforeClaim(lease, heldCount, now)) this.claim(lease, NO_REVISION, now);
  }

  /** Claims the lease. `expectedRevision`: which its key must have; 0: it must not exist. */
  claim(lease: LeaseName, expectedRevision: number, now: Milliseconds): void {
    const { context } = this;
    if (this.pendingClaims.has(lease) || now - context.replicaFreshAt > MAX_REPLICA_AGE_MS) return;
    this.pendingClaims.add(lease);
    if (expectedRevision === NO_REVISION) this.pendingTakeovers.add(lease);
    context.writer.add({
      key: StateKey.shardLease(lease),
      value: () => encodeHolder({ controller: context.settings.name, incarnation: context.incarnation }),
      expectedRevision,
      attachedToLease: true,
      priority: WritePriority.shardLease,
      expiresAt: now + WRITE_EXPIRY_MS,
      onOutcome: () => {
        this.pendingClaims.delete(lease);
        this.pendingTakeovers.delete(lease);
      },
    });
  }

  /** Shows the others that this controller's state lease is valid, whether or not it holds anything. */
  announcePresence(now: Milliseconds): void {
    const key = StateKey.presence(this.context.settings.name);
    const current = this.context.replica.get(key);
    if (this.isPresenceWritePending || (current && isPresenceOf(current.value, this.context.incarnation))) return;
    this.isPresenceWritePending = true;
    this.context.writer.add({
      key,
      value: () => encodePresence(this.context.incarnation),
      expectedRevision: current?.revision ?? NO_REVISION,
      attachedToLease: true,
      priority: WritePriority.release,
      expiresAt: now + WRITE_EXPIRY_MS,
      onOutcome: () => {
        this.isPresenceWritePending = false;
      },
    });
  }

  /** How long this controller leaves a lease without a holder to the others. */
  private waitBeforeClaim(lease: LeaseName, heldCount: number, now: Milliseconds): Milliseconds {
    const self = this.context.settings.name;
    const preferred = this.holderSelection.preferredHolder(lease);
    if (preferred === self) return 0;
    const wait = this.holderSelection.canHoldShards(preferred, now) ? PREFERRED_HOLDER_WAIT_MS : UNFIT_HOLDER_WAIT_MS;
    // What is being claimed counts as held, so that the leader's lease and a shard's don't go to one controller together.
    const leaseCount = heldCount + this.pendingTakeovers.size;
    const position = this.context.settings.controllers.findIndex((controller) => controller.name === self);
    return wait + WAIT_PER_HELD_LEASE_MS * leaseCount + WAIT_PER_CONTROLLER_MS * position;
  }
}
