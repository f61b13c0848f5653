/**
 * Which controller a worker should report to. Workers stay with a controller of their own zone: a cut between
 * zones then costs them nothing, where finding another controller could take longer than their lease.
 */
import type { Heartbeat } from '@archpost/protocol';
import type { PeerDirectory, SettingsView } from '../context/index.js';
import { type Milliseconds, NEVER } from '../model/index.js';

/** A controller that answers so many workers is known to be reached by them. */
const MIN_HEARD_WORKERS = 3;

/** How often a worker is sent to one that isn't, to try. */
const TRIAL_REDIRECT_INTERVAL_MS = 250;

/** A worker is sent to the same controller again only after so many leases. */
const REDIRECT_AGAIN_LEASES = 4;

/** A worker that was answered within so many report intervals reports here. */
const SERVED_INTERVALS = 2;

export class WorkerRouting {
  /** when each worker was last answered here */
  private readonly servedAt = new Map<string, Milliseconds>();
  private readonly redirected = new Map<string, { to: string; at: Milliseconds }>();
  private trialRedirectAt: Milliseconds = NEVER;

  constructor(private readonly context: SettingsView & PeerDirectory) {}

  /** The controller that the worker is to be sent to instead; null: it is to be answered here. */
  redirectTarget(heartbeat: Heartbeat, holder: string | null, now: Milliseconds): string | null {
    const controller = this.preferredController(heartbeat.zone, holder, now);
    if (controller === this.context.settings.name) return null;
    return this.mayRedirectWorker(heartbeat, now) && this.mayRedirectTo(heartbeat.machine, controller, now) ? controller : null;
  }

  workerServed(machine: string, now: Milliseconds): void {
    this.servedAt.set(machine, now);
  }

  /** How many workers were answered here lately. */
  servedWorkers(now: Milliseconds): number {
    for (const [machine, at] of this.servedAt) if (now - at > this.servedMs) this.servedAt.delete(machine);
    for (const [machine, { at }] of this.redirected) if (now - at > this.redirectAgainMs) this.redirected.delete(machine);
    return this.servedAt.size;
  }

  /** This process stood still: what was silent meanwhile was not heard because of that. */
  processPaused(ms: Milliseconds): void {
    for (const [machine, at] of this.servedAt) this.servedAt.set(machine, at + ms);
  }

  private get servedMs(): Milliseconds {
    return SERVED_INTERVALS * this.context.settings.workers.heartbeatIntervalS * 1000;
  }

  private get redirectAgainMs(): Milliseconds {
    return REDIRECT_AGAIN_LEASES * this.context.settings.workers.leaseS * 1000;
  }

  /**
   * A worker that is sent away and comes back got no answer there, and its lease runs: it is sent once, then
   * answered here. Nor are more than a few sent, to try, to a controller that hears no workers: one that had
   * lost them all was still thought well, and 115 leases ran out on the way to it and back.
   */
  private mayRedirectTo(machine: string, to: string, now: Milliseconds): boolean {
    const previous = this.redirected.get(machine);
    if (previous?.to === to && now - previous.at < this.redirectAgainMs) return false;
    const heardWorkers = this.context.peers.get(to)?.status.heardWorkers ?? 0;
    if (heardWorkers < MIN_HEARD_WORKERS) {
      if (now - this.trialRedirectAt < TRIAL_REDIRECT_INTERVAL_MS) return false;
      this.trialRedirectAt = now;
    }
    this.redirected.set(machine, { to, at: now });
    return true;
  }

  /**
   * A worker that bears work and comes from elsewhere got no answer there, and part of its lease is gone: it is
   * answered here first and sent with its next report, so that trying the other controller costs it no lease.
   */
  private mayRedirectWorker(heartbeat: Heartbeat, now: Milliseconds): boolean {
    return heartbeat.tasks.length === 0 || now - (this.servedAt.get(heartbeat.machine) ?? NEVER) < this.servedMs;
  }

  /** The controller that a worker of this zone should report to, as far as is seen from here. */
  private preferredController(zone: string, holder: string | null, now: Milliseconds): string {
    const { name: ownName, zone: ownZone, controllers } = this.context.settings;
    const holderCanServe = holder !== null && this.canServe(holder, now);
    if (holderCanServe && controllers.find((node) => node.name === holder)?.zone === zone) return holder;
    if (ownZone === zone) return ownName;
    const inZone = controllers.find((node) => node.zone === zone && this.canServe(node.name, now));
    if (inZone) return inZone.name;
    return holderCanServe ? holder : ownName;
  }

  /** One that the state service refuses answers no worker, so none must be sent to it. */
  private canServe(controller: string, now: Milliseconds): boolean {
    if (controller === this.context.settings.name) return true;
    const status = this.context.peers.get(controller)?.status;
    return this.context.isPeerAlive(controller, now) && status?.mayAnswerWorkers === true && status.reachesWorkers;
  }
}
