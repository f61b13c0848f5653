/**
 * Sends commands and probes to the workers of the shards that may be acted for here, one at a time to each machine, and
 * matches outcomes with them. Owns the commands that were not answered yet.
 */
import type { Command } from '@archpost/protocol';
import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, EffectSink, Logger, SettingsView } from '../context/index.js';
import { type Allocation, type Machine, type Milliseconds, UNKNOWN_EPOCH } from '../model/index.js';
import { type CommandOutcome, CommandOutcomes, type PendingCommand } from './command-outcomes.js';
import type { HeartbeatReconciliation } from './heartbeat-reconciliation.js';
import { hasCommandsDue, machineCommands } from './machine-commands.js';
import { mayCommand, needsProbe, selectForProbing } from './probe-selection.js';
import type { WorkerAnswers } from './worker-answers.js';

/** What an agent that has not been heard is addressed with: it answers with its own epoch. */
const FIRST_EPOCH = 1;

/** What the command dispatcher needs of its controller. */
type CommandDispatcherContext = SettingsView & ClusterStateView & EffectSink & Logger;

/** Commands to workers, and the answers to them. */
export class CommandDispatcher {
  private readonly outcomes: CommandOutcomes;
  private readonly pendingCommands = new Map<number, PendingCommand>();
  /** how many of the pending commands are probes */
  private pendingProbes = 0;

  constructor(
    private readonly context: CommandDispatcherContext,
    private readonly allocations: TaskAllocations,
    reconciler: HeartbeatReconciliation,
    workerAnswers: WorkerAnswers,
  ) {
    this.outcomes = new CommandOutcomes(context, allocations, reconciler, workerAnswers);
  }

  /** Commands the machines that are known well enough, and probes others, as many as there is capacity for. */
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

  /** The outcome of the command or probe with this effect id. */
  handleOutcome(id: number, outcome: CommandOutcome, now: Milliseconds): void {
    const pending = this.pendingCommands.get(id);
    if (!pending) return;
    this.pendingCommands.delete(id);
    const { machine, isProbe } = pending;
    if (isProbe) this.pendingProbes--;
    // It was sent in an earlier tenure of the shard.
    if (machine.tenure.pendingCommandId !== id) return;
    machine.tenure.pendingCommandId = null;
    // A probe that confirms what was known gives the scheduler nothing new to work with.
    if (!isProbe || !machine.tenure.isVerified || machine.tenure.unansweredCommands > 0)
      this.allocations.schedulingRequested = true;
    if (this.allocations.heldShards.has(machine.shard)) this.outcomes.handle(pending, outcome, now);
  }

  private dispatch(machine: Machine, now: Milliseconds): void {
    if (!machine.commandsDue) return;
    const due = machineCommands(this.allocations, machine, now);
    if (due) this.send(machine, due.commands, due.starts, false);
    machine.commandsDue = hasCommandsDue(machine);
  }

  private probe(machine: Machine, now: Milliseconds): void {
    // Its silence counts from the first probe: until then it was not expected to answer.
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
    // Marked before anything leaves: from here on the tasks may be there.
    for (const allocation of starts) allocation.phase = 'sent';
    tenure.pendingCommandId = id;
    machine.lastCommandAt = this.allocations.now;
    machine.probeRequested = false;
    const knownBefore = { agentEpoch: tenure.agentEpoch, sequence: tenure.sequence };
    this.pendingCommands.set(id, { machine, starts, isProbe, knownBefore });
    this.context.emit({
      type: 'command',
      id,
      machine: machine.name,
      address: machine.address,
      fencingToken: this.context.clusterState.fencingToken(machine),
      agentEpoch: tenure.agentEpoch > UNKNOWN_EPOCH ? tenure.agentEpoch : FIRST_EPOCH,
      commands,
    });
  }
}
