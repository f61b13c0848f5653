/**
 * Brings what workers report together with what is stored and intended. Whether a heartbeat is current is decided by
 * heartbeat-evaluation.ts; here is what follows from that for the machine, and task-reconciler.ts has what follows for its
 * tasks. Owns what the tenures of machines know of their workers: epoch, sequence, when they were heard, and their orphaned
 * tasks. Within one heartbeat the effects have a fixed order: the machine's address and liveness, a new epoch, a preemption
 * notice, reported tasks, missing tasks.
 */
import type { Heartbeat, TaskStatus, UnchangedHeartbeat } from '@archpost/protocol';
import { type TaskAllocations, taskKey } from '../allocation/index.js';
import type { ClusterStateView, Logger, ReplicaView, SettingsView } from '../context/index.js';
import {
  CANCELLED_WORK_PRIORITY,
  type HeartbeatPosition,
  type Machine,
  type Milliseconds,
  NO_REPORTED_PRIORITY,
  NO_SEQUENCE,
  UNKNOWN_EPOCH,
} from '../model/index.js';
import type { HeartbeatReconciliation, ImageCacheWriter, ProgressWriter } from '../shards/index.js';
import { evaluateCommandResponse, evaluateHeartbeat, isImplausible } from './heartbeat-evaluation.js';
import { isNewer } from './heartbeat-order.js';
import { TaskReconciler } from './task-reconciler.js';

/** A machine is probed for something odd about its heartbeats once in this many heartbeat intervals at most. */
const PROBE_REQUEST_INTERVALS = 2;

/** What the heartbeat reconciler needs of its controller. */
type HeartbeatReconcilerContext = SettingsView & ClusterStateView & ReplicaView & Logger;

/** Takes heartbeats of machines whose shards are held here; the caller makes sure that they are. */
export class HeartbeatReconciler implements HeartbeatReconciliation {
  private readonly taskReconciler: TaskReconciler;

  constructor(
    private readonly context: HeartbeatReconcilerContext,
    private readonly allocations: TaskAllocations,
    progressWriter: ProgressWriter,
    imageCacheWriter: ImageCacheWriter,
  ) {
    this.taskReconciler = new TaskReconciler(context, allocations, progressWriter, imageCacheWriter);
  }

  /**
   * Takes a heartbeat that the worker sent on its own, or, with `positionAtSend`, the status in its answer to a command that was
   * sent when this was known. A start that is under way isn't refuted by either: it may have been made before it.
   */
  reconcile(machine: Machine, heartbeat: Heartbeat, now: Milliseconds, positionAtSend: HeartbeatPosition | null = null): void {
    this.allocations.advanceTo(now);
    const { tenure } = machine;
    const evaluation = positionAtSend
      ? evaluateCommandResponse(tenure, heartbeat, positionAtSend)
      : evaluateHeartbeat(tenure, heartbeat, now);
    switch (evaluation.kind) {
      case 'unverified':
        return this.recordUnverified(machine, heartbeat);
      case 'stale':
      case 'implausible':
        // No probe after an answer: the machine has just given one.
        if (positionAtSend === null) this.requestProbe(machine, now);
        return;
      case 'agentRestarted':
        this.resetEpoch(machine);
        return this.accept(machine, heartbeat, now, true);
      case 'accepted':
        // Something that the worker sent didn't come here: perhaps the responses don't reach it either.
        if (evaluation.hasGapBefore) this.requestProbe(machine, now);
        return this.accept(machine, heartbeat, now, positionAtSend !== null);
      default:
        return evaluation satisfies never;
    }
  }

  /** The controller `from` says that the heartbeats that it answers for a machine go on as they were. */
  reconcileUnchanged(unchanged: UnchangedHeartbeat, from: string, now: Milliseconds): void {
    const machine = this.context.clusterState.machines.get(unchanged.machine);
    if (!machine || !this.allocations.holdsShard(machine.shard, now)) return;
    const { tenure } = machine;
    // Older than what came here: a late copy was answered there.
    if (tenure.isVerified && isNewer(tenure, unchanged)) return;
    this.recordPeerContact(machine, from, now);
    if (!tenure.isVerified || unchanged.agentEpoch !== tenure.agentEpoch || unchanged.sequence <= tenure.sequence) return;
    // The heartbeat that it refers to did not come here, or its number can't be right.
    if (tenure.sequence < unchanged.forwardedSequence || isImplausible(tenure, unchanged.sequence, now)) {
      this.requestProbe(machine, now);
      return;
    }
    tenure.sequence = unchanged.sequence;
    this.recordContact(machine, now);
  }

  /** Has the machine probed, unless that was requested a moment ago: its answer settles what its heartbeats leave open. */
  requestProbe(machine: Machine, now: Milliseconds): void {
    const intervalMs = this.context.settings.workers.heartbeatIntervalS * (PROBE_REQUEST_INTERVALS * 1000);
    if (now - machine.probeRequestedAt < intervalMs) return;
    machine.probeRequestedAt = now;
    machine.probeRequested = true;
  }

