// Failover by a partition or by refusals of the state service: controllers that can serve a shard acquire it, and it returns
// later.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { holderOf, job, SimulatedCluster, type SimulatedController, shardOf, smallCluster } from './simulation/index.js';
import { LargeFleet } from './simulation/large-fleet.js';

test('a controller that the state service refuses loses its shard to another one, and gets it back later', () => {
  const cluster = smallCluster(6);

  cluster.controller('n1').isRefusedByStateService = true;
  cluster.runUntil(
    'another controller holds the shard',
    () => cluster.controllers[0]?.controller.clusterState.leaseOf(1)?.holder.controller !== 'n1',
    40,
  );

  cluster.submit(job('run-f', { team: 'blue', tasks: 4, estimatedRunS: 3 }), cluster.controller('n0'));
  cluster.runUntil('done', () => cluster.queryStatus('run-f', cluster.controller('n0')) === 'done', 60);

  cluster.controller('n1').isRefusedByStateService = false;
  cluster.runUntil(
    'the preferred holder has the shard again',
    () => cluster.controllers[0]?.controller.clusterState.leaseOf(1)?.holder.controller === 'n1',
    60,
  );
});

test('after a partition a shard returns to its preferred holder only once its services run again, since a change of holder suspends starts', () => {
  const cluster = smallCluster(12);
  cluster.submit(job('run-q', { team: 'blue', shape: 'service', tasks: 10, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-q') === 10);
  const shard = shardOf(cluster, 'run-q');
  const preferredHolder = holderOf(cluster, shard);
  const zone = cluster.controller(preferredHolder).controller.settings.zone;
  const isInZone = (name: string) =>
    name === preferredHolder || cluster.workers.find((worker) => worker.name === name)?.zone === zone;

  // The preferred holder's whole zone is partitioned; one machine there dies, and the tasks of the others end with their leases.
  for (const node of cluster.controllers)
    if (node.name !== preferredHolder && node.controller.settings.zone === zone) node.crash();
  cluster.isPartitioned = (a, b) => isInZone(a) !== isInZone(b);
  cluster.controller(preferredHolder).isRefusedByStateService = true;
  const deadWorker = cluster.workers.find(
    (worker) => worker.zone === zone && cluster.machinesRunning('run-q').includes(worker.name),
  );
  if (deadWorker) {
    deadWorker.dead = true;
    deadWorker.tasks.clear();
  }
  const otherController = cluster.controllers.find((node) => node.up && node.name !== preferredHolder) as SimulatedController;
  cluster.runUntil(
    'another controller holds the shard',
    () => (otherController.controller.clusterState.leaseOf(shard)?.holder.controller ?? preferredHolder) !== preferredHolder,
    40,
  );
  cluster.runUntil('the tasks in the zone have ended', () => !cluster.machinesRunning('run-q').some(isInZone), 40);

  // For 15 s the cloud doesn't confirm that the dead machine is gone: tasks that may run on it are not started elsewhere.
  cluster.isCloudDown = true;
  cluster.isPartitioned = () => false;
  cluster.controller(preferredHolder).isRefusedByStateService = false;
  for (const node of cluster.controllers) if (!node.up) node.restart();
  cluster.runAt(cluster.now + 15_000, () => {
    cluster.isCloudDown = false;
  });

  cluster.runUntil(
    'the preferred holder has the shard again',
    () => otherController.controller.clusterState.leaseOf(shard)?.holder.controller === preferredHolder,
    90,
  );
  assert.equal(cluster.runningTasks('run-q'), 10);
});

/** All machines are in one shard and are probed six at a time; the machines of the partitioned zone are first by name. */
function clusterWithOneShard(west: number, east: number): SimulatedCluster {
  const cluster = new SimulatedCluster(['n0', 'n1', 'n2'], (settings) => ({
    ...settings,
    teams: settings.teams.slice(0, 1),
    cpuShare: 0.19,
  }));
  for (let index = 0; index < west; index++) cluster.addMachine(`m${1000 + index}`, 'small', 'west');
  for (let index = 0; index < east; index++) cluster.addMachine(`m${2000 + index}`, 'small', 'east');
  cluster.runUntilSettled();
  return cluster;
}

test('after a failover during a partition, machines that were not probed yet are not released', () => {
  const cluster = clusterWithOneShard(240, 40);
  cluster.submit(job('run-x', { shape: 'service', tasks: 60, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-x') === 60, 30);

  const isWest = (name: string) => name === 'n1' || name.startsWith('m1');
  cluster.isPartitioned = (a, b) => isWest(a) !== isWest(b);
  cluster.controller('n1').isRefusedByStateService = true;
  const shard = shardOf(cluster, 'run-x');
  assert.equal(holderOf(cluster, shard), 'n0');
  cluster.controller('n0').crash();
  const { clusterState } = cluster.controller('n2').controller;
  cluster.runUntil('another controller holds the shard', () => clusterState.leaseOf(shard)?.holder.controller === 'n2', 40);
  cluster.run(15);

  assert.deepEqual(
    cluster.workers.filter((worker) => worker.dead && !isWest(worker.name)).map((worker) => worker.name),
    [],
    'no reachable machine is released',
  );
  const reachableMachines = [...clusterState.machines.values()].filter((machine) => !isWest(machine.name));
  assert.equal(
    reachableMachines.filter((machine) => machine.tenure.isVerified).length,
    40,
    'all reachable machines have answered',
  );
});

// The few machines that had answered were not probed again before the controller concluded that it was cut off from its
// workers, and afterwards the same four, some of them dead, were probed for ever: no controller held a shard, and no lost
// machine was released.
test('a third of the machines lost during failovers is not taken for a partition', () => {
  const fleet = new LargeFleet({ machines: 600, controllers: 3 });
  const { cluster } = fleet;
  fleet.firstStart();
  fleet.startServices();
  cluster.run(10);

  fleet.crashOne(0);
  fleet.crashAll();
  fleet.rollingRestart();
  fleet.cancelDuringLeaderCrash(46);

  cluster.trace = [];
  fleet.killThird();

  fleet.runUntilServicesRun('all replicas have another place', 120);
  fleet.check();
});
