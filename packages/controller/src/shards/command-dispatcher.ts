/**
 * Sends commands and probes to the workers of the held shards, at most one message at a time per machine, and matches their
 * outcomes with them. Owns the pending commands.
 */
import type { Command } from '@archpost/protocol';
import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, EffectSink, Logger, SettingsView } from '../context/index.js';
import { type Allocation, type Machine, type Milliseconds, UNKNOWN_EPOCH } from '../model/index.js';
import { type CommandOutcome, CommandOutcomes, type PendingCommand } from './command-outcomes.js';
import { tokenRaiseToForget } from './forget-commands.js';
import type { HeartbeatReconciliation } from './heartbeat-reconciliation.js';
import { composeCommands, hasCommandsDue } from './machine-commands.js';
import { mayCommand, needsProbe, selectForProbing } from './probe-selection.js';
import type { WorkerResponses } from './worker-responses.js';

/** Epoch in messages to an agent whose epoch is unknown. The agent's response contains its actual epoch. */
const FIRST_EPOCH = 1;

/** The parts of the controller's context that `CommandDispatcher` uses. */
type CommandDispatcherContext = SettingsView & ClusterStateView & EffectSink & Logger;

/** Sends commands and probes, and processes their outcomes. */
export class CommandDispatcher {
  private readonly outcomes: CommandOutcomes;
  private readonly pendingCommands = new Map<number, PendingCommand>();
  /** how many of the pending commands are probes */
  private pendingProbes = 0;

  constructor(
    private readonly context: CommandDispatcherContext,
    private readonly allocations: TaskAllocations,
    reconciler: HeartbeatReconciliation,
    workerResponses: WorkerResponses,
  ) {
    this.outcomes = new CommandOutcomes(context, allocations, reconciler, workerResponses);
  }

  /** Sends the commands that are due to machines that need no probe, and probes as many of the others as the limits allow. */
  dispatchAll(now: Milliseconds): void {
    const { clusterState } = this.context;
    const toProbe: Machine[] = [];
    const actingShards = this.allocations.actingShards();
    for (const machine of clusterState.machines.values()) {
      if (!actingShards.has(machine.shard) || !mayCommand(machine, now)) continue;
      if (needsProbe(machine, this.context, now)) toProbe.push(machine);
      else this.dispatch(machine, now);
    }
    for (const machine of selectForProbing(toProbe, this.pendingProbes, this.context, now)) this.probe(machine, now);
  }

  /** Processes the outcome of the command or probe with this effect id. */
  handleOutcome(id: number, outcome: CommandOutcome, now: Milliseconds): void {
    const pending = this.pendingCommands.get(id);
    if (!pending) return;
    this.pendingCommands.delete(id);
    const { machine, isProbe } = pending;
    if (isProbe) this.pendingProbes--;
    // The command was sent in an earlier tenure of the shard.
    if (machine.tenure.pendingCommandId !== id) return;
    machine.tenure.pendingCommandId = null;
    // A response to a probe of a verified, responsive machine changes nothing for the scheduler.
    if (!isProbe || !machine.tenure.isVerified || machine.tenure.unansweredCommands > 0)
      this.allocations.schedulingRequested = true;
    if (this.allocations.heldShards.has(machine.shard)) this.outcomes.handle(pending, outcome, now);
  }

  private dispatch(machine: Machine, now: Milliseconds): void {
    if (!machine.commandsDue) return;
    this.allocations.freeFinished(machine);
    const due = composeCommands(this.context, this.allocations, machine, now);
    if (due) this.send(machine, due.commands, due.starts, false);
    machine.commandsDue = hasCommandsDue(this.context, machine);
    machine.tenure.tokenRaise = tokenRaiseToForget(this.context, machine);
  }

  private probe(machine: Machine, now: Milliseconds): void {
    // Silence counts from the first probe: until then the machine was not expected to respond.
    if (!machine.tenure.isProbed) {
      machine.tenure.isProbed = true;
      machine.tenure.lastHeartbeatAt = now;
    }
    machine.lastProbeAt = this.allocations.now;
    this.pendingProbes++;
    this.send(machine, [], [], true);
  }

  private send(machine: Machine, commands: Command[], starts: readonly Allocation[], isProbe: boolean): void {
    const { tenure } = machine;
    const id = this.context.nextEffectId();
    const fencingToken = this.context.clusterState.fencingToken(machine);
    // Set before the effect is emitted: from now on the tasks may be on the machine.
    for (const allocation of starts) {
      allocation.phase = 'sent';
      allocation.startToken = fencingToken;
    }
    if (starts.length > 0) machine.lastStartToken = fencingToken;
    tenure.pendingCommandId = id;
    machine.lastCommandAt = this.allocations.now;
    machine.probeRequested = false;
    const positionAtSend = { agentEpoch: tenure.agentEpoch, sequence: tenure.sequence, fencingToken: tenure.fencingToken };
    this.pendingCommands.set(id, { machine, starts, isProbe, positionAtSend });
    this.context.emit({
      type: 'command',
      id,
      machine: machine.name,
      address: machine.address,
      fencingToken,
      agentEpoch: tenure.agentEpoch > UNKNOWN_EPOCH ? tenure.agentEpoch : FIRST_EPOCH,
      commands,
    });
  }
}
