// Two processes that were started with one `host_name`: the later one must not act, and says why.
//
// What happens: each takes the other's leases for its own from before a restart, and claims them anew as soon as it has read the
// other's claim. The leases go to and fro for as long as both run; fencing tokens keep either from doing harm with an old one.
// Why: a claim compares the name of the lease's holder alone (`ShardLeases.claimIfDue`).

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { job, SimulatedCluster, shardOf } from './simulation/index.js';

/** The first claims of both, and one more for each. */
const MOST_CLAIMS = 4;

test('two processes with one host_name: the leases of their shards do not go to and fro', () => {
  const cluster = new SimulatedCluster(['n0', 'n1', 'n2']);
  for (let index = 0; index < 12; index++) cluster.addMachine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.runUntilSettled();
  cluster.submit(job('run-v', { shape: 'service', tasks: 4, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-v') === 4);
  const shard = shardOf(cluster, 'run-v');
  cluster.startDuplicate('n0');
  const revisions = new Set<number>();
  for (let step = 0; step < 600; step++) {
    cluster.run(0.1);
    revisions.add(cluster.controller('n1').controller.clusterState.leaseOf(shard)?.revision ?? 0);
  }
  assert.equal(cluster.runningTasks('run-v'), 4);
  assert.ok(revisions.size <= MOST_CLAIMS, `${revisions.size} claims in 60 s`);
});
