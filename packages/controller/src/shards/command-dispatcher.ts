import { type Command, type Heartbeat, MAX_COMMANDS_PER_BODY } from '@archpost/protocol';
import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView, EffectSink, Logger, SettingsView } from '../context/index.js';
import {
  type Allocation,
  CANCELLED_WORK_PRIORITY,
  fits,
  type Job,
  type Machine,
  type Milliseconds,
  NEVER,
  type Resources,
  subtract,
} from '../model/index.js';
import type { HeartbeatReconciliation, KnownHeartbeat } from './heartbeat-reconciliation.js';
import { clearOrphanedTask, forgetCommand, startCommand, stopCommand } from './task-commands.js';

/**
 * Machines asked how they stand at once, by a whole core. After a takeover all have to be, and
 * workers' reports, whose leases run, must not wait behind a hundred questions.
 */
const PROBES_PER_TICK = 32;

/** A machine that is silent for so many report intervals is asked. */
const SILENT_INTERVALS = 2;

/** Connections for each question under way: most are for commands, and a part of those for what is well. */
const SOCKETS_PER_PROBE = 12;
const SOCKETS_PER_HEALTHY_PROBE = 8;

/** Starts are added to a message only up to so many commands. */
const MAX_COMMANDS_WITH_STARTS = 60;

/** A stop is sent again after this long. */
const STOP_RETRY_MS = 4000;

/** A machine that didn't answer, or that knows a higher token, is tried again after this long. */
const UNANSWERED_RETRY_MS = 700;
const HIGHER_TOKEN_RETRY_MS = 1000;

const NOTHING: Resources = { cpus: 0, gpus: 0, memory: 0 };

/** Starts of the lowest rank, and what is only to be cleared away, go out this often to a machine. */
const LOW_PRIORITY_START_INTERVAL_MS = 1000;
const FORGET_INTERVAL_MS = 3000;

function unansweredRank(machine: Machine): number {
  return Math.min(machine.tenure.unansweredCommands, 1);
}

/** A command, or a question, that was not answered yet. */
interface PendingCommand {
  machine: Machine;
  starts: Allocation[];
  /** a question: nothing is commanded */
  isProbe: boolean;
  /** what was known of the machine when it was sent: the answer is newer */
  knownBefore: KnownHeartbeat;
}

/** What became of a command. `lost`: it may be carried out yet; `refused`: it never left. */
export type CommandOutcome = { kind: 'ok' | 'stale'; report: Heartbeat | null } | { kind: 'lost' | 'refused' };

function capacityOf({ capacity }: Machine): Resources {
  return { cpus: capacity?.cpus ?? 0, gpus: capacity?.gpus ?? 0, memory: capacity?.memory ?? 0 };
}

/** What the command dispatcher needs of its controller. */
type CommandDispatcherContext = SettingsView & ClusterStateView & EffectSink & Logger;

/** Commands to workers: what is sent, and what its outcome means. */
export class CommandDispatcher {
  private readonly pendingCommands = new Map<number, PendingCommand>();

  private pendingProbes = 0;

  constructor(
    private readonly context: CommandDispatcherContext,
    private readonly allocations: TaskAllocations,
    private readonly reconciler: HeartbeatReconciliation,
  ) {}

  /** To all our machines what each is to be told or asked. */
  dispatchAll(now: Milliseconds): void {
    const toAsk: Machine[] = [];
    const acting = this.allocations.actingShards();
    for (const machine of this.context.clusterState.machines.values()) {
      if (!acting.has(machine.shard) || !this.mayCommand(machine, now)) continue;
      if (machine.tenure.isVerified && !this.needsProbe(machine, now)) this.dispatch(machine, now);
      else toAsk.push(machine);
    }
    this.probeSome(toAsk, now);
  }

  private mayCommand(machine: Machine, now: Milliseconds): boolean {
    if (machine.tenure.releaseReason !== null || machine.address === '') return false;
    return (
      machine.tenure.pendingCommandId === null &&
      now >= machine.tenure.retryAt &&
      !machine.tenure.hasUncertainCommand &&
      !machine.tenure.isRaisingToken
    );
  }

