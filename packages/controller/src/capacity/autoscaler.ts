import {
  type ListedMachine,
  MAX_MACHINES_PER_LIST,
  MAX_MACHINES_PER_PROVISIONING,
  MAX_MACHINES_PER_RELEASE,
  type MachineType,
  type ResourceDemand,
  type ShardSummary,
} from '@archpost/protocol';
import type { ClusterStateView, EffectSink, Logger, SettingsView } from '../context/index.js';
import { countThatFit, HIGHEST_PRIORITY, type Machine, type Milliseconds, NEVER } from '../model/index.js';
import { BootTimeEstimator } from './boot-time-estimator.js';
import { type InstanceKind, instanceKindKey, machineTypeNamed, matchesDemand } from './demand.js';

/** Machines of one kind that are to be rented. */
interface ScaleOutRequest extends InstanceKind {
  count: number;
  /** for work of the highest rank */
  urgent: boolean;
}

/** Work of the lowest rank that found no room for so long gets ordinary machines too. */
const LOWEST_PRIORITY_WAIT_S = 60;

/** Rentals under way at once. */
const MAX_PENDING_REQUESTS = 3;

/** How often the cloud is asked what there is, and the part of its requests that this may take. */
const MIN_LIST_INTERVAL_MS = 2000;
const LIST_FRACTION_OF_REQUESTS = 0.25;

/** What is said of a machine that was given back may be old for this long. */
const STALE_REPORT_MS = 120_000;

/** A machine that was rented is in a list after this long. */
const MIN_LIST_VISIBILITY_MS = 60_000;

/** A machine that runs and that no controller has heard is given back once a lead has listened for so long. */
const UNHEARD_GRACE_MS = 60_000;

/** A machine that was given back may still be listed for so long. */
const RELEASE_VISIBILITY_MS = 60_000;

/** Ages of the last leader's list count from here until the first list of this one. */
const BEFORE_ANY_LIST: Milliseconds = -1;

/** Machines that one demand may ask for in a round: so many, or one for each so many that there are. */
const MAX_MACHINES_PER_DEMAND = 40;
const FLEET_MACHINES_PER_REQUESTED_MACHINE = 25;

interface PendingProvisioning extends InstanceKind {
  count: number;
  at: Milliseconds;
}

interface InstancePool {
  retryAt: Milliseconds;
  refusals: number;
  /** the last ordinary request was filled */
  wasFilled: boolean;
}

/** What the autoscaler needs of its controller. */
type AutoscalerContext = SettingsView & ClusterStateView & EffectSink & Logger;

/** What is rented from the cloud, what is on its way, and what never came up. */
export class Autoscaler {
  private leadingSince: Milliseconds = -1;
  private leaseRevision = 0;
  /** machines were granted before this lead began */
  private isTakeover = false;
  private requestCounter = 0;
  private listRequestedAt: Milliseconds = NEVER;
  private isListPending = false;
  private listedMachines = new Map<string, ListedMachine>();
  private listReceivedAt: Milliseconds | null = null;
  private readonly pendingRequests = new Map<number, PendingProvisioning>();
  private readonly booting = new Map<string, PendingProvisioning>();
  private readonly instancePools = new Map<string, InstancePool>();
  private readonly releasedAt = new Map<string, Milliseconds>();
  private readonly pendingReleases = new Map<number, string[]>();
  private readonly bootTimes = new BootTimeEstimator();
  private readonly failingKinds = new Set<string>();
  private nextRequestAt: Milliseconds = 0;

  constructor(
    private readonly context: AutoscalerContext,
    /** is a grant for the machine under way? */
    private readonly isBeingAssigned: (machine: string) => boolean,
    /** what was granted so lately that wants don't show it yet */
    private readonly recentAssignments: (now: Milliseconds) => InstanceKind[],
    private readonly isZoneCut: (zone: string) => boolean,
  ) {}

  leaseAcquired(revision: number, now: Milliseconds): void {
    this.leadingSince = now;
    this.isTakeover = this.context.clusterState.machines.size > 0;
    this.leaseRevision = revision;
    this.requestCounter = 0;
    this.booting.clear();
    this.pendingRequests.clear();
    this.isListPending = false;
    this.listReceivedAt = null;
  }

