/** Which shard each team's jobs belong to. Every controller derives the same from the settings; nothing of it is stored. */
import type { ControllerSettings, Team } from '../model/index.js';

/** Processor cores that weigh as much as one accelerator. */
const CPUS_PER_GPU = 8;

/** Weight of a team without a quota, so that such teams are spread too. */
const BASE_WEIGHT = 0.5;

interface WeightedTeam {
  index: number;
  weight: number;
}

function weightOf(team: Team): number {
  return team.gpus + team.cpus / CPUS_PER_GPU + BASE_WEIGHT;
}

/** The first of the shards with the least load. */
function leastLoadedShard(loads: readonly number[]): number {
  let best = 0;
  let leastLoad = Number.POSITIVE_INFINITY;
  for (const [shard, load] of loads.entries()) if (load < leastLoad) [best, leastLoad] = [shard, load];
  return best;
}

/** Spreads teams over the shards: largest quota first, each onto the shard with the least so far. Indexed as the teams are. */
export function assignTeamsToShards({ shardCount, teams }: ControllerSettings): number[] {
  const loads = new Array<number>(shardCount).fill(0);
  const shardOfTeam = new Array<number>(teams.length).fill(0);
  const heaviestFirst = teams
    .map((team, index): WeightedTeam => ({ index, weight: weightOf(team) }))
    .sort((a, b) => b.weight - a.weight || a.index - b.index);
  for (const { index, weight } of heaviestFirst) {
    const shard = leastLoadedShard(loads);
    loads[shard] = (loads[shard] ?? 0) + weight;
    shardOfTeam[index] = shard;
  }
  return shardOfTeam;
}
