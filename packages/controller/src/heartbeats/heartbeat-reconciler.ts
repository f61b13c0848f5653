import type { Heartbeat, TaskStatus, UnchangedHeartbeat } from '@archpost/protocol';
import { type TaskAllocations, taskKey } from '../allocation/index.js';
import type { ClusterStateView, Logger, ReplicaView, SettingsView } from '../context/index.js';
import {
  type Allocation,
  CANCELLED_WORK_PRIORITY,
  LOWEST_REPORTED_PRIORITY,
  type Machine,
  type Milliseconds,
  NOTHING_HEARD,
  UNKNOWN_EPOCH,
} from '../model/index.js';
import {
  type HeartbeatReconciliation,
  type ImageCacheWriter,
  type KnownHeartbeat,
  type ProgressWriter,
  toLoggedSeconds,
} from '../shards/index.js';
import { StateKey } from '../state/index.js';

/** A worker numbers its reports, two a second at most, and its answers to questions and commands. */
const MAX_MESSAGES_PER_S = 10;
const MAX_MESSAGE_BURST = 200;

/** What the heartbeat reconciler needs of its controller. */
type HeartbeatReconcilerContext = SettingsView & ClusterStateView & ReplicaView & Logger;

/** What workers say, taken for what it is worth. */
export class HeartbeatReconciler implements HeartbeatReconciliation {
  constructor(
    private readonly context: HeartbeatReconcilerContext,
    private readonly allocations: TaskAllocations,
    private readonly progressWriter: ProgressWriter,
    private readonly imageCacheWriter: ImageCacheWriter,
  ) {}

  /**
   * Takes a worker's report. Copies can come late, so only one newer by (session, seq)
   * counts, and right after a takeover, when nothing is known of what came before, none at
   * all: then only the answer to our own question (`asked`: what was known when it was
   * sent) does. A start under way isn't refuted by a report: it may have been made before it.
   */
  reconcile(machine: Machine, heartbeat: Heartbeat, now: Milliseconds, knownBefore: KnownHeartbeat | null = null): void {
    this.allocations.now = now;
    const older = (a: KnownHeartbeat) =>
      heartbeat.agentEpoch < a.agentEpoch || (heartbeat.agentEpoch === a.agentEpoch && heartbeat.sequence <= a.sequence);
    if (knownBefore !== null && older(knownBefore)) {
      // An answer is newer than what was known when it was asked for, unless the machine has
      // begun again: then nothing that was there is there any more.
      this.context.log('info', 'worker agent restarted', { machine: machine.name });
      for (const allocation of [...machine.tenure.allocations.values()])
        if (allocation.phase !== 'planned') this.allocations.free(allocation);
      machine.tenure.agentEpoch = UNKNOWN_EPOCH;
      machine.tenure.sequence = NOTHING_HEARD;
    } else if (knownBefore === null && !machine.tenure.isVerified) {
      // Which session to ask is all that can be learned from it.
      if (heartbeat.agentEpoch > machine.tenure.agentEpoch) machine.tenure.agentEpoch = heartbeat.agentEpoch;
      // ... and, for what it is worth, how urgent its answer is.
      for (const task of heartbeat.tasks)
        machine.tenure.reportedPriority = Math.max(machine.tenure.reportedPriority, this.reportedPriorityOf(task.job));
      return;
    } else if (older(machine.tenure)) {
      // A late copy, or a machine that began again: its answer will tell.
      if (knownBefore === null) this.requestProbe(machine, now);
      return;
    }
    // A number so high can't be the next of what is known: a late copy of from before the machine began
    // again, or much was said elsewhere. It frees and finishes nothing before the machine itself has answered.
    if (knownBefore === null && this.isImplausible(machine, heartbeat.sequence, now)) {
      this.requestProbe(machine, now);
      return;
    }
    // It has said something that didn't come here: perhaps our answers don't reach it.
    if (
      knownBefore === null &&
      heartbeat.agentEpoch === machine.tenure.agentEpoch &&
      heartbeat.sequence > machine.tenure.sequence + 1
    )
      this.requestProbe(machine, now);
    if (heartbeat.address) machine.address = heartbeat.address;
    machine.tenure.lastHeartbeatAt = now;
    if (machine.tenure.releaseReason === 'silent' && !machine.tenure.isReleasing) machine.tenure.releaseReason = null;
    if (heartbeat.agentEpoch > machine.tenure.agentEpoch) {
      if (machine.tenure.agentEpoch > 0) {
        // Its lease ran out: it has killed and forgotten everything. Starts sent to the
        // old session can't be executed in the new one.
        const lost = [...machine.tenure.allocations.values()].filter((allocation) => allocation.phase !== 'planned');
        if (lost.length > 0) this.context.log('info', 'worker lease expired', { machine: machine.name, tasks: lost.length });
        for (const allocation of lost) this.allocations.free(allocation);
      }
      machine.tenure.agentEpoch = heartbeat.agentEpoch;
    }
    machine.tenure.sequence = heartbeat.sequence;
    if (heartbeat.preemptionNoticeS !== null && machine.tenure.preemptionNoticeUntil === null) {
      machine.tenure.preemptionNoticeUntil = now + heartbeat.preemptionNoticeS * 1000;
      this.context.log('info', 'spot preemption notice', { machine: machine.name, seconds: heartbeat.preemptionNoticeS });
      this.allocations.drain(machine);
    }
    const reportedKeys = new Set<string>();
    machine.tenure.orphanedTasks = [];
    for (const task of heartbeat.tasks) {
      const key = taskKey(task.job, task.index, task.attempt);
      reportedKeys.add(key);
      const allocation = machine.tenure.allocations.get(key) ?? this.adoptTask(machine, task, now);
      if (!allocation) {
        machine.tenure.orphanedTasks.push(task);
        machine.allocationsChanged();
        continue;
      }
      this.reconcileTask(allocation, task, now);
    }
    for (const [key, allocation] of [...machine.tenure.allocations]) {
      if (reportedKeys.has(key) || allocation.phase === 'planned' || allocation.phase === 'sent') continue;
      // What runs never leaves the reports of its session by itself. Where it is missing the machine began
      // again, or this is a copy of something older: the answer to our own question tells which.
      if (knownBefore === null && allocation.phase === 'there') this.requestProbe(machine, now);
      else this.allocations.free(allocation);
    }
  }

