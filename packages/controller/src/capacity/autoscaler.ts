/**
 * The autoscaler: provisions machines for pending work, and releases machines that never came up. It acts on the leader only.
 * Owns the start time of this controller's leadership. Machine lists, requests, pools, releases and boot times are tracked by a
 * module each; `demand-provisioning` or `spare-capacity` decides which machines to request.
 */
import {
  type ListedMachine,
  MAX_MACHINES_PER_PROVISIONING,
  MAX_MACHINES_PER_RELEASE,
  type ShardSummary,
} from '@archpost/protocol';
import type { ClusterStateView, EffectSink, Logger, SettingsView } from '../context/index.js';
import { type Machine, type Milliseconds, NEVER } from '../model/index.js';
import { BootMonitor } from './boot-monitor.js';
import { requestsForDemands } from './demand-provisioning.js';
import { type InstanceKind, type InstanceOption, instanceKindOf, instanceOptions } from './instance-kind.js';
import { InstancePools } from './instance-pools.js';
import { MachineList } from './machine-list.js';
import { Provisioner, type ProvisioningOutcome } from './provisioner.js';
import { ProvisioningTracker } from './provisioning-tracker.js';
import { RecentReleases } from './recent-releases.js';
import type { ScaleOutRequest, ScaleOutSnapshot } from './scale-out.js';
import { requestsToHoldSpare } from './spare-capacity.js';

/** The limit of machines in one request for a kind that fails to boot. */
const MAX_MACHINES_OF_FAILING_KIND = 2;

/** The margin on the lag of machine lists: after lag and margin, a list shows the machines that an earlier leader requested. */
const LIST_LAG_MARGIN_MS = 2000;

/** A running machine from which no heartbeat has arrived is released only after the leadership has lasted this long. */
const NO_HEARTBEAT_GRACE_MS = 60_000;

/** A machine is released if it isn't up after this multiple of the boot time limit of its type. */
const RELEASE_BOOT_LIMIT_FACTOR = 2;

/** The parts of the controller's context that the autoscaler uses. */
type AutoscalerContext = SettingsView & ClusterStateView & EffectSink & Logger;

/** Queries of the autoscaler to other parts of the controller. */
export interface AutoscalerDependencies {
  /** Whether a write of the machine's assignment is pending. */
  isAssignmentPending(machine: string): boolean;
  /** Returns machines that were assigned so recently that the demands of their shards may not reflect them yet. */
  recentlyAssigned(now: Milliseconds): InstanceKind[];
  /** Whether the zone is cut off from this controller. */
  isZoneCut(zone: string): boolean;
}

/** One leadership of this controller. */
interface LeadershipTerm {
  since: Milliseconds;
  /** the cluster had machines before the leadership began */
  isTakeover: boolean;
}

/** Scales the cluster out, and releases machines that never came up. Every controller has one; only the leader's is active. */
export class Autoscaler {
  private term: LeadershipTerm = { since: NEVER, isTakeover: false };
  private readonly machineList: MachineList;
  private readonly bootMonitor: BootMonitor;
  private readonly tracker = new ProvisioningTracker();
  private readonly pools = new InstancePools();
  private readonly releases = new RecentReleases();
  private readonly provisioner: Provisioner;

  /** whether the last round left a request unsent because the fleet has as many machines as it may have */
  isBlockedByFleetLimit = false;

  constructor(
    private readonly context: AutoscalerContext,
    private readonly dependencies: AutoscalerDependencies,
  ) {
    this.machineList = new MachineList(context);
    this.bootMonitor = new BootMonitor(context);
    const { tracker, pools, machineList, bootMonitor } = this;
    this.provisioner = new Provisioner(context, { tracker, pools, machineList, bootMonitor });
  }

  /** Called when this controller becomes the leader; `revision` is that of the leader lease. */
  onLeaseAcquired(revision: number, now: Milliseconds): void {
    this.term = { since: now, isTakeover: this.context.clusterState.machines.size > 0 };
    this.provisioner.onLeaseAcquired(revision);
    this.machineList.onLeaseAcquired();
  }

  /** Whether a list of the cloud's machines has been received since this leadership began. */
  get isListKnown(): boolean {
    return this.machineList.isKnown;
  }

  /** Requests a list of the cloud's machines if one is due. */
  requestMachineList(now: Milliseconds): void {
    this.machineList.request(now);
  }