  /** All that counts is which epoch to address a probe to, and how urgent the answer to it is. */
  private recordUnverified({ tenure }: Machine, heartbeat: Heartbeat): void {
    if (heartbeat.agentEpoch > tenure.agentEpoch) tenure.agentEpoch = heartbeat.agentEpoch;
    for (const task of heartbeat.tasks)
      tenure.reportedPriority = Math.max(tenure.reportedPriority, this.reportedPriorityOf(task.job));
  }

  /** How urgent it is to learn of a job's tasks: cancelled ones have to be gone in time. */
  private reportedPriorityOf(jobId: string): number {
    const { finishedJobs, jobs } = this.context.clusterState;
    if (finishedJobs.get(jobId) === 'cancelled') return CANCELLED_WORK_PRIORITY;
    return jobs.get(jobId)?.priority ?? NO_REPORTED_PRIORITY;
  }

  /** The agent began again: nothing that was there is there any more, and its numbers start anew. */
  private resetEpoch(machine: Machine): void {
    this.context.log('info', 'worker agent restarted', { machine: machine.name });
    for (const allocation of [...machine.tenure.allocations.values()])
      if (allocation.phase !== 'planned') this.allocations.free(allocation);
    machine.tenure.agentEpoch = UNKNOWN_EPOCH;
    machine.tenure.sequence = NO_SEQUENCE;
  }

  private accept(machine: Machine, heartbeat: Heartbeat, now: Milliseconds, isCommandResponse: boolean): void {
    const { tenure } = machine;
    if (heartbeat.address) machine.address = heartbeat.address;
    this.recordContact(machine, now);
    if (heartbeat.agentEpoch > tenure.agentEpoch) this.beginEpoch(machine, heartbeat.agentEpoch);
    tenure.sequence = heartbeat.sequence;
    if (heartbeat.preemptionNoticeS !== null && tenure.preemptionNoticeUntil === null)
      this.recordPreemptionNotice(machine, heartbeat.preemptionNoticeS, now);
    const reportedKeys = this.reconcileTasks(machine, heartbeat.tasks, now);
    this.freeMissing(machine, reportedKeys, now, isCommandResponse);
  }

  /** It is alive: it isn't released for its silence any more, unless the request has left. */
  private recordContact({ tenure }: Machine, now: Milliseconds): void {
    tenure.resetContact(now);
    if (tenure.releaseReason === 'silent' && !tenure.isReleasing) tenure.releaseReason = null;
  }

  private recordPeerContact(machine: Machine, peer: string, now: Milliseconds): void {
    machine.lastPeerContactAt = now;
    machine.tenure.lastContactAt = now;
    // It goes from one controller to the next: perhaps no controller's responses reach it. One that stays is answered.
    if (machine.lastPeerInContact !== peer && machine.lastPeerInContact !== null) this.requestProbe(machine, now);
    machine.lastPeerInContact = peer;
  }

  /**
   * The worker's lease expired if another epoch was known: it has killed and forgotten everything, and starts that were sent
   * to the old epoch can't be carried out in the new one.
   */
  private beginEpoch(machine: Machine, agentEpoch: number): void {
    const { tenure } = machine;
    if (tenure.agentEpoch > UNKNOWN_EPOCH) {
      const lost = [...tenure.allocations.values()].filter((allocation) => allocation.phase !== 'planned');
      if (lost.length > 0) this.context.log('info', 'worker lease expired', { machine: machine.name, tasks: lost.length });
      for (const allocation of lost) this.allocations.free(allocation);
    }
    tenure.agentEpoch = agentEpoch;
  }

  private recordPreemptionNotice(machine: Machine, noticeS: number, now: Milliseconds): void {
    machine.tenure.preemptionNoticeUntil = now + noticeS * 1000;
    this.context.log('info', 'spot preemption notice', { machine: machine.name, seconds: noticeS });
    this.allocations.drain(machine);
  }

  /** Returns the keys of all reported tasks. Those that are allocated nowhere are kept, to be cleared away. */
  private reconcileTasks(machine: Machine, tasks: readonly TaskStatus[], now: Milliseconds): ReadonlySet<string> {
    const { tenure } = machine;
    const reportedKeys = new Set<string>();
    tenure.orphanedTasks = [];
    for (const task of tasks) {
      const key = taskKey(task.job, task.index, task.attempt);
      reportedKeys.add(key);
      const allocation = tenure.allocations.get(key) ?? this.taskReconciler.adopt(machine, task, now);
      if (allocation) {
        this.taskReconciler.reconcile(allocation, task, now);
        continue;
      }
      tenure.orphanedTasks.push(task);
      machine.allocationsChanged();
    }
    return reportedKeys;
  }

  /**
   * Frees allocations that the worker doesn't report any more. A task that runs never leaves the heartbeats of its epoch by
   * itself: where it is missing the agent restarted, or this is a copy of something older, and only an answer shows which.
   */
  private freeMissing(machine: Machine, reportedKeys: ReadonlySet<string>, now: Milliseconds, isCommandResponse: boolean): void {
    for (const [key, allocation] of [...machine.tenure.allocations]) {
      if (reportedKeys.has(key) || allocation.phase === 'planned' || allocation.phase === 'sent') continue;
      if (!isCommandResponse && allocation.phase === 'reported') this.requestProbe(machine, now);
      else this.allocations.free(allocation);
    }
  }
}