  /** The cloud has been asked what there is, since this lead began. */
  get isListKnown(): boolean {
    return this.listReceivedAt !== null;
  }

  requestMachineList(now: Milliseconds): void {
    if (this.isListPending || now - this.listRequestedAt <= this.listIntervalMs) return;
    this.listRequestedAt = now;
    this.isListPending = true;
    this.context.emit({ type: 'listMachines' });
  }

  /** A list of many machines takes many requests, and may take a part of them only: rentals and returns need the rest. */
  private get listIntervalMs(): Milliseconds {
    const pages = Math.max(1, Math.ceil(this.listedMachines.size / MAX_MACHINES_PER_LIST));
    return Math.max(
      MIN_LIST_INTERVAL_MS,
      (pages * 1000) / (LIST_FRACTION_OF_REQUESTS * this.context.settings.cloud.requestsPerS),
    );
  }

  /** A machine is up: how long that took says how long others may take. */
  machineStarted(machine: string, kind: InstanceKind, now: Milliseconds): void {
    const age = this.ageOf(machine, now);
    if (age !== null) this.bootTimes.recordBoot(kind, age, now);
  }

  machineAssigned(machine: string): void {
    this.booting.delete(machine);
  }

  /** It was given back so lately that what is said of it may be old. */
  isRecentlyReleased(machine: string, now: Milliseconds): boolean {
    const releasedAt = this.releasedAt.get(machine);
    return releasedAt !== undefined && now - releasedAt < STALE_REPORT_MS;
  }

  machineReleased(machine: string, now: Milliseconds): void {
    this.releasedAt.delete(machine);
    this.releasedAt.set(machine, now);
    this.booting.delete(machine);
    // In the order in which they were last told of: the oldest come first.
    for (const [name, at] of this.releasedAt) {
      if (now - at < STALE_REPORT_MS) break;
      this.releasedAt.delete(name);
    }
  }

  /** Types of which the cloud gave all that was asked for, last time. */
  availableTypes(): string[] {
    const result = new Set<string>();
    for (const [key, pool] of this.instancePools) if (pool.wasFilled) result.add(key.slice(0, key.indexOf('/')));
    return [...result];
  }

  /** A machine that is gone leaves a place that the cloud can fill again. */
  capacityFreed(machine: Machine, now: Milliseconds): void {
    const pool = this.instancePool(
      this.context.clusterState.typeNames.nameOf(machine.typeIndex),
      this.context.clusterState.zoneNames.nameOf(machine.zoneIndex),
      machine.spot,
    );
    pool.retryAt = Math.min(pool.retryAt, now + 500);
    pool.refusals = 0;
  }

  receiveMachineList(machines: ListedMachine[] | null, leading: boolean, now: Milliseconds): void {
    this.isListPending = false;
    if (!machines || !leading) return;
    this.listedMachines = new Map(machines.map((listed) => [listed.machine, listed]));
    this.listReceivedAt = now;
    for (const name of this.listedMachines.keys()) this.booting.delete(name);
  }

  private instancePool(type: string, zone: string, spot: boolean): InstancePool {
    const key = instanceKindKey({ type, zone, spot });
    let pool = this.instancePools.get(key);
    if (!pool) {
      pool = { retryAt: 0, refusals: 0, wasFilled: false };
      this.instancePools.set(key, pool);
    }
    return pool;
  }

  /** How long ago it was asked for, as far as is known. */
  private ageOf(machine: string, now: Milliseconds): Milliseconds | null {
    const pending = this.booting.get(machine);
    if (pending) return now - pending.at;
    const listed = this.listedMachines.get(machine);
    return listed ? this.listedAge(listed, now) : null;
  }

  /** The list told how old it was then. */
  private listedAge(listed: ListedMachine, now: Milliseconds): Milliseconds {
    return listed.ageS * 1000 + (now - (this.listReceivedAt ?? BEFORE_ANY_LIST));
  }

  private bootLimitMs(type: string, now: Milliseconds): Milliseconds {
    return this.bootTimes.limitMs(type, machineTypeNamed(this.context, type)?.bootS ?? 60, now);
  }

