/** Grants machines whose workers report, and which no share has, to shares: where work waits, or else by guarantees. */
import type { ShardSummary } from '@archpost/protocol';
import type { ClusterStateView, PeerDirectory, SettingsView, StateWriting } from '../context/index.js';
import { countThatFit, type Milliseconds } from '../model/index.js';
import { encodeAssignment, StateKey, WritePriority } from '../state/index.js';
import type { Autoscaler } from './autoscaler.js';
import { allocateToDemands, matchesDemand, type PendingDemand, pendingDemands } from './demand.js';
import { machineTypeNamed } from './instance-kind.js';
import type { RecentAssignment, UnassignedMachine } from './machine-assignment.js';
import { ShardBalance } from './shard-balance.js';

/** A granted machine is probed, planned for and told of within this time. */
const ASSIGNMENT_VISIBILITY_MS = 1500;

/** A machine that was last heard longer ago isn't granted: it may be gone. */
const MAX_HEARTBEAT_AGE_MS = 4000;

/** What a peer told longer ago isn't counted on. */
const MAX_PEER_STATUS_AGE_MS = 5000;

const ASSIGNMENT_EXPIRES_MS = 8000;

/** What the machine assigner needs of its controller. */
type MachineAssignerContext = SettingsView & ClusterStateView & StateWriting & PeerDirectory;

export class MachineAssigner {
  private readonly unassignedMachines = new Map<string, { machine: UnassignedMachine; at: Milliseconds }>();
  private readonly pendingWrites = new Set<string>();
  private readonly recentAssignments = new Map<string, RecentAssignment>();

  constructor(
    private readonly context: MachineAssignerContext,
    private readonly autoscaler: Autoscaler,
  ) {}

  machineReported(unassigned: UnassignedMachine, now: Milliseconds): void {
    this.unassignedMachines.set(unassigned.machine, { machine: unassigned, at: now });
  }

  /** Machines without a grant that reported here lately. */
  recentlyReported(now: Milliseconds): UnassignedMachine[] {
    for (const [name, { at }] of this.unassignedMachines)
      if (now - at > MAX_HEARTBEAT_AGE_MS || this.context.clusterState.machines.has(name)) this.unassignedMachines.delete(name);
    return [...this.unassignedMachines.values()].map(({ machine: unassigned }) => unassigned);
  }

  /** A grant of this machine is being written. */
  isAssignmentPending(machine: string): boolean {
    return this.pendingWrites.has(machine);
  }

  /** What was granted so lately that what its share tells doesn't show it yet. */
  recentlyAssigned(now: Milliseconds): RecentAssignment[] {
    for (const [name, assignment] of this.recentAssignments)
      if (!this.pendingWrites.has(name) && now - assignment.at > ASSIGNMENT_VISIBILITY_MS) this.recentAssignments.delete(name);
    return [...this.recentAssignments.values()];
  }

  /** `leaderStamp`: the stamp under which this controller leads. */
  assignAll(shards: () => Map<number, ShardSummary>, leaderRevision: number, now: Milliseconds): void {
    const all = this.unassigned(now);
    if (all.size === 0) return;
    const waiting = pendingDemands(shards().values());
    this.allocateRecentAssignments(waiting, now);
    const balance = new ShardBalance(this.context, this.recentAssignments);
    for (const unassigned of all.values()) {
      this.autoscaler.machineStarted(unassigned.machine, unassigned, now);
      const shard = this.shardInNeed(unassigned, waiting) ?? balance.worstOff(unassigned.type);
      balance.add(unassigned.type, shard);
      this.write(unassigned, shard, leaderRevision, now);
    }
  }

  /** Takes off the waiting work what was granted a moment ago. */
  allocateRecentAssignments(waiting: PendingDemand[], now: Milliseconds): void {
    for (const assignment of this.recentlyAssigned(now)) {
      const capacity = machineTypeNamed(this.context, assignment.type);
      if (capacity) allocateToDemands(waiting, assignment.shard, assignment, capacity);
    }
  }

  /** By name, what reported here or to another controller. */
  private unassigned(now: Milliseconds): Map<string, UnassignedMachine> {
    const { clusterState, peers } = this.context;
    const candidates = this.recentlyReported(now);
    for (const peer of peers.values())
      if (now - peer.heardAt < MAX_PEER_STATUS_AGE_MS) candidates.push(...peer.status.unassignedMachines);
    const all = new Map<string, UnassignedMachine>();
    for (const unassigned of candidates) {
      if (clusterState.machines.has(unassigned.machine) || this.pendingWrites.has(unassigned.machine)) continue;
      // Else a late report of a machine that was given back.
      if (!this.autoscaler.isRecentlyReleased(unassigned.machine, now)) all.set(unassigned.machine, unassigned);
    }
    return all;
  }

  private write(
    { machine, address, type, zone, spot }: UnassignedMachine,
    shard: number,
    leaderRevision: number,
    now: Milliseconds,
  ): void {
    this.pendingWrites.add(machine);
    this.recentAssignments.set(machine, { shard, type, zone, spot, at: now });
    this.context.writer.add({
      key: StateKey.assignment(machine),
      value: () => encodeAssignment({ shard, address, type, zone, spot, moveToShard: null, isRetired: false }),
      expectedRevision: 0,
      conditions: [{ key: StateKey.shardLease('lead'), revision: leaderRevision }],
      priority: WritePriority.assignment,
      expiresAt: now + ASSIGNMENT_EXPIRES_MS,
      onOutcome: () => {
        this.pendingWrites.delete(machine);
        this.autoscaler.machineAssigned(machine);
      },
    });
  }

  /** The share whose waiting work the machine serves best; what needs accelerators comes first on those. */
  private shardInNeed(unassigned: UnassignedMachine, waiting: PendingDemand[]): number | null {
    const { type, zone, spot } = unassigned;
    const capacity = machineTypeNamed(this.context, type);
    if (!capacity) return null;
    const serves = ({ remainingTasks, demand }: PendingDemand) =>
      remainingTasks > 0 && countThatFit(demand, capacity) >= 1 && matchesDemand(demand, type, zone, spot);
    const accelerated = capacity.gpus > 0 && !spot ? waiting.find((work) => work.demand.gpus > 0 && serves(work)) : undefined;
    const work = accelerated ?? waiting.find(serves);
    if (!work) return null;
    allocateToDemands(waiting, work.shard, unassigned, capacity);
    return work.shard;
  }
}