  /** Handles the outcome of a list request; `machines` is null if it failed. */
  receiveMachineList(machines: ListedMachine[] | null, isLeading: boolean, now: Milliseconds): void {
    if (!this.machineList.receive(machines, isLeading, now)) return;
    for (const { machine } of this.machineList.values()) this.tracker.forget(machine);
  }

  /** Records the boot time of an unassigned machine that has sent a heartbeat, for the estimate of later boot times. */
  recordBoot(machine: string, kind: InstanceKind, now: Milliseconds): void {
    const ageMs = this.ageMs(machine, now);
    if (ageMs !== null) this.bootMonitor.recordBoot(kind, ageMs, now);
  }

  /** Called when the write of the machine's assignment has completed: from then on its shard accounts for the machine. */
  onMachineAssigned(machine: string): void {
    this.tracker.forget(machine);
  }

  /** Whether the machine was released so recently that a heartbeat from it may be out of date. */
  isRecentlyReleased(machine: string, now: Milliseconds): boolean {
    return this.releases.isRecent(machine, now);
  }

  /** Called when the machine was released, by any part of this or another controller. */
  onMachineReleased(machine: string, now: Milliseconds): void {
    this.releases.recordRelease(machine, now);
    this.tracker.forget(machine);
  }

  /** Returns the machine types of which the cloud provisioned all machines of the last request. */
  availableTypes(): string[] {
    return this.pools.availableTypes();
  }

  /** Whether `availableTypes` includes the type. */
  isTypeAvailable(type: string): boolean {
    return this.pools.isTypeAvailable(type);
  }

  /** Called when a machine is gone: the cloud may have capacity for another one of its kind. */
  onCapacityFreed(machine: Machine, now: Milliseconds): void {
    this.pools.recordFreedCapacity(instanceKindOf(this.context, machine), now);
  }

  /** Returns all kinds of machines that can be provisioned. */
  instanceOptions(): InstanceOption[] {
    return instanceOptions(this.context);
  }

  /**
   * Sends the provisioning requests of a round. All urgent requests are sent: after a wave of machine losses, one kind per round
   * would add seconds to the boot time that services wait for. Of the other requests only the first is sent, since capacity that
   * becomes free in the meantime need not be provisioned.
   */
  scaleOut(shards: Map<number, ShardSummary>, now: Milliseconds): void {
    if (this.mayMissEarlierRequests(now) || !this.provisioner.isRequestDue(now)) return;
    const { maxMachines } = this.context.settings.policy;
    const arriving = this.arrivingMachines(now);
    let machineCount = this.context.clusterState.machines.size + arriving.length;
    let isFirst = true;
    this.isBlockedByFleetLimit = false;
    for (const request of this.scaleOutRequests(shards, arriving, now)) {
      if (this.provisioner.isAtLimit) return;
      if (maxMachines !== null && machineCount >= maxMachines) {
        this.isBlockedByFleetLimit = true;
        return;
      }
      if (!isFirst && !request.urgent) continue;
      isFirst = false;
      const count = this.requestSize(request, machineCount, now);
      machineCount += count;
      this.provisioner.request(request, count, now);
    }
  }

  /** Whether a list may not show the machines yet that a previous leader requested before the takeover. */
  private mayMissEarlierRequests(now: Milliseconds): boolean {
    const untilListedMs = this.machineList.maxLagMs + LIST_LAG_MARGIN_MS;
    return this.term.isTakeover && now - this.term.since < untilListedMs;
  }

  private scaleOutRequests(shards: Map<number, ShardSummary>, arriving: InstanceKind[], now: Milliseconds): ScaleOutRequest[] {
    const snapshot: ScaleOutSnapshot = {
      clusterState: this.context.clusterState,
      shards,
      arriving,
      options: this.instanceOptions(),
      isRequestDue: (kind) => this.pools.isRequestDue(kind, now),
      isFailing: (kind) => this.bootMonitor.isFailing(kind, now),
      isZoneCut: (zone) => this.dependencies.isZoneCut(zone),
    };
    if (this.context.settings.policy.holdSpareCapacity) return requestsToHoldSpare(snapshot);
    return requestsForDemands(snapshot, this.dependencies.recentlyAssigned(now));
  }

