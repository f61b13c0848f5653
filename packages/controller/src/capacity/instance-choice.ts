/** Selection of the machine kind that serves a demand at the lowest price. Pure functions of a snapshot. */
import type { ResourceDemand } from '@archpost/protocol';
import { countThatFit } from '../model/index.js';
import { LOWEST_PRIORITY, matchesDemand, URGENT_PRIORITY } from './demand.js';
import type { InstanceOption } from './instance-kind.js';
import type { ScaleOutSnapshot } from './scale-out.js';

/** On-demand machines are provisioned for work of the lowest priority only after it has waited this long. */
const LOWEST_PRIORITY_WAIT_S = 60;

/** A machine is expensive if its price per processor core exceeds this multiple of the lowest price of on-demand machines. */
const EXPENSIVE_FACTOR = 3;

/** Replaces `EXPENSIVE_FACTOR` for machines with accelerators that would serve work of the lowest priority. */
const EXPENSIVE_GPU_FACTOR = 1;

/** No expensive machine is provisioned for work whose slack exceeds the boot time by more than this. */
const DEFERRABLE_SLACK_S = 25;

/** Price multipliers for a kind in a zone that is cut off, and for a kind that fails to boot. */
const CUT_ZONE_FACTOR = 10;
const FAILING_FACTOR = 2;

/** Each machine in a zone raises the price there by this fraction, so that machines spread evenly over the zones. */
const COST_PER_MACHINE_IN_ZONE = 0.001;

/** The reference data for comparing the prices of options. */
export interface Market {
  /** the lowest price of a processor core on an on-demand machine, per hour */
  lowestPricePerCpu: number;
  /** number of machines by zone, including those that are being requested */
  machinesPerZone: ReadonlyMap<string, number>;
}

/** Returns the lowest price of a processor core on an on-demand machine; infinite if there is no such option. */
export function cheapestPricePerCpu(options: readonly InstanceOption[]): number {
  return Math.min(...options.map(({ kind, type }) => (kind.spot ? Number.POSITIVE_INFINITY : type.price / type.cpus)));
}

/** Returns the option with the lowest cost per task, the first of equals; null if no option is due at an acceptable price. */
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
    if (!snapshot.isRequestDue(kind) || !isPriceAcceptable(option, demand, market)) continue;
    const cost = costPerTask(option, Math.min(count, remainingTasks), snapshot, market);
    if (!best || cost < lowestCost) {
      best = option;
      lowestCost = cost;
    }
  }
  return best;
}

const hourlyPrice = ({ kind, type }: InstanceOption): number => (kind.spot ? type.spotPrice : type.price);

/** Whether the price of the option is acceptable for this demand. */
function isPriceAcceptable(option: InstanceOption, demand: ResourceDemand, { lowestPricePerCpu }: Market): boolean {
  if (demand.gpus !== 0 || demand.priority >= URGENT_PRIORITY) return true;
  const { kind, type } = option;
  const pricePerCpu = hourlyPrice(option) / type.cpus;
  // Work that can wait gets no expensive machine: a cheap one may become free in time.
  if (pricePerCpu > EXPENSIVE_FACTOR * lowestPricePerCpu && demand.slackS > type.bootS + DEFERRABLE_SLACK_S) return false;
  if (demand.priority !== LOWEST_PRIORITY) return true;
  // The lowest priority gets idle and cheap machines: an on-demand one only after a long wait, so that it starts at all, and
  // practically none with accelerators.
  const maxFactor = type.gpus > 0 ? EXPENSIVE_GPU_FACTOR : EXPENSIVE_FACTOR;
  if (pricePerCpu > maxFactor * lowestPricePerCpu) return false;
  const isTooEarly = !kind.spot && demand.waitS < LOWEST_PRIORITY_WAIT_S;
  return !isTooEarly;
}

/** Returns the price per task, multiplied by penalties for the zone and the kind. */
function costPerTask(option: InstanceOption, taskCount: number, snapshot: ScaleOutSnapshot, market: Market): number {
  const { kind } = option;
  // A machine in a zone that is cut off is useless until the zone is reachable again.
  const cutZoneFactor = snapshot.isZoneCut(kind.zone) ? CUT_ZONE_FACTOR : 1;
  // A kind that boots is preferred to one that fails to boot, at up to twice the price.
  const failingFactor = snapshot.isFailing(kind) ? FAILING_FACTOR : 1;
  const zoneFactor = 1 + COST_PER_MACHINE_IN_ZONE * (market.machinesPerZone.get(kind.zone) ?? 0);
  return (hourlyPrice(option) / taskCount) * zoneFactor * cutZoneFactor * failingFactor;
}
