import type { ControllerContext } from '../context/index.js';
import type { Allocation, Job, Machine, Milliseconds } from '../model/index.js';
import { type MachineLoad, machineLoadOf } from '../model/machine-load.js';
import type { FreeResources } from '../scheduling/placement.js';
import { StateKey } from '../state/keys.js';
import { FailureAttribution } from './failure-attribution.js';

/** A share that this controller holds. */
interface HeldShard {
  shard: number;
  leaseRevision: number;
}

/** Tasks of a job that found no room. */
export interface UnmetDemand {
  job: Job;
  count: number;
  /** within its team's guarantee */
  withinQuota: boolean;
}

/** The watch brings something, if only that nothing changed, more often than this. */
const WATCH_LATE_MS = 4000;

/** Attempts carry the holding's stamp, so no two holders ever use the same one. */
const ATTEMPTS_PER_LEASE = 1_000_000;

export const taskKey = (job: string, index: number, attempt: number) => `${job}/${index}/${attempt}`;

/** What is known of the tasks and machines of the shares held here, and the steps that change it. */
export class TaskAllocations {
  readonly heldShards = new Map<number, HeldShard>();
  private attemptCounter = 1;
  schedulingRequested = true;
  now: Milliseconds = 0;
  /** when a worker last answered a question or command, and who didn't since though it is heard */
  lastAnswerAt: Milliseconds = 0;
  readonly unansweredMachines = new Set<string>();
  /** what is left without room after the last plan */
  unmetDemand: UnmetDemand[] = [];

  readonly failureAttribution: FailureAttribution;

  constructor(private readonly context: ControllerContext) {
    this.failureAttribution = new FailureAttribution(context);
  }

  /** Its workers' reports are this controller's to take. */
  holdsShard(share: number, now: Milliseconds): boolean {
    return this.heldShards.has(share) && this.context.isLeaseValid(now);
  }

  /** The shares held here that commands, plans and returns may leave for. */
  actingShards(): ReadonlySet<number> {
    const shares = new Set<number>();
    for (const share of this.heldShards.keys()) if (this.context.mayActFor(share)) shares.add(share);
    return shares;
  }

  nextAttempt(share: number): number {
    return (this.heldShards.get(share)?.leaseRevision ?? 0) * ATTEMPTS_PER_LEASE + this.attemptCounter++;
  }

  allocate(job: Job, index: number, attempt: number, m: Machine, phase: Allocation['phase'], now: Milliseconds): Allocation {
    const p: Allocation = {
      job,
      taskIndex: index,
      attempt,
      machine: m,
      phase,
      status: null,
      plannedAt: now,
      stopGraceS: null,
      stopSentAt: -1e12,
      firstStopSentAt: -1,
      runningSince: -1,
    };
    job.allocations.set(index, p);
    m.allocations.set(taskKey(job.spec.id, index, attempt), p);
    m.allocationsChanged();
    return p;
  }

  /** The task is surely no longer on the machine. */
  free(p: Allocation): void {
    p.machine.allocations.delete(taskKey(p.job.spec.id, p.taskIndex, p.attempt));
    p.machine.allocationsChanged();
    if (p.job.allocations.get(p.taskIndex) === p) {
      p.job.allocations.delete(p.taskIndex);
      if (!p.job.done[p.taskIndex]) p.job.releasedTasks.push(p.taskIndex);
    }
    if (p.machine.allocations.size === 0) p.machine.idleSince = this.now;
    const j = p.job;
    if (j.spec.shape === 'gang' && j.gangAttempt !== 0) {
      if (j.state === 'live' && j.doneCount < j.spec.tasks) this.failGang(j);
      if (j.allocations.size === 0) {
        j.gangAttempt = 0;
        j.gangFailed = false;
      }
    }
    this.context.clusterState.forgetIfFinished(j);
    this.schedulingRequested = true;
  }

  /**
   * A start that surely was not carried out: its room is held on, unless the task was told to stop meanwhile or its job
   * is over. Such a start was sent again after the job's cancellation, and a gang that had failed kept its room for ever.
   */
  startNotSent(p: Allocation): void {
    if (!this.isStartPending(p)) return;
    p.phase = 'planned';
    p.machine.allocationsChanged();
    if (p.stopGraceS !== null || p.job.state !== 'live') this.free(p);
  }

  /** Its start is under way, or was not heard of since. */
  isStartPending(p: Allocation): boolean {
    return p.phase === 'sent' && p.machine.allocations.get(taskKey(p.job.spec.id, p.taskIndex, p.attempt)) === p;
  }

  /** Something on it belongs to a cancelled job: it is attended to first. */
  hasCancelledWork(m: Machine): boolean {
    for (const p of m.allocations.values()) if (p.job.state === 'cancelled' && p.phase !== 'exited') return true;
    return false;
  }