  /**
   * Returns the number of machines to request: limited by the cloud and the policy, and to a few machines for a kind that fails
   * to boot. At least one.
   */
  private requestSize(request: ScaleOutRequest, machineCount: number, now: Milliseconds): number {
    const { maxMachines } = this.context.settings.policy;
    const limit = this.bootMonitor.isFailing(request, now) ? MAX_MACHINES_OF_FAILING_KIND : MAX_MACHINES_PER_PROVISIONING;
    const permitted = maxMachines === null ? MAX_MACHINES_PER_PROVISIONING : maxMachines - machineCount;
    return Math.max(1, Math.min(request.count, limit, permitted));
  }

  /** Handles the outcome of a provisioning request; outcomes of an earlier leadership's requests are ignored. */
  handleProvisioningOutcome(id: number, outcome: ProvisioningOutcome, now: Milliseconds): void {
    this.provisioner.handleOutcome(id, outcome, now);
  }

  /**
   * Returns the kind of each machine that is requested, booting, or up but not assigned yet. Overdue machines are excluded, since
   * they may never come up, and passed to the boot monitor.
   */
  private arrivingMachines(now: Milliseconds): InstanceKind[] {
    const arriving = this.tracker.arrivingKinds();
    const overdue: ListedMachine[] = [];
    for (const listed of this.machineList.values()) {
      if (listed.state === 'failed' || this.context.clusterState.machines.has(listed.machine)) continue;
      if (this.releases.isRemembered(listed.machine)) continue;
      const isWithinLimit = this.machineList.ageMs(listed, now) < this.bootMonitor.limitMs(listed.type, now);
      if (isWithinLimit) arriving.push(listed);
      else overdue.push(listed);
    }
    this.bootMonitor.setOverdue(overdue);
    return arriving;
  }

  /** Releases machines that never came up, or that failed before they were assigned. One request is pending at a time. */
  releaseUnbootedMachines(now: Milliseconds): void {
    if (this.releases.hasPending) return;
    const unbooted: string[] = [];
    for (const listed of this.machineList.values()) if (this.shouldRelease(listed, now)) unbooted.push(listed.machine);
    this.tracker.forgetOlderThan(this.machineList.visibilityMs, now);
    if (unbooted.length === 0) return;
    const machines = unbooted.slice(0, MAX_MACHINES_PER_RELEASE);
    const id = this.context.nextEffectId();
    this.releases.addRequest(id, machines);
    this.context.log('info', 'releasing machines that never booted', { machines });
    this.context.emit({ type: 'release', id, machines });
  }

  private shouldRelease(listed: ListedMachine, now: Milliseconds): boolean {
    const { machine } = listed;
    if (this.context.clusterState.machines.has(machine) || this.dependencies.isAssignmentPending(machine)) return false;
    return !this.releases.mayBeListed(machine, now) && this.hasFailedToBoot(listed, now);
  }

  /**
   * Whether the machine failed, or exceeded twice the boot time limit of its type. Running machines get a grace period after a
   * leadership begins, since heartbeats of their workers may not have reached the new leader yet. Without it, a new leader
   * released all long-running machines that had not reported within its first second.
   */
  private hasFailedToBoot(listed: ListedMachine, now: Milliseconds): boolean {
    if (listed.state === 'failed') return true;
    const limitMs = RELEASE_BOOT_LIMIT_FACTOR * this.bootMonitor.limitMs(listed.type, now);
    if (this.machineList.ageMs(listed, now) <= limitMs) return false;
    return listed.state !== 'running' || now - this.term.since > NO_HEARTBEAT_GRACE_MS;
  }

  /** Handles the outcome of a release. Returns false if the autoscaler didn't request this release. */
  handleReleaseOutcome(id: number, isReleased: boolean, now: Milliseconds): boolean {
    const machines = this.releases.removeRequest(id);
    if (!machines) return false;
    if (isReleased) for (const machine of machines) this.onMachineReleased(machine, now);
    return true;
  }

  /** Returns the time since the machine was provisioned or requested; null if unknown. */
  private ageMs(machine: string, now: Milliseconds): Milliseconds | null {
    const bootingForMs = this.tracker.bootingForMs(machine, now);
    if (bootingForMs !== null) return bootingForMs;
    const listed = this.machineList.get(machine);
    return listed ? this.machineList.ageMs(listed, now) : null;
  }
}
