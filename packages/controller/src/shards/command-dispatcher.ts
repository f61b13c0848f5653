import { type Command, MOST_COMMANDS_IN_BODY, type Report } from '@archpost/protocol';
import type { Work } from '../allocation/task-allocations.js';
import type { Context } from '../context/index.js';
import type { Reports } from '../heartbeats/heartbeat-reconciler.js';
import { type Job, type Machine, type Ms, NEVER, type Need, type Placement } from '../model/index.js';
import { ABOVE_ALL_RANKS } from '../model/priorities.js';
import { fits, take } from '../scheduling/placement.js';
import { clearStray, forgetCommand, startCommand, stopCommand } from './task-commands.js';

/**
 * Machines asked how they stand at once, by a whole core. After a takeover all have to be, and
 * workers' reports, whose leases run, must not wait behind a hundred questions.
 */
const ASKS_PER_TICK = 32;

/** A machine that is silent for so many report intervals is asked. */
const SILENT_REPORTS = 2;

/** Connections for each question under way: most are for commands, and a part of those for what is well. */
const SOCKETS_PER_QUESTION = 12;
const SOCKETS_PER_QUESTION_TO_WELL = 8;

/** Starts are added to a message only up to so many commands. */
const MOST_COMMANDS = 60;

/** A stop is sent again after this long. */
const STOP_AGAIN_MS = 4000;

/** A machine that didn't answer, or that knows a higher token, is tried again after this long. */
const UNANSWERED_RETRY_MS = 700;
const HIGHER_TOKEN_RETRY_MS = 1000;

const NOTHING: Need = { cpus: 0, gpus: 0, memory: 0 };

/** Starts of the lowest rank, and what is only to be cleared away, go out this often to a machine. */
const LOW_STARTS_MS = 1000;
const FORGETS_MS = 3000;

function lost(machine: Machine): number {
  return Math.min(machine.lostCount, 1);
}

/** A command, or a question, that was not answered yet. */
interface CommandUnderWay {
  machine: Machine;
  starts: Placement[];
  /** a question: nothing is commanded */
  isProbe: boolean;
  /** what was known of the machine when it was sent: the answer is newer */
  seen: { session: number; seq: number };
}

/** What became of a command. `lost`: it may be carried out yet; `refused`: it never left. */
export type CommandResult = { kind: 'ok' | 'stale'; report: Report | null } | { kind: 'lost' | 'refused' };

function capacityOf({ cap }: Machine): Need {
  return { cpus: cap?.cpus ?? 0, gpus: cap?.gpus ?? 0, memory: cap?.memory ?? 0 };
}

/** Commands to workers: what is sent, and what its outcome means. */
export class Commands {
  private readonly underWay = new Map<number, CommandUnderWay>();

  private probesUnderWay = 0;

  constructor(
    private readonly context: Context,
    private readonly work: Work,
    private readonly reports: Reports,
  ) {}

  /** To all our machines what each is to be told or asked. */
  flushAll(now: Ms): void {
    const toAsk: Machine[] = [];
    const acting = this.work.acting();
    for (const machine of this.context.table.machines.values()) {
      if (!acting.has(machine.share) || !this.mayCommand(machine, now)) continue;
      if (machine.resolved && !this.isOdd(machine, now)) this.flush(machine, now);
      else toAsk.push(machine);
    }
    this.askSome(toAsk, now);
  }

  private mayCommand(machine: Machine, now: Ms): boolean {
    if (machine.giveBack !== '' || machine.addr === '') return false;
    return machine.inflight === 0 && now >= machine.retryAt && !machine.dirty && !machine.raisingToken;
  }

  /** Silent, not answering, or odd: it is asked, rather than waited for. */
  private isOdd(machine: Machine, now: Ms): boolean {
    const silentMs = SILENT_REPORTS * this.context.settings.workers.reportS * 1000;
    return machine.ask || machine.lostCount > 0 || now - machine.heardAt > silentMs;
  }

  /** As many as there is processor time for; questions to a silent zone must not close connections to live machines. */
  private askSome(machines: Machine[], now: Ms): void {
    let room = Math.max(2, Math.round(ASKS_PER_TICK * this.context.settings.cpuShare));
    if (machines.length > room) this.sortForAsking(machines);
    for (const machine of machines) {
      if (room < 1) return;
      // What is heard and has answered so far doesn't wait for what isn't.
      const well = machine.resolved && machine.lostCount === 0 && this.work.heardLately(machine, now);
      const part = well ? SOCKETS_PER_QUESTION_TO_WELL : SOCKETS_PER_QUESTION;
      if (this.probesUnderWay >= this.context.settings.sockets / part) continue;
      room--;
      this.ask(machine, now);
    }
  }

