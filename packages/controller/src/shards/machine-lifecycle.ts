/**
 * Lifecycle of the machines of the held shards: releases machines that are silent, unreachable, or have cancelled work that does
 * not end; releases or moves empty machines; and raises fencing tokens. Decides about each machine separately, whereas the
 * failure detector evaluates them as a group. Owns no state except that of its parts and the tenures of the machines.
 */
import { canMove, hasRecentPeerContact, isEmpty, type TaskAllocations } from '../allocation/index.js';
import type {
  ClusterStateView,
  EffectSink,
  Logger,
  PeerDirectory,
  ReplicaView,
  SettingsView,
  StateWriting,
} from '../context/index.js';
import type { Machine, Milliseconds } from '../model/index.js';
import { AssignmentUpdates } from './assignment-updates.js';
import { FailureDetector } from './failure-detector.js';
import { MachineReleases } from './machine-releases.js';
import { isUnresponsive, type MachineSilence } from './machine-silence.js';
import type { WorkerResponses } from './worker-responses.js';

/** Cancelled work is overdue after this fraction of the time within which a cancellation must be completed. */
const OVERDUE_CANCELLATION_FRACTION = 0.5;

/**
 * Cancelled work counts as overdue only if its stop was requested longer ago than this many heartbeat intervals, or than the
 * permitted age of the cancellation where that is shorter.
 */
const STOP_SENT_INTERVALS = 2;

/** A machine whose spot preemption notice has expired is released after this many heartbeat intervals of silence. */
const SILENT_INTERVALS_AFTER_NOTICE = 1.5;

/** A worker's lease has certainly expired after a silence of the lease duration plus this many heartbeat intervals. */
const LEASE_OVERRUN_INTERVALS = 2;

/** The parts of the controller's context that `MachineLifecycle` uses. */
type MachineLifecycleContext = SettingsView & ClusterStateView & ReplicaView & StateWriting & PeerDirectory & EffectSink & Logger;

/** Checks the machines of the held shards, and releases, moves or fences them. */
export class MachineLifecycle {
  readonly failureDetector: FailureDetector;
  private readonly assignmentUpdates: AssignmentUpdates;
  private readonly releases: MachineReleases;

  constructor(
    private readonly context: MachineLifecycleContext,
    private readonly allocations: TaskAllocations,
    workerResponses: WorkerResponses,
    private readonly silence: MachineSilence,
  ) {
    this.failureDetector = new FailureDetector(context, allocations, workerResponses);
    this.assignmentUpdates = new AssignmentUpdates(context, allocations);
    this.releases = new MachineReleases(context, allocations, this.assignmentUpdates, silence);
  }

  /** Checks all machines of the held shards. Called at each tick, unless this controller is catching up after a pause. */
  checkMachines(now: Milliseconds): void {
    this.failureDetector.evaluate(now);
    const dueForRelease: Machine[] = [];
    const actingShards = this.allocations.actingShards();
    const overdue = this.machinesWithOverdueCancellation(now, this.overdueCancellationMs);
    for (const machine of this.context.clusterState.machines.values()) {
      if (!actingShards.has(machine.shard)) continue;
      // Cancelled work must end in time, whatever the cause of a silence and however much of the silence counts.
      if (machine.tenure.releaseReason === null && overdue.has(machine))
        this.releases.mark(machine, 'cancelled work does not end', now);
      this.checkSilence(machine, now);
      this.checkEmpty(machine, now);
      if (this.releases.isDue(machine, now)) dueForRelease.push(machine);
      this.checkReachability(machine, now);
      if (needsHigherToken(machine)) this.assignmentUpdates.raiseFencingToken(machine);
      else if (mayRaiseTokenToForget(machine)) this.assignmentUpdates.raiseTokenToForget(machine);
    }
    this.releases.request(dueForRelease, now);
  }

  /** Processes the outcome of the release request with this effect id. */
  handleReleaseOutcome(id: number, isReleased: boolean, now: Milliseconds): void {
    this.releases.handleOutcome(id, isReleased, now);
  }

  private get overdueCancellationMs(): Milliseconds {
    return this.context.settings.workers.cancelS * 1000 * OVERDUE_CANCELLATION_FRACTION;
  }

