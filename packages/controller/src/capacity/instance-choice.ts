/** Which kind of machine serves work that waits for the least money. Pure functions of a snapshot. */
import type { ResourceDemand } from '@archpost/protocol';
import { countThatFit } from '../model/index.js';
import { LOWEST_PRIORITY, matchesDemand, URGENT_PRIORITY } from './demand.js';
import type { InstanceOption } from './instance-kind.js';
import type { ScaleOutSnapshot } from './scale-out.js';

/** Work of the lowest priority that has waited for so long may get ordinary machines too. */
const LOWEST_PRIORITY_WAIT_S = 60;

/** A machine is expensive that costs more than this many times the cheapest ordinary price of a processor core. */
const EXPENSIVE_FACTOR = 3;

/** For work of the lowest priority one with accelerators is expensive from here on. */
const EXPENSIVE_GPU_FACTOR = 1;

/** Work that can wait for so much longer than a boot doesn't take an expensive machine. */
const SPARE_SLACK_S = 25;

/** What a kind costs counts this many times over where it can't be used soon, or fails to boot. */
const CUT_ZONE_FACTOR = 10;
const FAILING_FACTOR = 2;

/** Each machine in a zone makes more of them there dearer by this part, so that zones fill evenly. */
const COST_PER_MACHINE_IN_ZONE = 0.001;

/** What prices are compared with. */
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

/** The option that serves most of these tasks for the money; null if none is due and worth it. The first of equals. */
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
  // The lowest priority is served by what is idle and what is cheap; by an ordinary machine only so that it
  // begins at all, and by none with accelerators.
  const maxFactor = type.gpus > 0 ? EXPENSIVE_GPU_FACTOR : EXPENSIVE_FACTOR;
  if (pricePerCpu > maxFactor * lowestPricePerCpu) return false;
  const isTooEarly = !kind.spot && demand.waitS < LOWEST_PRIORITY_WAIT_S;
  return !isTooEarly;
}

/** The price of the machine for each task that it would serve, with what speaks against its zone and kind. */
function costPerTask(option: InstanceOption, taskCount: number, snapshot: ScaleOutSnapshot, market: Market): number {
  const { kind } = option;
  // What boots in a zone that is cut off is of no use until the cut is over.
  const cutZoneFactor = snapshot.isZoneCut(kind.zone) ? CUT_ZONE_FACTOR : 1;
  // Where boots fail, what boots well is worth more, while there is any.
  const failingFactor = snapshot.isFailing(kind) ? FAILING_FACTOR : 1;
  const zoneFactor = 1 + COST_PER_MACHINE_IN_ZONE * (market.machinesPerZone.get(kind.zone) ?? 0);
  return (hourlyPrice(option) / taskCount) * zoneFactor * cutZoneFactor * failingFactor;
}