  /**
   * Who is asked first: what answered so far, then what bears cancelled work or the most urgent as far as is
   * heard, then by turns. In the order of their names, a hundred machines of a cut zone were
   * asked again and again, and 31 live ones, never asked, were given back as silent.
   */
  private sortForAsking(machines: Machine[]): void {
    const ranks = machines.map(
      (machine) => [machine, this.work.bearsCancelled(machine) ? ABOVE_ALL_RANKS : machine.bearsRank] as const,
    );
    const rankOf = new Map(ranks);
    const rank = (machine: Machine) => rankOf.get(machine) ?? machine.bearsRank;
    machines.sort((a, b) => lost(a) - lost(b) || rank(b) - rank(a) || a.lastAskAt - b.lastAskAt);
  }

  private ask(machine: Machine, now: Ms): void {
    // Its silence counts from the first question: until then nothing was asked of it.
    if (!machine.probed) {
      machine.probed = true;
      machine.heardAt = now;
    }
    machine.lastAskAt = this.work.now;
    this.probesUnderWay++;
    this.send(machine, [], [], true);
  }

  private flush(machine: Machine, now: Ms): void {
    if (!machine.commandsDue) return;
    const free = capacityOf(machine);
    const commands = machine.strays.slice(0, MOST_COMMANDS_IN_BODY).map(clearStray);
    commands.push(...this.stopsAndForgets(machine, free, MOST_COMMANDS_IN_BODY - commands.length, now));
    const started = this.work.mayStart(now) ? this.startable(machine, free, MOST_COMMANDS - commands.length) : [];
    commands.push(...started.map(({ command }) => command));
    const placements = started.map(({ placement }) => placement);
    if (commands.length > 0 && !this.canWait(machine, commands, placements, now)) this.send(machine, commands, placements, false);
    machine.commandsDue = this.mayNeedCommands(machine);
  }

  /** Is there anything that a command is due for, now or later, though nothing else happens? */
  private mayNeedCommands({ strays, placements }: Machine): boolean {
    if (strays.length > 0) return true;
    for (const { phase, stop } of placements.values())
      if (phase === 'planned' || phase === 'exited' || stop !== null) return true;
    return false;
  }

  /**
   * What is to be stopped or cleared away, up to `most`; the others come with the next message. Takes what the rest
   * needs from `free`.
   */
  private stopsAndForgets(machine: Machine, free: Need, most: number, now: Ms): Command[] {
    const commands: Command[] = [];
    const isFull = () => commands.length >= most;
    for (const placement of machine.placements.values()) {
      if (placement.phase === 'planned') continue;
      if (placement.phase === 'exited') {
        if (!isFull() && !this.isKept(placement)) commands.push(forgetCommand(placement));
        continue;
      }
      if (placement.stop !== null && !isFull() && now - placement.stopSentAt > STOP_AGAIN_MS) {
        commands.push(stopCommand(placement, placement.stop));
        placement.stopSentAt = now;
        if (placement.stopSince < 0) placement.stopSince = now;
      }
      // What is told to go without saving is gone before the next command.
      if (placement.stop !== 0) take(free, placement.job.need);
    }
    return commands;
  }

  /** The worker keeps a result until it is stored. */
  private isKept({ report, job, index }: Placement): boolean {
    return report?.why === 'done' && job.state === 'live' && !job.stored[index];
  }

  private startable(machine: Machine, free: Need, most: number): { placement: Placement; command: Command }[] {
    const out: { placement: Placement; command: Command }[] = [];
    for (const placement of machine.placements.values()) {
      const { job } = placement;
      if (placement.phase !== 'planned' || out.length > most || this.work.unconfirmed(job)) continue;
      if (job.spec.shape === 'gang' ? !this.gangReady(job) : !fits(job.need, free)) continue;
      const command = startCommand(placement);
      if (command === null) continue;
      take(free, job.need);
      out.push({ placement, command });
    }
    return out;
  }

  /**
   * Machines that run short tasks of low rank are told of several at once: with a command and
   * its answer for each, a swarm of them took what processor time there was.
   */
  private canWait(machine: Machine, commands: Command[], started: Placement[], now: Ms): boolean {
    if (commands.some((command) => command.op === 'stop') || started.some((placement) => placement.job.rank > 0)) return false;
    if (started.length > 0) return now - machine.toldAt < LOW_STARTS_MS;
    // What would be empty without them may be wanted elsewhere.
    if (machine.moveTo >= 0 || machine.retire || machine.noticeUntil >= 0) return false;
    let bears = false;
    for (const placement of machine.placements.values()) {
      // What was stopped or failed can't start again before it is cleared away.
      if (placement.phase === 'exited' && placement.report?.why !== 'done') return false;
      bears ||= placement.phase === 'there';
    }
    return bears && now - machine.toldAt < FORGETS_MS;
  }

