/**
 * Claims of leases: how long this controller waits before it claims a lease without a holder, and the writes that claim it.
 * Also writes the presence key, which shows the other controllers that this one is present.
 *
 * Owns the pending claims, and the time since which each lease has had no holder.
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

/** Time that the other controllers wait before they claim a lease whose preferred holder is fit to hold it. */
const PREFERRED_HOLDER_WAIT_MS = 3000;

/** The same wait if the preferred holder is unfit. It is short because its shards have no holder meanwhile. */
const UNFIT_HOLDER_WAIT_MS = 200;

/** Additional wait for each lease that the claiming controller holds, so that leases spread across the controllers. */
const WAIT_PER_HELD_LEASE_MS = 400;

/**
 * Additional wait for each position in the list of controllers. Controllers that hold equally many leases claim one after
 * another instead of competing.
 */
const WAIT_PER_CONTROLLER_MS = 150;

/** No lease is claimed while the replica is older than this: the lease may have a new holder by now. */
const MAX_REPLICA_AGE_MS = 3000;

/** A claim or presence write that has been queued for longer is dropped, and queued again if it is still needed. */
const WRITE_EXPIRY_MS = 5000;

type LeaseClaimsContext = SettingsView & ClusterStateView & ReplicaView & StateWriting & StateFreshness & IncarnationView;

/** Claims leases for this controller. The cluster state shows whether a claim succeeded. */
export class LeaseClaims implements PauseListener {
  private readonly unheldSince = new Map<LeaseName, Milliseconds>();
  private readonly pendingClaims = new Set<LeaseName>();
  /** the pending claims of leases that had no holder */
  private readonly pendingTakeovers = new Set<LeaseName>();
  private isPresenceWritePending = false;

  constructor(
    private readonly context: LeaseClaimsContext,
    private readonly holderSelection: HolderSelection,
  ) {}

  /** Excludes a pause of this process from the wait for a holder: the preferred holder didn't observe that time either. */
  onProcessPaused(pausedMs: Milliseconds): void {
    shiftTimes(this.unheldSince, pausedMs);
  }

  /** Records that the lease has a holder, which ends the wait to claim it. */
  recordHolder(lease: LeaseName): void {
    this.unheldSince.delete(lease);
  }

  /** Claims a lease without a holder once this controller's wait is over. `heldCount`: how many leases it holds already. */
  claimWhenDue(lease: LeaseName, heldCount: number, now: Milliseconds): void {
    const since = this.unheldSince.get(lease) ?? now;
    this.unheldSince.set(lease, since);
    if (now - since >= this.waitBeforeClaim(lease, heldCount, now)) this.claim(lease, NO_REVISION, now);
  }

  /** Queues a claim of the lease. `expectedRevision`: the revision that its key must have; `NO_REVISION`: it must not exist. */
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

  /** Shows the other controllers that the state lease of this one is valid, whether or not it holds any shard lease. */
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

  /** Returns how long this controller lets other controllers claim a lease without a holder before it claims the lease itself. */
  private waitBeforeClaim(lease: LeaseName, heldCount: number, now: Milliseconds): Milliseconds {
    const self = this.context.settings.name;
    const preferred = this.holderSelection.preferredHolder(lease);
    if (preferred === self) return 0;
    const wait = this.holderSelection.canHoldShards(preferred, now) ? PREFERRED_HOLDER_WAIT_MS : UNFIT_HOLDER_WAIT_MS;
    // Pending takeovers count as held leases, so that one controller doesn't acquire the leader lease and a shard lease together.
    const leaseCount = heldCount + this.pendingTakeovers.size;
    const position = this.context.settings.controllers.findIndex((controller) => controller.name === self);
    return wait + WAIT_PER_HELD_LEASE_MS * leaseCount + WAIT_PER_CONTROLLER_MS * position;
  }
}
