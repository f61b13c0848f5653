import { MAX_MACHINES_PER_RELEASE } from '@archpost/protocol';
import type { TaskAllocations } from '../allocation/index.js';
import type {
  ClusterStateView,
  EffectSink,
  Logger,
  PeerDirectory,
  ReplicaView,
  SettingsView,
  StateWriting,
} from '../context/index.js';
import type { Machine, Milliseconds, ReleaseReason } from '../model/index.js';
import { AssignmentUpdates } from './assignment-updates.js';
import { FailureDetector } from './failure-detector.js';

/** Most machines in one return to the cloud, and how often one is made. */
const MAX_MACHINES_PER_RELEASE_REQUEST = MAX_MACHINES_PER_RELEASE;
const RELEASE_INTERVAL_MS = 300;

/** A return that failed is tried again after this long. */
const RELEASE_RETRY_MS = 1500;

/** Cancelled work may stay for this part of the time that a cancellation has. */
const OVERDUE_CANCELLATION_FRACTION = 0.5;

/** A machine that another controller heard within this time isn't silent. */
const HEARD_ELSEWHERE_MS = 5000;

/** What the machine lifecycle needs of its controller. */
type MachineLifecycleContext = SettingsView & ClusterStateView & ReplicaView & StateWriting & PeerDirectory & EffectSink & Logger;

/** The machines of the shares held here: which are silent or out of reach, which move and which go back. */
export class MachineLifecycle {
  readonly failureDetector: FailureDetector;
  private readonly assignmentUpdates: AssignmentUpdates;
  private readonly pendingReleases = new Map<number, Machine[]>();
  private nextReleaseAt: Milliseconds = 0;

  constructor(
    private readonly context: MachineLifecycleContext,
    private readonly allocations: TaskAllocations,
  ) {
    this.failureDetector = new FailureDetector(context, allocations);
    this.assignmentUpdates = new AssignmentUpdates(context, allocations);
  }

  checkMachines(now: Milliseconds): void {
    this.failureDetector.evaluate(now);
    const dueForRelease: Machine[] = [];
    const actingShards = this.allocations.actingShards();
    const overdue = this.machinesWithOverdueCancellation(now, this.overdueCancellationMs);
    for (const machine of this.context.clusterState.machines.values()) {
      if (!actingShards.has(machine.shard)) continue;
      // Cancelled work must be gone in time, whatever the reason for a silence, and however long that is thought to last.
      if (machine.tenure.releaseReason === null && overdue.has(machine))
        this.markForRelease(machine, 'cancelled work does not end');
      this.checkSilence(machine, now);
      this.checkEmpty(machine, now);
      if (machine.tenure.releaseReason && !machine.tenure.isReleasing && now >= machine.releaseRetryAt)
        dueForRelease.push(machine);
      this.checkReachability(machine, now);
      if (
        machine.tenure.hasUncertainCommand &&
        !machine.tenure.isRaisingToken &&
        machine.tenure.pendingCommandId === null &&
        !machine.tenure.releaseReason
      )
        this.assignmentUpdates.raiseFencingToken(machine);
    }
    if (dueForRelease.length > 0 && now >= this.nextReleaseAt) this.releaseMachines(dueForRelease, now);
  }

  private get overdueCancellationMs(): Milliseconds {
    return this.context.settings.workers.cancelS * 1000 * OVERDUE_CANCELLATION_FRACTION;
  }

  private checkSilence(machine: Machine, now: Milliseconds): void {
    const silentMs = this.isWaitedFor(machine) ? now - machine.tenure.lastHeartbeatAt : 0;
    // Once its notice is over a silent machine is most likely taken.
    const isNoticeOver = machine.tenure.preemptionNoticeUntil !== null && now > machine.tenure.preemptionNoticeUntil;
    const isPreempted = isNoticeOver && silentMs > this.context.settings.workers.heartbeatIntervalS * 1500;
    const isSilent = silentMs > this.context.settings.policy.silentS * 1000 || isPreempted;
    if (!isSilent || machine.tenure.releaseReason || now - machine.heardByPeerAt < HEARD_ELSEWHERE_MS) return;
    const hasOverdueCancellation =
      silentMs > this.overdueCancellationMs && this.machinesWithOverdueCancellation(now, 0).has(machine);
    if (hasOverdueCancellation) this.markForRelease(machine, 'silent with cancelled work');
    else if (this.isOwnSilence(machine, silentMs, now)) this.markForRelease(machine, 'silent');
  }

  /**
   * Whose silence counts: one that was asked since it was last heard, where only answers count. At a first start that
   * outlasts leases a machine's first answer tells its session alone, and those that were never asked come before it:
   * within 90 s 1,312 of 4,000 machines, all of which reported, had been given back as silent.
   */
  private isWaitedFor(machine: Machine): boolean {
    return machine.tenure.isVerified || (machine.tenure.isProbed && machine.lastProbeAt >= machine.tenure.lastHeartbeatAt);
  }

  private isOwnSilence(machine: Machine, silentMs: Milliseconds, now: Milliseconds): boolean {
    const { failureDetector } = this;
    return (
      !failureDetector.isInCutZone(machine) && failureDetector.reachesWorkers && failureDetector.confirmSilence(now, silentMs)
    );
  }

  private checkEmpty(machine: Machine, now: Milliseconds): void {
    if (
      machine.tenure.releaseReason === null &&
      this.allocations.isEmpty(machine) &&
      machine.tenure.isVerified &&
      !machine.tenure.hasUncertainCommand
    )
      this.releaseEmpty(machine, now);
    if ((machine.moveToShard !== null || machine.isRetired) && machine.tenure.releaseReason === null)
      this.allocations.drain(machine);
  }