  /** Marks a machine without recent heartbeats at any controller for release, sooner if it has cancelled work. */
  private checkSilence(machine: Machine, now: Milliseconds): void {
    const silentMs = now - machine.tenure.lastHeartbeatAt;
    if (!isContactExpected(machine) || machine.tenure.releaseReason !== null) return;
    // Pauses of this process also shift the time of the last peer contact, so a lost machine could seem in contact indefinitely.
    if (hasRecentPeerContact(machine, now) && !this.silence.exceedsMaxSilence(machine, now)) return;
    if (this.isSilentWithCancelledWork(machine, silentMs, now)) this.releases.mark(machine, 'silent with cancelled work', now);
    else if (this.isSilent(machine, silentMs, now) && this.isSilenceCausedByMachine(machine, silentMs, now))
      this.releases.mark(machine, 'silent', now);
  }

  /** Whether a silent machine has cancelled work. The work must end in time, so delays of this controller aren't subtracted. */
  private isSilentWithCancelledWork(machine: Machine, silentMs: Milliseconds, now: Milliseconds): boolean {
    if (silentMs <= this.overdueCancellationMs || silentMs <= this.context.settings.policy.silentS * 1000) return false;
    return this.machinesWithOverdueCancellation(now, 0).has(machine);
  }

  /**
   * Whether the machine's silence exceeds what is tolerated, or suggests that the cloud preempted it at the end of its notice.
   * The preemption doesn't wait for a slow controller, so delays of this controller aren't subtracted in that case.
   */
  private isSilent(machine: Machine, silentMs: Milliseconds, now: Milliseconds): boolean {
    if (this.silence.exceedsToleratedSilence(machine, now)) return true;
    const { preemptionNoticeUntil } = machine.tenure;
    const isNoticeExpired = preemptionNoticeUntil !== null && now > preemptionNoticeUntil;
    const { heartbeatIntervalS } = this.context.settings.workers;
    return isNoticeExpired && silentMs > heartbeatIntervalS * (SILENT_INTERVALS_AFTER_NOTICE * 1000);
  }

  /** Whether the silence is caused by the machine rather than by a partition of its zone or of this controller. */
  private isSilenceCausedByMachine(machine: Machine, silentMs: Milliseconds, now: Milliseconds): boolean {
    const { failureDetector } = this;
    return (
      !failureDetector.isInCutZone(machine) && failureDetector.reachesWorkers && failureDetector.confirmSilence(now, silentMs)
    );
  }

  /** Releases or moves an empty machine where required, and drains a machine that is retired or is to move to another shard. */
  private checkEmpty(machine: Machine, now: Milliseconds): void {
    const { tenure } = machine;
    if (tenure.releaseReason !== null) return;
    if (tenure.isVerified && !tenure.hasUncertainCommand) {
      if (isEmpty(machine)) this.releaseEmpty(machine, now);
      if (machine.moveToShard !== null && tenure.releaseReason === null && canMove(machine, this.context.clusterState))
        this.assignmentUpdates.moveToShard(machine);
    }
    if ((machine.moveToShard !== null || machine.isRetired) && tenure.releaseReason === null) this.allocations.drain(machine);
  }

  /** Releases an empty machine that is retired, faulty or about to be preempted by the cloud. */
  private releaseEmpty(machine: Machine, now: Milliseconds): void {
    const { failureAttribution } = this.allocations;
    if (machine.isRetired) this.releases.mark(machine, 'idle', now);
    else if (failureAttribution.isFaulty(machine, now)) {
      failureAttribution.discardFailuresOn(machine);
      this.releases.mark(machine, 'quarantined', now);
    } else if (machine.tenure.preemptionNoticeUntil !== null) this.releases.mark(machine, 'spot preemption notice', now);
  }

  /**
   * Marks a machine for release that is cut off beyond its lease, or that can't be reached although its heartbeats arrive. The
   * latter would otherwise count as healthy forever, while its lease expires. If many machines are unreachable at once, the cause
   * isn't the machines, and none is marked as unreachable.
   */
  private checkReachability(machine: Machine, now: Milliseconds): void {
    const { failureDetector } = this;
    const { tenure } = machine;
    if (tenure.releaseReason === null && failureDetector.isInCutZone(machine) && this.isCutOffBeyondLease(machine, now))
      this.releases.mark(machine, 'cut off beyond its lease', now);
    if (tenure.releaseReason !== null || !this.isUnreachable(machine, now)) return;
    if (failureDetector.isWidespreadLoss(machine.zoneIndex)) return;
    if (failureDetector.confirmSilence(now, now - (tenure.unansweredSince ?? now)))
      this.releases.mark(machine, 'unreachable', now);
  }

