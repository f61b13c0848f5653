// Failover while jobs are cancelled: the cancelled tasks are stopped in time, and none starts afterwards.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { holderOfJob, holdShardElsewhere, storedLeaseHolder } from './scenarios/failover-scenarios.js';
import { assertGoldenTrace, holderOf, job, SimulatedCluster, shardOf, smallCluster } from './simulation/index.js';

test('the tasks of a job cancelled during the failover of its shard are stopped in time', () => {
  const cluster = smallCluster(6);
  cluster.submit(job('run-c', { tasks: 3, estimatedRunS: 500 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-c') === 3);

  cluster.controller(holderOfJob(cluster, 'run-c')).crash();
  cluster.run(1);
  cluster.cancel('run-c');

  cluster.runUntil('its tasks are stopped', () => cluster.machinesRunning('run-c').length === 0, 36);
  assert.equal(cluster.queryStatus('run-c'), 'aborted');
  assertGoldenTrace(cluster, 'cancelled-during-failover');
});

test("all teams are at their quota limits, a job on a hung machine is cancelled, and its shard's holder crashes: no limit is exceeded", () => {
  for (const hungForS of [4, 9, 30]) {
    const cluster = new SimulatedCluster();
    for (let index = 0; index < 6; index++) cluster.addMachine(`g${index}`, 'big', index % 2 === 0 ? 'east' : 'west');
    cluster.runUntilSettled();
    const gang = { shape: 'gang' as const, gpus: 8, cpus: 40, estimatedRunS: 200, priority: 2 };
    for (const team of ['red', 'blue', 'green'])
      for (let index = 0; index < (team === 'green' ? 1 : 2); index++)
        cluster.submit(job(`run-${team}${index}`, { ...gang, team }));
    cluster.runUntil(
      'all teams are at their limits',
      () => ['red0', 'red1', 'blue0', 'blue1', 'green0'].every((suffix) => cluster.runningTasks(`run-${suffix}`) === 1),
      90,
    );

    for (const team of ['red', 'blue', 'green']) cluster.submit(job(`run-${team}9`, { ...gang, team, estimatedRunS: 5 }));

    // The machine of the job hangs for `hungForS`, and the shard's holder crashes right after the cancellation.
    const machine = cluster.worker(cluster.machinesRunning('run-green0')[0] as string);
    assert.ok(machine);
    machine.hung = true;
    const holder = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-green0')));
    const other = cluster.controllers.find((node) => node !== holder);
    cluster.cancel('run-green0', other);
    holder.crash();
    cluster.run(0.3);
    holder.restart();
    cluster.run(1.5);
    // Submitted after the new lease was acquired: no task of it can run yet, so only its team's quota limit has to be verified.
    cluster.isCloudDown = true;
    cluster.submit(job('run-green8', { ...gang, team: 'green', estimatedRunS: 5 }), other);
    cluster.run(hungForS);
    machine.hung = false;
    cluster.isCloudDown = false;

    // The rules are checked after every step; the team's next job starts once the cancelled tasks are known to be stopped.
    cluster.runUntil("the team's next job is done", () => cluster.finished.has('run-green9/0'), 120);
    assert.equal(cluster.machinesRunning('run-green0').length, 0);
  }
});

test('after a failover a silent machine that may run cancelled work is released in time, though the new holder has no report of it', () => {
  const cluster = smallCluster(6);
  cluster.submit(job('run-c', { tasks: 1, estimatedRunS: 500 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-c') === 1);
  const worker = cluster.worker(cluster.machinesRunning('run-c')[0] as string);
  const owner = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-c')));
  assert.ok(worker);

  // The machine hangs for good as the holder crashes and the job is cancelled.
  worker.hung = true;
  owner.crash();
  cluster.cancel('run-c');

  cluster.runUntil('the machine is released', () => worker.dead, 36);
});

test('jobs are cancelled while their shard changes its holder: none starts afterwards, and all are stopped in time', () => {
  const cluster = smallCluster(8);
  const { preferredHolder } = holdShardElsewhere(cluster);
  for (let index = 0; index < 4; index++) cluster.submit(job(`run-b${index}`, { team: 'blue', tasks: 2, estimatedRunS: 500 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-b0') === 2);

  let count = 0;
  cluster.runUntil(
    'the preferred holder has the lease',
    () => {
      // One cancellation while the old holder has the lease, one while nobody has it, two while the new holder has it.
      const cancelsNext = storedLeaseHolder(cluster, 1) === undefined || count < 1 || storedLeaseHolder(cluster, 1) === 'n1';
      if (cancelsNext && count < 4) cluster.cancel(`run-b${count++}`, cluster.controller('n0'));
      return count === 4 && holderOf(cluster, 1) === preferredHolder.name;
    },
    120,
  );
  const traceLength = cluster.trace.length;

  cluster.runUntil(
    'their tasks are stopped',
    () => [0, 1, 2, 3].every((index) => cluster.machinesRunning(`run-b${index}`).length === 0),
    36,
  );
  assert.deepEqual(
    cluster.trace.slice(traceLength).filter((line) => line.includes('starts run-b')),
    [],
  );
  assertGoldenTrace(cluster, 'cancelled-while-a-shard-changes-holder');
});
