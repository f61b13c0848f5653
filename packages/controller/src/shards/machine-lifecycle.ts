/**
 * The life of the machines of the shards held here: which are given up for their silence, for not being reachable or for
 * cancelled work that does not end, which are empty and can move or go, and whose fencing token has to rise. Decides machine
 * by machine; the failure detector judges them together. Owns no state beside its parts' and the machines' tenures.
 */
import { isEmpty, isHeardByPeer, type TaskAllocations } from '../allocation/index.js';
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
import { isUnanswering, type MachineSilence } from './machine-silence.js';
import type { WorkerAnswers } from './worker-answers.js';

/** Cancelled work may stay for this part of the time within which a cancellation has to be carried out. */
const OVERDUE_CANCELLATION_FRACTION = 0.5;

/** Overdue work must have been stopped this many heartbeat intervals ago, or for as long as the cancellation is overdue. */
const STOP_SENT_INTERVALS = 2;

/** A machine whose spot preemption notice is over is given up after this many heartbeat intervals of silence. */
const SILENT_INTERVALS_AFTER_NOTICE = 1.5;

/** A worker's lease has surely expired once it was not heard for the lease and this many heartbeat intervals. */
const LEASE_OVERRUN_INTERVALS = 2;

/** What the machine lifecycle needs of its controller. */
type MachineLifecycleContext = SettingsView & ClusterStateView & ReplicaView & StateWriting & PeerDirectory & EffectSink & Logger;

/** Checks the machines of the shards held here, and carries out what follows. */
export class MachineLifecycle {
  readonly failureDetector: FailureDetector;
  private readonly assignmentUpdates: AssignmentUpdates;
  private readonly releases: MachineReleases;

  constructor(
    private readonly context: MachineLifecycleContext,
    private readonly allocations: TaskAllocations,
    workerAnswers: WorkerAnswers,
    private readonly silence: MachineSilence,
  ) {
    this.failureDetector = new FailureDetector(context, allocations, workerAnswers);
    this.assignmentUpdates = new AssignmentUpdates(context, allocations);
    this.releases = new MachineReleases(context, allocations, this.assignmentUpdates, silence);
  }

  /** To be called at each tick, unless this controller is catching up after a pause. */
  checkMachines(now: Milliseconds): void {
    this.failureDetector.evaluate(now);
    const dueForRelease: Machine[] = [];
    const actingShards = this.allocations.actingShards();
    const overdue = this.machinesWithOverdueCancellation(now, this.overdueCancellationMs);
    for (const machine of this.context.clusterState.machines.values()) {
      if (!actingShards.has(machine.shard)) continue;
      // Cancelled work must be gone in time, whatever the reason for a silence, and however long that is thought to last.
      if (machine.tenure.releaseReason === null && overdue.has(machine))
        this.releases.mark(machine, 'cancelled work does not end', now);
      this.checkSilence(machine, now);
      this.checkEmpty(machine, now);
      if (this.releases.isDue(machine, now)) dueForRelease.push(machine);
      this.checkReachability(machine, now);
      if (needsHigherToken(machine)) this.assignmentUpdates.raiseFencingToken(machine);
    }
    this.releases.request(dueForRelease, now);
  }

  /** The outcome of the release request with this effect id. */
  handleReleaseOutcome(id: number, isReleased: boolean, now: Milliseconds): void {
    this.releases.handleOutcome(id, isReleased, now);
  }

  private get overdueCancellationMs(): Milliseconds {
    return this.context.settings.workers.cancelS * 1000 * OVERDUE_CANCELLATION_FRACTION;
  }

  /** A machine that nobody hears any more is given up, sooner if it has cancelled work. */
  private checkSilence(machine: Machine, now: Milliseconds): void {
    const silentMs = now - machine.tenure.lastHeartbeatAt;
    if (!isWaitedFor(machine) || machine.tenure.releaseReason !== null) return;
    // Pauses of this process move the time at which a peer heard it, too: for a machine that is really gone without end.
    if (isHeardByPeer(machine, now) && !this.silence.isBeyondForgiveness(machine, now)) return;
    if (this.isSilentWithCancelledWork(machine, silentMs, now)) this.releases.mark(machine, 'silent with cancelled work', now);
    else if (this.isSilent(machine, silentMs, now) && this.isOwnSilence(machine, silentMs, now))
      this.releases.mark(machine, 'silent', now);
  }

  /** Cancelled work must be gone in time, so that no delay of this controller is taken off here. */
  private isSilentWithCancelledWork(machine: Machine, silentMs: Milliseconds, now: Milliseconds): boolean {
    if (silentMs <= this.overdueCancellationMs || silentMs <= this.context.settings.policy.silentS * 1000) return false;
    return this.machinesWithOverdueCancellation(now, 0).has(machine);
  }

