/**
 * Responses to workers' heartbeats, and who gets to know what they say. Any controller responds, so that tasks don't end with
 * the holder of their shard; only the holder commands. For how long, and why that breaks nothing: docs/design.md, "Who may
 * answer workers". Owns the counts of responses.
 */
import { type Command, encodeHeartbeatResponse, encodeRedirect, type Heartbeat, MAX_COMMANDS_PER_BODY } from '@archpost/protocol';
import type { UnassignedMachine } from '../capacity/index.js';
import type { ClusterStateView, EffectSink, ReplicaView, SettingsView, StateFreshness } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';
import { type ShardController, stopReportedTask } from '../shards/index.js';
import type { HeartbeatForwarding } from './heartbeat-forwarding.js';
import type { HeartbeatReconciler } from './heartbeat-reconciler.js';
import type { WorkerRouting } from './worker-routing.js';

/** Status codes of responses. 421: a redirect to another controller, which the body names if there is one. */
const HTTP_OK = 200;
const HTTP_MISDIRECTED_REQUEST = 421;
const HTTP_SERVICE_UNAVAILABLE = 503;

/** The body of a response that renews no lease: the worker tries another controller. */
const NOT_ENTITLED_BODY = { error: 'not entitled' };

/** Learns of machines that send heartbeats and that no shard has. */
export interface UnassignedMachineListener {
  onUnassignedMachineReported(machine: UnassignedMachine, now: Milliseconds): void;
}

/** Knows since when no controller can have confirmed a cancellation that isn't known here. */
export interface CancellationFreshnessSource {
  freshAsOf(now: Milliseconds): Milliseconds;
}

/** The parts that heartbeats are handed to, or that say how they are answered. */
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

/** Responds to each heartbeat once, and hands on what it says. */
export class HeartbeatResponder {
  /** responses since the last `takeResponseCounts`, by status code */
  private readonly responseCounts = new Map<number, number>();

  constructor(
    private readonly context: HeartbeatResponderContext,
    private readonly collaborators: HeartbeatCollaborators,
  ) {}

  /** A heartbeat that came to this controller. `id`: that of the request, which the response names. */
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
    // It has seen a higher token than is known here: it would drop any response, and stay here while its lease runs out.
    // Another controller must answer it.
    if (heartbeat.fencingToken > clusterState.fencingToken(machine))
      return this.respond(id, HTTP_SERVICE_UNAVAILABLE, NOT_ENTITLED_BODY);
    const holder = clusterState.leaseOf(machine.shard)?.holder.controller ?? null;
    const redirectTo = workerRouting.chooseRedirectTarget(heartbeat, holder, now);
    if (redirectTo !== null) return this.respond(id, HTTP_MISDIRECTED_REQUEST, encodeRedirect(redirectTo));
    workerRouting.recordServed(heartbeat.machine, now);
    if (shardController.allocations.holdsShard(machine.shard, now)) heartbeatReconciler.reconcile(machine, heartbeat, now);
    // Its tasks must not end because the holder of their shard did, or can't be reached from here.
    else heartbeatForwarding.receive(heartbeat, holder, now);
    this.respond(id, HTTP_OK, encodeHeartbeatResponse(clusterState.fencingToken(machine), this.buildStopCommands(heartbeat)));
  }

  /** A heartbeat that another controller answered and forwarded. */
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
    // Workers of this zone send their heartbeats here, unless this controller or the machine is cut off from the zone.
    if (heartbeat.zone === settings.zone) heartbeatReconciler.requestProbe(machine, now);
  }

  /**
   * May heartbeats be answered here, so that the workers' leases go on? For as long as a cancellation that can't be known here
   * would still be carried out in time: what was last let go on ends by its worker's lease before that. Without a lease at the
   * state service this controller sends no command meanwhile, and no controller takes a worker's lease for expired.
   */
  mayAnswerWorkers(now: Milliseconds): boolean {
    if (!this.context.replica.isLoaded) return false;
    const { cancelS, leaseS, heartbeatIntervalS: intervalS } = this.context.settings.workers;
    const confirmedAt = Math.max(this.context.replicaFreshAt, this.collaborators.cancellationFreshness.freshAsOf(now));
    return now - confirmedAt < (cancelS - leaseS - intervalS) * 1000;
  }

  /** How many responses of each status code were given since the last call. */
  takeResponseCounts(): Record<string, number> {
    const counts = Object.fromEntries(this.responseCounts);
    this.responseCounts.clear();
    return counts;
  }

  /**
   * Reported tasks of finished jobs are stopped by the response, whoever gives it: a command may not get through where the
   * response does, and the response is what lets the tasks go on. Of a job that is done a second attempt may be left, which the
   * holder of its shard does not know any more.
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
