/** What the shards need of the reconciliation of heartbeats, which depends on them and not the other way round. */
import type { Heartbeat } from '@archpost/protocol';
import type { HeartbeatPosition, Machine, Milliseconds } from '../model/index.js';

/** Brings what a worker reports together with what is stored and intended. */
export interface HeartbeatReconciliation {
  /**
   * Takes a heartbeat, or the status in a worker's answer. `knownBefore`: the newest that was known when the command was sent
   * that this answers, which is newer; null: the worker sent it on its own, and it may be a late copy.
   */
  reconcile(machine: Machine, heartbeat: Heartbeat, now: Milliseconds, knownBefore: HeartbeatPosition | null): void;
}
