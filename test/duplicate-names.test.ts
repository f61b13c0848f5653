// Two processes that were started with one `host_name`: the later one must not act, and logs why.
//
// Each process takes the leases of the other one for its own leases from before a restart, and claims them again as soon as it
// reads the other's claim, because a claim compares only the name of the lease holder (`ShardLeases.claimIfDue`). The leases
// alternate for as long as both processes run; fencing tokens prevent either from acting under an outdated lease.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { job, SimulatedCluster, shardOf } from './simulation/index.js';

/** The first claim of each process, and one more for each. */
const MAX_CLAIMS = 4;

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
  assert.ok(revisions.size <= MAX_CLAIMS, `${revisions.size} claims in 60 s`);
});
