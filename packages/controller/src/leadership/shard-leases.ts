/**
 * Shard leases and the leader lease. A key per lease names its holder and is attached to the holder's state lease: it disappears
 * when the state lease expires.
 *
 * Each start of a controller rewrites the keys of its own leases (same controller, another incarnation). This raises the fencing
 * token, so that nothing that the earlier process left in flight is executed. Other controllers wait until the key is gone.
 *
 * Owns the leases that this controller holds, and which of them it is releasing.
 */
import {
  type ClusterStateView,
  type IncarnationView,
  LEADER_LEASE,
  type LeaseListener,
  type LeaseName,
  type LeaseView,
  type Logger,
  type PeerDirectory,
  type ReplicaView,
  type SettingsView,
  type ShardHealth,
  type StateFreshness,
  type StateWriting,
} from '../context/index.js';
import type { Milliseconds } from '../model/index.js';
import { NO_REVISION, StateKey, WritePriority } from '../state/index.js';
import { HolderSelection } from './holder-selection.js';
import { LeaseClaims } from './lease-claims.js';
import { allLeaseNames } from './lease-names.js';
import type { PauseListener } from './process-pause.js';
import { ShardReturn } from './shard-return.js';

/** A release that has been queued for longer is dropped: the lease stays with this controller, and may be released again. */
const RELEASE_EXPIRY_MS = 5000;

type ShardLeasesContext = SettingsView &
  ClusterStateView &
  ReplicaView &
  StateWriting &
  StateFreshness &
  LeaseView &
  IncarnationView &
  LeaseListener &
  ShardHealth &
  PeerDirectory &
  Logger;

/** Acquires, keeps and releases the leases of this controller. */
export class ShardLeases implements PauseListener {
  /** the leases that this controller holds, with the revisions at which it acquired them: the fencing tokens */
  readonly heldLeases = new Map<LeaseName, number>();
  private readonly releasingLeases = new Set<LeaseName>();
  private readonly leaseNames: readonly LeaseName[];
  private readonly holderSelection: HolderSelection;
  private readonly claims: LeaseClaims;
  private readonly shardReturn: ShardReturn;

  constructor(private readonly context: ShardLeasesContext) {
    this.leaseNames = allLeaseNames(context.settings.shardCount);
    this.holderSelection = new HolderSelection(context);
    this.claims = new LeaseClaims(context, this.holderSelection);
    this.shardReturn = new ShardReturn(context, this.holderSelection);
  }

  /**
   * Whether this controller may act under the lease: it holds the lease, the state lease is certainly valid, and no release of
   * the lease is queued. A queued release may have been executed before its response arrives, and the next holder relies on the
   * previous one to start nothing after the claim.
   */
  mayActUnder(lease: LeaseName, now: Milliseconds): boolean {
    return this.heldLeases.has(lease) && !this.releasingLeases.has(lease) && this.context.isLeaseValid(now);
  }

  /** Handles a written or removed lease key. The cluster state already contains the change. */
  onLeaseChanged(lease: LeaseName): void {
    const { clusterState, settings, incarnation } = this.context;
    const current = clusterState.leaseOf(lease);
    const isHeldHere = current?.holder.controller === settings.name && current.holder.incarnation === incarnation;
    if (isHeldHere) this.recordHeld(lease, current.revision);
    else this.recordNotHeld(lease, current?.holder.controller ?? null);
  }

  /** Handles the expiry of the state lease: every lease that was attached to it is lost. */
  onStateLeaseExpired(): void {
    for (const lease of [...this.heldLeases.keys()]) this.recordNotHeld(lease, null);
    this.releasingLeases.clear();
  }

  onProcessPaused(pausedMs: Milliseconds): void {
    this.claims.onProcessPaused(pausedMs);
    this.shardReturn.onProcessPaused(pausedMs);
  }

  /**
   * Claims leases that have no holder, once the wait for each is over, and releases shards that another controller should hold.
   * Does nothing without a valid state lease.
   */
  tick(now: Milliseconds): void {
    if (!this.context.replica.isLoaded || !this.context.isLeaseValid(now)) return;
    if (!this.context.reachesWorkers()) this.releaseUnreachableShards(now);
    this.claims.announcePresence(now);
    for (const lease of this.leaseNames) this.claimIfDue(lease, now);
    this.returnShard(now);
  }

  private recordHeld(lease: LeaseName, revision: number): void {
    const knownRevision = this.heldLeases.get(lease);
    if (knownRevision === undefined) this.releasingLeases.delete(lease);
    if (knownRevision === revision) return;
    this.heldLeases.set(lease, revision);
    this.context.log('info', 'shard lease acquired', { lease: String(lease), revision });
    this.context.onLeaseAcquired(lease, revision);
  }

  private recordNotHeld(lease: LeaseName, holder: string | null): void {
    if (!this.heldLeases.delete(lease)) return;
    this.releasingLeases.delete(lease);
    this.context.log('info', 'shard lease lost', { lease: String(lease), to: holder });
    this.context.onLeaseLost(lease);
  }

  private claimIfDue(lease: LeaseName, now: Milliseconds): void {
    const current = this.context.clusterState.leaseOf(lease);
    const isHeldHere = this.heldLeases.has(lease);
    if (current) {
      this.claims.recordHolder(lease);
      // This controller acquired the lease before a restart, or before the state lease seemed to expire in a long outage of the
      // state service, which kept it. Claiming the shard lease again raises the fencing token.
      if (current.holder.controller === this.context.settings.name && !isHeldHere)
        this.claims.claim(lease, current.revision, now);
      return;
    }
    // The leader needs no access to workers. A controller that can't reach workers leaves shards to the other controllers.
    if (isHeldHere || (lease !== LEADER_LEASE && !this.context.reachesWorkers())) return;
    this.claims.claimWhenDue(lease, this.heldLeases.size, now);
  }

  /** Returns one shard to its preferred holder, if one is due. */
  private returnShard(now: Milliseconds): void {
    const shard = this.shardReturn.nextShard(this.heldLeases.keys(), this.releasingLeases, now);
    if (shard === null) return;
    const to = this.holderSelection.preferredHolder(shard);
    this.context.log('info', 'returning shard to its preferred holder', { shard: String(shard), to });
    this.release(shard, now);
  }

  /** Releases all shards because this controller can't reach workers, provided that another controller is fit to hold them. */
  private releaseUnreachableShards(now: Milliseconds): void {
    if (!this.holderSelection.canAnyPeerHoldShards(now)) return;
    for (const lease of this.heldLeases.keys()) {
      if (lease === LEADER_LEASE || this.releasingLeases.has(lease)) continue;
      this.context.log('info', 'releasing shard with unreachable workers', { shard: String(lease) });
      this.release(lease, now);
    }
  }

  private release(shard: number, now: Milliseconds): void {
    this.releasingLeases.add(shard);
    this.context.writer.add({
      key: StateKey.shardLease(shard),
      value: () => undefined,
      expectedRevision: this.heldLeases.get(shard) ?? NO_REVISION,
      priority: WritePriority.shardLease,
      expiresAt: now + RELEASE_EXPIRY_MS,
      onOutcome: (outcome) => {
        if (outcome !== 'ok') this.releasingLeases.delete(shard);
      },
    });
  }
}