  /** Silent, not answering, or odd: it is asked, rather than waited for. */
  private needsProbe(machine: Machine, now: Milliseconds): boolean {
    const silentMs = SILENT_INTERVALS * this.context.settings.workers.heartbeatIntervalS * 1000;
    return machine.probeRequested || machine.tenure.unansweredCommands > 0 || now - machine.tenure.lastHeartbeatAt > silentMs;
  }

  /** As many as there is processor time for; questions to a silent zone must not close connections to live machines. */
  private probeSome(machines: Machine[], now: Milliseconds): void {
    let remaining = Math.max(2, Math.round(PROBES_PER_TICK * this.context.settings.cpuShare));
    if (machines.length > remaining) this.sortForProbing(machines);
    for (const machine of machines) {
      if (remaining < 1) return;
      // What is heard and has answered so far doesn't wait for what isn't.
      const well =
        machine.tenure.isVerified && machine.tenure.unansweredCommands === 0 && this.allocations.isHeardRecently(machine, now);
      const part = well ? SOCKETS_PER_HEALTHY_PROBE : SOCKETS_PER_PROBE;
      if (this.pendingProbes >= this.context.settings.maxSockets / part) continue;
      remaining--;
      this.probe(machine, now);
    }
  }

  /**
   * Who is asked first: what answered so far, then what bears cancelled work or the most urgent as far as is
   * heard, then by turns. In the order of their names, a hundred machines of a cut zone were
   * asked again and again, and 31 live ones, never asked, were given back as silent.
   */
  private sortForProbing(machines: Machine[]): void {
    const priorities = machines.map(
      (machine) =>
        [
          machine,
          this.allocations.hasCancelledWork(machine) ? CANCELLED_WORK_PRIORITY : machine.tenure.reportedPriority,
        ] as const,
    );
    const rankOf = new Map(priorities);
    const rank = (machine: Machine) => rankOf.get(machine) ?? machine.tenure.reportedPriority;
    machines.sort((a, b) => unansweredRank(a) - unansweredRank(b) || rank(b) - rank(a) || a.lastProbeAt - b.lastProbeAt);
  }

  private probe(machine: Machine, now: Milliseconds): void {
    // Its silence counts from the first question: until then nothing was asked of it.
    if (!machine.tenure.isProbed) {
      machine.tenure.isProbed = true;
      machine.tenure.lastHeartbeatAt = now;
    }
    machine.lastProbeAt = this.allocations.now;
    this.pendingProbes++;
    this.send(machine, [], [], true);
  }

  private dispatch(machine: Machine, now: Milliseconds): void {
    if (!machine.commandsDue) return;
    const free = capacityOf(machine);
    const commands = machine.tenure.orphanedTasks.slice(0, MAX_COMMANDS_PER_BODY).map(clearOrphanedTask);
    commands.push(...this.stopAndForgetCommands(machine, free, MAX_COMMANDS_PER_BODY - commands.length, now));
    const started = this.allocations.startFreshness.mayStart(now)
      ? this.startableTasks(machine, free, MAX_COMMANDS_WITH_STARTS - commands.length)
      : [];
    commands.push(...started.map(({ command }) => command));
    const allocations = started.map(({ placement: allocation }) => allocation);
    if (commands.length > 0 && !this.canBeDelayed(machine, commands, allocations, now))
      this.send(machine, commands, allocations, false);
    machine.commandsDue = this.hasCommandsDue(machine);
  }

  /** Is there anything that a command is due for, now or later, though nothing else happens? */
  private hasCommandsDue({ tenure: { orphanedTasks, allocations } }: Machine): boolean {
    if (orphanedTasks.length > 0) return true;
    for (const { phase, stopGraceS: stop } of allocations.values())
      if (phase === 'planned' || phase === 'exited' || stop !== null) return true;
    return false;
  }

