/**
 * Updates that the lease holder of a shard writes to the stored assignments of its machines: moves to another shard, raised
 * fencing tokens, and removals. Each write is conditional on the lease of the shard. Owns no state except the flags in the
 * machine that mark a queued write.
 */
import { hasCancelledWork, hasTooManyExitedTasks, type TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, Logger, ReplicaView, StateWriting } from '../context/index.js';
import type { Machine } from '../model/index.js';
import { encodeAssignment, type PendingWrite, StateKey, WritePriority } from '../state/index.js';

/** If the image cache record of a removed machine isn't deleted within this time, it stays: nothing depends on its removal. */
const IMAGE_REMOVAL_TIMEOUT_MS = 15_000;

/**
 * Maximum number of queued rewrites that only let workers forget finished tasks. Other writes must not wait behind one for each
 * machine.
 */
const MAX_BACKGROUND_RAISES = 4;

/** Why a fencing token is raised, as it is logged. */
type TokenRaiseReason = 'uncertain command' | 'a task waits to restart' | 'many finished tasks';

/** The parts of the controller's context that `AssignmentUpdates` uses. */
type AssignmentUpdatesContext = ClusterStateView & ReplicaView & StateWriting & Logger;

/** Writes assignments. Apart from removals, at most one such write is queued per machine. */
export class AssignmentUpdates {
  private queuedBackgroundRaises = 0;

  constructor(
    private readonly context: AssignmentUpdatesContext,
    private readonly allocations: TaskAllocations,
  ) {}

  /** Assigns the machine, which must be able to move (`canMove`), to the shard given by its `moveToShard`. */
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
   * Raises the machine's fencing token, because an unanswered command may still be executed late. The new token is the revision
   * of the rewritten assignment. Once the worker has received it, it rejects commands with a lower token. Until the machine has
   * responded under the new token, it is unverified.
   */
  raiseFencingToken(machine: Machine): void {
    if (machine.assignmentWriteQueued) return;
    const { tenure } = machine;
    tenure.isRaisingToken = true;
    this.rewriteAssignment(machine, 'uncertain command', {
      priority: WritePriority.release,
      // Until this is stored, no command is sent to the machine, and therefore no stop of its cancelled work.
      isUrgent: () => hasCancelledWork(machine),
      onOutcome: (outcome) => {
        tenure.isRaisingToken = false;
        if (outcome === 'ok') tenure.recordTokenRaised();
      },
    });
  }

  /**
   * Raises the machine's fencing token so that its worker may forget exited tasks: from then on it rejects repeats of their
   * starts. What is on the machine is known, so it remains verified, and commands are sent to it meanwhile.
   */
  raiseTokenToForget(machine: Machine): void {
    const { tenure } = machine;
    const isBackground = tenure.tokenRaise === 'background';
    if (machine.assignmentWriteQueued || (isBackground && this.queuedBackgroundRaises >= MAX_BACKGROUND_RAISES)) return;
    if (isBackground) this.queuedBackgroundRaises++;
    this.rewriteAssignment(machine, isBackground ? 'many finished tasks' : 'a task waits to restart', {
      priority: isBackground ? WritePriority.images : WritePriority.release,
      // No other write of the assignment is queued meanwhile: a move, or a higher token after an uncertain command.
      isUrgent: () =>
        (isBackground && isAssignmentWriteDue(machine)) || (tenure.hasUncertainCommand && hasCancelledWork(machine)),
      onOutcome: (outcome) => {
        if (isBackground) this.queuedBackgroundRaises--;
        // Decided anew with the next commands.
        if (outcome !== 'ok') machine.commandsDue = true;
        tenure.tokenRaise = 'none';
      },
    });
  }

  /** Writes the unchanged assignment again, under a new revision. */
  private rewriteAssignment(
    machine: Machine,
    reason: TokenRaiseReason,
    write: Pick<PendingWrite, 'priority' | 'isUrgent' | 'onOutcome'>,
  ): void {
    this.context.log('debug', 'raising fencing token', { machine: machine.name, reason });
    machine.assignmentWriteQueued = true;
    const previousRevision = machine.assignmentRevision;
    this.context.writer.add({
      ...write,
      key: StateKey.assignment(machine.name),
      value: () => {
        const { moveToShard, isRetired } = machine;
        return encodeAssignment({ ...this.context.clusterState.assignmentOf(machine), moveToShard, isRetired }, previousRevision);
      },
      expectedRevision: previousRevision,
      conditions: this.allocations.heldShards.leaseConditions(machine.shard),
      onOutcome: (outcome) => {
        machine.assignmentWriteQueued = false;
        write.onOutcome(outcome);
      },
    });
  }

  /**
   * Deletes the assignment and the image cache record of a released machine. The deletion of the assignment is retried until it
   * succeeds, as long as the machine is in the cluster state and its shard is held by this controller.
   */
  removeAssignment(machine: Machine): void {
    this.removeStoredImages(machine);
    this.context.writer.add({
      key: StateKey.assignment(machine.name),
      value: () => undefined,
      expectedRevision: machine.assignmentRevision,
      conditions: this.allocations.heldShards.leaseConditions(machine.shard),
      priority: WritePriority.release,
      onOutcome: (outcome) => {
        if (outcome !== 'ok' && this.isStillHeld(machine)) this.removeAssignment(machine);
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

  private isStillHeld(machine: Machine): boolean {
    return this.context.clusterState.machines.get(machine.name) === machine && this.allocations.heldShards.has(machine.shard);
  }
}

/** Whether another write of the machine's assignment waits for the queued one, or the machine takes no starts until then. */
function isAssignmentWriteDue(machine: Machine): boolean {
  return machine.tenure.hasUncertainCommand || machine.moveToShard !== null || hasTooManyExitedTasks(machine);
}
