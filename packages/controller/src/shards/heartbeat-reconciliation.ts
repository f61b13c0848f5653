/** The interface to heartbeat reconciliation. It is declared here because heartbeats/ depends on shards/, not vice versa. */
import type { Heartbeat } from '@archpost/protocol';
import type { FencedPosition, Machine, Milliseconds } from '../model/index.js';

/** Reconciles the status that a worker reports with the stored and the intended state. */
export interface HeartbeatReconciliation {
  /**
   * Processes a heartbeat, or the status in a worker's response to a command. `positionAtSend`: for a response, the position of
   * the newest heartbeat that was processed before the command was sent, which the response follows; null for a heartbeat
   * that the worker sent unprompted and that may be a delayed duplicate.
   */
  reconcile(machine: Machine, heartbeat: Heartbeat, now: Milliseconds, positionAtSend: FencedPosition | null): void;
}