  /**
   * Returns the machines with tasks of jobs that were cancelled more than `overdueMs` ago and whose tasks were stopped. The time
   * counts from when this controller read the cancellation, not from when a new lease holder found the tasks. Iterates over jobs
   * rather than machines, since few jobs are cancelled and many machines have many tasks.
   */
  private machinesWithOverdueCancellation(now: Milliseconds, overdueMs: Milliseconds): ReadonlySet<Machine> {
    const { heartbeatIntervalS } = this.context.settings.workers;
    const minStopAgeMs = Math.min(overdueMs, heartbeatIntervalS * (STOP_SENT_INTERVALS * 1000));
    const machines = new Set<Machine>();
    for (const job of this.context.clusterState.jobs.values()) {
      if (job.state !== 'cancelled' || now - (job.cancelledAt ?? 0) <= overdueMs || now - job.lastStopAt <= minStopAgeMs)
        continue;
      for (const { machine, phase } of job.tenure.allocations.values()) if (phase !== 'exited') machines.add(machine);
    }
    return machines;
  }

  /**
   * Whether the machine has been silent for longer than its lease, and its zone is also cut off from the state service. The
   * controllers of such a zone stop responding to workers, so the leases of the workers expire and their tasks end. The machine
   * then only prevents its tasks from restarting elsewhere, so it is released.
   */
  private isCutOffBeyondLease(machine: Machine, now: Milliseconds): boolean {
    const { leaseS, heartbeatIntervalS } = this.context.settings.workers;
    const leaseExpiredAfterMs = (leaseS + LEASE_OVERRUN_INTERVALS * heartbeatIntervalS) * 1000;
    if (this.silence.silentMs(machine, now) < leaseExpiredAfterMs) return false;
    return mayBlockRescheduling(machine) && this.areZoneControllersAbsent(machine.zoneIndex, now);
  }

  /** Whether all controllers of the zone have been absent from the state service for half of the cancellation time. */
  private areZoneControllersAbsent(zoneIndex: number, now: Milliseconds): boolean {
    const { clusterState, settings } = this.context;
    const zone = clusterState.zoneNames.nameOf(zoneIndex);
    return settings.controllers.every((controller) => {
      if (controller.zone !== zone) return true;
      const absentSince = clusterState.absentSince.get(controller.name);
      return absentSince !== undefined && now - absentSince > (settings.workers.cancelS / 2) * 1000;
    });
  }

  /** Whether the machine left several commands in a row unanswered, for longer than the tolerated silence. */
  private isUnreachable(machine: Machine, now: Milliseconds): boolean {
    const { unansweredSince } = machine.tenure;
    if (!isUnresponsive(machine) || unansweredSince === null) return false;
    return this.silence.readableMsSince(unansweredSince, now) > this.context.settings.policy.silentS * 1000;
  }
}

/**
 * Whether the machine's silence counts: it is verified, or was probed after the last contact. Heartbeats of an unverified machine
 * don't count, only its responses do. During a first start that takes longer than the worker leases, the first response of a
 * machine shows only its agent epoch, and machines that were never probed precede it in the probe order. Without this condition,
 * 1,312 of 4,000 machines, all of which sent heartbeats, were released as silent within 90 s (docs/incidents/
 * first-start-of-a-large-fleet.md). Pauses of this process shift the start of a silence, but don't invalidate the probe.
 */
function isContactExpected({ tenure, lastProbeAt }: Machine): boolean {
  return tenure.isVerified || (tenure.isProbed && lastProbeAt >= tenure.lastContactAt);
}

/**
 * Whether the machine's fencing token must be raised now: a lost command may still be executed, no rewrite of the assignment and
 * no command is pending, and the machine isn't being released.
 */
function needsHigherToken({ tenure }: Machine): boolean {
  return (
    tenure.hasUncertainCommand && !tenure.isRaisingToken && tenure.pendingCommandId === null && tenure.releaseReason === null
  );
}

/** Whether the machine's fencing token may be raised now so that its worker may forget exited tasks. */
function mayRaiseTokenToForget({ tenure, assignmentWriteQueued }: Machine): boolean {
  return tenure.tokenRaise !== 'none' && !assignmentWriteQueued && tenure.releaseReason === null;
}

/** Whether the machine may have tasks that can't restart elsewhere until it is gone. Array tasks don't justify a release. */
function mayBlockRescheduling({ tenure }: Machine): boolean {
  if (tenure.isUnverifiedTakeover) return true;
  for (const { job } of tenure.allocations.values()) if (job.spec.shape !== 'array') return true;
  return false;
}
