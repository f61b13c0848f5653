// What on call met: controllers that stand still, jobs that can only fail, guests, storms of questions.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ControllerSettings } from '@archpost/controller';
import { BootTimeEstimator } from '../packages/controller/src/capacity/boot-time-estimator.js';
import { LoadShedder } from '../packages/http-api/src/load-shedder.js';
import { assertGoldenTrace, holderOf, job, SimulatedCluster, shardOf, smallCluster } from './simulation/index.js';

const dead = (cluster: SimulatedCluster) => cluster.workers.filter((w) => w.dead).map((w) => w.name);
const killed = (cluster: SimulatedCluster) => cluster.trace.filter((l) => l.includes('kills'));

for (const seconds of [0.9, 6, 16, 19, 25, 45]) {
  test(`the owner stands still for ${seconds} s: nothing runs twice or after its cancellation, no machine is thrown away`, () => {
    const cluster = smallCluster(8);
    cluster.submit(job('run-v', { shape: 'service', tasks: 2, priority: 3, jobClass: 'serve' }));
    cluster.submit(job('run-c', { tasks: 3, estimatedRunS: 500 }));
    cluster.runUntil('running', () => cluster.runningTasks('run-v') === 2 && cluster.runningTasks('run-c') === 3);
    const owner = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-v')));
    const other = cluster.controllers.find((node) => node !== owner);
    assert.ok(other);
    // Decided just before: starts and a write are under way when it stops.
    cluster.submit(job('run-w', { tasks: 4, estimatedRunS: 4 }));
    owner.pause();
    cluster.cancel('run-c', other);
    cluster.submit(job('run-x', { tasks: 4, estimatedRunS: 4 }), other);
    cluster.run(seconds);
    owner.resume();
    cluster.runUntil('the cancelled job is gone', () => cluster.machinesRunning('run-c').length === 0, 36);
    cluster.runUntil('the rest is done', () => cluster.finished.size === 8, 60);
    cluster.run(20);
    assert.equal(cluster.runningTasks('run-v'), 2);
    assert.deepEqual(dead(cluster), [], 'it did not hold its own sleep against the machines');
    assert.deepEqual(killed(cluster), [], 'the others answered the workers');
    assert.equal(cluster.queryStatus('run-c'), 'aborted');
    if (seconds === 25) assertGoldenTrace(cluster, 'owner-stands-still');
  });
}

