/**
 * Writes this controller's status to the state service while the link to the leader is down. A zone that is cut off from the
 * other zones may still reach the state service. Without the stored status, the leader would neither assign the zone's new
 * machines nor scale out for its unmet demands until the partition ends.
 *
 * Owns the time at which the status was last stored, and whether a write is pending.
 */
import {
  type ClusterStateView,
  LEADER_LEASE,
  type LeaseView,
  type PeerDirectory,
  type ReplicaView,
  type SettingsView,
  type StateWriting,
} from '../context/index.js';
import { type Milliseconds, NEVER } from '../model/index.js';
import { encodeStatus, NO_REVISION, StateKey, WritePriority } from '../state/index.js';
import type { StatusAssembly } from './status-assembly.js';
import { fitStoredStatus } from './stored-status.js';

/** Less frequent than over a link: the state service is slower, and each status costs a write. */
const STORED_STATUS_INTERVAL_MS = 2000;

type StoredStatusWriterContext = SettingsView & ClusterStateView & ReplicaView & StateWriting & LeaseView & PeerDirectory;

/** Stores this controller's status for the leader. */
export class StoredStatusWriter {
  private isWritePending = false;
  private lastStoredAt: Milliseconds = NEVER;
  /** number of statuses stored so far, which selects the part of each long list for the next status */
  private turn = 0;

  constructor(
    private readonly context: StoredStatusWriterContext,
    private readonly statusAssembly: StatusAssembly,
  ) {}

  /** Stores a status if the link to the leader is down and the last stored status is old enough. */
  tick(now: Milliseconds): void {
    if (!this.isLeaderLinkDown(now) || !this.mayWrite(now)) return;
    this.lastStoredAt = now;
    this.isWritePending = true;
    this.write(now);
  }

  private isLeaderLinkDown(now: Milliseconds): boolean {
    const leader = this.context.clusterState.leaseOf(LEADER_LEASE)?.holder.controller ?? null;
    return leader !== null && leader !== this.context.settings.name && !this.context.isPeerAlive(leader, now);
  }

  private mayWrite(now: Milliseconds): boolean {
    const isDue = now - this.lastStoredAt >= STORED_STATUS_INTERVAL_MS;
    return this.context.replica.isLoaded && this.context.isLeaseValid(now) && !this.isWritePending && isDue;
  }

  private write(now: Milliseconds): void {
    const { settings, replica, writer, clusterState } = this.context;
    const key = StateKey.status(settings.name);
    const full = this.statusAssembly.assemble(now);
    const status = fitStoredStatus(key, full, clusterState.sizeLimits.maxWriteBytes, this.turn++);
    writer.add({
      key,
      value: () => encodeStatus(status),
      expectedRevision: replica.get(key)?.revision ?? NO_REVISION,
      priority: WritePriority.progress,
      expiresAt: now + STORED_STATUS_INTERVAL_MS,
      onOutcome: () => {
        this.isWritePending = false;
      },
    });
  }
}
