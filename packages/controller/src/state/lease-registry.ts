/**
 * The holders of the leases, and the controllers that are absent, from the records that are attached to the controllers'
 * leases at the state service. Owns both tables.
 */
import { type Milliseconds, shiftTimes } from '../model/index.js';
import type { LeaseName } from './keys.js';
import { type LeaseHolder, parseLeaseHolder } from './lease-record.js';
import type { ReplicaEntry } from './replica.js';

/** The stored lease of a shard, or of the leader. */
export interface ShardLease {
  holder: LeaseHolder;
  /** revision at which it was acquired: the fencing token of its holder */
  revision: number;
}

/** The leases of the shards and of the leader, and the presence of controllers. */
export class LeaseRegistry {
  /** by the lease's name as text */
  readonly leasesByName = new Map<string, ShardLease>();
  /** by controller name: when this controller read that the presence record was removed */
  readonly absentSince = new Map<string, Milliseconds>();

  /** Applies the record of the lease with this name. Throws if the record can't be read. */
  applyLease(name: string, entry: ReplicaEntry | null): void {
    if (entry) this.leasesByName.set(name, { holder: parseLeaseHolder(entry.value), revision: entry.revision });
    else this.leasesByName.delete(name);
  }

  /** Applies a controller's presence record, or its removal. */
  applyPresence(controller: string, entry: ReplicaEntry | null, now: Milliseconds): void {
    if (entry) this.absentSince.delete(controller);
    else this.absentSince.set(controller, now);
  }

  /** Shifts the start of all absences by `pausedMs`, so that a pause of this process doesn't count as absence. */
  onProcessPaused(pausedMs: Milliseconds): void {
    shiftTimes(this.absentSince, pausedMs);
  }

  /** Returns the lease of a shard or of the leader; null if no controller holds it. */
  leaseOf(lease: LeaseName): ShardLease | null {
    return this.leasesByName.get(String(lease)) ?? null;
  }
}
