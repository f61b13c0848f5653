// Scenarios that several test files start from.
import { holderOf, type SimulatedCluster, type SimulatedController, shardOf } from '../simulation/index.js';

/** The controller that holds the job's shard. */
export const holderOfJob = (cluster: SimulatedCluster, id: string) => holderOf(cluster, shardOf(cluster, id));

export const stateHolder = (cluster: SimulatedCluster, shard: number) =>
  (cluster.stateService.keys.get(`a/h/${shard}`)?.value as { node: string } | undefined)?.node;

/** Share 1 is held by another than its home controller, which is back and is about to be handed it. */
export function away(cluster: SimulatedCluster): { home: SimulatedController; old: SimulatedController } {
  const home = cluster.controller('n1');
  home.crash();
  cluster.runUntil('taken over', () => !['', 'n1'].includes(holderOf(cluster, 1)), 40);
  home.restart();
  return { home, old: cluster.controller(holderOf(cluster, 1)) };
}
