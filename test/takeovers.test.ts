// Shares, machines and jobs change hands in the middle of something else (docs/meetings.md).
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  assertGoldenTrace,
  holderOf,
  job,
  SimulatedCluster,
  type SimulatedController,
  shardOf,
  smallCluster,
} from './simulation/index.js';

const stateHolder = (cluster: SimulatedCluster, shard: number) =>
  (cluster.stateService.keys.get(`a/h/${shard}`)?.value as { node: string } | undefined)?.node;

/** Share 1 is held by another than its home controller, which is back and is about to be handed it. */
function away(cluster: SimulatedCluster): { home: SimulatedController; old: SimulatedController } {
  const home = cluster.controller('n1');
  home.crash();
  cluster.runUntil('taken over', () => !['', 'n1'].includes(holderOf(cluster, 1)), 40);
  home.restart();
  return { home, old: cluster.controller(holderOf(cluster, 1)) };
}

test('a release is carried out, its answer lost and the watch late: the old holder starts nothing more', () => {
  const cluster = smallCluster(8);
  const { home, old } = away(cluster);
  // Carried out at once; the old holder learns of it neither by the answer nor by its watch.
  cluster.losesTransactionAnswer = (e, apply) => {
    if (!e.writes.some((write) => 'del' in write && write.del === 'a/h/1')) return false;
    old.isWatchLagging = true;
    apply();
    return true;
  };
  cluster.runUntil('claimed by its home', () => stateHolder(cluster, 1) === 'n1', 80);
  assert.ok(old.isWatchLagging);
  const mine = [...old.controller.clusterState.machines.values()]
    .filter((machine) => machine.shard === 1)
    .map((machine) => machine.name);
  assert.ok(mine.length >= 2);
  // Each of them reaches one machine alone: what both start is started twice.
  const last = mine.at(-1);
  cluster.isPartitioned = (a, b) => (a === home.name && b !== last && mine.includes(b)) || (a === old.name && b === last);
  cluster.submit(job('run-twice', { team: 'blue', estimatedRunS: 60 }), old);
  cluster.run(4);
  old.isWatchLagging = false;
  cluster.losesTransactionAnswer = null;
  cluster.run(4);
  assert.equal(cluster.runningTasks('run-twice'), 1);
  assertGoldenTrace(cluster, 'released-and-not-told');
});

test('a controller that the state service alone refuses starts nothing that others may have called off meanwhile', () => {
  const cluster = smallCluster(2);
  cluster.submit(job('run-a', { tasks: 4, estimatedRunS: 9 }));
  cluster.runUntil('full', () => cluster.runningTasks('run-a') === 4);
  cluster.submit(job('run-z', { tasks: 2, estimatedRunS: 9 }));
  cluster.run(1);
  const owner = cluster.controller(holderOf(cluster, 0));
  owner.isRefusedByStateService = true;
  cluster.run(0.5);
  cluster.cancel(
    'run-z',
    cluster.controllers.find((node) => node !== owner),
  );
  cluster.runUntil('room comes free', () => cluster.finished.size === 4, 12);
  cluster.run(15);
  assert.ok(!cluster.trace.some((l) => l.includes('starts run-z')));
});

test('every team is at its limit, a job is cancelled whose machine hangs, and its owner ends: no limit is passed', () => {
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

test('after a takeover a silent machine that may bear cancelled work is given back in time, though nothing is known of it', () => {
  const cluster = smallCluster(6);
  cluster.submit(job('run-c', { tasks: 1, estimatedRunS: 500 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-c') === 1);
  const w = cluster.worker(cluster.machinesRunning('run-c')[0] as string);
  const owner = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-c')));
  assert.ok(w);
  // It hangs for good just as its owner ends and its user calls it off.
  w.hung = true;
  owner.crash();
  cluster.cancel('run-c');
  cluster.runUntil('given back', () => w.dead, 36);
});

test('jobs are cancelled in the seconds in which a share changes hands: none starts after, all are gone in time', () => {
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
    cluster.trace.slice(told).filter((l) => l.includes('starts run-b')),
    [],
  );
  assertGoldenTrace(cluster, 'cancelled-while-a-share-changes-hands');
});

test('machines are up within two seconds while writes come late and the lead ends: each is granted once, and its work runs', () => {
  const cluster = new SimulatedCluster(undefined, (settings) => ({
    ...settings,
    policy: { ...settings.policy, holdSpareCapacity: false, maxMachines: 8 },
  }));
  cluster.machine('m0', 'small', 'east');
  cluster.runUntilSettled();
  cluster.bootTimeMs = () => 1500;
  const late: number[] = [];
  let count = 0;
  cluster.losesTransactionAnswer = (_e, apply) => {
    if (count++ % 3 !== 0) return false;
    cluster.at(cluster.now + 7000, apply);
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
  cluster.losesTransactionAnswer = null;
  assert.ok(late.length > 0);
  cluster.runUntil('all done', () => cluster.finished.size === 12, 120);
  for (const id of ['run-red', 'run-blue', 'run-green']) cluster.runUntil('told', () => cluster.queryStatus(id) === 'done', 10);
});

test('an array that must be in one zone loses machines: the rest of it stays in that zone', () => {
  const cluster = smallCluster(8);
  cluster.submit(job('run-z', { tasks: 8, oneZone: true, estimatedRunS: 20 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-z') >= 4);
  const zone = cluster.worker(cluster.machinesRunning('run-z')[0] as string)?.zone;
  for (const name of cluster.machinesRunning('run-z').slice(0, 2)) {
    const w = cluster.worker(name);
    if (!w) continue;
    w.dead = true;
    w.tasks.clear();
  }
  // The other zone has room all the while; wrong_place is checked at each start.
  cluster.runUntil('done', () => cluster.queryStatus('run-z') === 'done', 180);
  for (const l of cluster.trace.filter((x) => x.includes('starts run-z')))
    assert.equal(cluster.worker(l.trim().split(' ')[1] as string)?.zone, zone);
});

test('the lead and the owners change ten times in two minutes, twice inside an outage: work runs once and to its end', () => {
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

test('tasks of one array end far apart, and the owner ends in between: what is done is not run again', () => {
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
    assert.equal(cluster.trace.filter((l) => l.includes(`starts run-f/${index}`)).length, 1);
  assertGoldenTrace(cluster, 'ends-far-apart');
});

test('all controllers end and one is back within a second, the others later; then a share goes to and fro', () => {
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
    cluster.workers.filter((w) => w.dead),
    [],
  );
});
