/** Machines on their way to a shard: not assigned yet, or assigned a moment ago. Types only. */
import type { Milliseconds } from '../model/index.js';
import type { InstanceKind } from './instance-kind.js';

/** A machine without an assignment, by the heartbeat of its worker. */
export interface UnassignedMachine extends InstanceKind {
  machine: string;
  /** where its worker takes commands */
  address: string;
}

/** A machine that was assigned a moment ago: the summary of its shard may not show it yet. */
export interface RecentAssignment extends InstanceKind {
  shard: number;
  at: Milliseconds;
}
