/**
 * Who holds which lease, and which controllers are absent, by the records that are attached to the controllers' leases at
 * the state service. Owns both tables.
 */
import { type Milliseconds, shiftTimes } from '../model/index.js';
import type { LeaseName } from './keys.js';
import { type LeaseHolder, parseLeaseHolder } from './lease-record.js';
import type { ReplicaEntry } from './replica.js';

/** A shard's lease, or the leader's, as it is stored. */
export interface ShardLease {
  holder: LeaseHolder;
  /** revision at which it was acquired: the fencing token of its holder */
  revision: number;
}

/** The leases of the shards and of the leader, and the presence of controllers. */
export class LeaseRegistry {
  /** by the lease's name as text */
  readonly leaseHolders = new Map<string, ShardLease>();
  /** controllers whose presence was seen to end, and when */
  readonly absentSince = new Map<string, Milliseconds>();

  /** Applies the record of the lease with this name. Throws on what names no holder. */
  applyLease(name: string, entry: ReplicaEntry | null): void {
    if (entry) this.leaseHolders.set(name, { holder: parseLeaseHolder(entry.value), revision: entry.revision });
    else this.leaseHolders.delete(name);
  }

  /** Applies the record that says that a controller is present. */
  applyPresence(controller: string, entry: ReplicaEntry | null, now: Milliseconds): void {
    if (entry) this.absentSince.delete(controller);
    else this.absentSince.set(controller, now);
  }

  /** This process was paused for `pausedMs`: the absences that it saw are as old as before the pause. */
  processPaused(pausedMs: Milliseconds): void {
    shiftTimes(this.absentSince, pausedMs);
  }

  /** The lease of a shard or of the leader; null while nobody holds it. */
  leaseOf(lease: LeaseName): ShardLease | null {
    return this.leaseHolders.get(String(lease)) ?? null;
  }
}
