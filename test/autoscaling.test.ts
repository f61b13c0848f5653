// Autoscaling and assignment of machines to shards: what is provisioned, assigned once, and released.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BootTimeEstimator } from '../packages/controller/src/capacity/boot-time-estimator.js';
import { withTeamWithoutGuarantee } from './scenarios/on-call-scenarios.js';
import { holderOf, job, SimulatedCluster, smallCluster } from './simulation/index.js';

test('a machine that boots in a partitioned zone is assigned by way of the state service', () => {
  const cluster = smallCluster(8);
  const west = (x: string) => x === 'n1' || cluster.workers.find((worker) => worker.name === x)?.zone === 'west';
  cluster.isPartitioned = (a, b) => west(a) !== west(b);
  cluster.run(5);
  cluster.addMachine('late', 'small', 'west');
  cluster.runUntil('granted', () => cluster.controller('n1').controller.clusterState.machines.has('late'), 25);
});

test('machines are up within two seconds while writes come late and the leader crashes: each is assigned once, and its work runs', () => {
  const cluster = new SimulatedCluster(undefined, (settings) => ({
    ...settings,
    policy: { ...settings.policy, holdSpareCapacity: false, maxMachines: 8 },
  }));
  cluster.addMachine('m0', 'small', 'east');
  cluster.runUntilSettled();
  cluster.bootTimeMs = () => 1500;
  const late: number[] = [];
  let count = 0;
  cluster.losesTransactionResponse = (_e, apply) => {
    if (count++ % 3 !== 0) return false;
    cluster.runAt(cluster.now + 7000, apply);
    late.push(cluster.now);
    return true;
  };
  for (const team of ['red', 'blue', 'green']) cluster.submit(job(`run-${team}`, { team, tasks: 4, estimatedRunS: 20 }));
  cluster.runUntil('machines are up', () => cluster.workers.length > 2, 30);
  const lead = cluster.controller(holderOf(cluster, 'lead'));
  lead.crash();
  cluster.run(0.3);
  lead.restart();
  cluster.run(15);
  cluster.losesTransactionResponse = null;
  assert.ok(late.length > 0);
  cluster.runUntil('all done', () => cluster.finished.size === 12, 120);
  for (const id of ['run-red', 'run-blue', 'run-green']) cluster.runUntil('told', () => cluster.queryStatus(id) === 'done', 10);
});

test('for work of the lowest priority only cheap instances are provisioned, and expensive ones never', () => {
  const cluster = new SimulatedCluster(['n0', 'n1', 'n2'], (settings) => ({
    ...withTeamWithoutGuarantee(settings),
    policy: { ...settings.policy, holdSpareCapacity: false, maxMachines: null },
  }));
  for (let index = 0; index < 3; index++) cluster.addMachine(`m${index}`, 'small', 'east');
  cluster.runUntilSettled();
  cluster.provisioningRequests.length = 0;
  const start = cluster.now;
  cluster.submit(
    job('run-low', { team: 'guest', priority: 0, tasks: 200, cpus: 1, memory: 2, estimatedRunS: 400, allowsSpot: true }),
  );
  cluster.run(150);
  const soon = cluster.provisioningRequests.filter((r) => r.at - start < 55_000);
  assert.ok(soon.length > 0 && soon.every((r) => r.spot), 'cheap ones at first');
  assert.ok(
    cluster.provisioningRequests.some((r) => !r.spot && r.type === 'small'),
    'ordinary ones so that it begins',
  );
  assert.ok(
    cluster.provisioningRequests.every((r) => r.spot || r.type === 'small'),
    'no dear one',
  );
});

test('a machine is overdue by the boot times of its type, and an instance kind that never boots is reported', () => {
  const boots = new BootTimeEstimator();
  const kind = { type: 'small', zone: 'east', spot: false };
  assert.equal(boots.limitMs('small', 50, 0), 80_000, 'one and a half times is usual');
  boots.recordBoot(kind, 100_000, 10_000);
  assert.equal(boots.limitMs('small', 50, 20_000), 130_000, 'all take longer at the moment');
  assert.equal(boots.limitMs('small', 50, 400_000), 80_000, 'that is over');
  boots.recordBoot(kind, 2000, 400_000);
  assert.equal(boots.limitMs('small', 50, 401_000), 80_000, 'some are up in a moment: the others are not late for it');
  boots.setOverdue([kind, kind]);
  assert.ok(!boots.isFailing(kind, 80_000, 410_000), 'one came up a moment ago');
  assert.ok(boots.isFailing(kind, 80_000, 490_000));
  assert.ok(!boots.isFailing({ ...kind, zone: 'west' }, 80_000, 490_000), 'elsewhere it goes well');
});

test('machines of a zone whose controllers the leader can not reach are all assigned while the partition lasts', () => {
  const cluster = new SimulatedCluster();
  for (let index = 0; index < 6; index++) cluster.addMachine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.runUntilSettled();
  const west = (name: string) => name === 'n1' || name.startsWith('w') || ['m1', 'm3', 'm5'].includes(name);
  cluster.isPartitioned = (a, b) => west(a) !== west(b);
  cluster.run(8);
  for (let index = 0; index < 120; index++) cluster.addMachine(`w${index}`, 'small', 'west');
  const leader = cluster.controller(holderOf(cluster, 'lead'));
  assert.ok(!west(leader.name));
  cluster.runUntil(
    'all of them are granted',
    () => Array.from({ length: 120 }, (_, index) => leader.controller.clusterState.machines.has(`w${index}`)).every(Boolean),
    40,
  );
});

test('a released machine is remembered for as long as heartbeats of it may be late, however many are', () => {
  const cluster = new SimulatedCluster();
  cluster.run(3);
  const { autoscaler: rentals } = cluster.controller(holderOf(cluster, 'lead')).controller.leader;
  for (let index = 0; index < 4000; index++) rentals.onMachineReleased(`gone${index}`, 1000);
  assert.ok(rentals.isRecentlyReleased('gone0', 2000));
  rentals.onMachineReleased('later', 200_000);
  assert.ok(!rentals.isRecentlyReleased('gone0', 200_000));
});

test('a list of thousands takes a quarter of the requests to the cloud', () => {
  const cluster = new SimulatedCluster(['n0'], (settings) => ({ ...settings, cloud: { requestsPerS: 3, listLagS: 8 } }));
  cluster.bootTimeMs = () => 1000;
  for (let index = 0; index < 4000; index++) cluster.addMachine(`m${index}`);
  cluster.run(30);
  assert.equal(cluster.workers.filter((worker) => worker.dead).length, 0);
  cluster.listRequests = 0;
  cluster.run(60);
  const pages = Math.ceil(4000 / 500);
  assert.ok(
    cluster.listRequests > 0 && cluster.listRequests * pages <= 60 * 3 * 0.25 + pages,
    `${cluster.listRequests} lists of ${pages} pages in a minute`,
  );
});
