/**
 * Responses to workers' heartbeats, and delivery of the heartbeats to the parts that process them. Any controller responds, so
 * that tasks don't end when the holder of their shard fails; only the holder sends commands. For how long, and why this is safe:
 * docs/design.md, "Who may answer workers". Owns the counts of responses.
 */
import { type Command, encodeHeartbeatResponse, encodeRedirect, type Heartbeat, MAX_COMMANDS_PER_BODY } from '@archpost/protocol';
import type { UnassignedMachine } from '../capacity/index.js';
import type { ClusterStateView, EffectSink, ReplicaView, SettingsView, StateFreshness } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';
import { type ShardController, stopReportedTask } from '../shards/index.js';
import type { HeartbeatForwarding } from './heartbeat-forwarding.js';
import type { HeartbeatReconciler } from './heartbeat-reconciler.js';
import type { WorkerRouting } from './worker-routing.js';

/** HTTP status codes of responses. 421 redirects the worker to another controller, which the body names if one is chosen. */
const HTTP_OK = 200;
const HTTP_MISDIRECTED_REQUEST = 421;
const HTTP_SERVICE_UNAVAILABLE = 503;

/** The body of a response that doesn't renew the worker's lease: the worker tries another controller. */
const NOT_ENTITLED_BODY = { error: 'not entitled' };

/** Is notified of machines that send heartbeats and are assigned to no shard. */
export interface UnassignedMachineListener {
  onUnassignedMachineReported(machine: UnassignedMachine, now: Milliseconds): void;
}

/** Provides the time up to which this controller knows every cancellation that any controller confirmed. */
export interface CancellationFreshnessSource {
  freshAsOf(now: Milliseconds): Milliseconds;
}

/** The parts that process heartbeats or determine how they are answered. */
export interface HeartbeatCollaborators {
  shardController: ShardController;
  heartbeatReconciler: HeartbeatReconciler;
  leader: UnassignedMachineListener;
  heartbeatForwarding: HeartbeatForwarding;
  workerRouting: WorkerRouting;
  cancellationFreshness: CancellationFreshnessSource;
}

type HeartbeatResponderContext = SettingsView & ClusterStateView & ReplicaView & StateFreshness & EffectSink;

/** Responds to each heartbeat once, and passes it to the part that processes it. */
export class HeartbeatResponder {
  /** responses since the last `takeResponseCounts`, by status code */
  private readonly responseCounts = new Map<number, number>();

  constructor(
    private readonly context: HeartbeatResponderContext,
    private readonly collaborators: HeartbeatCollaborators,
  ) {}

  /** Handles a heartbeat that a worker sent to this controller. `id`: that of the request, which the response names. */
  receive(id: number, heartbeat: Heartbeat, now: Milliseconds): void {
    const { shardController, heartbeatReconciler, leader, heartbeatForwarding, workerRouting } = this.collaborators;
    const { clusterState } = this.context;
    if (!this.mayAnswerWorkers(now)) return this.respond(id, HTTP_SERVICE_UNAVAILABLE, NOT_ENTITLED_BODY);
    const machine = clusterState.machines.get(heartbeat.machine);
    if (!machine) {
      const { address, type, zone, spot } = heartbeat;
      leader.onUnassignedMachineReported({ machine: heartbeat.machine, address, type, zone, spot }, now);
      return this.respond(id, HTTP_MISDIRECTED_REQUEST, encodeRedirect(null));
    }
    // The worker has seen a higher fencing token than this controller knows. It would drop any response with the lower token, and
    // keep sending its heartbeats to this controller until its lease expires. Another controller must answer it.
    if (heartbeat.fencingToken > clusterState.fencingToken(machine))
      return this.respond(id, HTTP_SERVICE_UNAVAILABLE, NOT_ENTITLED_BODY);
    const holder = clusterState.leaseOf(machine.shard)?.holder.controller ?? null;
    const redirectTo = workerRouting.chooseRedirectTarget(heartbeat, holder, now);
    if (redirectTo !== null) return this.respond(id, HTTP_MISDIRECTED_REQUEST, encodeRedirect(redirectTo));
    workerRouting.recordServed(heartbeat.machine, now);
    if (shardController.allocations.holdsShard(machine.shard, now)) heartbeatReconciler.reconcile(machine, heartbeat, now);
    // The worker's tasks must not end because the holder of their shard failed or can't be reached from this controller.
    else heartbeatForwarding.receive(heartbeat, holder, now);
    this.respond(id, HTTP_OK, encodeHeartbeatResponse(clusterState.fencingToken(machine), this.buildStopCommands(heartbeat)));
  }

  /** Handles a heartbeat that another controller answered and forwarded. */
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
    // Workers in this zone send their heartbeats to this controller unless it or the machine is cut off from the zone.
    if (heartbeat.zone === settings.zone) heartbeatReconciler.requestProbe(machine, now);
  }

  /**
   * Whether this controller may answer heartbeats, which renews the workers' leases. It may as long as a cancellation that it
   * can't know of would still take effect in time: the tasks that its last response let continue end with their worker's lease
   * before then. Without a valid state lease, this controller sends no commands meanwhile, and no controller considers a worker's
   * lease expired.
   */
  mayAnswerWorkers(now: Milliseconds): boolean {
    if (!this.context.replica.isLoaded) return false;
    const { cancelS, leaseS, heartbeatIntervalS: intervalS } = this.context.settings.workers;
    const confirmedAt = Math.max(this.context.replicaFreshAt, this.collaborators.cancellationFreshness.freshAsOf(now));
    return now - confirmedAt < (cancelS - leaseS - intervalS) * 1000;
  }

  /** Returns the number of responses by status code since the last call, and resets the counts. */
  takeResponseCounts(): Record<string, number> {
    const counts = Object.fromEntries(this.responseCounts);
    this.responseCounts.clear();
    return counts;
  }

  /**
   * Returns commands that stop the reported tasks of finished jobs. They are part of the response, whichever controller sends it:
   * a separate command may not reach the worker although the response does, and it is the response that lets the tasks continue.
   * A job that is done may have a second attempt of a task left, which the holder of its shard no longer knows.
   */
  private buildStopCommands(heartbeat: Heartbeat): Command[] {
    const { finishedJobs } = this.context.clusterState;
    const finished = heartbeat.tasks.filter(({ job, state }) => state !== 'exited' && finishedJobs.has(job));
    return finished.slice(0, MAX_COMMANDS_PER_BODY).map(stopReportedTask);
  }

  private respond(id: number, status: number, body: unknown): void {
    this.responseCounts.set(status, (this.responseCounts.get(status) ?? 0) + 1);
    this.context.emit({ type: 'respond', id, status, body });
  }
}