  /** Room that is on its way: rented machines that nobody has been granted yet. */
  provisioningMachines(now: Milliseconds): InstanceKind[] {
    const result: InstanceKind[] = [];
    const overdue: ListedMachine[] = [];
    for (const pending of this.booting.values()) result.push(pending);
    for (const pending of this.pendingRequests.values()) for (let index = 0; index < pending.count; index++) result.push(pending);
    for (const listed of this.listedMachines.values()) {
      if (
        listed.state === 'failed' ||
        this.context.clusterState.machines.has(listed.machine) ||
        this.releasedAt.has(listed.machine)
      )
        continue;
      if (this.listedAge(listed, now) < this.bootLimitMs(listed.type, now)) result.push(listed);
      else overdue.push(listed);
    }
    this.bootTimes.setOverdue(overdue);
    return result;
  }

  scaleOut(shards: Map<number, ShardSummary>, now: Milliseconds): void {
    // A new lead doesn't know what the last one rented: the list will tell.
    if (now - this.leadingSince < 2000 * this.context.settings.cloud.listLagS + 2000 && this.isTakeover) return;
    if (now < this.nextRequestAt) return;
    const { settings, clusterState } = this.context;
    const max = settings.policy.maxMachines;
    let machineCount = clusterState.machines.size + this.provisioningMachines(now).length;
    // What a wave of losses took from services is asked for at once, all kinds: a round each would
    // add seconds to the boot time that everybody waits for. For the rest one kind a round will
    // do: what comes free meanwhile need not be rented.
    let isFirst = true;
    for (const request of settings.policy.holdSpareCapacity
      ? this.requestsToHoldSpare(shards, now)
      : this.requestsByDemand(shards, now)) {
      if (this.pendingRequests.size >= MAX_PENDING_REQUESTS || (max !== null && machineCount >= max)) return;
      if (!isFirst && !request.urgent) continue;
      isFirst = false;
      const limit = this.isFailing(request, now) ? 2 : MAX_MACHINES_PER_PROVISIONING;
      const count = Math.max(
        1,
        Math.min(request.count, limit, max === null ? MAX_MACHINES_PER_PROVISIONING : max - machineCount),
      );
      machineCount += count;
      const id = this.context.nextEffectId();
      const requestId = `r-${this.leaseRevision}-${++this.requestCounter}`;
      const { type, zone, spot } = request;
      this.pendingRequests.set(id, { type, zone, spot, count, at: now });
      this.context.log('info', 'provisioning machines', { request: requestId, type, zone, spot, count });
      this.context.emit({ type: 'provision', id, request: { requestId, machineType: type, zone, spot, count } });
      this.nextRequestAt = now + Math.max(300, 1000 / settings.cloud.requestsPerS);
    }
  }

  instanceOptions(): { type: MachineType; zone: string; spot: boolean }[] {
    const result: { type: MachineType; zone: string; spot: boolean }[] = [];
    for (const type of this.context.clusterState.machineTypes) {
      if (!type) continue;
      for (const zone of type.zones.length > 0 ? type.zones : this.context.settings.zones) {
        for (const spot of [false, true]) result.push({ type, zone, spot });
      }
    }
    return result;
  }

