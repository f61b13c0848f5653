/** The choice of the kind of machine that serves a demand at the lowest price. Pure functions of a snapshot. */
import type { ResourceDemand } from '@archpost/protocol';
import { countThatFit } from '../model/index.js';
import { LOWEST_PRIORITY, matchesDemand, URGENT_PRIORITY } from './demand.js';
import type { InstanceOption } from './instance-kind.js';
import type { ScaleOutSnapshot } from './scale-out.js';

/** Work of the lowest priority gets ordinary machines only after waiting this long. */
const LOWEST_PRIORITY_WAIT_S = 60;

/** A machine is expensive if its price per processor core exceeds this multiple of the lowest ordinary price. */
const EXPENSIVE_FACTOR = 3;

/** The same for machines with accelerators, where work of the lowest priority is concerned. */
const EXPENSIVE_GPU_FACTOR = 1;

/** Work that can wait for a boot and this long takes no expensive machine. */
const SPARE_SLACK_S = 25;

/** Multiples of the price for a kind in a zone that is cut off, and for a kind that fails to boot. */
const CUT_ZONE_FACTOR = 10;
const FAILING_FACTOR = 2;

/** Each machine in a zone raises the price there by this fraction, so that zones fill evenly. */
const COST_PER_MACHINE_IN_ZONE = 0.001;

/** What the price of an option is compared with. */
export interface Market {
  /** the lowest price of a processor core on an ordinary machine, per hour */
  lowestPricePerCpu: number;
  /** machines of the cluster, with those that are being requested */
  machinesPerZone: ReadonlyMap<string, number>;
}

/** The lowest price of a processor core on an ordinary machine; infinite without one. */
export function cheapestPricePerCpu(options: readonly InstanceOption[]): number {
  return Math.min(...options.map(({ kind, type }) => (kind.spot ? Number.POSITIVE_INFINITY : type.price / type.cpus)));
}

/** The option with the lowest price per task, the first of equals; null if none may be requested or is worth its price. */
export function cheapestOption(
  demand: ResourceDemand,
  remainingTasks: number,
  snapshot: ScaleOutSnapshot,
  market: Market,
): InstanceOption | null {
  let best: InstanceOption | null = null;
  let lowestCost = Number.POSITIVE_INFINITY;
  for (const option of snapshot.options) {
    const { kind, type } = option;
    const count = countThatFit(demand, type);
    if (count < 1 || !matchesDemand(demand, kind.type, kind.zone, kind.spot)) continue;
    if (!snapshot.isRequestDue(kind) || !isWorthItsPrice(option, demand, market)) continue;
    const cost = costPerTask(option, Math.min(count, remainingTasks), snapshot, market);
    if (!best || cost < lowestCost) {
      best = option;
      lowestCost = cost;
    }
  }
  return best;
}

const hourlyPrice = ({ kind, type }: InstanceOption): number => (kind.spot ? type.spotPrice : type.price);

/** Is a machine of the option worth its price for this demand? */
function isWorthItsPrice(option: InstanceOption, demand: ResourceDemand, { lowestPricePerCpu }: Market): boolean {
  if (demand.gpus !== 0 || demand.priority >= URGENT_PRIORITY) return true;
  const { kind, type } = option;
  const pricePerCpu = hourlyPrice(option) / type.cpus;
  // Work that can wait doesn't take an expensive machine: a cheap one may come free in time.
  if (pricePerCpu > EXPENSIVE_FACTOR * lowestPricePerCpu && demand.slackS > type.bootS + SPARE_SLACK_S) return false;
  if (demand.priority !== LOWEST_PRIORITY) return true;
  // The lowest priority gets idle and cheap machines; an ordinary one only so that it starts at all, and none with accelerators.
  const maxFactor = type.gpus > 0 ? EXPENSIVE_GPU_FACTOR : EXPENSIVE_FACTOR;
  if (pricePerCpu > maxFactor * lowestPricePerCpu) return false;
  const isTooEarly = !kind.spot && demand.waitS < LOWEST_PRIORITY_WAIT_S;
  return !isTooEarly;
}

/** The price per task, raised by what speaks against the zone and the kind. */
function costPerTask(option: InstanceOption, taskCount: number, snapshot: ScaleOutSnapshot, market: Market): number {
  const { kind } = option;
  // A machine in a zone that is cut off is of no use until the zone is reachable again.
  const cutZoneFactor = snapshot.isZoneCut(kind.zone) ? CUT_ZONE_FACTOR : 1;
  // A kind that boots is preferred to one that fails to, at up to twice the price.
  const failingFactor = snapshot.isFailing(kind) ? FAILING_FACTOR : 1;
  const zoneFactor = 1 + COST_PER_MACHINE_IN_ZONE * (market.machinesPerZone.get(kind.zone) ?? 0);
  return (hourlyPrice(option) / taskCount) * zoneFactor * cutZoneFactor * failingFactor;
}