test('what came while the owner stood still is lost: it asks its machines, and throws none away', () => {
  const cluster = smallCluster(8);
  cluster.submit(job('run-v', { shape: 'service', tasks: 2, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-v') === 2);
  const owner = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-v')));
  owner.pause();
  cluster.run(16);
  owner.resume(true);
  cluster.run(20);
  assert.deepEqual(dead(cluster), []);
  assert.equal(cluster.runningTasks('run-v'), 2);
});

test('a machine that was silent for a moment, and then while its owner stood still, is not given up', () => {
  const cluster = smallCluster(12);
  cluster.submit(job('run-v', { shape: 'service', tasks: 2, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-v') === 2);
  const owner = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-v')));
  const mine = [...owner.controller.clusterState.machines.values()].filter(
    (machine) => machine.shard === shardOf(cluster, 'run-v'),
  );
  const w = cluster.workers.find(
    (x) => mine.some((machine) => machine.name === x.name) && !cluster.machinesRunning('run-v').includes(x.name),
  );
  assert.ok(w);
  w.hung = true;
  cluster.run(3);
  cluster.submit(job('run-k', { tasks: 2, estimatedRunS: 60 }));
  cluster.runUntil(
    'a command is under way',
    () => mine.some((machine) => machine.name !== w.name && machine.tenure.pendingCommandId !== null),
    5,
  );
  owner.pause();
  cluster.run(6.5);
  owner.resume();
  cluster.run(1);
  w.hung = false;
  cluster.run(10);
  assert.deepEqual(dead(cluster), []);
});

test('nothing is started after a pause before what is new has been read', () => {
  const cluster = smallCluster(2);
  cluster.submit(job('run-a', { tasks: 4, estimatedRunS: 4 }));
  cluster.runUntil('full', () => cluster.runningTasks('run-a') === 4);
  cluster.submit(job('run-z', { tasks: 4, estimatedRunS: 4 }));
  cluster.run(0.5);
  const owner = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-z')));
  const other = cluster.controllers.find((node) => node !== owner);
  assert.ok(other);
  owner.pause();
  cluster.cancel('run-z', other);
  cluster.run(6);
  // It goes on with room for the cancelled job and old news of it; the state service is slow.
  owner.isRefusedByStateService = true;
  owner.resume();
  cluster.run(6);
  owner.isRefusedByStateService = false;
  cluster.run(10);
  assert.equal(cluster.finished.size, 4);
  assert.ok(!cluster.trace.some((l) => l.includes('starts run-z')));
});

test('after standing still, the lead and owner takes no share back by force, and gets its own once at rest', () => {
  const cluster = smallCluster(8);
  const lead = cluster.controller(holderOf(cluster, 2));
  const revision = () => cluster.controllers[0]?.controller.clusterState.leaseOf(2)?.revision;
  lead.pause();
  cluster.runUntil(
    'taken over',
    () => !['', lead.name].includes(cluster.controllers[0]?.controller.clusterState.leaseOf(2)?.holder.controller ?? ''),
    40,
  );
  const during = revision();
  lead.resume();
  cluster.run(1);
  assert.equal(revision(), during, 'no fight for it');
  cluster.runUntil('home again', () => holderOf(cluster, 2) === lead.name, 40);
  const home = revision();
  cluster.run(20);
  assert.equal(revision(), home);
  assert.deepEqual(dead(cluster), []);
});

test('all controllers stand still for longer than a cancellation has: what was cancelled before is not started after', () => {
  const cluster = smallCluster(6);
  cluster.submit(job('run-s', { shape: 'service', tasks: 2, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('running', () => cluster.runningTasks('run-s') === 2);
  const owner = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-s')));
  const other = cluster.controllers.find((node) => node !== owner);
  assert.ok(other);
  owner.pause();
  cluster.submit(job('run-l', { tasks: 4, estimatedRunS: 5 }), other);
  cluster.cancel('run-l', other);
  for (const node of cluster.controllers) if (!node.isPaused) node.pause();
  cluster.run(45);
  for (const node of cluster.controllers) node.resume();
  cluster.run(40);
  assert.ok(!cluster.trace.some((l) => l.includes('starts run-l')));
  cluster.runUntil('the service runs again', () => cluster.runningTasks('run-s') === 2, 60);
});

test('jobs that fail everywhere cost no machine, no room and no rental; they stay known, and a faulty machine is still found', () => {
  const cluster = smallCluster(9);
  const ids = ['run-b0', 'run-b1', 'run-b2', 'run-b3', 'run-b4', 'run-b5'];
  for (const id of ids) {
    cluster.mistaken.add(id);
    cluster.submit(job(id, { tasks: id === 'run-b0' ? 30 : 1, estimatedRunS: 5 }));
  }
  cluster.run(30);
  assert.deepEqual(dead(cluster), [], 'no healthy machine is put aside');
  for (const node of cluster.controllers)
    for (const machine of node.controller.clusterState.machines.values()) assert.equal(machine.failedJobs.size, 0, 'nor blamed');
  const tried = new Set(cluster.trace.filter((l) => l.includes('starts run-b0/')).map((l) => l.split('/')[1]));
  assert.equal(tried.size, 30, 'each of its tasks was tried');
  const shard = shardOf(cluster, 'run-b0');
  const told = cluster.controller(holderOf(cluster, shard)).controller.shardController.shardSummary(shard, cluster.now + 1000);
  assert.deepEqual(told.demands, [], 'nothing is rented or moved for them');
  for (const id of ids) {
    const said: Record<string, unknown>[] = [];
    cluster.controllers[0]?.queryStatus(id, (_status, body) => said.push(body));
    cluster.runUntil('answered', () => said.length === 1, 6);
    assert.ok(said[0]?.status === 'queued' || said[0]?.status === 'running');
    assert.ok(Number(said[0]?.failed) >= 3 && String(said[0]?.note).includes('every machine'));
  }
  const before = cluster.trace.length;
  cluster.submit(job('run-ok', { tasks: 18, estimatedRunS: 3 }));
  cluster.runUntil('healthy work is not held up', () => cluster.finished.size === 18, 20);
  cluster.run(10);
  assert.ok(cluster.trace.slice(before).filter((l) => l.includes('starts run-b')).length < 20, 'they are tried now and then');
  const bad = cluster.workers[0];
  assert.ok(bad);
  bad.fails = true;
  for (let index = 0; index < 4; index++) cluster.submit(job(`run-h${index}`, { tasks: 8, estimatedRunS: 3 }));
  cluster.runUntil('all done', () => cluster.finished.size === 18 + 32, 90);
  assert.deepEqual(dead(cluster), [bad.name]);
  for (const id of ids) cluster.cancel(id);
  cluster.run(5);
  for (const id of ids) assert.equal(cluster.queryStatus(id), 'aborted');
});

test('what a job that fails everywhere cast on machines is taken back', () => {
  const cluster = smallCluster(3);
  cluster.mistaken.add('run-b');
  cluster.submit(job('run-b', { tasks: 6, estimatedRunS: 3 }));
  cluster.run(8);
  cluster.submit(job('run-good', { tasks: 12, estimatedRunS: 3 }));
  cluster.runUntil('some done', () => cluster.finished.size >= 4, 30);
  cluster.run(1);
  const w = cluster.workers.find((x) => [...x.tasks.values()].some((t) => t.job === 'run-good' && t.state === 'running'));
  assert.ok(w);
  w.fails = true;
  cluster.run(0.1);
  w.fails = false;
  cluster.runUntil('done', () => cluster.finished.size === 12, 60);
  assert.deepEqual(dead(cluster), [], 'one failure of a good job is no proof');
});

test('a job that failed on faulty machines only recovers', () => {
  const cluster = smallCluster(8);
  for (const w of cluster.workers.slice(0, 4)) w.fails = true;
  cluster.submit(job('run-r', { tasks: 8, estimatedRunS: 3 }));
  cluster.run(8);
  for (const w of cluster.workers) w.fails = false;
  cluster.runUntil('done', () => cluster.queryStatus('run-r') === 'done', 90);
});

const withGuest = (settings: ControllerSettings): ControllerSettings => ({
  ...settings,
  teams: [...settings.teams, { name: 'guest', cpus: 0, maxCpus: 0, gpus: 0, maxGpus: 0 }],
});

test('a swarm of a guest team uses what is idle and gives way at once; its changes are few', () => {
  const cluster = new SimulatedCluster(['n0', 'n1', 'n2'], withGuest);
  for (let index = 0; index < 12; index++) cluster.machine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.runUntilSettled();
  const changes = () => [...cluster.changes.values()].reduce((a, count) => a + count, 0);
  const before = changes();
  const guests = Array.from({ length: 60 }, (_, index) => `run-g${index}`);
  for (const id of guests) cluster.submit(job(id, { team: 'guest', priority: 0, cpus: 1, memory: 2, estimatedRunS: 8 }));
  cluster.submit(job('run-first', { team: 'red', shape: 'service', tasks: 4, priority: 3, jobClass: 'serve' }));
  cluster.runUntil('others do not wait', () => cluster.runningTasks('run-first') === 4, 8);
  cluster.runUntil('the guests are served', () => guests.every((id) => cluster.finished.has(`${id}/0`)), 120);
  cluster.run(5);
  for (const id of guests) assert.equal(cluster.queryStatus(id), 'done');
  assert.ok(changes() - before < guests.length * 2.5 + 150, `${changes() - before} changes for ${guests.length} jobs`);
});

test('a guest is within no guarantee: its gangs stop none of equal rank, not even above their guarantee', () => {
  const cluster = new SimulatedCluster(['n0', 'n1', 'n2'], withGuest);
  cluster.machine('g0', 'big', 'east');
  cluster.machine('g1', 'big', 'east');
  cluster.runUntilSettled();
  const train = { shape: 'gang' as const, gpus: 8, cpus: 40, memory: 100, estimatedRunS: 200, priority: 1 };
  cluster.submit(job('run-0', { ...train, team: 'red' }));
  cluster.submit(job('run-1', { ...train, team: 'red' }));
  cluster.runUntil('both run', () => cluster.runningTasks('run-0') + cluster.runningTasks('run-1') === 2, 40);
  cluster.submit(job('run-guest', { ...train, team: 'guest' }));
  cluster.run(60);
  assert.equal(cluster.runningTasks('run-0') + cluster.runningTasks('run-1'), 2);
});

test('for work of the lowest rank only what is cheap is rented, and nothing dear ever', () => {
  const cluster = new SimulatedCluster(['n0', 'n1', 'n2'], (settings) => ({
    ...withGuest(settings),
    policy: { ...settings.policy, holdSpareCapacity: false, maxMachines: null },
  }));
  for (let index = 0; index < 3; index++) cluster.machine(`m${index}`, 'small', 'east');
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

test('a machine is late by what its type took lately, and a kind that never comes up is told', () => {
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

test('machines with short tasks of the lowest rank are told of several at once', () => {
  const cluster = new SimulatedCluster(['n0', 'n1', 'n2'], withGuest);
  for (let index = 0; index < 6; index++) cluster.machine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.runUntilSettled();
  cluster.submit(job('run-tiles', { team: 'guest', priority: 0, tasks: 2000, cpus: 0.5, memory: 1, estimatedRunS: 0.7 }));
  cluster.run(10);
  const before = cluster.commands;
  const done = cluster.finished.size;
  cluster.run(20);
  assert.ok(cluster.finished.size - done > 200, 'they are served');
  assert.ok(cluster.commands - before <= 6 * 20 * 1.1, `${cluster.commands - before} commands`);
});

test('a storm of questions costs one reading, and everybody is answered', () => {
  const cluster = smallCluster(4);
  for (let index = 0; index < 10; index++) cluster.submit(job(`run-${index}`, { tasks: 1, estimatedRunS: 600 }));
  cluster.run(5);
  const node = cluster.controllers[1];
  assert.ok(node);
  const said = new Map<string, number>();
  for (let index = 0; index < 1000; index++) {
    const id = index < 990 ? `run-${index % 10}` : `run-none-${index}`;
    node.queryStatus(id, (status) => said.set(`${id} ${status}`, (said.get(`${id} ${status}`) ?? 0) + 1));
  }
  cluster.run(1);
  for (let index = 0; index < 10; index++) assert.equal(said.get(`run-${index} 200`), 99);
  assert.equal([...said.keys()].filter((k) => k.endsWith(' 404')).length, 10);
});

test('what is refused in a storm is fair: no job goes unanswered for long, and no submission pays for it', () => {
  let now = 0;
  const door = new LoadShedder(() => now);
  const last = new Map<string, number>();
  let asked = 0;
  let answered = 0;
  let longest = 0;
  for (now = 0; now < 120_000; now += 10) {
    // Timers are somewhat late all the while, and far too late for a while.
    if (now % 100 === 0) door.recordTimerDelay(now > 40_000 && now < 60_000 ? 900 : 250);
    const id = `run-${(now / 10) % 100}`;
    asked++;
    if (door.admitStatusQuery(id)) {
      answered++;
      door.recordAnswered(id);
      longest = Math.max(longest, now - (last.get(id) ?? 0));
      last.set(id, now);
    }
    if (now < 40_000) assert.ok(door.admitMutation());
  }
  assert.ok(answered < asked / 3, `${answered} of ${asked} answered`);
  assert.equal(last.size, 100);
  assert.ok(longest < 35_000, `a job went without an answer for ${longest} ms`);
});