  /**
   * What is to be stopped or cleared away, up to `most`; the others come with the next message. Takes what the rest
   * needs from `free`.
   */
  private stopAndForgetCommands(machine: Machine, free: Resources, limit: number, now: Milliseconds): Command[] {
    const commands: Command[] = [];
    const isFull = () => commands.length >= limit;
    for (const allocation of machine.tenure.allocations.values()) {
      if (allocation.phase === 'planned') continue;
      if (allocation.phase === 'exited') {
        if (!isFull() && !this.isResultUnstored(allocation)) commands.push(forgetCommand(allocation));
        continue;
      }
      if (allocation.stopGraceS !== null && !isFull() && now - allocation.stopSentAt > STOP_RETRY_MS) {
        commands.push(stopCommand(allocation, allocation.stopGraceS));
        allocation.stopSentAt = now;
        if (allocation.firstStopSentAt === null) allocation.firstStopSentAt = now;
      }
      // What is told to go without saving is gone before the next command.
      if (allocation.stopGraceS !== 0) subtract(free, allocation.job.resources);
    }
    return commands;
  }

  /** The worker keeps a result until it is stored. */
  private isResultUnstored({ status, job, taskIndex: index }: Allocation): boolean {
    return status?.exitReason === 'done' && job.state === 'live' && !job.storedDone[index];
  }

  private startableTasks(machine: Machine, free: Resources, limit: number): { placement: Allocation; command: Command }[] {
    const result: { placement: Allocation; command: Command }[] = [];
    for (const allocation of machine.tenure.allocations.values()) {
      const { job } = allocation;
      if (allocation.phase !== 'planned' || result.length > limit || this.allocations.startFreshness.isStateUnconfirmed(job))
        continue;
      if (job.spec.shape === 'gang' ? !this.isGangReady(job) : !fits(job.resources, free)) continue;
      const command = startCommand(allocation);
      if (command === null) continue;
      subtract(free, job.resources);
      result.push({ placement: allocation, command });
    }
    return result;
  }

  /**
   * Machines that run short tasks of low rank are told of several at once: with a command and
   * its answer for each, a swarm of them took what processor time there was.
   */
  private canBeDelayed(machine: Machine, commands: Command[], started: Allocation[], now: Milliseconds): boolean {
    if (commands.some((command) => command.type === 'stop') || started.some((allocation) => allocation.job.priority > 0))
      return false;
    if (started.length > 0) return now - machine.lastCommandAt < LOW_PRIORITY_START_INTERVAL_MS;
    // What would be empty without them may be wanted elsewhere.
    if (machine.moveToShard !== null || machine.isRetired || machine.tenure.preemptionNoticeUntil !== null) return false;
    let bears = false;
    for (const allocation of machine.tenure.allocations.values()) {
      // What was stopped or failed can't start again before it is cleared away.
      if (allocation.phase === 'exited' && allocation.status?.exitReason !== 'done') return false;
      bears ||= allocation.phase === 'there';
    }
    return bears && now - machine.lastCommandAt < FORGET_INTERVAL_MS;
  }

  /** Starts go out once every member has room in the held plan. */
  private isGangReady(job: Job): boolean {
    if (job.tenure.gangFailed || job.tenure.allocations.size < job.spec.tasks) return false;
    for (const { phase, machine } of job.tenure.allocations.values()) {
      if (phase !== 'planned') continue;
      if (!machine.tenure.isVerified || machine.tenure.hasUncertainCommand || !machine.capacity) return false;
      const free = capacityOf(machine);
      for (const other of machine.tenure.allocations.values()) {
        const isThere = other.phase === 'sent' || other.phase === 'there';
        if (isThere || (other.phase === 'planned' && other.job === job)) subtract(free, other.job.resources);
      }
      if (!fits(NOTHING, free)) return false;
    }
    return true;
  }

