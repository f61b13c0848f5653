/**
 * Assigns unassigned machines from which heartbeats arrive to shards: to a shard with pending work, or else by the guarantees of
 * the teams. Owns the recent heartbeats of unassigned machines, and the recent assignments.
 */
import type { ShardSummary } from '@archpost/protocol';
import type { ClusterStateView, PeerDirectory, SettingsView, StateWriting } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';
import { encodeAssignment, LEADER_LEASE, NO_REVISION, StateKey, WritePriority } from '../state/index.js';
import type { Autoscaler } from './autoscaler.js';
import { allocateToDemands, type PendingDemand, pendingDemands, servesDemand } from './demand.js';
import { machineTypeNamed } from './instance-kind.js';
import type { RecentAssignment, UnassignedMachine } from './machine-assignment.js';
import { ShardBalance } from './shard-balance.js';

/** After this time an assigned machine has been probed, is used by the scheduler, and is part of its shard's summary. */
const ASSIGNMENT_VISIBILITY_MS = 1500;

/** A machine whose last heartbeat is older isn't assigned, since it may be gone. */
const MAX_HEARTBEAT_AGE_MS = 4000;

/** An older status of a peer is ignored. */
const MAX_PEER_STATUS_AGE_MS = 5000;

/** The write of an assignment is abandoned after this time. */
const ASSIGNMENT_EXPIRES_MS = 8000;

/** The parts of the controller's context that the machine assigner uses. */
type MachineAssignerContext = SettingsView & ClusterStateView & StateWriting & PeerDirectory;

/** The last heartbeat of an unassigned machine. */
interface UnassignedHeartbeat {
  machine: UnassignedMachine;
  at: Milliseconds;
}

/** Collects unassigned machines on every controller; assigns them on the leader. */
export class MachineAssigner {
  private readonly unassignedHeartbeats = new Map<string, UnassignedHeartbeat>();
  private readonly pendingWrites = new Set<string>();
  private readonly recentAssignments = new Map<string, RecentAssignment>();

  constructor(
    private readonly context: MachineAssignerContext,
    private readonly autoscaler: Autoscaler,
  ) {}

  /** Records a heartbeat of a machine without an assignment. */
  recordHeartbeat(unassigned: UnassignedMachine, now: Milliseconds): void {
    this.unassignedHeartbeats.set(unassigned.machine, { machine: unassigned, at: now });
  }

  /** Returns the unassigned machines from which a heartbeat arrived at this controller recently. */
  recentlyReported(now: Milliseconds): UnassignedMachine[] {
    for (const [name, { at }] of this.unassignedHeartbeats)
      if (now - at > MAX_HEARTBEAT_AGE_MS || this.context.clusterState.machines.has(name)) this.unassignedHeartbeats.delete(name);
    return [...this.unassignedHeartbeats.values()].map(({ machine }) => machine);
  }

  /** Whether a write of the machine's assignment is pending. */
  isAssignmentPending(machine: string): boolean {
    return this.pendingWrites.has(machine);
  }

  /** Returns machines that were assigned so recently that the summaries of their shards may not show them yet. */
  recentlyAssigned(now: Milliseconds): RecentAssignment[] {
    for (const [name, assignment] of this.recentAssignments)
      if (!this.pendingWrites.has(name) && now - assignment.at > ASSIGNMENT_VISIBILITY_MS) this.recentAssignments.delete(name);
    return [...this.recentAssignments.values()];
  }

  /**
   * Assigns every unassigned machine that reported to this controller or to a peer. `shards` is called only if there is one.
   * `leaderRevision` is the revision of the leader lease; the writes are conditional on it.
   */
  assignAll(shards: () => Map<number, ShardSummary>, leaderRevision: number, now: Milliseconds): void {
    const unassignedMachines = this.unassignedMachines(now);
    if (unassignedMachines.size === 0) return;
    const pending = pendingDemands(shards().values());
    this.allocateRecentAssignments(pending, now);
    const balance = new ShardBalance(this.context, this.recentAssignments);
    for (const unassigned of unassignedMachines.values()) {
      this.autoscaler.recordBoot(unassigned.machine, unassigned, now);
      const shard = this.findShardWithDemand(unassigned, pending) ?? balance.leastProvisionedShard(unassigned.type);
      balance.add(unassigned.type, shard);
      this.writeAssignment(unassigned, shard, leaderRevision, now);
    }
  }

  /** Allocates pending tasks to recently assigned machines. */
  allocateRecentAssignments(pending: PendingDemand[], now: Milliseconds): void {
    for (const assignment of this.recentlyAssigned(now)) {
      const capacity = machineTypeNamed(this.context, assignment.type);
      if (capacity) allocateToDemands(pending, assignment.shard, assignment, capacity);
    }
  }

  /** Returns the machines to assign, by name: those that reported to this controller, then those that reported to peers. */
  private unassignedMachines(now: Milliseconds): Map<string, UnassignedMachine> {
    const { clusterState, peers } = this.context;
    const candidates = this.recentlyReported(now);
    for (const peer of peers.values())
      if (now - peer.lastStatusAt < MAX_PEER_STATUS_AGE_MS) candidates.push(...peer.status.unassignedMachines);
    const unassignedMachines = new Map<string, UnassignedMachine>();
    for (const unassigned of candidates) {
      if (clusterState.machines.has(unassigned.machine) || this.pendingWrites.has(unassigned.machine)) continue;
      // The heartbeat may be out of date, sent before the machine was released.
      if (this.autoscaler.isRecentlyReleased(unassigned.machine, now)) continue;
      unassignedMachines.set(unassigned.machine, unassigned);
    }
    return unassignedMachines;
  }

  private writeAssignment(unassigned: UnassignedMachine, shard: number, leaderRevision: number, now: Milliseconds): void {
    const { machine, address, type, zone, spot } = unassigned;
    this.pendingWrites.add(machine);
    this.recentAssignments.set(machine, { shard, type, zone, spot, at: now });
    this.context.writer.add({
      key: StateKey.assignment(machine),
      value: () => encodeAssignment({ shard, address, type, zone, spot, moveToShard: null, isRetired: false }),
      expectedRevision: NO_REVISION,
      conditions: [{ key: StateKey.shardLease(LEADER_LEASE), revision: leaderRevision }],
      priority: WritePriority.assignment,
      expiresAt: now + ASSIGNMENT_EXPIRES_MS,
      onOutcome: () => {
        this.pendingWrites.delete(machine);
        this.autoscaler.onMachineAssigned(machine);
      },
    });
  }

  /**
   * Returns the shard of the first demand that the machine serves, or null. For on-demand machines with accelerators, work that
   * needs accelerators comes first. The tasks that the machine will run are counted as served.
   */
  private findShardWithDemand(unassigned: UnassignedMachine, pending: PendingDemand[]): number | null {
    const { type, zone, spot } = unassigned;
    const capacity = machineTypeNamed(this.context, type);
    if (!capacity) return null;
    const isServed = ({ remainingTasks, demand }: PendingDemand) =>
      remainingTasks > 0 && servesDemand(demand, capacity, zone, spot);
    const needsGpus = (work: PendingDemand) => work.demand.gpus > 0 && isServed(work);
    const gpuWork = capacity.gpus > 0 && !spot ? pending.find(needsGpus) : undefined;
    const work = gpuWork ?? pending.find(isServed);
    if (!work) return null;
    allocateToDemands(pending, work.shard, unassigned, capacity);
    return work.shard;
  }
}
