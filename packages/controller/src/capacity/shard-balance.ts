/**
 * The number of machines of each type per shard, relative to the guarantees of the shard's teams. Owns these counts for one round
 * of assignments: recounting for each machine made the cost of the first start quadratic in the number of machines.
 */
import type { ClusterStateView, SettingsView } from '../context/index.js';
import { UNASSIGNED_SHARD } from '../model/index.js';
import { machineTypeNamed } from './instance-kind.js';
import type { RecentAssignment } from './machine-assignment.js';

/** Added to the guaranteed accelerators of each team, so that teams without a guarantee get some machines too. */
const MIN_GPU_WEIGHT = 0.1;

/** The machine counts of one round, updated with each assignment of the round. */
export class ShardBalance {
  /** by machine type: the number of machines that each shard has or is being assigned */
  private readonly machineCounts = new Map<string, number[]>();
  /** weight of each shard, for machines with accelerators (true) and without (false) */
  private readonly shardWeights = new Map<boolean, number[]>();

  /** `recentAssignments`: by machine name; those already in the cluster state aren't counted twice. */
  constructor(
    private readonly context: SettingsView & ClusterStateView,
    recentAssignments: ReadonlyMap<string, RecentAssignment>,
  ) {
    const { clusterState } = context;
    for (const machine of clusterState.machines.values()) {
      const shard = machine.moveToShard ?? machine.shard;
      if (shard > UNASSIGNED_SHARD) this.add(clusterState.typeNames.nameOf(machine.typeIndex), shard);
    }
    for (const [name, assignment] of recentAssignments)
      if (!clusterState.machines.has(name)) this.add(assignment.type, assignment.shard);
  }

  /** Counts one more machine of the type for the shard. */
  add(type: string, shard: number): void {
    const counts = this.countsOf(type);
    counts[shard] = (counts[shard] ?? 0) + 1;
  }

  /** Returns the shard with the fewest machines of the type per weight, the first of equals; 0 if no shard has a team. */
  leastProvisionedShard(type: string): number {
    const counts = this.countsOf(type);
    const weights = this.weightsFor((machineTypeNamed(this.context, type)?.gpus ?? 0) > 0);
    const machinesPerWeight = (shard: number) => (counts[shard] ?? 0) / (weights[shard] ?? 1);
    // A shard without teams needs no machines.
    const shardsWithTeams = weights.flatMap((weight, shard) => (weight > 0 ? [shard] : []));
    const first = shardsWithTeams[0] ?? 0;
    return shardsWithTeams.reduce((best, shard) => (machinesPerWeight(shard) < machinesPerWeight(best) ? shard : best), first);
  }

  private countsOf(type: string): number[] {
    const cached = this.machineCounts.get(type);
    if (cached) return cached;
    const counts = new Array<number>(this.context.settings.shardCount).fill(0);
    this.machineCounts.set(type, counts);
    return counts;
  }

  /** Returns each shard's weight: its teams' guaranteed accelerators for machines with accelerators, else its number of teams. */
  private weightsFor(hasGpus: boolean): number[] {
    const cached = this.shardWeights.get(hasGpus);
    if (cached) return cached;
    const { clusterState, settings } = this.context;
    const weights = new Array<number>(settings.shardCount).fill(0);
    settings.teams.forEach((team, index) => {
      const shard = clusterState.shardOfTeam[index] ?? 0;
      weights[shard] = (weights[shard] ?? 0) + (hasGpus ? team.gpus + MIN_GPU_WEIGHT : 1);
    });
    this.shardWeights.set(hasGpus, weights);
    return weights;
  }
}