  /** How urgent it is to learn of a job's task: what is cancelled has to be gone in time. */
  private reportedPriorityOf(id: string): number {
    const { finishedJobs, jobs } = this.context.clusterState;
    return finishedJobs.get(id) === 'cancelled' ? CANCELLED_WORK_PRIORITY : (jobs.get(id)?.priority ?? LOWEST_REPORTED_PRIORITY);
  }

  /** More than a worker can have said since it was last heard. */
  private isImplausible(machine: Machine, sequence: number, now: Milliseconds): boolean {
    return (
      machine.tenure.sequence >= 0 &&
      sequence - machine.tenure.sequence >
        MAX_MESSAGE_BURST + (MAX_MESSAGES_PER_S * (now - machine.tenure.lastHeartbeatAt)) / 1000
    );
  }

  /** A keeper says that a machine's reports go on as they were. */
  reconcileUnchanged(unchanged: UnchangedHeartbeat, from: string, now: Milliseconds): void {
    const machine = this.context.clusterState.machines.get(unchanged.machine);
    if (!machine || !this.allocations.holdsShard(machine.shard, now)) return;
    // What is older than what came here is a late copy there.
    if (
      machine.tenure.isVerified &&
      (unchanged.agentEpoch < machine.tenure.agentEpoch ||
        (unchanged.agentEpoch === machine.tenure.agentEpoch && unchanged.sequence < machine.tenure.sequence))
    )
      return;
    machine.heardByPeerAt = now;
    // It goes from one to the next: perhaps nobody's answers reach it. One that stays is answered.
    if (machine.heardByPeer !== from && machine.heardByPeer !== null) this.requestProbe(machine, now);
    machine.heardByPeer = from;
    if (
      !machine.tenure.isVerified ||
      unchanged.agentEpoch !== machine.tenure.agentEpoch ||
      unchanged.sequence <= machine.tenure.sequence
    )
      return;
    if (machine.tenure.sequence < unchanged.forwardedSequence || this.isImplausible(machine, unchanged.sequence, now)) {
      // The report that it refers to did not come here.
      this.requestProbe(machine, now);
      return;
    }
    machine.tenure.sequence = unchanged.sequence;
    machine.tenure.lastHeartbeatAt = now;
    if (machine.tenure.releaseReason === 'silent' && !machine.tenure.isReleasing) machine.tenure.releaseReason = null;
  }