  /** No price among the objectives: hold spare room of every kind that is used. */
  private requestsToHoldSpare(shards: Map<number, ShardSummary>, now: Milliseconds): ScaleOutRequest[] {
    const capacityByType = new Map<string, { all: number; free: number }>();
    for (const summary of shards.values()) {
      for (const machineSummary of summary.machines) {
        const machine = this.context.clusterState.machines.get(machineSummary.name);
        if (!machine?.capacity) continue;
        const cpus = capacityByType.get(machine.capacity.name) ?? { all: 0, free: 0 };
        cpus.all += machine.capacity.cpus;
        cpus.free +=
          machine.capacity.gpus > 0
            ? (machine.capacity.cpus * machineSummary.freeGpus) / machine.capacity.gpus
            : machineSummary.freeCpus;
        capacityByType.set(machine.capacity.name, cpus);
      }
    }
    const demands = [...shards.values()].flatMap((summary) => summary.demands);
    const arriving = this.provisioningMachines(now);
    let best: (Omit<ScaleOutRequest, 'urgent'> & { score: number }) | null = null;
    for (const option of this.instanceOptions()) {
      const pool = this.instancePool(option.type.name, option.zone, option.spot);
      if (now < pool.retryAt) continue;
      const cpus = capacityByType.get(option.type.name) ?? { all: 0, free: 0 };
      const arrivingCpus = arriving.filter((kind) => kind.type === option.type.name).length * option.type.cpus;
      const servedDemands = demands.filter(
        (demand) => countThatFit(demand, option.type) >= 1 && matchesDemand(demand, option.type.name, option.zone, option.spot),
      );
      const spare = (cpus.free + arrivingCpus) / Math.max(1, cpus.all + arrivingCpus);
      if (servedDemands.length === 0 && spare > 0.4) continue;
      const zoneCount = [...this.context.clusterState.machines.values()].filter(
        (machine) =>
          machine.capacity?.name === option.type.name &&
          this.context.clusterState.zoneNames.nameOf(machine.zoneIndex) === option.zone,
      ).length;
      const score = servedDemands.length * 10 - zoneCount - (option.spot ? 1 : 0);
      if (!best || score > best.score) best = { type: option.type.name, zone: option.zone, spot: option.spot, count: 4, score };
    }
    return best ? [{ type: best.type, zone: best.zone, spot: best.spot, count: best.count, urgent: false }] : [];
  }

  /** Money is an objective: rent for what waits, the cheapest kind per task. */
  private requestsByDemand(shards: Map<number, ShardSummary>, now: Milliseconds): ScaleOutRequest[] {
    const arriving: { kind: { type: string; zone: string; spot: boolean; idle?: boolean }; capacity: MachineType | null }[] = [
      ...this.provisioningMachines(now),
      ...this.recentAssignments(now),
    ].map((kind) => ({ kind, capacity: machineTypeNamed(this.context, kind.type) }));
    // Idle machines of other shares are about to be moved to where they are wanted.
    for (const summary of shards.values()) {
      for (const machineSummary of summary.machines) {
        const machine = this.context.clusterState.machines.get(machineSummary.name);
        if (
          !machine?.capacity ||
          machine.spot ||
          machine.isRetired ||
          machineSummary.tasks > 0 ||
          (machineSummary.protectedPriority >= 0 && machine.moveToShard === null)
        )
          continue;
        arriving.push({
          kind: {
            type: machine.capacity.name,
            zone: this.context.clusterState.zoneNames.nameOf(machine.zoneIndex),
            spot: false,
            idle: true,
          },
          capacity: machine.capacity,
        });
      }
    }
    const offers = arriving
      .filter((offer) => offer.capacity)
      .map((offer) => ({
        ...offer,
        cpus: offer.capacity?.cpus ?? 0,
        gpus: offer.capacity?.gpus ?? 0,
        memory: offer.capacity?.memory ?? 0,
      }));
    const demands = [...shards.values()]
      .flatMap((summary) => summary.demands)
      .sort((a, b) => b.priority - a.priority || b.waitS - a.waitS);
    const cheapest = Math.min(
      ...this.instanceOptions().map((option) => (option.spot ? Number.POSITIVE_INFINITY : option.type.price / option.type.cpus)),
    );
    // All wants are fitted, on paper, into what is coming and what would be rented for them.
    const requests = new Map<string, ScaleOutRequest>();
    const machinesPerZone = new Map<string, number>();
    for (const machine of this.context.clusterState.machines.values()) {
      const zone = this.context.clusterState.zoneNames.nameOf(machine.zoneIndex);
      machinesPerZone.set(zone, (machinesPerZone.get(zone) ?? 0) + 1);
    }
    for (const demand of demands) {
      let remainingTasks = demand.count;
      const fill = () => {
        for (const offer of offers) {
          if (remainingTasks <= 0) return;
          if (!matchesDemand(demand, offer.kind.type, offer.kind.zone, offer.kind.spot)) continue;
          if (offer.kind.idle && demand.gpus === 0 && (demand.priority < 2 || (offer.capacity?.gpus ?? 0) > 0)) continue;
          const count = Math.min(remainingTasks, countThatFit(demand, offer));
          remainingTasks -= count;
          offer.cpus -= count * demand.cpus;
          offer.gpus -= count * demand.gpus;
          offer.memory -= count * demand.memory;
        }
      };
      fill();
      if (demand.waitS < 1) continue;
      for (let more = 0; remainingTasks > 0 && more < this.maxMachinesPerDemand; more++) {
        const option = this.cheapestFor(demand, remainingTasks, cheapest, machinesPerZone, now);
        if (!option) break;
        const kind = { type: option.type.name, zone: option.zone, spot: option.spot };
        const key = instanceKindKey(kind);
        const request = requests.get(key) ?? { ...kind, count: 0, urgent: false };
        request.count++;
        request.urgent ||= demand.priority >= HIGHEST_PRIORITY;
        requests.set(key, request);
        machinesPerZone.set(kind.zone, (machinesPerZone.get(kind.zone) ?? 0) + 1);
        offers.push({ kind, capacity: option.type, cpus: option.type.cpus, gpus: option.type.gpus, memory: option.type.memory });
        fill();
      }
    }
    return [...requests.values()];
  }

