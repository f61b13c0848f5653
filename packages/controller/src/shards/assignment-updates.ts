/** What an owner writes of its machines' grants: moves to another share, tokens that rise, and machines that are gone. */

import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, Logger, ReplicaView, StateWriting } from '../context/index.js';
import type { Machine } from '../model/index.js';
import { encodeAssignment, StateKey, WritePriority } from '../state/index.js';

/** What was stored of a gone machine's images is removed within this time, or left. */
const IMAGES_MS = 15_000;

/** What the assignment updates needs of its controller. */
type AssignmentUpdatesContext = ClusterStateView & ReplicaView & StateWriting & Logger;

export class AssignmentUpdates {
  constructor(
    private readonly context: AssignmentUpdatesContext,
    private readonly allocations: TaskAllocations,
  ) {}

  /** Gives the machine, which bears nothing, to the share that it is to move to. */
  moveToShard(machine: Machine): void {
    const to = machine.moveToShard;
    if (machine.assignmentWriteQueued || to === null) return;
    machine.assignmentWriteQueued = true;
    this.context.writer.add({
      key: StateKey.assignment(machine.name),
      value: () => encodeAssignment({ ...this.context.clusterState.assignmentOf(machine), shard: to }),
      expectedRevision: machine.assignmentRevision,
      conditions: this.allocations.heldShards.leaseConditions(machine.shard),
      priority: WritePriority.assignment,
      onOutcome: (outcome) => {
        machine.assignmentWriteQueued = false;
        if (outcome === 'ok') this.context.log('debug', 'machine moved to another shard', { machine: machine.name, to });
      },
    });
  }

  /**
   * Guards against a command that we gave up on and that is executed late: the worker
   * takes nothing older once it has seen the higher token.
   */
  raiseFencingToken(machine: Machine): void {
    if (machine.assignmentWriteQueued) return;
    machine.tenure.isRaisingToken = true;
    machine.assignmentWriteQueued = true;
    const rewriteOf = machine.assignmentRevision;
    this.context.writer.add({
      key: StateKey.assignment(machine.name),
      value: () => {
        const moveTo = machine.moveToShard;
        return encodeAssignment(
          { ...this.context.clusterState.assignmentOf(machine), moveToShard: moveTo, isRetired: machine.isRetired },
          rewriteOf,
        );
      },
      expectedRevision: machine.assignmentRevision,
      conditions: this.allocations.heldShards.leaseConditions(machine.shard),
      priority: WritePriority.release,
      // No command to the machine leaves before this is stored, and so no stop.
      isUrgent: () => this.allocations.hasCancelledWork(machine),
      onOutcome: (outcome) => {
        machine.assignmentWriteQueued = false;
        machine.tenure.isRaisingToken = false;
        if (outcome === 'ok') {
          machine.tenure.hasUncertainCommand = false;
          machine.tenure.isVerified = false;
          machine.tenure.isProbed = false;
        }
      },
    });
  }

  /** The machine is gone. */
  removeAssignment(machine: Machine): void {
    const cache = StateKey.imageCache(machine.name);
    const kept = this.context.replica.get(cache);
    if (kept)
      this.context.writer.add({
        key: cache,
        value: () => undefined,
        expectedRevision: kept.revision,
        priority: WritePriority.images,
        expiresAt: this.allocations.now + IMAGES_MS,
        onOutcome: () => {},
      });
    this.context.writer.add({
      key: StateKey.assignment(machine.name),
      value: () => undefined,
      expectedRevision: machine.assignmentRevision,
      conditions: this.allocations.heldShards.leaseConditions(machine.shard),
      priority: WritePriority.release,
      onOutcome: (outcome) => {
        if (
          outcome !== 'ok' &&
          this.context.clusterState.machines.get(machine.name) === machine &&
          this.allocations.heldShards.has(machine.shard)
        )
          this.removeAssignment(machine);
      },
    });
  }
}