  /** A gang that lost a task is stopped whole and queued again. */
  failGang(j: Job): void {
    if (j.gangFailed) return;
    j.gangFailed = true;
    for (const p of [...j.allocations.values()]) if (p.phase !== 'exited') this.stop(p, 0);
  }

  stop(p: Allocation, graceS: number): void {
    if (p.phase === 'planned') {
      this.free(p);
      return;
    }
    if (p.phase === 'exited') return;
    if (p.stopGraceS === null || graceS < p.stopGraceS) {
      p.stopGraceS = graceS;
      p.machine.allocationsChanged();
      p.stopSentAt = -1e12;
      p.job.lastStopAt = this.now;
    }
  }

  /** A checkpointing task gets time to save; others lose nothing by going at once. */
  stopGraceS(j: Job): number {
    return j.spec.checkpointS > 0 ? j.spec.saveS + this.context.settings.workers.gangPeerS : 0;
  }

  stopJob(j: Job): void {
    for (const p of [...j.allocations.values()]) this.stop(p, this.stopGraceS(j));
  }

  /** Its reports come, here or to another controller. */
  isHeardRecently(m: Machine, now: Milliseconds): boolean {
    return now - m.lastHeartbeatAt < 4000 || now - m.heardByPeerAt < 5000;
  }

  isSchedulable(m: Machine, now: Milliseconds): boolean {
    return (
      m.isVerified &&
      !m.hasUncertainCommand &&
      m.capacity !== null &&
      m.moveToShard < 0 &&
      !m.isRetired &&
      m.releaseReason === '' &&
      m.preemptionNoticeUntil < 0 &&
      !this.failureAttribution.isFaulty(m, now) &&
      !this.failureAttribution.isDoubtful(m, now) &&
      m.unansweredCommands === 0 &&
      // What runs there without a place here takes room that isn't known.
      !m.orphanedTasks.some((task) => task.state !== 'exited') &&
      now - m.lastHeartbeatAt < this.context.settings.workers.heartbeatIntervalS * 2500
    );
  }

  freeResourcesOf(m: Machine): FreeResources {
    return { machine: m, ...machineLoadOf(m).free };
  }

  /** Shares with machines that may bear what nobody has reported. */
  shardsAwaitingVerification(): Set<number> {
    const shares = new Set<number>();
    for (const m of this.context.clusterState.machines.values()) if (m.isUnverifiedTakeover) shares.add(m.shard);
    return shares;
  }

  /** Where could a task of this job be, of those that nobody has reported? */
  mayRunUnseen(j: Job): boolean {
    const held = this.heldShards.get(j.shard);
    if (!held || j.modRevision > held.leaseRevision) return false;
    for (const m of this.context.clusterState.machines.values()) if (m.shard === j.shard && m.isUnverifiedTakeover) return true;
    return false;
  }

  /**
   * No starts of jobs whose state wasn't confirmed lately: their users may have called them off. In an
   * outage of all nobody can confirm that, so a while more is allowed; while another controller is
   * answered by the state service and this one isn't, no longer than the watch takes.
   */
  mayStart(now: Milliseconds): boolean {
    if (this.context.isCatchingUp()) return false;
    const age = now - this.context.replicaFreshAt;
    if (age < WATCH_LATE_MS) return true;
    if (age >= this.context.settings.workers.cancelS * 1000 * 0.25) return false;
    for (const [node, p] of this.context.peers)
      if (p.status.stateServiceAnswers && this.context.isPeerAlive(node, now)) return false;
    return true;
  }

  /** Somebody else stopped one of its tasks: called off perhaps, which only a newer reading can tell. */
  isStateUnconfirmed(j: Job): boolean {
    return this.context.replicaFreshAt < j.stoppedByOthersAt;
  }

  leaseConditions(share: number) {
    return [{ key: StateKey.shardLease(share), revision: this.heldShards.get(share)?.leaseRevision ?? -1 }];
  }

  isEmpty(m: Machine): boolean {
    return m.allocations.size === 0 && m.orphanedTasks.length === 0 && m.pendingCommandId === 0;
  }

  drain(m: Machine): void {
    for (const p of [...m.allocations.values()]) {
      if (p.phase === 'exited' || p.stopGraceS !== null) continue;
      // Independent tasks may finish in the time of a notice; what has to move, moves now.
      if (m.preemptionNoticeUntil > 0 && p.job.spec.shape === 'array' && p.phase !== 'planned') continue;
      if (p.job.spec.shape === 'gang') this.stopJob(p.job);
      else this.stop(p, this.stopGraceS(p.job));
    }
  }

  servicesOn(m: Machine): readonly Allocation[] {
    return machineLoadOf(m).services;
  }

  /** What services without accelerators take on the machine. */
  serviceUsage(m: Machine): MachineLoad['serviceUsage'] {
    return machineLoadOf(m).serviceUsage;
  }
}