  /** A wave of losses takes a part of all machines: what one demand may ask for in a round grows with them. */
  private get maxMachinesPerDemand(): number {
    return Math.max(MAX_MACHINES_PER_DEMAND, this.context.clusterState.machines.size / FLEET_MACHINES_PER_REQUESTED_MACHINE);
  }

  /** By then a rented machine is in a list, if it is there: some lists are as late as twice the lag. */
  private get listVisibilityMs(): Milliseconds {
    return Math.max(MIN_LIST_VISIBILITY_MS, 2 * this.listIntervalMs + 2000 * this.context.settings.cloud.listLagS);
  }

  private isFailing(kind: InstanceKind, now: Milliseconds): boolean {
    const isFailing = this.bootTimes.isFailing(kind, this.bootLimitMs(kind.type, now), now);
    const name = instanceKindKey(kind);
    if (isFailing === this.failingKinds.has(name)) return isFailing;
    if (isFailing) this.failingKinds.add(name);
    else this.failingKinds.delete(name);
    this.context.log('info', isFailing ? 'instance kind fails to boot' : 'instance kind boots again', { ...kind });
    return isFailing;
  }

  /** The kind of machine that serves most of these tasks for the money, if any is worth it. */
  private cheapestFor(
    demand: ResourceDemand,
    remainingTasks: number,
    cheapest: number,
    machinesPerZone: Map<string, number>,
    now: Milliseconds,
  ) {
    let best: { type: MachineType; zone: string; spot: boolean; score: number } | null = null;
    for (const option of this.instanceOptions()) {
      const count = countThatFit(demand, option.type);
      if (count < 1 || !matchesDemand(demand, option.type.name, option.zone, option.spot)) continue;
      if (now < this.instancePool(option.type.name, option.zone, option.spot).retryAt) continue;
      const hourlyPrice = option.spot ? option.type.spotPrice : option.type.price;
      // Work that can wait doesn't take a dear machine: a cheap one may come free in time.
      if (
        demand.gpus === 0 &&
        demand.priority < 2 &&
        hourlyPrice / option.type.cpus > 3 * cheapest &&
        demand.slackS > option.type.bootS + 25
      )
        continue;
      // The lowest rank lives on what is idle and what is cheap; an ordinary machine only so that it
      // begins at all, and none with accelerators.
      const isExpensive = hourlyPrice / option.type.cpus > (option.type.gpus > 0 ? 1 : 3) * cheapest;
      if (demand.priority === 0 && demand.gpus === 0 && (isExpensive || (!option.spot && demand.waitS < LOWEST_PRIORITY_WAIT_S)))
        continue;
      // What boots in a zone that is cut off is of no use until the cut is over.
      const cutZoneFactor = this.isZoneCut(option.zone) ? 10 : 1;
      // Where boots fail, what boots well is worth more, while there is any.
      const failingFactor = this.isFailing({ type: option.type.name, zone: option.zone, spot: option.spot }, now) ? 2 : 1;
      const score =
        (hourlyPrice / Math.min(count, remainingTasks)) *
        (1 + 0.001 * (machinesPerZone.get(option.zone) ?? 0)) *
        cutZoneFactor *
        failingFactor;
      if (!best || score < best.score) best = { ...option, score };
    }
    return best;
  }

