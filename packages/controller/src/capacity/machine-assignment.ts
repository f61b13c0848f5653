/** Machines on their way to a shard: not assigned yet, or assigned a moment ago. */
import type { Milliseconds } from '../model/index.js';
import type { InstanceKind } from './instance-kind.js';

/** A machine without a grant whose worker reported. */
export interface UnassignedMachine extends InstanceKind {
  machine: string;
  address: string;
}

/** A machine granted to a share a moment ago. */
export interface RecentAssignment extends InstanceKind {
  shard: number;
  at: Milliseconds;
}
