/**
 * Shard leases: who holds which shard, and who leads. A key per lease names its holder and is attached to the holder's state
 * lease: it disappears when the state lease expires.
 *
 * Each start of a controller writes its own keys anew (same controller, another incarnation), so that the fencing token rises
 * and nothing that the earlier process left under way is executed. Other controllers wait until the key is gone.
 *
 * Owns the leases held here, and which of them are being released.
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

/** A release that waited for longer is dropped: the lease then stays here, and may be released anew. */
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
  /** the leases held here, with the revisions at which they were acquired: the fencing tokens */
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
   * A lease is acted under only while the state lease is certainly valid, and no more once its release has been queued: that may
   * be carried out while its answer is late, and the next holder counts on nothing of this one's being started after its own
   * claim.
   */
  mayActUnder(lease: LeaseName, now: Milliseconds): boolean {
    return this.heldLeases.has(lease) && !this.releasingLeases.has(lease) && this.context.isLeaseValid(now);
  }

  /** The key of the lease was written or removed: the cluster state has it already. */
  onLeaseChanged(lease: LeaseName): void {
    const { clusterState, settings, incarnation } = this.context;
    const current = clusterState.leaseOf(lease);
    const isOurs = current?.holder.controller === settings.name && current.holder.incarnation === incarnation;
    if (isOurs) this.recordHeld(lease, current.revision);
    else this.recordNotHeld(lease, current?.holder.controller ?? null);
  }

  /** The state lease has expired: nothing that was attached to it is held any more. */
  onStateLeaseExpired(): void {
    for (const lease of [...this.heldLeases.keys()]) this.recordNotHeld(lease, null);
    this.releasingLeases.clear();
  }

  processPaused(pausedMs: Milliseconds): void {
    this.claims.processPaused(pausedMs);
    this.shardReturn.processPaused(pausedMs);
  }

  /** Claims what is free and due, and releases what another controller should hold. Does nothing without a valid state lease. */
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
      // Ours from before a restart, or from before the state lease seemed to have expired (the state service was away for long,
      // and kept it): claimed anew, so that the fencing token rises.
      if (current.holder.controller === this.context.settings.name && !isHeldHere)
        this.claims.claim(lease, current.revision, now);
      return;
    }
    // The leader needs no workers; a shard without them is left to others.
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

  /** The workers can't be reached from here: the other controllers take the shards over, if any is fit to. */
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
