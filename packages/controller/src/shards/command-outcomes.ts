/**
 * What the outcome of a command or probe means for the machine and for the tasks whose starts it carried. Owns no state; it
 * writes to the tenure of the machine, and hands the status in an answer to the reconciliation of heartbeats.
 */
import type { Heartbeat } from '@archpost/protocol';
import { isHeardRecently, type TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, Logger } from '../context/index.js';
import { type Allocation, type HeartbeatPosition, type Machine, type Milliseconds, NEVER } from '../model/index.js';
import type { HeartbeatReconciliation } from './heartbeat-reconciliation.js';
import type { WorkerAnswers } from './worker-answers.js';

/** A machine that didn't answer is tried again after this long. */
const UNANSWERED_RETRY_MS = 700;

/** A machine that knows a higher fencing token is tried again after this long: this controller has yet to read why. */
const HIGHER_TOKEN_RETRY_MS = 1000;

/** A command or probe that was not answered yet. */
export interface PendingCommand {
  machine: Machine;
  /** the allocations whose starts it carries */
  starts: readonly Allocation[];
  /** it carries no command, so nothing happens if it arrives late */
  isProbe: boolean;
  /** what was known of the worker when it was sent: the answer is newer */
  knownBefore: HeartbeatPosition;
}

/**
 * What became of a command. `ok`: it was carried out; `stale`: the worker rejected it, for its fencing token or for the agent's
 * epoch; `lost`: there was no answer, and it may be carried out yet; `refused`: the worker could not be connected to, so it
 * never left; `withheld`: this controller did not send it, since it was late itself. `heartbeat`: the worker's
 * status; null: it could not be read.
 */
export type CommandOutcome = { kind: 'ok' | 'stale'; heartbeat: Heartbeat | null } | { kind: 'lost' | 'refused' | 'withheld' };

/** What the outcomes of commands need of their controller. */
type CommandOutcomesContext = ClusterStateView & Logger;

/** Takes the outcomes of commands to machines of shards that are held here. */
export class CommandOutcomes {
  constructor(
    private readonly context: CommandOutcomesContext,
    private readonly allocations: TaskAllocations,
    private readonly reconciler: HeartbeatReconciliation,
    private readonly workerAnswers: WorkerAnswers,
  ) {}

  /** `pending` is the machine's last command, and no longer counts as pending. */
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
    const { machine, starts, isProbe, knownBefore } = pending;
    if (heartbeat === null) {
      // Carried out, but what runs there now can't be read: as good as no answer.
      this.context.log('warn', 'unreadable worker response', { machine: machine.name });
      return this.handleUnanswered(pending, 'lost', now);
    }
    this.recordAnswer(machine, now);
    this.reconciler.reconcile(machine, heartbeat, now, knownBefore);
    // A task that was started and isn't reported has run and is gone.
    for (const allocation of starts) if (this.allocations.isStartPending(allocation)) this.allocations.free(allocation);
    if (isProbe && !machine.tenure.isVerified) this.recordVerified(machine);
  }

  /** Under the new token no older start can be carried out any more: a task that the status lacks isn't there. */
  private recordVerified(machine: Machine): void {
    machine.tenure.recordVerified();
    for (const allocation of [...machine.tenure.allocations.values()])
      if (allocation.phase === 'sent') this.allocations.free(allocation);
  }

  /** The worker's agent is in another epoch, or has seen a higher fencing token. */
  private handleRejected({ machine, starts, knownBefore }: PendingCommand, heartbeat: Heartbeat | null, now: Milliseconds): void {
    this.recordAnswer(machine, now);
    for (const allocation of starts) this.allocations.startNotSent(allocation);
    if (heartbeat === null) return;
    this.reconciler.reconcile(machine, heartbeat, now, knownBefore);
    if (heartbeat.fencingToken > this.context.clusterState.fencingToken(machine))
      machine.tenure.retryAt = now + HIGHER_TOKEN_RETRY_MS;
  }

  /** Some worker is reachable from here, and this machine is. */
  private recordAnswer({ tenure }: Machine, now: Milliseconds): void {
    this.workerAnswers.recordAnswer(now);
    tenure.unansweredCommands = 0;
    tenure.unansweredSince = null;
  }

  /** What was not sent says nothing of the machine. */
  private handleWithheld({ machine: { tenure }, starts }: PendingCommand): void {
    for (const allocation of tenure.allocations.values()) allocation.stopSentAt = NEVER;
    for (const allocation of starts) this.allocations.startNotSent(allocation);
  }

  private handleUnanswered({ machine, starts, isProbe }: PendingCommand, kind: 'lost' | 'refused', now: Milliseconds): void {
    const { tenure } = machine;
    if (isHeardRecently(machine, now)) this.workerAnswers.recordUnanswered(machine);
    tenure.unansweredCommands++;
    if (tenure.unansweredSince === null) tenure.unansweredSince = now;
    tenure.retryAt = now + UNANSWERED_RETRY_MS;
    for (const allocation of tenure.allocations.values()) allocation.stopSentAt = NEVER;
    if (kind === 'refused') for (const allocation of starts) this.allocations.startNotSent(allocation);
    // A command may be carried out late.
    else if (!isProbe) tenure.hasUncertainCommand = true;
  }
}
