import type { Context } from '../context/index.js';
import type { Job, Machine, Ms, Placement } from '../model/index.js';
import { loadOf, type MachineLoad } from '../model/machine-load.js';
import type { Room } from '../scheduling/placement.js';
import { KEY } from '../state/keys.js';
import { Blame } from './failure-attribution.js';

/** A share that this controller holds. */
interface Held {
  share: number;
  stamp: number;
}

/** Tasks of a job that found no room. */
export interface UnmetWork {
  job: Job;
  count: number;
  /** within its team's guarantee */
  within: boolean;
}

/** The watch brings something, if only that nothing changed, more often than this. */
const WATCH_LATE_MS = 4000;

/** Attempts carry the holding's stamp, so no two holders ever use the same one. */
const ATTEMPTS_PER_HOLDING = 1_000_000;

export const taskKey = (job: string, index: number, attempt: number) => `${job}/${index}/${attempt}`;

/** What is known of the tasks and machines of the shares held here, and the steps that change it. */
export class Work {
  readonly held = new Map<number, Held>();
  private attempts = 1;
  wantPlan = true;
  now: Ms = 0;
  /** when a worker last answered a question or command, and who didn't since though it is heard */
  answeredAt: Ms = 0;
  readonly unanswered = new Set<string>();
  /** what is left without room after the last plan */
  unmet: UnmetWork[] = [];

  readonly blame: Blame;

  constructor(private readonly context: Context) {
    this.blame = new Blame(context);
  }

  /** Its workers' reports are this controller's to take. */
  holds(share: number, now: Ms): boolean {
    return this.held.has(share) && this.context.leaseValid(now);
  }

  /** The shares held here that commands, plans and returns may leave for. */
  acting(): ReadonlySet<number> {
    const shares = new Set<number>();
    for (const share of this.held.keys()) if (this.context.acts(share)) shares.add(share);
    return shares;
  }

  attempt(share: number): number {
    return (this.held.get(share)?.stamp ?? 0) * ATTEMPTS_PER_HOLDING + this.attempts++;
  }

  place(job: Job, index: number, attempt: number, m: Machine, phase: Placement['phase'], now: Ms): Placement {
    const p: Placement = {
      job,
      index,
      attempt,
      machine: m,
      phase,
      report: null,
      plannedAt: now,
      stop: null,
      stopSentAt: -1e12,
      stopSince: -1,
      ranSince: -1,
    };
    job.placements.set(index, p);
    m.placements.set(taskKey(job.spec.id, index, attempt), p);
    m.changed();
    return p;
  }

  /** The task is surely no longer on the machine. */
  free(p: Placement): void {
    p.machine.placements.delete(taskKey(p.job.spec.id, p.index, p.attempt));
    p.machine.changed();
    if (p.job.placements.get(p.index) === p) {
      p.job.placements.delete(p.index);
      if (!p.job.done[p.index]) p.job.returned.push(p.index);
    }
    if (p.machine.placements.size === 0) p.machine.idleSince = this.now;
    const j = p.job;
    if (j.spec.shape === 'gang' && j.gangAttempt !== 0) {
      if (j.state === 'live' && j.doneCount < j.spec.tasks) this.failGang(j);
      if (j.placements.size === 0) {
        j.gangAttempt = 0;
        j.gangFailed = false;
      }
    }
    this.context.table.dropFinal(j);
    this.wantPlan = true;
  }

  /**
   * A start that surely was not carried out: its room is held on, unless the task was told to stop meanwhile or its job
   * is over. Such a start was sent again after the job's cancellation, and a gang that had failed kept its room for ever.
   */
  unsend(p: Placement): void {
    if (!this.isSent(p)) return;
    p.phase = 'planned';
    p.machine.changed();
    if (p.stop !== null || p.job.state !== 'live') this.free(p);
  }

  /** Its start is under way, or was not heard of since. */
  isSent(p: Placement): boolean {
    return p.phase === 'sent' && p.machine.placements.get(taskKey(p.job.spec.id, p.index, p.attempt)) === p;
  }

  /** Something on it belongs to a cancelled job: it is attended to first. */
  bearsCancelled(m: Machine): boolean {
    for (const p of m.placements.values()) if (p.job.state === 'cancelled' && p.phase !== 'exited') return true;
    return false;
  }

