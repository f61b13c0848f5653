/**
 * What the holder of a shard writes to the assignments of its machines: moves to another shard, fencing tokens that rise, and
 * removals. Each write is conditional on the lease of the shard. Owns no state beside the marks in the machine that a write is
 * queued.
 */
import { hasCancelledWork, type TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, Logger, ReplicaView, StateWriting } from '../context/index.js';
import type { Machine } from '../model/index.js';
import { encodeAssignment, StateKey, WritePriority } from '../state/index.js';

/** The stored images of a removed machine are removed within this time, or stay: nothing depends on it. */
const IMAGE_REMOVAL_TIMEOUT_MS = 15_000;

/** What the assignment updates need of their controller. */
type AssignmentUpdatesContext = ClusterStateView & ReplicaView & StateWriting & Logger;

/** Writes assignments; a machine has at most one such write queued at a time, removals aside. */
export class AssignmentUpdates {
  constructor(
    private readonly context: AssignmentUpdatesContext,
    private readonly allocations: TaskAllocations,
  ) {}

  /** Hands the machine over to the shard that it is to move to. It has to be empty. */
  moveToShard(machine: Machine): void {
    const targetShard = machine.moveToShard;
    if (machine.assignmentWriteQueued || targetShard === null) return;
    machine.assignmentWriteQueued = true;
    this.context.writer.add({
      key: StateKey.assignment(machine.name),
      value: () => encodeAssignment({ ...this.context.clusterState.assignmentOf(machine), shard: targetShard }),
      expectedRevision: machine.assignmentRevision,
      conditions: this.allocations.heldShards.leaseConditions(machine.shard),
      priority: WritePriority.assignment,
      onOutcome: (outcome) => {
        machine.assignmentWriteQueued = false;
        if (outcome === 'ok')
          this.context.log('debug', 'machine moved to another shard', { machine: machine.name, to: targetShard });
      },
    });
  }

  /**
   * Guards against a command that got no answer and that may be carried out late: the worker takes nothing older once it has
   * seen the higher token, which is the revision of the assignment. Until the machine has answered under it, it is unverified.
   */
  raiseFencingToken(machine: Machine): void {
    if (machine.assignmentWriteQueued) return;
    machine.tenure.isRaisingToken = true;
    machine.assignmentWriteQueued = true;
    const previousRevision = machine.assignmentRevision;
    this.context.writer.add({
      key: StateKey.assignment(machine.name),
      value: () => {
        const { moveToShard, isRetired } = machine;
        return encodeAssignment({ ...this.context.clusterState.assignmentOf(machine), moveToShard, isRetired }, previousRevision);
      },
      expectedRevision: machine.assignmentRevision,
      conditions: this.allocations.heldShards.leaseConditions(machine.shard),
      priority: WritePriority.release,
      // No command to the machine leaves before this is stored, and so no stop.
      isUrgent: () => hasCancelledWork(machine),
      onOutcome: (outcome) => {
        machine.assignmentWriteQueued = false;
        machine.tenure.isRaisingToken = false;
        if (outcome !== 'ok') return;
        machine.tenure.recordTokenRaised();
      },
    });
  }

  /** The machine is gone. Tried again until it is stored, for as long as the machine is known and its shard held here. */
  removeAssignment(machine: Machine): void {
    this.removeStoredImages(machine);
    this.context.writer.add({
      key: StateKey.assignment(machine.name),
      value: () => undefined,
      expectedRevision: machine.assignmentRevision,
      conditions: this.allocations.heldShards.leaseConditions(machine.shard),
      priority: WritePriority.release,
      onOutcome: (outcome) => {
        if (outcome !== 'ok' && this.isStillOurs(machine)) this.removeAssignment(machine);
      },
    });
  }

  private removeStoredImages(machine: Machine): void {
    const key = StateKey.imageCache(machine.name);
    const stored = this.context.replica.get(key);
    if (!stored) return;
    this.context.writer.add({
      key,
      value: () => undefined,
      expectedRevision: stored.revision,
      priority: WritePriority.images,
      expiresAt: this.allocations.now + IMAGE_REMOVAL_TIMEOUT_MS,
      onOutcome: () => {},
    });
  }

  private isStillOurs(machine: Machine): boolean {
    return this.context.clusterState.machines.get(machine.name) === machine && this.allocations.heldShards.has(machine.shard);
  }
}
