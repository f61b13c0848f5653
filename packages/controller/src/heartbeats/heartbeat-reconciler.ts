/**
 * Reconciliation of what workers report with stored and intended state. heartbeat-evaluation.ts decides whether a heartbeat is
 * current. This module applies the heartbeat to the machine, and task-reconciler.ts applies it to the machine's tasks. Owns what
 * the tenures of machines record of their workers: epoch, sequence, times of contact, and orphaned tasks. The effects of one
 * heartbeat have a fixed order: the machine's address and liveness, a new epoch, a preemption notice, reported tasks, missing
 * tasks.
 */
import type { Heartbeat, TaskStatus, UnchangedHeartbeat } from '@archpost/protocol';
import { mayForget, type TaskAllocations, taskKey } from '../allocation/index.js';
import type { ClusterStateView, Logger, ReplicaView, SettingsView } from '../context/index.js';
import {
  CANCELLED_WORK_PRIORITY,
  type FencedPosition,
  type Machine,
  type Milliseconds,
  NO_REPORTED_PRIORITY,
  UNKNOWN_EPOCH,
} from '../model/index.js';
import type { HeartbeatReconciliation, ImageCacheWriter, ProgressWriter } from '../shards/index.js';
import { evaluateCommandResponse, evaluateHeartbeat, isImplausible } from './heartbeat-evaluation.js';
import { isNewerOfAnyIncarnation } from './heartbeat-order.js';
import { TaskReconciler } from './task-reconciler.js';

/** Minimum number of heartbeat intervals between two requests to probe a machine because its heartbeats are inconsistent. */
const PROBE_REQUEST_INTERVALS = 2;

type HeartbeatReconcilerContext = SettingsView & ClusterStateView & ReplicaView & Logger;

