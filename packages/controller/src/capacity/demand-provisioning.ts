/**
 * Scaling out where price is an objective: requests the machines that serve pending work at the lowest price per task. Pure
 * functions of a snapshot. Tasks are first allocated, tentatively, to idle machines and to machines that are already requested,
 * booting or recently assigned.
 */
import type { MachineType, ResourceDemand } from '@archpost/protocol';
import type { ClusterStateView } from '../context/index.js';
import { countThatFit, HIGHEST_PRIORITY, type Resources } from '../model/index.js';
import { matchesDemand, subtractTasks, URGENT_PRIORITY } from './demand.js';
import { cheapestOption, cheapestPricePerCpu } from './instance-choice.js';
import { type InstanceKind, instanceKindKey, instanceKindOf, machineTypeNamed } from './instance-kind.js';
import type { ScaleOutRequest, ScaleOutSnapshot } from './scale-out.js';

/** Work that has waited for less time may still be scheduled on existing machines. */
const MIN_WAIT_S = 1;

/** The limit of machines that one demand may request in a round: the minimum, or a fraction of the cluster if that is more. */
const MIN_REQUEST_LIMIT = 40;
const CLUSTER_MACHINES_PER_REQUESTED_MACHINE = 25;

/** The free resources of a machine that is arriving, or that is idle and may be moved to another shard. */
interface CapacityOffer extends Resources {
  kind: InstanceKind;
  type: MachineType;
  isIdle: boolean;
}

/** Returns the machines to request for pending work, one request per kind, in the order in which the kinds were first needed. */
export function requestsForDemands(snapshot: ScaleOutSnapshot, recentlyAssigned: readonly InstanceKind[]): ScaleOutRequest[] {
  const offers = currentOffers(snapshot, recentlyAssigned);
  const requests = new Map<string, ScaleOutRequest>();
  const market = { lowestPricePerCpu: cheapestPricePerCpu(snapshot.options), machinesPerZone: countByZone(snapshot) };
  const limit = requestLimit(snapshot.clusterState.machines.size);
  for (const demand of demandsByPriority(snapshot)) {
    let remainingTasks = allocateToOffers(demand, demand.count, offers);
    if (demand.waitS < MIN_WAIT_S) continue;
    for (let machines = 0; remainingTasks > 0 && machines < limit; machines++) {
      const option = cheapestOption(demand, remainingTasks, snapshot, market);
      if (!option) break;
      addMachine(requests, option.kind, demand.priority >= HIGHEST_PRIORITY);
      increment(market.machinesPerZone, option.kind.zone);
      offers.push(offerOf(option.kind, option.type, false));
      remainingTasks = allocateToOffers(demand, remainingTasks, offers);
    }
  }
  return [...requests.values()];
}

/**
 * Returns the limit of machines per demand. It grows with the cluster, since a wave of losses affects a fraction of all machines.
 */
function requestLimit(machineCount: number): number {
  return Math.max(MIN_REQUEST_LIMIT, machineCount / CLUSTER_MACHINES_PER_REQUESTED_MACHINE);
}

function demandsByPriority({ shards }: ScaleOutSnapshot): ResourceDemand[] {
  const demands = [...shards.values()].flatMap((summary) => summary.demands);
  return demands.sort((a, b) => b.priority - a.priority || b.waitS - a.waitS);
}

/** Returns arriving machines, then recently assigned ones, then idle ones. Tasks are allocated to them in this order. */
function currentOffers(snapshot: ScaleOutSnapshot, recentlyAssigned: readonly InstanceKind[]): CapacityOffer[] {
  const offers: CapacityOffer[] = [];
  for (const kind of [...snapshot.arriving, ...recentlyAssigned]) {
    const type = machineTypeNamed(snapshot, kind.type);
    if (type) offers.push(offerOf(kind, type, false));
  }
  addIdleOffers(offers, snapshot);
  return offers;
}

/** Adds idle on-demand machines: rebalancing will move them to the shards with pending work. */
function addIdleOffers(offers: CapacityOffer[], snapshot: ScaleOutSnapshot): void {
  for (const shard of snapshot.shards.values()) {
    for (const summary of shard.machines) {
      const machine = snapshot.clusterState.machines.get(summary.name);
      if (!machine?.capacity || machine.spot || machine.isRetired || summary.tasks > 0) continue;
      if (summary.protectedPriority >= 0 && machine.moveToShard === null) continue;
      offers.push(offerOf(instanceKindOf(snapshot, machine), machine.capacity, true));
    }
  }
}

function offerOf(kind: InstanceKind, type: MachineType, isIdle: boolean): CapacityOffer {
  return { kind, type, isIdle, cpus: type.cpus, gpus: type.gpus, memory: type.memory };
}

/** Allocates tasks of the demand to the offers, and subtracts their resources. Returns the number of tasks that fit nowhere. */
function allocateToOffers(demand: ResourceDemand, taskCount: number, offers: CapacityOffer[]): number {
  let remainingTasks = taskCount;
  for (const offer of offers) {
    if (remainingTasks <= 0) break;
    const { type, zone, spot } = offer.kind;
    if (!matchesDemand(demand, type, zone, spot) || isReservedForOtherWork(offer, demand)) continue;
    const count = Math.min(remainingTasks, countThatFit(demand, offer));
    remainingTasks -= count;
    subtractTasks(offer, demand, count);
  }
  return remainingTasks;
}

/**
 * Whether the offer is reserved for other work. Idle machines serve only work that needs accelerators; those without accelerators
 * also serve other urgent work.
 */
function isReservedForOtherWork(offer: CapacityOffer, demand: ResourceDemand): boolean {
  return offer.isIdle && demand.gpus === 0 && (demand.priority < URGENT_PRIORITY || offer.type.gpus > 0);
}

function addMachine(requests: Map<string, ScaleOutRequest>, kind: InstanceKind, urgent: boolean): void {
  const key = instanceKindKey(kind);
  const request = requests.get(key) ?? { ...kind, count: 0, urgent: false };
  request.count++;
  request.urgent ||= urgent;
  requests.set(key, request);
}

function countByZone({ clusterState }: ClusterStateView): Map<string, number> {
  const counts = new Map<string, number>();
  for (const machine of clusterState.machines.values()) increment(counts, clusterState.zoneNames.nameOf(machine.zoneIndex));
  return counts;
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
