/** Initial situations of failover tests, and the lease holders of shards. */
import { holderOf, type SimulatedCluster, type SimulatedController, shardOf } from '../simulation/index.js';

/** Returns the name of the lease holder of the job's shard. */
export const holderOfJob = (cluster: SimulatedCluster, id: string) => holderOf(cluster, shardOf(cluster, id));

/** Returns the name of the shard's lease holder as stored in the state service; undefined if there is none. */
export const storedLeaseHolder = (cluster: SimulatedCluster, shard: number) =>
  (cluster.stateService.keys.get(`a/h/${shard}`)?.value as { node: string } | undefined)?.node;

/** Transfers shard 1 from its preferred holder to another controller. The preferred holder is restarted and can take it back. */
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