  /** Starts go out once every member has room in the held plan. */
  private gangReady(job: Job): boolean {
    if (job.gangFailed || job.placements.size < job.spec.tasks) return false;
    for (const { phase, machine } of job.placements.values()) {
      if (phase !== 'planned') continue;
      if (!machine.resolved || machine.dirty || !machine.cap) return false;
      const free = capacityOf(machine);
      for (const other of machine.placements.values()) {
        const isThere = other.phase === 'sent' || other.phase === 'there';
        if (isThere || (other.phase === 'planned' && other.job === job)) take(free, other.job.need);
      }
      if (!fits(NOTHING, free)) return false;
    }
    return true;
  }

  private send(machine: Machine, commands: Command[], starts: Placement[], isProbe: boolean): void {
    const id = this.context.nextId();
    // Marked before anything leaves: from here on the tasks may be there.
    for (const placement of starts) placement.phase = 'sent';
    machine.inflight = id;
    machine.toldAt = this.work.now;
    machine.ask = false;
    this.underWay.set(id, { machine, starts, isProbe, seen: { session: machine.session, seq: machine.seq } });
    this.context.emit({
      t: 'command',
      id,
      machine: machine.name,
      addr: machine.addr,
      token: this.context.table.token(machine),
      session: machine.session > 0 ? machine.session : 1,
      commands,
    });
  }

  /** The outcome of a command or a question. */
  result(id: number, result: CommandResult, now: Ms): void {
    const command = this.underWay.get(id);
    if (!command) return;
    this.underWay.delete(id);
    const { machine, isProbe } = command;
    if (isProbe) this.probesUnderWay--;
    if (machine.inflight !== id) return;
    machine.inflight = 0;
    // That a machine stands as it stood changes no plan.
    if (!isProbe || !machine.resolved || machine.lostCount > 0) this.work.wantPlan = true;
    if (!this.work.held.has(machine.share)) return;
    if (!('report' in result)) return this.unanswered(command, result.kind, now);
    if (result.kind === 'ok' && result.report === null) {
      // Executed, but what is there now can't be read: as good as no answer.
      this.context.log('warn', "a worker's answer can not be read", { machine: machine.name });
      return this.unanswered(command, 'lost', now);
    }
    this.work.answeredAt = now;
    this.work.unanswered.clear();
    machine.lostCount = 0;
    machine.lostSince = -1;
    if (result.kind === 'ok') this.carriedOut(command, result.report, now);
    else this.notCarriedOut(command, result.report, now);
  }

  private carriedOut({ machine, starts, isProbe, seen }: CommandUnderWay, report: Report | null, now: Ms): void {
    if (report) this.reports.observe(machine, report, now, seen);
    // What was started and isn't reported was there and is gone.
    for (const placement of starts) if (this.work.isSent(placement)) this.work.free(placement);
    if (!isProbe || machine.resolved) return;
    machine.resolved = true;
    machine.suspect = false;
    // Under the new token nothing older can start any more: what the report lacks isn't there.
    for (const placement of [...machine.placements.values()]) if (placement.phase === 'sent') this.work.free(placement);
  }

  /** The machine is in another session, or has seen a higher token. */
  private notCarriedOut({ machine, starts, seen }: CommandUnderWay, report: Report | null, now: Ms): void {
    for (const placement of starts) this.work.unsend(placement);
    if (!report) return;
    this.reports.observe(machine, report, now, seen);
    if (report.token > this.context.table.token(machine)) machine.retryAt = now + HIGHER_TOKEN_RETRY_MS;
  }

  private unanswered({ machine, starts, isProbe }: CommandUnderWay, kind: 'lost' | 'refused', now: Ms): void {
    if (this.work.heardLately(machine, now)) this.work.unanswered.add(machine.name);
    machine.lostCount++;
    if (machine.lostSince < 0) machine.lostSince = now;
    machine.retryAt = now + UNANSWERED_RETRY_MS;
    for (const placement of machine.placements.values()) placement.stopSentAt = NEVER;
    if (kind === 'refused') for (const placement of starts) this.work.unsend(placement);
    // It may be carried out late; a question that is does nothing.
    else if (!isProbe) machine.dirty = true;
  }
}
