/** What shards need of the reconciliation of heartbeats, which stands above them. */
import type { Heartbeat } from '@archpost/protocol';
import type { Machine, Milliseconds } from '../model/index.js';

/** What was known of a worker when a command or a probe was sent: its answer is newer. */
export interface KnownHeartbeat {
  agentEpoch: number;
  sequence: number;
}

/** Takes a heartbeat, or the status in a worker's answer, for what it is worth. */
export interface HeartbeatReconciliation {
  /** `knownBefore`: what was known when the question was asked that this answers; null: a heartbeat of the worker's own. */
  reconcile(machine: Machine, heartbeat: Heartbeat, now: Milliseconds, knownBefore: KnownHeartbeat | null): void;
}