  /** A gang that lost a task is stopped whole and queued again. */
  failGang(j: Job): void {
    if (j.gangFailed) return;
    j.gangFailed = true;
    for (const p of [...j.placements.values()]) if (p.phase !== 'exited') this.stop(p, 0);
  }

  stop(p: Placement, graceS: number): void {
    if (p.phase === 'planned') {
      this.free(p);
      return;
    }
    if (p.phase === 'exited') return;
    if (p.stop === null || graceS < p.stop) {
      p.stop = graceS;
      p.machine.changed();
      p.stopSentAt = -1e12;
      p.job.lastStop = this.now;
    }
  }

  /** A checkpointing task gets time to save; others lose nothing by going at once. */
  graceOf(j: Job): number {
    return j.spec.checkpointS > 0 ? j.spec.saveS + this.context.settings.workers.gangPeerS : 0;
  }

  stopJob(j: Job): void {
    for (const p of [...j.placements.values()]) this.stop(p, this.graceOf(j));
  }

  /** Its reports come, here or to another controller. */
  heardLately(m: Machine, now: Ms): boolean {
    return now - m.heardAt < 4000 || now - m.elsewhereAt < 5000;
  }

  usable(m: Machine, now: Ms): boolean {
    return (
      m.resolved &&
      !m.dirty &&
      m.cap !== null &&
      m.moveTo < 0 &&
      !m.retire &&
      m.giveBack === '' &&
      m.noticeUntil < 0 &&
      !this.blame.faulty(m, now) &&
      !this.blame.doubtful(m, now) &&
      m.lostCount === 0 &&
      // What runs there without a place here takes room that isn't known.
      !m.strays.some((task) => task.state !== 'exited') &&
      now - m.heardAt < this.context.settings.workers.reportS * 2500
    );
  }

  roomOf(m: Machine): Room {
    return { machine: m, ...loadOf(m).free };
  }

  /** Shares with machines that may bear what nobody has reported. */
  sharesWithSuspects(): Set<number> {
    const shares = new Set<number>();
    for (const m of this.context.table.machines.values()) if (m.suspect) shares.add(m.share);
    return shares;
  }

  /** Where could a task of this job be, of those that nobody has reported? */
  unproven(j: Job): boolean {
    const held = this.held.get(j.share);
    if (!held || j.stamp > held.stamp) return false;
    for (const m of this.context.table.machines.values()) if (m.share === j.share && m.suspect) return true;
    return false;
  }

  /**
   * No starts of jobs whose state wasn't confirmed lately: their users may have called them off. In an
   * outage of all nobody can confirm that, so a while more is allowed; while another controller is
   * answered by the state service and this one isn't, no longer than the watch takes.
   */
  mayStart(now: Ms): boolean {
    if (this.context.settling()) return false;
    const age = now - this.context.freshAt;
    if (age < WATCH_LATE_MS) return true;
    if (age >= this.context.settings.workers.cancelS * 1000 * 0.25) return false;
    for (const [node, p] of this.context.peers) if (p.status.storeOk && this.context.peerAlive(node, now)) return false;
    return true;
  }

  /** Somebody else stopped one of its tasks: called off perhaps, which only a newer reading can tell. */
  unconfirmed(j: Job): boolean {
    return this.context.freshAt < j.stoppedElsewhereAt;
  }

  also(share: number) {
    return [{ key: KEY.holding(share), stamp: this.held.get(share)?.stamp ?? -1 }];
  }

  empty(m: Machine): boolean {
    return m.placements.size === 0 && m.strays.length === 0 && m.inflight === 0;
  }

  vacate(m: Machine): void {
    for (const p of [...m.placements.values()]) {
      if (p.phase === 'exited' || p.stop !== null) continue;
      // Independent tasks may finish in the time of a notice; what has to move, moves now.
      if (m.noticeUntil > 0 && p.job.spec.shape === 'array' && p.phase !== 'planned') continue;
      if (p.job.spec.shape === 'gang') this.stopJob(p.job);
      else this.stop(p, this.graceOf(p.job));
    }
  }

  servicesOn(m: Machine): readonly Placement[] {
    return loadOf(m).services;
  }

  /** What services without accelerators take on the machine. */
  serviceUse(m: Machine): MachineLoad['serviceUse'] {
    return loadOf(m).serviceUse;
  }
}