  /**
   * Longer than silence is tolerated, or so that the cloud has most likely taken it at the end of its preemption notice, which
   * doesn't wait for a slow controller.
   */
  private isSilent(machine: Machine, silentMs: Milliseconds, now: Milliseconds): boolean {
    if (this.silence.isBeyondTolerance(machine, now)) return true;
    const { preemptionNoticeUntil } = machine.tenure;
    const isNoticeOver = preemptionNoticeUntil !== null && now > preemptionNoticeUntil;
    const { heartbeatIntervalS } = this.context.settings.workers;
    return isNoticeOver && silentMs > heartbeatIntervalS * (SILENT_INTERVALS_AFTER_NOTICE * 1000);
  }

  /** Is the silence the machine's, rather than that of its zone or of this controller? */
  private isOwnSilence(machine: Machine, silentMs: Milliseconds, now: Milliseconds): boolean {
    const { failureDetector } = this;
    return (
      !failureDetector.isInCutZone(machine) && failureDetector.reachesWorkers && failureDetector.confirmSilence(now, silentMs)
    );
  }

  /** An empty machine can go or move; one that is to go or move is drained until it is empty. */
  private checkEmpty(machine: Machine, now: Milliseconds): void {
    const { tenure } = machine;
    if (tenure.releaseReason !== null) return;
    if (isEmpty(machine) && tenure.isVerified && !tenure.hasUncertainCommand) this.releaseEmpty(machine, now);
    if ((machine.moveToShard !== null || machine.isRetired) && tenure.releaseReason === null) this.allocations.drain(machine);
  }

  private releaseEmpty(machine: Machine, now: Milliseconds): void {
    const { failureAttribution } = this.allocations;
    if (machine.isRetired) this.releases.mark(machine, 'idle', now);
    else if (failureAttribution.isFaulty(machine, now)) {
      failureAttribution.clearJobsOf(machine);
      this.releases.mark(machine, 'quarantined', now);
    } else if (machine.tenure.preemptionNoticeUntil !== null) this.releases.mark(machine, 'spot preemption notice', now);
    else if (machine.moveToShard !== null) this.assignmentUpdates.moveToShard(machine);
  }

  /**
   * Its heartbeats come, but nothing reaches it: it would be taken for healthy for ever, though its lease runs out. Where many
   * can't be reached at once, the fault isn't theirs.
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
   * Machines with work whose user cancelled it more than `overdueMs` ago, and that was stopped: the time counts from when
   * the cancellation was read, not from when a new holder found the work. Goes by jobs: few are cancelled, and many machines
   * have many tasks.
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
   * In a zone that is cut off from the state service too, its controllers stop answering workers, and the work there ends by
   * their leases. From then on such a machine only keeps its work from going on elsewhere, which is worth its release.
   */
  private isCutOffBeyondLease(machine: Machine, now: Milliseconds): boolean {
    const { leaseS, heartbeatIntervalS } = this.context.settings.workers;
    const leaseOverMs = (leaseS + LEASE_OVERRUN_INTERVALS * heartbeatIntervalS) * 1000;
    if (this.silence.silentMs(machine, now) < leaseOverMs) return false;
    return mayHoldUpWork(machine) && this.areZoneControllersAbsent(machine.zoneIndex, now);
  }

  /** Have all controllers of the zone been absent from the state service for half of the time that a cancellation has? */
  private areZoneControllersAbsent(zoneIndex: number, now: Milliseconds): boolean {
    const { clusterState, settings } = this.context;
    const zone = clusterState.zoneNames.nameOf(zoneIndex);
    return settings.controllers.every((controller) => {
      if (controller.zone !== zone) return true;
      const absentSince = clusterState.absentSince.get(controller.name);
      return absentSince !== undefined && now - absentSince > (settings.workers.cancelS / 2) * 1000;
    });
  }

  /** Several commands in a row without an answer, over longer than a machine's silence is tolerated. */
  private isUnreachable(machine: Machine, now: Milliseconds): boolean {
    const { unansweredSince } = machine.tenure;
    if (!isUnanswering(machine) || unansweredSince === null) return false;
    return this.silence.heardMsSince(unansweredSince, now) > this.context.settings.policy.silentS * 1000;
  }
}

/**
 * Whose silence counts: one that was probed since it was last heard, where only answers count. At a first start that outlasts
 * leases a machine's first answer shows its agent epoch alone, and those that were never probed come before it: within 90 s
 * 1,312 of 4,000 machines, all of which sent heartbeats, had been released as silent (docs/incidents/
 * first-start-of-a-large-fleet.md). Pauses of this process, which move the age of a silence, don't undo the probe.
 */
function isWaitedFor({ tenure, lastProbeAt }: Machine): boolean {
  return tenure.isVerified || (tenure.isProbed && lastProbeAt >= tenure.lastContactAt);
}

/** A command may be carried out late, and nothing else is to become of the machine. */
function needsHigherToken({ tenure }: Machine): boolean {
  return (
    tenure.hasUncertainCommand && !tenure.isRaisingToken && tenure.pendingCommandId === null && tenure.releaseReason === null
  );
}

/** May the machine have work that can't go on elsewhere before it is gone? Tasks of an array are not worth a machine. */
function mayHoldUpWork({ tenure }: Machine): boolean {
  if (tenure.isUnverifiedTakeover) return true;
  for (const { job } of tenure.allocations.values()) if (job.spec.shape !== 'array') return true;
  return false;
}