/** Reconciles heartbeats of machines whose shards this controller holds. The caller ensures that it holds them. */
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
   * Reconciles a heartbeat that the worker sent on its own or, with `positionAtSend`, the status in its response to a command.
   * `positionAtSend`: the position of the newest heartbeat that was known when the command was sent. A missing task doesn't
   * refute a start that is in flight: the heartbeat or status may have been created before the start.
   */
  reconcile(machine: Machine, heartbeat: Heartbeat, now: Milliseconds, positionAtSend: FencedPosition | null = null): void {
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
        // No probe after a command response: the machine has just responded.
        if (positionAtSend === null) this.requestProbe(machine, now);
        return;
      case 'agentRestarted':
        this.recordAgentRestart(machine, heartbeat);
        return this.accept(machine, heartbeat, now, true);
      case 'accepted':
        // A message that the worker sent didn't reach this controller, so the responses may not reach the worker either.
        if (evaluation.hasGapBefore) this.requestProbe(machine, now);
        return this.accept(machine, heartbeat, now, positionAtSend !== null);
      default:
        return evaluation satisfies never;
    }
  }

  /** Processes a report of the controller `from` that it answers the heartbeats of a machine and that they are unchanged. */
  reconcileUnchanged(unchanged: UnchangedHeartbeat, from: string, now: Milliseconds): void {
    const machine = this.context.clusterState.machines.get(unchanged.machine);
    if (!machine || !this.allocations.holdsShard(machine.shard, now)) return;
    const { tenure } = machine;
    const { agentEpoch, sequence, fencingToken = tenure.fencingToken } = unchanged;
    const position = { agentEpoch, sequence, fencingToken };
    // The report is older than the newest message that this controller received, or of an earlier incarnation of the agent: the
    // other controller answered a late copy.
    if (tenure.isVerified && isNewerOfAnyIncarnation(tenure, position)) return;
    this.recordPeerContact(machine, from, now);
    if (!tenure.isVerified || agentEpoch !== tenure.agentEpoch || sequence <= tenure.sequence) return;
    // The heartbeat that the report refers to didn't reach this controller, or the reported sequence is implausible.
    if (tenure.sequence < unchanged.forwardedSequence || isImplausible(tenure, sequence, now)) {
      this.requestProbe(machine, now);
      return;
    }
    tenure.sequence = sequence;
    this.recordContact(machine, now);
  }

  /**
   * Requests a probe of the machine, unless one was requested recently. The response resolves the inconsistency of its
   * heartbeats.
   */
  requestProbe(machine: Machine, now: Milliseconds): void {
    const intervalMs = this.context.settings.workers.heartbeatIntervalS * (PROBE_REQUEST_INTERVALS * 1000);
    if (now - machine.probeRequestedAt < intervalMs) return;
    machine.probeRequestedAt = now;
    machine.probeRequested = true;
  }

  /** Records only what a probe of an unverified machine depends on: the epoch that it is addressed to, and its priority. */
  private recordUnverified({ tenure }: Machine, heartbeat: Heartbeat): void {
    if (heartbeat.agentEpoch > tenure.agentEpoch) tenure.agentEpoch = heartbeat.agentEpoch;
    for (const task of heartbeat.tasks)
      tenure.reportedPriority = Math.max(tenure.reportedPriority, this.reportedPriorityOf(task.job));
  }

  /** Returns the priority of a probe for a machine that reports tasks of the job. Cancelled tasks have to end in time. */
  private reportedPriorityOf(jobId: string): number {
    const { finishedJobs, jobs } = this.context.clusterState;
    if (finishedJobs.get(jobId) === 'cancelled') return CANCELLED_WORK_PRIORITY;
    return jobs.get(jobId)?.priority ?? NO_REPORTED_PRIORITY;
  }

  /**
   * Handles a restart of the agent: none of its earlier tasks exists any longer, and its epoch and sequence start again. It has
   * forgotten the attempts, so repeats of their starts could run them again until the fencing token was raised. From then on a
   * lower token also distinguishes late heartbeats of the earlier incarnation, which may have higher epochs.
   */
  private recordAgentRestart(machine: Machine, response: Heartbeat): void {
    const { tenure } = machine;
    this.context.log('info', 'worker agent restarted', {
      machine: machine.name,
      epoch: tenure.agentEpoch,
      sequence: tenure.sequence,
      token: tenure.fencingToken,
      newEpoch: response.agentEpoch,
      newSequence: response.sequence,
      newToken: response.fencingToken,
    });
    for (const allocation of tenure.allocations.values())
      if (allocation.phase !== 'planned') this.allocations.keepUntilTokenRaised(allocation);
    tenure.recordAgentRestart();
  }

  private accept(machine: Machine, heartbeat: Heartbeat, now: Milliseconds, isCommandResponse: boolean): void {
    const { tenure } = machine;
    if (heartbeat.address) machine.address = heartbeat.address;
    this.recordContact(machine, now);
    if (heartbeat.agentEpoch > tenure.agentEpoch) this.beginEpoch(machine, heartbeat);
    tenure.recordPosition(heartbeat);
    if (heartbeat.preemptionNoticeS !== null && tenure.preemptionNoticeUntil === null)
      this.recordPreemptionNotice(machine, heartbeat.preemptionNoticeS, now);
    const reportedKeys = this.reconcileTasks(machine, heartbeat.tasks, now);
    this.freeMissing(machine, reportedKeys, now, isCommandResponse);
  }

  /** Records that the machine is alive. It is no longer released for its silence, unless the release was already requested. */
  private recordContact({ tenure }: Machine, now: Milliseconds): void {
    tenure.resetContact(now);
    if (tenure.releaseReason === 'silent' && !tenure.isReleasing) tenure.releaseReason = null;
  }

  private recordPeerContact(machine: Machine, peer: string, now: Milliseconds): void {
    machine.lastPeerContactAt = now;
    machine.tenure.lastContactAt = now;
    // The machine switches controllers: perhaps no controller's responses reach it. A machine that stays with one controller gets
    // its responses.
    if (machine.lastPeerInContact !== peer && machine.lastPeerInContact !== null) this.requestProbe(machine, now);
    machine.lastPeerInContact = peer;
  }

  /**
   * Begins a new epoch of the agent. If another epoch was known, the worker's lease expired: the worker has killed and forgotten
   * all tasks, and starts that were sent to the old epoch can't be executed in the new one. While the token wasn't raised since a
   * restart of the agent, neither is certain: the heartbeat, or a start sent to its epoch, may be of an earlier incarnation.
   */
  private beginEpoch(machine: Machine, heartbeat: Heartbeat): void {
    const { tenure } = machine;
    if (tenure.agentEpoch === UNKNOWN_EPOCH) return;
    const lost = [...tenure.allocations.values()].filter((allocation) => allocation.phase !== 'planned');
    if (lost.length > 0)
      this.context.log('info', 'worker lease expired', {
        machine: machine.name,
        tasks: lost.length,
        epoch: tenure.agentEpoch,
        sequence: tenure.sequence,
        token: tenure.fencingToken,
        newEpoch: heartbeat.agentEpoch,
        newSequence: heartbeat.sequence,
        newToken: heartbeat.fencingToken,
      });
    for (const allocation of lost) {
      if (tenure.isRestartUnfenced) this.allocations.keepUntilTokenRaised(allocation);
      else this.allocations.free(allocation);
    }
  }

  private recordPreemptionNotice(machine: Machine, noticeS: number, now: Milliseconds): void {
    machine.tenure.preemptionNoticeUntil = now + noticeS * 1000;
    this.context.log('info', 'spot preemption notice', { machine: machine.name, seconds: noticeS });
    this.allocations.drain(machine);
  }

  /** Reconciles the reported tasks and returns their keys. Tasks without an allocation are kept as orphaned, to be removed. */
  private reconcileTasks(machine: Machine, tasks: readonly TaskStatus[], now: Milliseconds): ReadonlySet<string> {
    const { tenure } = machine;
    const reportedKeys = new Set<string>();
    const previousOrphanCount = tenure.orphanedTasks.length;
    tenure.orphanedTasks = [];
    tenure.exitedTaskCount = 0;
    for (const task of tasks) {
      if (task.state === 'exited') tenure.exitedTaskCount++;
      const key = taskKey(task.job, task.index, task.attempt);
      reportedKeys.add(key);
      const allocation = tenure.allocations.get(key) ?? this.taskReconciler.adopt(machine, task, now);
      if (allocation) {
        this.taskReconciler.reconcile(allocation, task, now);
        continue;
      }
      tenure.orphanedTasks.push(task);
    }
    tenure.hasOrphanedWork = tenure.orphanedTasks.some(({ state }) => state !== 'exited');
    if (tenure.orphanedTasks.length !== previousOrphanCount || tenure.hasOrphanedWork) machine.allocationsChanged();
    return reportedKeys;
  }

  /**
   * Frees allocations of exited tasks that the worker has forgotten. A running task never disappears from the heartbeats of its
   * epoch by itself. If it is missing, the agent restarted or the heartbeat is a copy of an older one, and only a command response
   * shows which.
   */
  private freeMissing(machine: Machine, reportedKeys: ReadonlySet<string>, now: Milliseconds, isCommandResponse: boolean): void {
    const fencingToken = this.context.clusterState.fencingToken(machine);
    for (const [key, allocation] of [...machine.tenure.allocations]) {
      if (reportedKeys.has(key) || allocation.phase === 'planned' || allocation.phase === 'sent') continue;
      if (!isCommandResponse && allocation.phase === 'reported') this.requestProbe(machine, now);
      else if (allocation.phase === 'exited' && mayForget(allocation, fencingToken)) this.allocations.free(allocation);
      else this.allocations.keepUntilTokenRaised(allocation);
    }
  }
}
