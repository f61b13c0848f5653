// Failover: another controller acquires a shard whose holder crashed, paused or was cut off; nothing runs twice, and nothing is lost.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Controller } from '@archpost/controller';
import { away, stateHolder } from './scenarios/failover-scenarios.js';
import { clusterOfEight } from './scenarios/partition-scenarios.js';
import { newCluster } from './scenarios/takeover-scenarios.js';
import {
  assertGoldenTrace,
  holderOf,
  job,
  SimulatedCluster,
  type SimulatedController,
  settings,
  shardOf,
  smallCluster,
} from './simulation/index.js';
import { LargeFleet } from './simulation/large-fleet.js';

const holderOfJob = (cluster: SimulatedCluster, id: string) => holderOf(cluster, shardOf(cluster, id));

test('failover with a silent worker: its task is started elsewhere only once the machine is released', () => {
  const cluster = newCluster();
  cluster.submit(job('run-s', { shape: 'service', priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-s') === 1);
  const holder = holderOfJob(cluster, 'run-s');
  const machine = cluster.machinesRunning('run-s')[0] as string;
  cluster.isCloudDown = true;
  cluster.controller(holder).crash();
  const worker = cluster.workers.find((candidate) => candidate.name === machine);
  assert.ok(worker);
  worker.hung = true;
  cluster.run(30);
  assert.deepEqual(cluster.machinesRunning('run-s'), [machine], 'nothing proves that it is gone yet');
  cluster.isCloudDown = false;
  cluster.runUntil(
    'started elsewhere',
    () => cluster.runningTasks('run-s') === 1 && cluster.machinesRunning('run-s')[0] !== machine,
    30,
  );
  const lines = cluster.trace.join('\n');
  assert.ok(lines.indexOf(`${machine} is given back`) < lines.lastIndexOf('starts run-s'));
  assertGoldenTrace(cluster, 'takeover-with-a-silent-worker');
});

test('a late transaction of a dead holder changes nothing', () => {
  const cluster = newCluster();
  const late: (() => void)[] = [];
  cluster.submit(job('run-t', { tasks: 2, estimatedRunS: 3 }));
  const holder = holderOfJob(cluster, 'run-t');
  cluster.losesTransactionAnswer = (e, apply) => {
    if (!e.writes.some((write) => 'put' in write && /^a\/[jp]\/run-t/.test(write.put))) return false;
    late.push(apply);
    return true;
  };
  cluster.runUntil('its end was to be written', () => late.length > 0, 30);
  cluster.controller(holder).crash();
  cluster.losesTransactionAnswer = null;
  cluster.run(1);
  cluster.controller(holder).restart();
  cluster.runUntil('done again', () => cluster.queryStatus('run-t') === 'done', 40);
  const before = JSON.stringify(cluster.stateService.rows());
  for (const apply of late) apply();
  assert.equal(JSON.stringify(cluster.stateService.rows()), before);
  assertGoldenTrace(cluster, 'late-transaction');
});

test('a job cancelled during the failover of its shard is gone in time', () => {
  const cluster = newCluster();
  cluster.submit(job('run-c', { tasks: 3, estimatedRunS: 500 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-c') === 3);
  cluster.controller(holderOfJob(cluster, 'run-c')).crash();
  cluster.run(1);
  cluster.cancel('run-c');
  cluster.runUntil('gone', () => cluster.machinesRunning('run-c').length === 0, 36);
  assert.equal(cluster.queryStatus('run-c'), 'aborted');
  assertGoldenTrace(cluster, 'cancelled-during-takeover');
});

test("a gang that was partly started when its shard's holder crashed runs whole, once", () => {
  const cluster = new SimulatedCluster();
  for (let index = 0; index < 4; index++) cluster.machine(`m${index}`, 'small', 'east');
  cluster.runUntilSettled();
  cluster.submit(job('run-g', { shape: 'gang', tasks: 4, cpus: 4, estimatedRunS: 10, priority: 2 }));
  cluster.runUntil('a member started', () => cluster.machinesRunning('run-g').length > 0, 40);
  cluster.controller(holderOfJob(cluster, 'run-g')).crash();
  cluster.run(4);
  cluster.controllers.find((node) => !node.up)?.restart();
  cluster.runUntil('done', () => cluster.queryStatus('run-g') === 'done', 90);
  assertGoldenTrace(cluster, 'gang-partly-started');
});

test('quota holds while allocations are unverified after a failover', () => {
  const cluster = new SimulatedCluster();
  cluster.machine('g0', 'big', 'east');
  cluster.machine('g1', 'big', 'west');
  cluster.machine('g2', 'big', 'east');
  cluster.runUntilSettled();
  // Team green may use 8 GPUs: one job of 8 runs, another waits for it.
  cluster.submit(job('run-q', { team: 'green', shape: 'gang', gpus: 8, cpus: 40, estimatedRunS: 60, priority: 2 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-q') === 1, 40);
  cluster.isCloudDown = true;
  const worker = cluster.workers.find((candidate) => candidate.name === cluster.machinesRunning('run-q')[0]);
  assert.ok(worker);
  const owner = cluster.controller(holderOfJob(cluster, 'run-q'));
  owner.crash();
  worker.hung = true;
  cluster.submit(job('run-r', { team: 'green', shape: 'gang', gpus: 8, cpus: 40, estimatedRunS: 5, priority: 2 }));
  cluster.run(3);
  owner.restart();
  cluster.run(30);
  assert.equal(cluster.runningTasks('run-r'), 0);
  cluster.isCloudDown = false;
  cluster.runUntil('its turn', () => cluster.runningTasks('run-r') === 1, 120);
  assertGoldenTrace(cluster, 'quota-with-unresolved-places');
});

test('a single controller that the state service refuses loses its shards to the others, and one returns later', () => {
  const cluster = newCluster();
  cluster.controller('n1').isRefusedByStateService = true;
  cluster.runUntil(
    'taken over',
    () => cluster.controllers[0]?.controller.clusterState.leaseOf(1)?.holder.controller !== 'n1',
    40,
  );
  cluster.submit(job('run-f', { team: 'blue', tasks: 4, estimatedRunS: 3 }), cluster.controller('n0'));
  cluster.runUntil('done', () => cluster.queryStatus('run-f', cluster.controller('n0')) === 'done', 60);
  cluster.controller('n1').isRefusedByStateService = false;
  cluster.runUntil(
    'home again',
    () => cluster.controllers[0]?.controller.clusterState.leaseOf(1)?.holder.controller === 'n1',
    60,
  );
});

test("every team is at its limit, a job is cancelled whose machine hangs, and its shard's holder crashes: no limit is exceeded", () => {
  for (const hangs of [4, 9, 30]) {
    const cluster = new SimulatedCluster();
    for (let index = 0; index < 6; index++) cluster.machine(`g${index}`, 'big', index % 2 === 0 ? 'east' : 'west');
    cluster.runUntilSettled();
    const gang = { shape: 'gang' as const, gpus: 8, cpus: 40, estimatedRunS: 200, priority: 2 };
    for (const team of ['red', 'blue', 'green'])
      for (let index = 0; index < (team === 'green' ? 1 : 2); index++)
        cluster.submit(job(`run-${team}${index}`, { ...gang, team }));
    cluster.runUntil(
      'all at their limits',
      () => ['red0', 'red1', 'blue0', 'blue1', 'green0'].every((x) => cluster.runningTasks(`run-${x}`) === 1),
      90,
    );
    for (const team of ['red', 'blue', 'green']) cluster.submit(job(`run-${team}9`, { ...gang, team, estimatedRunS: 5 }));
    const machine = cluster.worker(cluster.machinesRunning('run-green0')[0] as string);
    assert.ok(machine);
    machine.hung = true;
    const ends = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-green0')));
    const other = cluster.controllers.find((node) => node !== ends);
    cluster.cancel('run-green0', other);
    ends.crash();
    cluster.run(0.3);
    ends.restart();
    cluster.run(1.5);
    // Newer than the new holding: it can be nowhere yet, and needs no proof but its team's part of the limit.
    cluster.isCloudDown = true;
    cluster.submit(job('run-green8', { ...gang, team: 'green', estimatedRunS: 5 }), other);
    cluster.run(hangs);
    machine.hung = false;
    cluster.isCloudDown = false;
    // The rules are checked after every step; the next of the team gets its turn once that is proven.
    cluster.runUntil('its turn', () => cluster.finished.has('run-green9/0'), 120);
    assert.equal(cluster.machinesRunning('run-green0').length, 0);
  }
});

test('after a failover a silent machine that may run cancelled work is released in time, though nothing is known of it', () => {
  const cluster = smallCluster(6);
  cluster.submit(job('run-c', { tasks: 1, estimatedRunS: 500 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-c') === 1);
  const worker = cluster.worker(cluster.machinesRunning('run-c')[0] as string);
  const owner = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-c')));
  assert.ok(worker);
  // It hangs for good just as its owner ends and its user calls it off.
  worker.hung = true;
  owner.crash();
  cluster.cancel('run-c');
  cluster.runUntil('given back', () => worker.dead, 36);
});

test('jobs are cancelled in the seconds in which a shard changes its holder: none starts after, all are gone in time', () => {
  const cluster = smallCluster(8);
  const { home } = away(cluster);
  for (let index = 0; index < 4; index++) cluster.submit(job(`run-b${index}`, { team: 'blue', tasks: 2, estimatedRunS: 500 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-b0') === 2);
  let count = 0;
  cluster.runUntil(
    'handed home',
    () => {
      // One while it is still the old holder's, one without a holder, two at the new one's.
      const next = stateHolder(cluster, 1) === undefined || count < 1 || stateHolder(cluster, 1) === 'n1';
      if (next && count < 4) cluster.cancel(`run-b${count++}`, cluster.controller('n0'));
      return count === 4 && holderOf(cluster, 1) === home.name;
    },
    120,
  );
  const told = cluster.trace.length;
  cluster.runUntil('gone', () => [0, 1, 2, 3].every((index) => cluster.machinesRunning(`run-b${index}`).length === 0), 36);
  assert.deepEqual(
    cluster.trace.slice(told).filter((line) => line.includes('starts run-b')),
    [],
  );
  assertGoldenTrace(cluster, 'cancelled-while-a-share-changes-hands');
});

test('the leader and the holders change ten times in two minutes, twice inside an outage: work runs once and to its end', () => {
  const cluster = smallCluster(8);
  for (let index = 0; index < 6; index++)
    cluster.submit(job(`run-t${index}`, { team: ['red', 'blue', 'green'][index % 3] as string, tasks: 3, estimatedRunS: 25 }));
  cluster.submit(job('run-v', { shape: 'service', tasks: 2, priority: 3, jobClass: 'serve' }));
  for (let index = 0; index < 10; index++) {
    cluster.isStateServiceDown = index === 3 || index === 4;
    const ends = cluster.controller(index % 2 === 0 ? holderOf(cluster, 'lead') || 'n2' : holderOf(cluster, index % 3) || 'n0');
    ends.crash();
    cluster.run(index % 4 === 0 ? 0.3 : 3);
    ends.restart();
    cluster.run(9);
  }
  for (let index = 0; index < 6; index++) cluster.runUntil('done', () => cluster.queryStatus(`run-t${index}`) === 'done', 120);
  assert.equal(cluster.runningTasks('run-v'), 2);
});

test('tasks of one array end far apart, and the holder crashes in between: what is done is not run again', () => {
  const cluster = smallCluster(1);
  // One machine, room for one: they run one after the other.
  cluster.submit(job('run-f', { tasks: 3, cpus: 4, estimatedRunS: 8 }));
  for (let index = 1; index <= 3; index++) {
    cluster.runUntil('one more ended', () => cluster.finished.size === index, 60);
    const owner = cluster.controller(holderOf(cluster, 0));
    // At once after the end, or when it is known and what was to be stored of it is lost.
    cluster.losesTransactionAnswer = (e) => e.writes.some((write) => 'put' in write && /^a\/[pj]\//.test(write.put));
    cluster.run(index === 1 ? 0 : 1.5);
    cluster.losesTransactionAnswer = null;
    owner.crash();
    cluster.run(0.3);
    owner.restart();
    cluster.run(2);
  }
  cluster.runUntil('done', () => cluster.queryStatus('run-f') === 'done', 60);
  for (let index = 0; index < 3; index++)
    assert.equal(cluster.trace.filter((line) => line.includes(`starts run-f/${index}`)).length, 1);
  assertGoldenTrace(cluster, 'ends-far-apart');
});

test('all controllers crash and one is back within a second, the others later; then a shard changes its holder to and fro', () => {
  const cluster = smallCluster(8);
  cluster.submit(job('run-v', { shape: 'service', tasks: 3, priority: 3, jobClass: 'serve' }));
  cluster.submit(job('run-a', { team: 'blue', tasks: 4, estimatedRunS: 40 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-v') === 3 && cluster.runningTasks('run-a') === 4);
  for (let round = 0; round < 3; round++) {
    for (const node of cluster.controllers) node.crash();
    cluster.run(0.3);
    (cluster.controllers[round] as SimulatedController).restart();
    cluster.run(round === 1 ? 8 : 0.4);
    for (const node of cluster.controllers) if (!node.up) node.restart();
    cluster.run(5);
  }
  cluster.runUntil('done', () => cluster.queryStatus('run-a') === 'done', 90);
  assert.equal(cluster.runningTasks('run-v'), 3);
});

test('all controllers are away for longer than a lease: what died with it runs again, once', () => {
  const cluster = smallCluster(6);
  cluster.submit(job('run-v', { shape: 'service', tasks: 2, priority: 3, jobClass: 'serve' }));
  cluster.submit(job('run-a', { team: 'blue', tasks: 3, estimatedRunS: 30 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-v') === 2 && cluster.runningTasks('run-a') === 3);
  for (const node of cluster.controllers) node.crash();
  cluster.run(20);
  assert.equal(cluster.runningTasks('run-v') + cluster.runningTasks('run-a'), 0);
  for (const node of cluster.controllers) node.restart();
  cluster.runUntil('done', () => cluster.queryStatus('run-a') === 'done', 90);
  assert.equal(cluster.runningTasks('run-v'), 2);
  assert.deepEqual(
    cluster.workers.filter((worker) => worker.dead),
    [],
  );
});

test('after a partition a shard returns to its preferred holder only once its services run again: a change of holder stops starts', () => {
  const cluster = clusterOfEight(12);
  cluster.submit(job('run-q', { team: 'blue', shape: 'service', tasks: 10, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-q') === 10);
  const shard = shardOf(cluster, 'run-q');
  const home = holderOf(cluster, shard);
  const zone = cluster.controller(home).controller.settings.zone;
  const inside = (x: string) => x === home || cluster.workers.find((worker) => worker.name === x)?.zone === zone;
  // Its home is cut off whole; a machine there dies, the others' work ends by its leases.
  for (const node of cluster.controllers) if (node.name !== home && node.controller.settings.zone === zone) node.crash();
  cluster.isPartitioned = (a, b) => inside(a) !== inside(b);
  cluster.controller(home).isRefusedByStateService = true;
  const dead = cluster.workers.find((worker) => worker.zone === zone && cluster.machinesRunning('run-q').includes(worker.name));
  if (dead) {
    dead.dead = true;
    dead.tasks.clear();
  }
  const away = cluster.controllers.find((node) => node.up && node.name !== home) as SimulatedController;
  cluster.runUntil('taken over', () => (away.controller.clusterState.leaseOf(shard)?.holder.controller ?? home) !== home, 40);
  cluster.runUntil('its leases are over', () => !cluster.machinesRunning('run-q').some(inside), 40);
  // The cloud can't tell that the dead one is gone for a while: what may be on it waits.
  cluster.isCloudDown = true;
  cluster.isPartitioned = () => false;
  cluster.controller(home).isRefusedByStateService = false;
  for (const node of cluster.controllers) if (!node.up) node.restart();
  cluster.at(cluster.now + 15_000, () => {
    cluster.isCloudDown = false;
  });
  cluster.runUntil('at home', () => away.controller.clusterState.leaseOf(shard)?.holder.controller === home, 90);
  assert.equal(cluster.runningTasks('run-q'), 10);
});

// A rename by tool had left the two sides of the move's flag with different names: what was known from the old shard stayed.
test('what is known of a machine does not outlive its move to another shard', () => {
  const core = new Controller(settings('n0'), 'boot');
  const assignment = (shard: number) => ({ s: shard, a: 'm0:1', t: 'std', z: 'za', sp: false });
  core.replica.set('a/g/m0', assignment(0), 1);
  const machine = core.clusterState.machines.get('m0');
  assert.ok(machine);
  const tenure = machine.tenure;
  core.replica.set('a/g/m0', { ...assignment(0), mv: 1 }, 2);
  assert.equal(machine.tenure, tenure, 'a move that is ordered changes nothing yet');
  core.replica.set('a/g/m0', assignment(1), 3);
  assert.equal(machine.shard, 1);
  assert.notEqual(machine.tenure, tenure, 'the move begins a new tenure');
});

/** All machines in one share, asked six at a time; those of the cut zone come first by name. */
function oneShare(west: number, east: number): SimulatedCluster {
  const cluster = new SimulatedCluster(['n0', 'n1', 'n2'], (settings) => ({
    ...settings,
    teams: settings.teams.slice(0, 1),
    cpuShare: 0.19,
  }));
  for (let index = 0; index < west; index++) cluster.machine(`m${1000 + index}`, 'small', 'west');
  for (let index = 0; index < east; index++) cluster.machine(`m${2000 + index}`, 'small', 'east');
  cluster.runUntilSettled();
  return cluster;
}

test('after a failover during a partition, machines that were not probed yet are not released', () => {
  const cluster = oneShare(240, 40);
  cluster.submit(job('run-x', { shape: 'service', tasks: 60, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-x') === 60, 30);
  const west = (x: string) => x === 'n1' || x.startsWith('m1');
  cluster.isPartitioned = (a, b) => west(a) !== west(b);
  cluster.controller('n1').isRefusedByStateService = true;
  const shard = shardOf(cluster, 'run-x');
  assert.equal(holderOf(cluster, shard), 'n0');
  cluster.controller('n0').crash();
  const { clusterState } = cluster.controller('n2').controller;
  cluster.runUntil('taken over', () => clusterState.leaseOf(shard)?.holder.controller === 'n2', 40);
  cluster.run(15);
  assert.deepEqual(
    cluster.workers.filter((worker) => worker.dead && !west(worker.name)).map((worker) => worker.name),
    [],
    'machines that can be reached',
  );
  const seen = [...clusterState.machines.values()].filter((machine) => !west(machine.name));
  assert.equal(seen.filter((machine) => machine.tenure.isVerified).length, 40, 'all of them have answered');
});

// The few that had answered were not asked again before the verdict, and afterwards the same four, some dead, for ever:
// no controller held anything, and nothing that was lost was given back.
test('a third of the machines lost during failovers is not taken for a partition', () => {
  const fleet = new LargeFleet({ machines: 600, controllers: 3 });
  const { cluster } = fleet;
  fleet.firstStart();
  fleet.startServices();
  cluster.run(10);
  fleet.crashOne(0);
  fleet.crashAll();
  fleet.roll();
  fleet.cancelWhileTheLeaderEnds(46);
  cluster.trace = [];
  fleet.loseThird();
  fleet.untilServicesRun('all replicas have another place', 120);
  fleet.check();
});