  /** Nothing is on it: what was wanted of it can be done. */
  private releaseEmpty(machine: Machine, now: Milliseconds): void {
    if (machine.isRetired) this.markForRelease(machine, 'idle');
    else if (this.allocations.failureAttribution.isFaulty(machine, now)) {
      this.allocations.failureAttribution.clearJobsOf(machine);
      this.markForRelease(machine, 'quarantined');
    } else if (machine.tenure.preemptionNoticeUntil !== null) this.markForRelease(machine, 'spot preemption notice');
    else if (machine.moveToShard !== null) this.assignmentUpdates.moveToShard(machine);
  }

  /**
   * Its reports come, but nothing reaches it: it would be thought well for ever, though its lease runs out. Where
   * many can't be reached at once, the fault isn't theirs.
   */
  private checkReachability(machine: Machine, now: Milliseconds): void {
    const { failureDetector } = this;
    if (machine.tenure.releaseReason === null && failureDetector.isInCutZone(machine) && this.isCutOffBeyondLease(machine, now))
      this.markForRelease(machine, 'cut off beyond its lease');
    if (
      machine.tenure.releaseReason !== null ||
      !this.isUnreachable(machine, now) ||
      failureDetector.isWidespreadLoss(machine.zoneIndex)
    )
      return;
    if (failureDetector.confirmSilence(now, now - (machine.tenure.unansweredSince ?? now)))
      this.markForRelease(machine, 'unreachable');
  }

  private releaseMachines(machines: Machine[], now: Milliseconds): void {
    const id = this.context.nextEffectId();
    const batch = this.cancelledFirst(machines).slice(0, MAX_MACHINES_PER_RELEASE_REQUEST);
    for (const machine of batch) machine.tenure.isReleasing = true;
    this.pendingReleases.set(id, batch);
    this.nextReleaseAt = now + RELEASE_INTERVAL_MS;
    this.context.emit({ type: 'release', id, machines: batch.map((machine) => machine.name) });
  }

  private cancelledFirst(machines: Machine[]): Machine[] {
    const urgent = new Set(machines.filter((machine) => this.allocations.hasCancelledWork(machine)));
    return [...urgent, ...machines.filter((machine) => !urgent.has(machine))];
  }

  /**
   * Machines that bear work whose user cancelled it longer than this ago, and that was told so: the time counts from
   * the reading of the cancellation, not from when a new holder found the work. Few jobs are cancelled, and many
   * machines bear much: so this goes by jobs.
   */
  private machinesWithOverdueCancellation(now: Milliseconds, overdueMs: Milliseconds): ReadonlySet<Machine> {
    const minStopAgeMs = Math.min(overdueMs, this.context.settings.workers.heartbeatIntervalS * 2000);
    const machines = new Set<Machine>();
    for (const job of this.context.clusterState.jobs.values()) {
      if (job.state !== 'cancelled' || now - (job.cancelledAt ?? 0) <= overdueMs || now - job.lastStopAt <= minStopAgeMs)
        continue;
      for (const { machine, phase } of job.tenure.allocations.values()) if (phase !== 'exited') machines.add(machine);
    }
    return machines;
  }

  /**
   * In a zone that is cut off from the state service too, its controllers stop answering
   * workers, and the work there ends by their leases. From then on such a machine only keeps
   * its work from going on elsewhere; what it bears, or may bear, is worth its return.
   */
  private isCutOffBeyondLease(machine: Machine, now: Milliseconds): boolean {
    const mayHoldUpWork =
      machine.tenure.isUnverifiedTakeover ||
      [...machine.tenure.allocations.values()].some((allocation) => allocation.job.spec.shape !== 'array');
    const { cancelS, leaseS, heartbeatIntervalS: intervalS } = this.context.settings.workers;
    if (!mayHoldUpWork || now - machine.tenure.lastHeartbeatAt < (leaseS + 2 * intervalS) * 1000) return false;
    const zone = this.context.clusterState.zoneNames.nameOf(machine.zoneIndex);
    return this.context.settings.controllers.every((node) => {
      if (node.zone !== zone) return true;
      const absentSince = this.context.clusterState.absentSince.get(node.name);
      return absentSince !== undefined && now - absentSince > (cancelS / 2) * 1000;
    });
  }

  /** Three commands in a row without an answer, over longer than a machine's silence is borne. */
  private isUnreachable(machine: Machine, now: Milliseconds): boolean {
    const { unansweredCommands, unansweredSince } = machine.tenure;
    if (unansweredCommands < 3 || unansweredSince === null) return false;
    return now - unansweredSince > this.context.settings.policy.silentS * 1000;
  }

  private markForRelease(machine: Machine, reason: ReleaseReason): void {
    machine.tenure.releaseReason = reason;
    machine.releaseRetryAt = 0;
    this.context.log('info', 'releasing machine', {
      machine: machine.name,
      zone: this.context.clusterState.zoneNames.nameOf(machine.zoneIndex),
      reason,
      tasks: machine.tenure.allocations.size,
    });
  }

  /** The cloud has answered a return. */
  handleReleaseOutcome(id: number, isReleased: boolean, now: Milliseconds): void {
    const machines = this.pendingReleases.get(id);
    if (!machines) return;
    this.pendingReleases.delete(id);
    for (const machine of machines) {
      machine.tenure.isReleasing = false;
      machine.releaseRetryAt = now + RELEASE_RETRY_MS;
      if (!isReleased || !this.allocations.heldShards.has(machine.shard)) continue;
      // 200: the machine and everything on it are gone.
      machine.tenure.isReleasing = true;
      machine.tenure.isVerified = true;
      machine.tenure.isUnverifiedTakeover = false;
      for (const allocation of [...machine.tenure.allocations.values()]) this.allocations.free(allocation);
      this.assignmentUpdates.removeAssignment(machine);
    }
  }
}
