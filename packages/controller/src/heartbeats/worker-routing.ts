/**
 * Routing of workers: which controller a worker should send its heartbeats to. Workers stay with a controller in their own zone,
 * so that a network partition between zones doesn't affect them; finding another controller could take longer than their lease.
 * Owns which workers this controller answered, and which it redirected.
 */
import type { Heartbeat } from '@archpost/protocol';
import type { PeerDirectory, SettingsView } from '../context/index.js';
import { type Milliseconds, NEVER, shiftTimes } from '../model/index.js';

/** A controller that answers at least this many workers is known to be reachable for workers. */
const MIN_SERVED_WORKERS = 3;

/** Minimum interval between trial redirects, to controllers that aren't known to be reachable for workers. */
const TRIAL_REDIRECT_INTERVAL_MS = 250;

/** Number of worker leases after which a worker may be redirected to the same controller again. */
const REDIRECT_COOLDOWN_LEASES = 4;

/** A worker that this controller answered within this many heartbeat intervals counts as served by it. */
const SERVED_INTERVALS = 2;

/** The last redirect of a worker. */
interface Redirect {
  /** the controller that it was redirected to */
  to: string;
  at: Milliseconds;
}

/** Decides for each heartbeat whether this controller answers it or redirects the worker. */
export class WorkerRouting {
  /** when this controller last answered each worker */
  private readonly servedAt = new Map<string, Milliseconds>();
  private readonly redirects = new Map<string, Redirect>();
  private lastTrialRedirectAt: Milliseconds = NEVER;

  constructor(private readonly context: SettingsView & PeerDirectory) {}

  /**
   * Returns the controller that the worker is to be redirected to; null: this controller is to answer it. `holder`: the
   * controller that holds the machine's shard; null: none does. A returned redirect is recorded as carried out.
   */
  chooseRedirectTarget(heartbeat: Heartbeat, holder: string | null, now: Milliseconds): string | null {
    const controller = this.preferredController(heartbeat.zone, holder, now);
    if (controller === this.context.settings.name) return null;
    return this.mayRedirectWorker(heartbeat, now) && this.mayRedirectTo(heartbeat.machine, controller, now) ? controller : null;
  }

  /** Records that this controller answers the worker's heartbeat. */
  recordServed(machine: string, now: Milliseconds): void {
    this.servedAt.set(machine, now);
  }

  /** Returns the number of workers that this controller answered recently. */
  servedWorkerCount(now: Milliseconds): number {
    this.deleteExpired(now);
    return this.servedAt.size;
  }

  /** Adjusts for a pause of this process: workers whose heartbeats it didn't process during the pause were not silent. */
  onProcessPaused(pausedMs: Milliseconds): void {
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
   * Whether the worker may be redirected to the controller. A redirected worker that returns got no response from that
   * controller, and part of its lease has passed, so it is redirected once and then answered by this controller. Only a few
   * workers are redirected, as a trial, to a controller that answers hardly any: one that had lost all of its workers was still
   * considered healthy, and 115 leases expired while workers went to it and back (docs/incidents/hunt-2b89-apart.md).
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
   * Whether the worker may be redirected now. A worker that has tasks and that this controller didn't serve recently got no
   * response from its previous controller, and part of its lease has passed. It is answered first and redirected at its next
   * heartbeat, so that its lease doesn't expire while it tries the other controller.
   */
  private mayRedirectWorker(heartbeat: Heartbeat, now: Milliseconds): boolean {
    return heartbeat.tasks.length === 0 || now - (this.servedAt.get(heartbeat.machine) ?? NEVER) < this.servedWindowMs;
  }

  /**
   * Returns the controller that a worker in the zone should send its heartbeats to, judging from the last statuses of the peers.
   * In order of preference: the holder of its shard if that is in the zone, this controller if it is in the zone, another
   * controller in the zone, the holder, this controller.
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

  /**
   * Whether workers can be redirected to the controller. One without access to the state service answers no workers, so none must
   * be redirected to it.
   */
  private canServe(controller: string, now: Milliseconds): boolean {
    if (controller === this.context.settings.name) return true;
    const status = this.context.peers.get(controller)?.status;
    return this.context.isPeerAlive(controller, now) && status?.mayAnswerWorkers === true && status.reachesWorkers;
  }
}
