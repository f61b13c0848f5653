/**
 * Reports of workers whose machine another controller owns: they are answered here, and the owner is told what
 * they say. A report that differs from the last one is forwarded whole; that nothing changed goes with the status.
 */
import type { PeerHeard, Report, TaskReport } from '@archpost/protocol';
import type { Context } from '../context/index.js';
import { type Ms, NEVER } from '../model/index.js';

/** A machine heard within this time is named in the status. */
const HEARD_LATELY_MS = 4000;

/** An unchanged report is forwarded whole again after so many report intervals. */
const FORWARD_AGAIN_INTERVALS = 5;

/** What was heard is kept for so many leases: late copies of it may come. */
const KEPT_LEASES = 10;

/** The newest report of a machine, and what its owner was told of it. */
interface HeardMachine {
  report: Report;
  at: Ms;
  /** who was last sent a report whole; null: nobody */
  forwardedTo: string | null;
  /** number of the report that was sent whole, and when */
  forwardedSeq: number;
  forwardedAt: Ms;
}

function sameTask(a: TaskReport, b: TaskReport): boolean {
  return a.index === b.index && a.attempt === b.attempt && a.state === b.state && a.job === b.job;
}

function sameReport(a: Report, b: Report): boolean {
  if (a.session !== b.session || a.token !== b.token || a.addr !== b.addr) return false;
  if (a.noticeS !== null || b.noticeS !== null || a.tasks.length !== b.tasks.length) return false;
  return a.tasks.every((task, i) => sameTask(task, b.tasks[i] as TaskReport));
}

export class ReportForwarding {
  private readonly heard = new Map<string, HeardMachine>();

  constructor(private readonly context: Context) {}

  /** A late copy must not make a silent machine seem alive: only what is newer counts. */
  hear(report: Report, owner: string | null, now: Ms): void {
    const old = this.heard.get(report.machine);
    if (old && !isNewer(report, old.report)) return;
    const machine: HeardMachine = {
      report,
      at: now,
      forwardedTo: old?.forwardedTo ?? null,
      forwardedSeq: old?.forwardedSeq ?? -1,
      forwardedAt: old?.forwardedAt ?? NEVER,
    };
    this.heard.set(report.machine, machine);
    if (owner === null || owner === this.context.settings.node || !this.context.peerAlive(owner, now)) {
      machine.forwardedTo = null;
      return;
    }
    const again = FORWARD_AGAIN_INTERVALS * this.context.settings.workers.reportS * 1000;
    if (old && machine.forwardedTo === owner && sameReport(old.report, report) && now - machine.forwardedAt < again) return;
    machine.forwardedTo = owner;
    machine.forwardedSeq = report.seq;
    machine.forwardedAt = now;
    this.context.emit({ t: 'relay', to: owner, report });
  }

  /** The machines heard here lately, by the controller that owns them. */
  lately(now: Ms): Map<string, PeerHeard[]> {
    const byOwner = new Map<string, PeerHeard[]>();
    const keptMs = KEPT_LEASES * this.context.settings.workers.leaseS * 1000;
    for (const [name, machine] of this.heard) {
      if (now - machine.at < HEARD_LATELY_MS) this.addTo(byOwner, name, machine);
      else if (now - machine.at > keptMs) this.heard.delete(name);
    }
    return byOwner;
  }

  private addTo(byOwner: Map<string, PeerHeard[]>, name: string, { report, forwardedTo, forwardedSeq }: HeardMachine): void {
    const machine = this.context.table.machines.get(name);
    const owner = machine && this.context.table.holder(machine.share)?.holder.node;
    if (!owner) return;
    const list = byOwner.get(owner) ?? [];
    if (list.length === 0) byOwner.set(owner, list);
    const whole = forwardedTo === owner ? forwardedSeq : report.seq;
    list.push({ machine: name, session: report.session, seq: report.seq, whole });
  }

  /** This process stood still: what was silent meanwhile was not heard because of that. */
  paused(ms: Ms): void {
    for (const machine of this.heard.values()) machine.at += ms;
  }
}

function isNewer(report: Report, than: Report): boolean {
  return report.session > than.session || (report.session === than.session && report.seq > than.seq);
}