  private send(machine: Machine, commands: Command[], starts: Allocation[], isProbe: boolean): void {
    const id = this.context.nextEffectId();
    // Marked before anything leaves: from here on the tasks may be there.
    for (const allocation of starts) allocation.phase = 'sent';
    machine.tenure.pendingCommandId = id;
    machine.lastCommandAt = this.allocations.now;
    machine.probeRequested = false;
    this.pendingCommands.set(id, {
      machine,
      starts,
      isProbe,
      knownBefore: { agentEpoch: machine.tenure.agentEpoch, sequence: machine.tenure.sequence },
    });
    this.context.emit({
      type: 'command',
      id,
      machine: machine.name,
      address: machine.address,
      fencingToken: this.context.clusterState.fencingToken(machine),
      agentEpoch: machine.tenure.agentEpoch > 0 ? machine.tenure.agentEpoch : 1,
      commands,
    });
  }

  /** The outcome of a command or a question. */
  handleOutcome(id: number, result: CommandOutcome, now: Milliseconds): void {
    const command = this.pendingCommands.get(id);
    if (!command) return;
    this.pendingCommands.delete(id);
    const { machine, isProbe } = command;
    if (isProbe) this.pendingProbes--;
    if (machine.tenure.pendingCommandId !== id) return;
    machine.tenure.pendingCommandId = null;
    // That a machine stands as it stood changes no plan.
    if (!isProbe || !machine.tenure.isVerified || machine.tenure.unansweredCommands > 0)
      this.allocations.schedulingRequested = true;
    if (!this.allocations.heldShards.has(machine.shard)) return;
    if (!('report' in result)) return this.handleUnanswered(command, result.kind, now);
    if (result.kind === 'ok' && result.report === null) {
      // Executed, but what is there now can't be read: as good as no answer.
      this.context.log('warn', 'unreadable worker response', { machine: machine.name });
      return this.handleUnanswered(command, 'lost', now);
    }
    this.allocations.lastAnswerAt = now;
    this.allocations.unansweredMachines.clear();
    machine.tenure.unansweredCommands = 0;
    machine.tenure.unansweredSince = null;
    if (result.kind === 'ok') this.handleExecuted(command, result.report, now);
    else this.handleRejected(command, result.report, now);
  }

  private handleExecuted(
    { machine, starts, isProbe, knownBefore: seen }: PendingCommand,
    heartbeat: Heartbeat | null,
    now: Milliseconds,
  ): void {
    if (heartbeat) this.reconciler.reconcile(machine, heartbeat, now, seen);
    // What was started and isn't reported was there and is gone.
    for (const allocation of starts) if (this.allocations.isStartPending(allocation)) this.allocations.free(allocation);
    if (!isProbe || machine.tenure.isVerified) return;
    machine.tenure.isVerified = true;
    machine.tenure.isUnverifiedTakeover = false;
    // Under the new token nothing older can start any more: what the report lacks isn't there.
    for (const allocation of [...machine.tenure.allocations.values()])
      if (allocation.phase === 'sent') this.allocations.free(allocation);
  }

  /** The machine is in another session, or has seen a higher token. */
  private handleRejected(
    { machine, starts, knownBefore: seen }: PendingCommand,
    heartbeat: Heartbeat | null,
    now: Milliseconds,
  ): void {
    for (const allocation of starts) this.allocations.startNotSent(allocation);
    if (!heartbeat) return;
    this.reconciler.reconcile(machine, heartbeat, now, seen);
    if (heartbeat.fencingToken > this.context.clusterState.fencingToken(machine))
      machine.tenure.retryAt = now + HIGHER_TOKEN_RETRY_MS;
  }

  private handleUnanswered({ machine, starts, isProbe }: PendingCommand, kind: 'lost' | 'refused', now: Milliseconds): void {
    if (this.allocations.isHeardRecently(machine, now)) this.allocations.unansweredMachines.add(machine.name);
    machine.tenure.unansweredCommands++;
    if (machine.tenure.unansweredSince === null) machine.tenure.unansweredSince = now;
    machine.tenure.retryAt = now + UNANSWERED_RETRY_MS;
    for (const allocation of machine.tenure.allocations.values()) allocation.stopSentAt = NEVER;
    if (kind === 'refused') for (const allocation of starts) this.allocations.startNotSent(allocation);
    // It may be carried out late; a question that is does nothing.
    else if (!isProbe) machine.tenure.hasUncertainCommand = true;
  }
}