  /** Asks the machine how it stands, now and then. */
  requestProbe(machine: Machine, now: Milliseconds): void {
    if (now - machine.probeRequestedAt < this.context.settings.workers.heartbeatIntervalS * 2000) return;
    machine.probeRequestedAt = now;
    machine.probeRequested = true;
  }

  /** A task found on a machine that we have no record of: an earlier holder's work. */
  private adoptTask(machine: Machine, task: TaskStatus, now: Milliseconds): Allocation | null {
    const job = this.context.clusterState.restoreJob(task.job, this.context.replica.get(StateKey.job(task.job)), now);
    if (!job) return null;
    if (job.shard !== machine.shard || task.index >= job.spec.tasks) return null;
    if (job.tenure.allocations.has(task.index)) {
      const other = job.tenure.allocations.get(task.index) as Allocation;
      if (other.phase === 'planned') this.allocations.free(other);
      else return null;
    }
    const allocation = this.allocations.allocate(job, task.index, task.attempt, machine, 'there', now);
    if (job.spec.shape === 'gang') {
      if (job.tenure.gangAttempt === null) job.tenure.gangAttempt = task.attempt;
      if (job.tenure.gangAttempt !== task.attempt) this.allocations.failGang(job);
      if (job.tenure.gangFailed) this.allocations.stop(allocation, 0);
    }
    if (job.state === 'cancelled') this.allocations.stop(allocation, 0);
    return allocation;
  }

  private reconcileTask(allocation: Allocation, task: TaskStatus, now: Milliseconds): void {
    const previousState = allocation.status?.state;
    allocation.status = task;
    const machine = allocation.machine;
    const job = allocation.job;
    if (task.state !== 'exited') {
      allocation.phase = 'there';
      if (task.state === 'running' && previousState !== 'running') {
        allocation.runningSince = now;
        this.context.log('debug', 'task running', {
          task: `${job.spec.id}/${allocation.taskIndex}`,
          jobClass: job.spec.cls,
          machine: machine.name,
          type: machine.capacity?.name,
          sinceSubmit: toLoggedSeconds(now - job.arrivedAt),
          sincePlan: toLoggedSeconds(now - allocation.plannedAt),
          gb: job.spec.imageGb,
          cached: machine.images.has(job.imageIndex),
        });
        const isNewImage = !machine.images.has(job.imageIndex);
        machine.images.delete(job.imageIndex);
        machine.images.set(job.imageIndex, job.spec.imageGb);
        this.trimImages(machine);
        if (isNewImage) this.imageCacheWriter.schedule(machine);
      }
      return;
    }
    if (allocation.phase === 'exited') return;
    allocation.phase = 'exited';
    allocation.machine.allocationsChanged();
    this.allocations.schedulingRequested = true;
    if (task.exitReason === 'done') {
      if (allocation.runningSince !== null) job.longestRunS = Math.max(job.longestRunS, (now - allocation.runningSince) / 1000);
      this.allocations.failureAttribution.recordSuccess(allocation);
      this.progressWriter.markDone(job, allocation.taskIndex);
      return;
    }
    if (task.exitReason === 'stopped' && allocation.stopGraceS === null) job.stoppedByOthersAt = now;
    if (task.exitReason === 'error') this.allocations.failureAttribution.recordFailure(allocation, now);
    if (task.exitReason === 'unknown') job.retryAt = now + 1000;
    if (task.exitReason === 'no_room') machine.tenure.retryAt = Math.max(machine.tenure.retryAt, now + 500);
    if (task.exitReason !== 'stopped') {
      this.context.log('debug', 'task ended', {
        task: `${job.spec.id}/${allocation.taskIndex}`,
        machine: machine.name,
        reason: task.exitReason,
      });
    }
    if (job.spec.shape === 'gang' && job.state === 'live' && job.doneCount < job.spec.tasks) this.allocations.failGang(job);
  }

  /** What the machine surely keeps: the most recently used images that fit its cache. */
  private trimImages(machine: Machine): void {
    let totalGb = 0;
    for (const gb of machine.images.values()) totalGb += gb;
    for (const [index, gb] of machine.images) {
      if (totalGb <= (machine.capacity?.cacheGb ?? 0)) break;
      machine.images.delete(index);
      totalGb -= gb;
    }
  }
}
