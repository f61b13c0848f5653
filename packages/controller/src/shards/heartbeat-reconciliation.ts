/** What the shards need of the reconciliation of heartbeats, which depends on them and not the other way round. */
import type { Heartbeat } from '@archpost/protocol';
import type { Machine, Milliseconds } from '../model/index.js';

/** The newest heartbeat of a worker that was known when a command or a probe was sent: the answer to it is newer. */
export interface KnownHeartbeat {
  agentEpoch: number;
  /** numbers the messages of one agent epoch */
  sequence: number;
}

/** Brings what a worker reports together with what is stored and intended. */
export interface HeartbeatReconciliation {
  /**
   * Takes a heartbeat, or the status in a worker's answer. `knownBefore`: what was known when the command was sent that this
   * answers; null: the worker sent it on its own, and it may be a late copy.
   */
  reconcile(machine: Machine, heartbeat: Heartbeat, now: Milliseconds, knownBefore: KnownHeartbeat | null): void;
}
