/**
 * Answers to workers' reports, and who learns what they say. Any controller answers, so that work doesn't die with
 * its owner; only the owner commands. How long, and why that breaks nothing: docs/design.md, "Who may answer workers".
 */
import { type Command, goHome, MOST_COMMANDS_IN_BODY, type Report, reportAnswer } from '@archpost/protocol';
import type { Context } from '../context/index.js';
import type { Vouching } from '../leadership/cancellation-freshness.js';
import type { Leader } from '../leadership/leader.js';
import type { Ms } from '../model/index.js';
import type { Owner } from '../shards/shard-controller.js';
import { stopReported } from '../shards/task-commands.js';
import type { ReportForwarding } from './heartbeat-forwarding.js';
import type { WorkerRouting } from './worker-routing.js';

const NOT_ENTITLED = { error: 'not entitled' };

/** Who takes what workers say. */
export interface ReportReceivers {
  owner: Owner;
  leader: Leader;
  forwarding: ReportForwarding;
  routing: WorkerRouting;
  vouching: Vouching;
}

export class WorkerReports {
  /** answers since the last look, by status */
  private readonly answered = new Map<number, number>();

  constructor(
    private readonly context: Context,
    private readonly receivers: ReportReceivers,
  ) {}

  receive(id: number, report: Report, now: Ms): void {
    const { owner, leader, forwarding, routing } = this.receivers;
    const { table } = this.context;
    if (!this.mayAnswer(now)) return this.answer(id, 503, NOT_ENTITLED);
    const machine = table.machines.get(report.machine);
    if (!machine) {
      const { addr, type, zone, spot } = report;
      leader.stranger({ machine: report.machine, addr, type, zone, spot }, now);
      return this.answer(id, 421, goHome(null));
    }
    // It has been told a higher token than is known here: whatever is answered, it drops, and
    // stays here while its lease runs out. Another controller must answer it.
    if (report.token > table.token(machine)) return this.answer(id, 503, NOT_ENTITLED);
    const holder = table.holder(machine.share)?.holder.node ?? null;
    const elsewhere = routing.sendTo(report, holder, now);
    if (elsewhere !== null) return this.answer(id, 421, goHome(elsewhere));
    routing.answered(report.machine, now);
    if (owner.work.holds(machine.share, now)) owner.reports.observe(machine, report, now);
    // The work must not die because its owner did, or can't be reached from here.
    else forwarding.hear(report, holder, now);
    this.answer(id, 200, reportAnswer(table.token(machine), this.stopsOf(report)));
  }

  /** A report that another controller answered and passed on. */
  relayed(report: Report, now: Ms): void {
    const { owner } = this.receivers;
    const { table, settings } = this.context;
    const machine = table.machines.get(report.machine);
    if (!machine || table.holder(machine.share)?.holder.node !== settings.node || !owner.work.holds(machine.share, now)) return;
    owner.reports.observe(machine, report, now);
    // Workers of our own zone report here, unless this controller or the machine is apart.
    if (report.zone === settings.zone) owner.reports.doubt(machine, now);
  }

  /**
   * May workers' reports be answered here, so that their leases go on? For as long as a
   * cancellation that we can't have learned of would still be kept: what we last let go on
   * ends by its worker's lease in time. Without a lease no command of ours goes out
   * meanwhile, and nobody counts a worker's lease as over.
   */
  mayAnswer(now: Ms): boolean {
    if (!this.context.replica.loaded) return false;
    const { cancelS, leaseS, reportS } = this.context.settings.workers;
    const sure = Math.max(this.context.freshAt, this.receivers.vouching.since(now));
    return now - sure < (cancelS - leaseS - reportS) * 1000;
  }

  /** How many answers of each status were given since this was last asked. */
  takeCounts(): Record<string, number> {
    const counts = Object.fromEntries(this.answered);
    this.answered.clear();
    return counts;
  }

  /**
   * What a report names of jobs that are over is stopped by the answer, whoever gives it: a direct command may
   * not get through where the answer does, and the answer is what lets the work live on. Of a job that is done a
   * second attempt may be left, which its owner knows nothing of any more.
   */
  private stopsOf(report: Report): Command[] {
    const { finals } = this.context.table;
    const over = report.tasks.filter(({ job, state }) => state !== 'exited' && finals.has(job));
    return over.slice(0, MOST_COMMANDS_IN_BODY).map(stopReported);
  }

  private answer(id: number, status: number, body: unknown): void {
    this.answered.set(status, (this.answered.get(status) ?? 0) + 1);
    this.context.emit({ t: 'answer', id, status, body });
  }
}
