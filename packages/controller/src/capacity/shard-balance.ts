/**
 * What machines of each type the shares have, beside what their teams are guaranteed. Counted once for a round of
 * grants: counting for each machine made the first start cost the square of the machines.
 */
import type { ClusterStateView, SettingsView } from '../context/index.js';
import { machineTypeNamed } from './instance-kind.js';
import type { RecentAssignment } from './machine-assignment.js';

/** What a team without guaranteed accelerators weighs among those that have some. */
const MIN_GPU_WEIGHT = 0.1;

export class ShardBalance {
  /** machines of each type that each share has, or is being given */
  private readonly counts = new Map<string, number[]>();
  private readonly weights = new Map<boolean, number[]>();

  constructor(
    private readonly context: SettingsView & ClusterStateView,
    recentAssignments: ReadonlyMap<string, RecentAssignment>,
  ) {
    const { clusterState } = context;
    for (const machine of clusterState.machines.values()) {
      const shard = machine.moveToShard ?? machine.shard;
      if (shard >= 0) this.add(clusterState.typeNames.nameOf(machine.typeIndex), shard);
    }
    for (const [name, assignment] of recentAssignments)
      if (!clusterState.machines.has(name)) this.add(assignment.type, assignment.shard);
  }

  /** One more machine of the type is given to the share. */
  add(type: string, shard: number): void {
    const counts = this.countsOf(type);
    counts[shard] = (counts[shard] ?? 0) + 1;
  }

  /** The share that is worst off for this type, by what its teams are guaranteed. */
  worstOff(type: string): number {
    const counts = this.countsOf(type);
    const weights = this.weightsFor((machineTypeNamed(this.context, type)?.gpus ?? 0) > 0);
    const machinesPerWeight = (shard: number) => (counts[shard] ?? 0) / (weights[shard] ?? 1);
    // A share without teams has no use for machines.
    const shardsWithTeams = weights.flatMap((weight, shard) => (weight > 0 ? [shard] : []));
    return shardsWithTeams.reduce(
      (best, shard) => (machinesPerWeight(shard) < machinesPerWeight(best) ? shard : best),
      shardsWithTeams[0] ?? 0,
    );
  }

  private countsOf(type: string): number[] {
    const known = this.counts.get(type);
    if (known) return known;
    const counts = new Array<number>(this.context.settings.shardCount).fill(0);
    this.counts.set(type, counts);
    return counts;
  }

  private weightsFor(hasGpus: boolean): number[] {
    const known = this.weights.get(hasGpus);
    if (known) return known;
    const { clusterState, settings } = this.context;
    const weights = new Array<number>(settings.shardCount).fill(0);
    settings.teams.forEach((team, index) => {
      const shard = clusterState.shardOfTeam[index] ?? 0;
      weights[shard] = (weights[shard] ?? 0) + (hasGpus ? team.gpus + MIN_GPU_WEIGHT : 1);
    });
    this.weights.set(hasGpus, weights);
    return weights;
  }
}
