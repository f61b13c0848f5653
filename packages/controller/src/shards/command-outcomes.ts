/**
 * Applies the outcome of a command or probe to the machine and to the tasks whose starts the command contained. Owns no state: it
 * writes to the tenure of the machine and passes the status in a response to heartbeat reconciliation.
 */
import type { Heartbeat } from '@archpost/protocol';
import { hasRecentContact, type TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, Logger } from '../context/index.js';
import {
  type Allocation,
  type FencedPosition,
  type Machine,
  type MachineTenure,
  type Milliseconds,
  NEVER,
} from '../model/index.js';
import type { HeartbeatReconciliation } from './heartbeat-reconciliation.js';
import type { WorkerResponses } from './worker-responses.js';

/** Delay before the next message to a machine that didn't respond. */
const UNANSWERED_RETRY_MS = 700;

/**
 * Delay before the next message to a machine that has received a higher fencing token: this controller's replica doesn't contain
 * the change that raised the token yet.
 */
const HIGHER_TOKEN_RETRY_MS = 1000;

/** A command or probe that has no outcome yet. */
export interface PendingCommand {
  machine: Machine;
  /** the allocations whose starts it contains */
  starts: readonly Allocation[];
  /** whether it contains no commands, so that a late delivery has no effect */
  isProbe: boolean;
  /** position of the newest heartbeat that was processed before it was sent: the response is newer */
  positionAtSend: FencedPosition;
}

/**
 * The outcome of a command. `ok`: the worker executed it. `stale`: the worker rejected it because of its fencing token or agent
 * epoch. `lost`: no response arrived, and the command may still be executed. `refused`: no connection to the worker could be
 * made, so the command was not sent. `withheld`: this controller did not send it because of its own delay. `heartbeat`: the
 * worker's status in the response; null if it could not be read.
 */
export type CommandOutcome = { kind: 'ok' | 'stale'; heartbeat: Heartbeat | null } | { kind: 'lost' | 'refused' | 'withheld' };

/** The parts of the controller's context that `CommandOutcomes` uses. */
type CommandOutcomesContext = ClusterStateView & Logger;

/** Processes the outcomes of commands to machines of held shards. */
export class CommandOutcomes {
  constructor(
    private readonly context: CommandOutcomesContext,
    private readonly allocations: TaskAllocations,
    private readonly reconciler: HeartbeatReconciliation,
    private readonly workerResponses: WorkerResponses,
  ) {}

  /** Processes the outcome of `pending`, the machine's last command, which the caller has already removed from its tenure. */
  handle(pending: PendingCommand, outcome: CommandOutcome, now: Milliseconds): void {
    switch (outcome.kind) {
      case 'lost':
      case 'refused':
        return this.handleUnanswered(pending, outcome.kind, now);
      case 'withheld':
        return this.handleWithheld(pending);
      case 'ok':
        return this.handleExecuted(pending, outcome.heartbeat, now);
      case 'stale':
        return this.handleRejected(pending, outcome.heartbeat, now);
      default:
        return outcome satisfies never;
    }
  }

  private handleExecuted(pending: PendingCommand, heartbeat: Heartbeat | null, now: Milliseconds): void {
    const { machine, starts, isProbe, positionAtSend } = pending;
    if (heartbeat === null) {
      // The commands were executed, but the machine's tasks are unknown, as if no response had arrived.
      this.context.log('warn', 'unreadable worker response', { machine: machine.name });
      return this.handleUnanswered(pending, 'lost', now);
    }
    this.recordResponse(machine, now);
    this.reconciler.reconcile(machine, heartbeat, now, positionAtSend);
    // A task that was started but is missing from the status has already ended, and a repeat of its start could run it again.
    for (const allocation of starts)
      if (this.allocations.isStartPending(allocation)) this.allocations.keepUntilTokenRaised(allocation);
    if (isProbe && !machine.tenure.isVerified && isNewest(machine.tenure, heartbeat) && !machine.tenure.hasUncertainCommand)
      this.recordVerified(machine);
  }

  /**
   * Marks the machine as verified. Under its new fencing token no earlier start can be executed anymore, so a task that is
   * missing from the status isn't on the machine.
   */
  private recordVerified(machine: Machine): void {
    machine.tenure.recordVerified();
    for (const allocation of [...machine.tenure.allocations.values()])
      if (allocation.phase === 'sent') this.allocations.free(allocation);
  }

  /** Handles a command that the worker rejected: its agent is in another epoch, or has received a higher fencing token. */
  private handleRejected(
    { machine, starts, positionAtSend }: PendingCommand,
    heartbeat: Heartbeat | null,
    now: Milliseconds,
  ): void {
    this.recordResponse(machine, now);
    for (const allocation of starts) this.allocations.revertStart(allocation);
    if (heartbeat === null) return;
    this.reconciler.reconcile(machine, heartbeat, now, positionAtSend);
    if (heartbeat.fencingToken > this.context.clusterState.fencingToken(machine))
      machine.tenure.retryAt = now + HIGHER_TOKEN_RETRY_MS;
  }

  /** Records that the machine responded, which also shows that workers can be reached from this controller. */
  private recordResponse({ tenure }: Machine, now: Milliseconds): void {
    this.workerResponses.recordResponse(now);
    tenure.unansweredCommands = 0;
    tenure.unansweredSince = null;
  }

  /** Makes the stops and starts of a command that was not sent due again. The machine doesn't count as unresponsive for it. */
  private handleWithheld({ machine: { tenure }, starts }: PendingCommand): void {
    for (const allocation of tenure.allocations.values()) allocation.stopSentAt = NEVER;
    for (const allocation of starts) this.allocations.revertStart(allocation);
  }

  private handleUnanswered({ machine, starts, isProbe }: PendingCommand, kind: 'lost' | 'refused', now: Milliseconds): void {
    const { tenure } = machine;
    if (hasRecentContact(machine, now)) this.workerResponses.recordUnanswered(machine);
    tenure.unansweredCommands++;
    if (tenure.unansweredSince === null) tenure.unansweredSince = now;
    tenure.retryAt = now + UNANSWERED_RETRY_MS;
    for (const allocation of tenure.allocations.values()) allocation.stopSentAt = NEVER;
    if (kind === 'refused') for (const allocation of starts) this.allocations.revertStart(allocation);
    // Unlike a probe, a lost command may be executed late.
    else if (!isProbe) tenure.hasUncertainCommand = true;
  }
}

/** Whether the status in a response was processed, rather than set aside because of a heartbeat that arrived before it. */
function isNewest(tenure: MachineTenure, { agentEpoch, sequence }: Heartbeat): boolean {
  return tenure.agentEpoch === agentEpoch && tenure.sequence === sequence;
}
