/** Machines that are not assigned to a shard yet, or were assigned recently. Types only. */
import type { Milliseconds } from '../model/index.js';
import type { InstanceKind } from './instance-kind.js';

/** A machine without an assignment, as described by the heartbeat of its worker. */
export interface UnassignedMachine extends InstanceKind {
  machine: string;
  /** the address at which its worker accepts commands */
  address: string;
}

/** A recently assigned machine: the summary of its shard may not show it yet. */
export interface RecentAssignment extends InstanceKind {
  shard: number;
  at: Milliseconds;
}
