/**
 * What machines of each type the shares have, beside what their teams are guaranteed. Counted once for a round of
 * grants: counting for each machine made the first start cost the square of the machines.
 */
import type { ControllerContext } from '../context/index.js';
import { machineTypeNamed } from './demand.js';
import type { RecentAssignment } from './machine-assigner.js';

/** What a team without guaranteed accelerators weighs among those that have some. */
const LEAST_WEIGHT = 0.1;

export class ShardBalance {
  /** machines of each type that each share has, or is being given */
  private readonly counts = new Map<string, number[]>();
  private readonly weights = new Map<boolean, number[]>();

  constructor(
    private readonly context: ControllerContext,
    recentGrants: ReadonlyMap<string, RecentAssignment>,
  ) {
    const { clusterState: table } = context;
    for (const machine of table.machines.values()) {
      const share = machine.moveToShard >= 0 ? machine.moveToShard : machine.shard;
      if (share >= 0) this.add(table.typeNames.nameOf(machine.typeIndex), share);
    }
    for (const [name, grant] of recentGrants) if (!table.machines.has(name)) this.add(grant.type, grant.shard);
  }

  /** One more machine of the type is given to the share. */
  add(type: string, share: number): void {
    const counts = this.of(type);
    counts[share] = (counts[share] ?? 0) + 1;
  }

  /** The share that is worst off for this type, by what its teams are guaranteed. */
  worstOff(type: string): number {
    const counts = this.of(type);
    const weights = this.weightsFor((machineTypeNamed(this.context, type)?.gpus ?? 0) > 0);
    const part = (share: number) => (counts[share] ?? 0) / (weights[share] ?? 1);
    // A share without teams has no use for machines.
    const entitled = weights.flatMap((weight, share) => (weight > 0 ? [share] : []));
    return entitled.reduce((best, share) => (part(share) < part(best) ? share : best), entitled[0] ?? 0);
  }

  private of(type: string): number[] {
    const known = this.counts.get(type);
    if (known) return known;
    const counts = new Array<number>(this.context.settings.shardCount).fill(0);
    this.counts.set(type, counts);
    return counts;
  }

  private weightsFor(accelerated: boolean): number[] {
    const known = this.weights.get(accelerated);
    if (known) return known;
    const { clusterState: table, settings } = this.context;
    const weights = new Array<number>(settings.shardCount).fill(0);
    settings.teams.forEach((team, index) => {
      const share = table.shardOfTeam[index] ?? 0;
      weights[share] = (weights[share] ?? 0) + (accelerated ? team.gpus + LEAST_WEIGHT : 1);
    });
    this.weights.set(accelerated, weights);
    return weights;
  }
}
