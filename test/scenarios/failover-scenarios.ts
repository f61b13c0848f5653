/** What a failover starts from, and who holds a shard before and after it. */
import { holderOf, type SimulatedCluster, type SimulatedController, shardOf } from '../simulation/index.js';

/** The controller that holds the job's shard. */
export const holderOfJob = (cluster: SimulatedCluster, id: string) => holderOf(cluster, shardOf(cluster, id));

/** The controller that the state service names as the holder of the shard's lease; undefined: none. */
export const storedLeaseHolder = (cluster: SimulatedCluster, shard: number) =>
  (cluster.stateService.keys.get(`a/h/${shard}`)?.value as { node: string } | undefined)?.node;

/** Shard 1 is held by another controller than its preferred holder, which is back and about to be handed it. */
export function holdShardElsewhere(cluster: SimulatedCluster): {
  preferredHolder: SimulatedController;
  currentHolder: SimulatedController;
} {
  const preferredHolder = cluster.controller('n1');
  preferredHolder.crash();
  cluster.runUntil('taken over', () => !['', 'n1'].includes(holderOf(cluster, 1)), 40);
  preferredHolder.restart();
  return { preferredHolder, currentHolder: cluster.controller(holderOf(cluster, 1)) };
}
