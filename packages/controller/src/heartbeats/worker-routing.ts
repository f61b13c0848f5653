/**
 * Which controller a worker should report to. Workers stay with a controller of their own zone: a cut between
 * zones then costs them nothing, where finding another controller could take longer than their lease.
 */
import type { Report } from '@archpost/protocol';
import type { Context } from '../context/index.js';
import { type Ms, NEVER } from '../model/index.js';

/** A controller that answers so many workers is known to be reached by them. */
const HEARS_WORKERS = 3;

/** How often a worker is sent to one that isn't, to try. */
const TRY_MS = 250;

/** A worker is sent to the same controller again only after so many leases. */
const SENT_AGAIN_LEASES = 4;

/** A worker that was answered within so many report intervals reports here. */
const SERVED_INTERVALS = 2;

export class WorkerRouting {
  /** when each worker was last answered here */
  private readonly served = new Map<string, Ms>();
  private readonly sentAway = new Map<string, { to: string; at: Ms }>();
  private triedAt: Ms = NEVER;

  constructor(private readonly context: Context) {}

  /** The controller that the worker is to be sent to instead; null: it is to be answered here. */
  sendTo(report: Report, owner: string | null, now: Ms): string | null {
    const node = this.nearest(report.zone, owner, now);
    if (node === this.context.settings.node) return null;
    return this.mayLeave(report, now) && this.maySend(report.machine, node, now) ? node : null;
  }

  answered(machine: string, now: Ms): void {
    this.served.set(machine, now);
  }

  /** How many workers were answered here lately. */
  count(now: Ms): number {
    for (const [machine, at] of this.served) if (now - at > this.servedMs) this.served.delete(machine);
    for (const [machine, { at }] of this.sentAway) if (now - at > this.sentAgainMs) this.sentAway.delete(machine);
    return this.served.size;
  }

  /** This process stood still: what was silent meanwhile was not heard because of that. */
  paused(ms: Ms): void {
    for (const [machine, at] of this.served) this.served.set(machine, at + ms);
  }

  private get servedMs(): Ms {
    return SERVED_INTERVALS * this.context.settings.workers.reportS * 1000;
  }

  private get sentAgainMs(): Ms {
    return SENT_AGAIN_LEASES * this.context.settings.workers.leaseS * 1000;
  }

  /**
   * A worker that is sent away and comes back got no answer there, and its lease runs: it is sent once, then
   * answered here. Nor are more than a few sent, to try, to a controller that hears no workers: one that had
   * lost them all was still thought well, and 115 leases ran out on the way to it and back.
   */
  private maySend(machine: string, to: string, now: Ms): boolean {
    const sent = this.sentAway.get(machine);
    if (sent?.to === to && now - sent.at < this.sentAgainMs) return false;
    const hears = this.context.peers.get(to)?.status.hears ?? 0;
    if (hears < HEARS_WORKERS) {
      if (now - this.triedAt < TRY_MS) return false;
      this.triedAt = now;
    }
    this.sentAway.set(machine, { to, at: now });
    return true;
  }

  /**
   * A worker that bears work and comes from elsewhere got no answer there, and part of its lease is gone: it is
   * answered here first and sent with its next report, so that trying the other controller costs it no lease.
   */
  private mayLeave(report: Report, now: Ms): boolean {
    return report.tasks.length === 0 || now - (this.served.get(report.machine) ?? NEVER) < this.servedMs;
  }

  /** The controller that a worker of this zone should report to, as far as is seen from here. */
  private nearest(zone: string, owner: string | null, now: Ms): string {
    const { node: self, zone: ownZone, nodes } = this.context.settings;
    const ownerAnswers = owner !== null && this.answers(owner, now);
    if (ownerAnswers && nodes.find((node) => node.name === owner)?.zone === zone) return owner;
    if (ownZone === zone) return self;
    const near = nodes.find((node) => node.zone === zone && this.answers(node.name, now));
    if (near) return near.name;
    return ownerAnswers ? owner : self;
  }

  /** One that the state service refuses answers no worker, so none must be sent to it. */
  private answers(node: string, now: Ms): boolean {
    if (node === this.context.settings.node) return true;
    const status = this.context.peers.get(node)?.status;
    return this.context.peerAlive(node, now) && status?.entitled === true && status.reach;
  }
}
