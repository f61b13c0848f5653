/**
 * Orders that the leader gives the holder of a machine's shard, as a change of the machine's stored assignment: hand it to
 * another shard, or release it to the cloud.
 *
 * Owns no state. An order is written only while this controller still leads under the revision that it was decided under, and the
 * assignment is as it was then; one that isn't written in time is dropped, and decided anew by a later round.
 */
import { type ClusterStateView, LEADER_LEASE, type StateWriting } from '../context/index.js';
import type { Machine, Milliseconds } from '../model/index.js';
import { encodeAssignment, type MachineAssignment, type PendingWrite, StateKey } from '../state/index.js';

const ORDER_EXPIRY_MS = 4000;

/** What is wanted of a machine. */
export type AssignmentOrder = Partial<Pick<MachineAssignment, 'moveToShard' | 'isRetired'>>;

/** When and how an order is written. */
export interface OrderWrite {
  /** of the leader's lease, under which the order was decided */
  leaseRevision: number;
  priority: PendingWrite['priority'];
  now: Milliseconds;
  onOutcome: PendingWrite['onOutcome'];
}

/** Queues the write of the order. */
export function writeAssignmentOrder(
  context: ClusterStateView & StateWriting,
  machine: Machine,
  order: AssignmentOrder,
  { leaseRevision, priority, now, onOutcome }: OrderWrite,
): void {
  context.writer.add({
    key: StateKey.assignment(machine.name),
    value: () => encodeAssignment({ ...context.clusterState.assignmentOf(machine), ...order }),
    expectedRevision: machine.assignmentRevision,
    conditions: [{ key: StateKey.shardLease(LEADER_LEASE), revision: leaseRevision }],
    priority,
    expiresAt: now + ORDER_EXPIRY_MS,
    onOutcome,
  });
}
