/**
 * Answers to workers' reports, and who learns what they say. Any controller answers, so that work doesn't die with
 * its owner; only the owner commands. How long, and why that breaks nothing: docs/design.md, "Who may answer workers".
 */
import { type Command, encodeHeartbeatResponse, encodeRedirect, type Heartbeat, MAX_COMMANDS_PER_BODY } from '@archpost/protocol';
import type { UnassignedMachine } from '../capacity/index.js';
import type { ClusterStateView, EffectSink, ReplicaView, SettingsView, StateFreshness } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';
import { type ShardController, stopReportedTask } from '../shards/index.js';
import type { HeartbeatForwarding } from './heartbeat-forwarding.js';
import type { HeartbeatReconciler } from './heartbeat-reconciler.js';
import type { WorkerRouting } from './worker-routing.js';

const MAY_NOT_ANSWER = { error: 'not entitled' };

/** Learns of machines that report and that no shard has. */
export interface UnassignedMachineListener {
  unassignedMachineReported(machine: UnassignedMachine, now: Milliseconds): void;
}

/** Knows since when no controller can have confirmed a cancellation that isn't known here. */
export interface CancellationFreshnessSource {
  freshSince(now: Milliseconds): Milliseconds;
}

/** Who takes what workers say. */
export interface HeartbeatCollaborators {
  shardController: ShardController;
  heartbeatReconciler: HeartbeatReconciler;
  leader: UnassignedMachineListener;
  heartbeatForwarding: HeartbeatForwarding;
  workerRouting: WorkerRouting;
  cancellationFreshness: CancellationFreshnessSource;
}

/** What the heartbeat responder needs of its controller. */
type HeartbeatResponderContext = SettingsView & ClusterStateView & ReplicaView & StateFreshness & EffectSink;

export class HeartbeatResponder {
  /** answers since the last look, by status */
  private readonly responseCounts = new Map<number, number>();

  constructor(
    private readonly context: HeartbeatResponderContext,
    private readonly collaborators: HeartbeatCollaborators,
  ) {}

  receive(id: number, heartbeat: Heartbeat, now: Milliseconds): void {
    const { shardController, heartbeatReconciler, leader, heartbeatForwarding, workerRouting } = this.collaborators;
    const { clusterState } = this.context;
    if (!this.mayAnswerWorkers(now)) return this.respond(id, 503, MAY_NOT_ANSWER);
    const machine = clusterState.machines.get(heartbeat.machine);
    if (!machine) {
      const { address, type, zone, spot } = heartbeat;
      leader.unassignedMachineReported({ machine: heartbeat.machine, address, type, zone, spot }, now);
      return this.respond(id, 421, encodeRedirect(null));
    }
    // It has been told a higher token than is known here: whatever is answered, it drops, and
    // stays here while its lease runs out. Another controller must answer it.
    if (heartbeat.fencingToken > clusterState.fencingToken(machine)) return this.respond(id, 503, MAY_NOT_ANSWER);
    const holder = clusterState.leaseOf(machine.shard)?.holder.controller ?? null;
    const redirectTo = workerRouting.redirectTarget(heartbeat, holder, now);
    if (redirectTo !== null) return this.respond(id, 421, encodeRedirect(redirectTo));
    workerRouting.workerServed(heartbeat.machine, now);
    if (shardController.allocations.holdsShard(machine.shard, now)) heartbeatReconciler.reconcile(machine, heartbeat, now);
    // The work must not die because its owner did, or can't be reached from here.
    else heartbeatForwarding.receive(heartbeat, holder, now);
    this.respond(id, 200, encodeHeartbeatResponse(clusterState.fencingToken(machine), this.stopsForFinishedJobs(heartbeat)));
  }

  /** A report that another controller answered and passed on. */
  receiveForwarded(heartbeat: Heartbeat, now: Milliseconds): void {
    const { shardController, heartbeatReconciler } = this.collaborators;
    const { clusterState, settings } = this.context;
    const machine = clusterState.machines.get(heartbeat.machine);
    if (
      !machine ||
      clusterState.leaseOf(machine.shard)?.holder.controller !== settings.name ||
      !shardController.allocations.holdsShard(machine.shard, now)
    )
      return;
    heartbeatReconciler.reconcile(machine, heartbeat, now);
    // Workers of our own zone report here, unless this controller or the machine is apart.
    if (heartbeat.zone === settings.zone) heartbeatReconciler.requestProbe(machine, now);
  }

  /**
   * May workers' reports be answered here, so that their leases go on? For as long as a
   * cancellation that we can't have learned of would still be kept: what we last let go on
   * ends by its worker's lease in time. Without a lease no command of ours goes out
   * meanwhile, and nobody counts a worker's lease as over.
   */
  mayAnswerWorkers(now: Milliseconds): boolean {
    if (!this.context.replica.loaded) return false;
    const { cancelS, leaseS, heartbeatIntervalS: intervalS } = this.context.settings.workers;
    const confirmedAt = Math.max(this.context.replicaFreshAt, this.collaborators.cancellationFreshness.freshSince(now));
    return now - confirmedAt < (cancelS - leaseS - intervalS) * 1000;
  }

  /** How many answers of each status were given since this was last asked. */
  takeResponseCounts(): Record<string, number> {
    const counts = Object.fromEntries(this.responseCounts);
    this.responseCounts.clear();
    return counts;
  }

  /**
   * What a report names of jobs that are over is stopped by the answer, whoever gives it: a direct command may
   * not get through where the answer does, and the answer is what lets the work live on. Of a job that is done a
   * second attempt may be left, which its owner knows nothing of any more.
   */
  private stopsForFinishedJobs(heartbeat: Heartbeat): Command[] {
    const { finishedJobs } = this.context.clusterState;
    const over = heartbeat.tasks.filter(({ job, state }) => state !== 'exited' && finishedJobs.has(job));
    return over.slice(0, MAX_COMMANDS_PER_BODY).map(stopReportedTask);
  }

  private respond(id: number, status: number, body: unknown): void {
    this.responseCounts.set(status, (this.responseCounts.get(status) ?? 0) + 1);
    this.context.emit({ type: 'respond', id, status, body });
  }
}
