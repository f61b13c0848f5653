/**
 * Which controller a worker should send its heartbeats to. Workers stay with a controller of their own zone: a cut between
 * zones then costs them nothing, where finding another controller could take longer than their lease. Owns which workers were
 * answered here, and which were redirected.
 */
import type { Heartbeat } from '@archpost/protocol';
import type { PeerDirectory, SettingsView } from '../context/index.js';
import { type Milliseconds, NEVER, shiftTimes } from '../model/index.js';

/** A controller that answers this many workers is known to be reachable for them. */
const MIN_SERVED_WORKERS = 3;

/** A worker is redirected to a controller of which that isn't known this often, as a trial. */
const TRIAL_REDIRECT_INTERVAL_MS = 250;

/** A worker is redirected to the same controller again only after this many worker leases. */
const REDIRECT_COOLDOWN_LEASES = 4;

/** A worker that was answered here within this many heartbeat intervals counts as served here. */
const SERVED_INTERVALS = 2;

/** The last redirect of a worker. */
interface Redirect {
  /** the controller that it was redirected to */
  to: string;
  at: Milliseconds;
}

/** Decides for each heartbeat whether it is answered here. */
export class WorkerRouting {
  /** when each worker was last answered here */
  private readonly servedAt = new Map<string, Milliseconds>();
  private readonly redirects = new Map<string, Redirect>();
  private lastTrialRedirectAt: Milliseconds = NEVER;

  constructor(private readonly context: SettingsView & PeerDirectory) {}

  /**
   * The controller that the worker is to be redirected to; null: it is to be answered here. `holder`: the controller that holds
   * the machine's shard; null: none does. A redirect that is returned counts as carried out.
   */
  chooseRedirectTarget(heartbeat: Heartbeat, holder: string | null, now: Milliseconds): string | null {
    const controller = this.preferredController(heartbeat.zone, holder, now);
    if (controller === this.context.settings.name) return null;
    return this.mayRedirectWorker(heartbeat, now) && this.mayRedirectTo(heartbeat.machine, controller, now) ? controller : null;
  }

  /** The worker's heartbeat is answered here. */
  recordServed(machine: string, now: Milliseconds): void {
    this.servedAt.set(machine, now);
  }

  /** How many workers were answered here recently. */
  servedWorkerCount(now: Milliseconds): number {
    this.deleteExpired(now);
    return this.servedAt.size;
  }

  /** This process was paused: workers that it did not hear meanwhile were not silent. */
  processPaused(pausedMs: Milliseconds): void {
    shiftTimes(this.servedAt, pausedMs);
  }

  private deleteExpired(now: Milliseconds): void {
    for (const [machine, at] of this.servedAt) if (now - at > this.servedWindowMs) this.servedAt.delete(machine);
    for (const [machine, { at }] of this.redirects) if (now - at > this.redirectCooldownMs) this.redirects.delete(machine);
  }

  private get servedWindowMs(): Milliseconds {
    return SERVED_INTERVALS * this.context.settings.workers.heartbeatIntervalS * 1000;
  }

  private get redirectCooldownMs(): Milliseconds {
    return REDIRECT_COOLDOWN_LEASES * this.context.settings.workers.leaseS * 1000;
  }

  /**
   * A worker that is redirected and comes back got no answer there, and its lease runs: it is redirected once, then answered
   * here. Nor are more than a few redirected, as a trial, to a controller that hears no workers: one that had lost them all
   * was still taken for healthy, and 115 leases ran out on the way to it and back (docs/incidents/hunt-2b89-apart.md).
   */
  private mayRedirectTo(machine: string, to: string, now: Milliseconds): boolean {
    const previous = this.redirects.get(machine);
    if (previous?.to === to && now - previous.at < this.redirectCooldownMs) return false;
    const servedWorkers = this.context.peers.get(to)?.status.heardWorkers ?? 0;
    if (servedWorkers < MIN_SERVED_WORKERS) {
      if (now - this.lastTrialRedirectAt < TRIAL_REDIRECT_INTERVAL_MS) return false;
      this.lastTrialRedirectAt = now;
    }
    this.redirects.set(machine, { to, at: now });
    return true;
  }

  /**
   * A worker that has tasks and comes from elsewhere got no answer there, and part of its lease is gone: it is answered here
   * first and redirected at its next heartbeat, so that trying the other controller costs it no lease.
   */
  private mayRedirectWorker(heartbeat: Heartbeat, now: Milliseconds): boolean {
    return heartbeat.tasks.length === 0 || now - (this.servedAt.get(heartbeat.machine) ?? NEVER) < this.servedWindowMs;
  }

  /**
   * The controller that a worker of this zone should send its heartbeats to, as far as is seen from here: the holder of its
   * shard if that is in its zone, else this one if it is, else another one there, else the holder, else this one.
   */
  private preferredController(zone: string, holder: string | null, now: Milliseconds): string {
    const { name: ownName, zone: ownZone, controllers } = this.context.settings;
    const holderCanServe = holder !== null && this.canServe(holder, now);
    if (holderCanServe && controllers.find((controller) => controller.name === holder)?.zone === zone) return holder;
    if (ownZone === zone) return ownName;
    const inZone = controllers.find((controller) => controller.zone === zone && this.canServe(controller.name, now));
    if (inZone) return inZone.name;
    return holderCanServe ? holder : ownName;
  }

  /** A controller without access to the state service answers no worker, so none must be redirected to it. */
  private canServe(controller: string, now: Milliseconds): boolean {
    if (controller === this.context.settings.name) return true;
    const status = this.context.peers.get(controller)?.status;
    return this.context.isPeerAlive(controller, now) && status?.mayAnswerWorkers === true && status.reachesWorkers;
  }
}