  handleProvisioningOutcome(
    id: number,
    outcome: { kind: 'ok'; machines: string[] } | { kind: 'full' | 'unknown' },
    now: Milliseconds,
  ): void {
    const pending = this.pendingRequests.get(id);
    if (!pending) return;
    this.pendingRequests.delete(id);
    const pool = this.instancePool(pending.type, pending.zone, pending.spot);
    if (outcome.kind === 'ok') {
      for (const name of outcome.machines)
        if (!this.listedMachines.has(name)) this.booting.set(name, { ...pending, count: 1, at: now });
      pool.wasFilled = !pending.spot && outcome.machines.length >= pending.count;
      pool.refusals = outcome.machines.length < pending.count ? 1 : 0;
      pool.retryAt = outcome.machines.length < pending.count ? now + 15_000 : now;
      // A kind whose boots fail is asked for again now and then only.
      if (this.isFailing(pending, now)) pool.retryAt = now + this.bootLimitMs(pending.type, now) / 2;
    } else if (outcome.kind === 'full') {
      pool.refusals++;
      pool.wasFilled = false;
      pool.retryAt = now + Math.min(this.maxRetryDelayMs(), 10_000 * 2 ** Math.min(4, pool.refusals));
    } else {
      // It may have been carried out: what came of it shows in the list.
      pool.retryAt = now + 2000 * this.context.settings.cloud.listLagS + 3000;
    }
  }

  /**
   * Kinds that are sold out are asked for again as often as a quarter of the cloud's limit
   * allows: machines that others gave up, or that died, come back unannounced. At 90 s each,
   * four accelerator machines stayed unrented for a minute while 29 gangs waited.
   */
  private maxRetryDelayMs(): Milliseconds {
    return Math.max(10_000, Math.min(90_000, (this.instanceOptions().length * 4000) / this.context.settings.cloud.requestsPerS));
  }

  /** Machines that never come up, or that failed and nobody has been granted, go back. */
  releaseOverdue(now: Milliseconds): void {
    if (this.pendingReleases.size > 0) return;
    const overdue: string[] = [];
    for (const listed of this.listedMachines.values()) {
      if (this.context.clusterState.machines.has(listed.machine) || this.isBeingAssigned(listed.machine)) continue;
      const releasedAt = this.releasedAt.get(listed.machine);
      if (releasedAt !== undefined && now - releasedAt < RELEASE_VISIBILITY_MS) continue;
      if (this.isOverdue(listed, now)) overdue.push(listed.machine);
    }
    for (const [name, pending] of this.booting) if (now - pending.at > this.listVisibilityMs) this.booting.delete(name);
    if (overdue.length === 0) return;
    const machines = overdue.slice(0, MAX_MACHINES_PER_RELEASE);
    const id = this.context.nextEffectId();
    this.pendingReleases.set(id, machines);
    this.context.log('info', 'releasing machines that never booted', { machines });
    this.context.emit({ type: 'release', id, machines });
  }

  /**
   * Failed, or not up for twice as long as its type takes. One that the cloud says runs has a worker that may not have
   * come to this lead yet: the first lead over machines that had been up for long gave back all that had not reported
   * within its first second.
   */
  private isOverdue(listed: ListedMachine, now: Milliseconds): boolean {
    if (listed.state === 'failed') return true;
    if (this.listedAge(listed, now) <= 2 * this.bootLimitMs(listed.type, now)) return false;
    return listed.state !== 'running' || now - this.leadingSince > UNHEARD_GRACE_MS;
  }

  handleReleaseOutcome(id: number, isReleased: boolean, now: Milliseconds): boolean {
    const names = this.pendingReleases.get(id);
    if (!names) return false;
    this.pendingReleases.delete(id);
    if (isReleased) for (const name of names) this.machineReleased(name, now);
    return true;
  }
}
