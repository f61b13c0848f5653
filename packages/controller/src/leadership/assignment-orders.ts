/**
 * Orders of the leader to the holder of a machine's shard, as a change to the machine's stored assignment: transfer the machine
 * to another shard, or release it to the cloud.
 *
 * Owns no state. An order is written only while this controller still leads under the revision at which it decided the order,
 * and while the assignment is unchanged since then. An order that isn't written in time is dropped; a later round decides again.
 */
import { type ClusterStateView, LEADER_LEASE, type StateWriting } from '../context/index.js';
import type { Machine, Milliseconds } from '../model/index.js';
import { encodeAssignment, type MachineAssignment, type PendingWrite, StateKey } from '../state/index.js';

const ORDER_EXPIRY_MS = 4000;

/** The fields of the assignment that an order changes. */
export type AssignmentOrder = Partial<Pick<MachineAssignment, 'moveToShard' | 'isRetired'>>;

/** The condition, priority and callback of an order's write. */
export interface OrderWrite {
  /** revision of the leader lease under which the order was decided */
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
