/** The assignment of teams, and so of their jobs, to shards. Each controller derives it from the settings; it isn't stored. */
import type { ControllerSettings, Team } from '../model/index.js';

/** Number of CPU cores that have the weight of one accelerator. */
const CPUS_PER_GPU = 8;

/** Base weight of each team, so that teams without a quota are also spread over the shards. */
const BASE_WEIGHT = 0.5;

interface WeightedTeam {
  index: number;
  weight: number;
}

function weightOf(team: Team): number {
  return team.gpus + team.cpus / CPUS_PER_GPU + BASE_WEIGHT;
}

/** Returns the shard with the lowest load; of several, the first. */
function leastLoadedShard(loads: readonly number[]): number {
  let best = 0;
  let leastLoad = Number.POSITIVE_INFINITY;
  for (const [shard, load] of loads.entries()) if (load < leastLoad) [best, leastLoad] = [shard, load];
  return best;
}

/** Assigns the teams, largest weight first, to the shard with the lowest load so far. Returns the shards by team index. */
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
