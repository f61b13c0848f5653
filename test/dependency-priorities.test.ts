// What a blocked job takes of quota and capacity, and the priority and deadline that it inherits.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Controller, encodeJobSpec, type Job } from '@archpost/controller';
import type { JobSpec } from '@archpost/protocol';
import { Random } from './randomized/random.js';
import { holderOf, job, SimulatedCluster, settings, shardOf, smallCluster } from './simulation/index.js';

/** What the jobs that need it give to a job, worked out by the definition alone. */
function inherited(id: string, specs: Map<string, JobSpec>, awaits: Map<string, string[]>): { rank: number; endBy: number } {
  const spec = specs.get(id) as JobSpec;
  let priority = spec.priority;
  let endBy = spec.deadlineS === null ? Number.POSITIVE_INFINITY : spec.deadlineS * 1000;
  for (const [other, names] of awaits) {
    if (!names.includes(id)) continue;
    const from = inherited(other, specs, awaits);
    const { estimatedRunS: estimateS, imageSizeGb: imageGb } = specs.get(other) as JobSpec;
    priority = Math.max(priority, from.rank);
    endBy = Math.min(endBy, from.endBy - (estimateS + imageGb) * 1000);
  }
  return { rank: priority, endBy };
}

// Edges that come raise what is inherited step by step, those that go are worked out anew: both must agree with the definition.
test('inherited priorities and deadlines are what the definition says, in any order and after cancellations', () => {
  for (let seed = 1; seed <= 30; seed++) {
    const random = new Random(seed);
    const specs = new Map<string, JobSpec>();
    const awaits = new Map<string, string[]>();
    for (let index = 0; index < 14; index++) {
      const id = `run-${index}`;
      const deadlineS = random.isUnder(0.4) ? 100 + random.below(900) : null;
      specs.set(id, job(id, { priority: random.below(4), estimatedRunS: 1 + random.below(60), deadlineS }));
      const names = Array.from({ length: Math.min(index, random.below(4)) }, () => `run-${random.below(index)}`);
      awaits.set(id, [...new Set(names)]);
    }
    const core = new Controller(settings('n0'), 'boot');
    const order = [...specs.keys()].sort(() => random.next() - 0.5);
    order.forEach((id, index) => {
      core.replica.set(`a/j/${id}`, { s: 3, t: 0, sp: encodeJobSpec(specs.get(id) as JobSpec), aw: awaits.get(id) }, index + 1);
    });
    // One that others may need, and one that nobody does.
    for (const [index, gone] of [`run-${random.below(14)}`, 'run-13'].entries())
      core.replica.set(`a/j/${gone}`, { s: 2, t: 0, sp: encodeJobSpec(specs.get(gone) as JobSpec) }, 100 + index);
    for (const [id, state] of core.clusterState.finishedJobs) if (state === 'cancelled') awaits.delete(id);
    for (const id of awaits.keys()) {
      const { priority, effectiveDeadlineAt: endBy } = core.clusterState.jobs.get(id) as Job;
      assert.deepEqual({ rank: priority, endBy }, inherited(id, specs, awaits), `seed ${seed}: ${id}`);
    }
  }
});

test('a job takes the highest priority and the earliest latest start of those that need it, and gives them back', () => {
  const cluster = smallCluster(4);
  cluster.submit(job('run-long', { priority: 0, estimatedRunS: 500, tasks: 9 }));
  cluster.submit(job('run-1', { priority: 0, estimatedRunS: 100 }), cluster.controllers[0], ['run-long']);
  cluster.submit(job('run-2', { priority: 1, estimatedRunS: 50, team: 'blue' }), cluster.controllers[1], ['run-1']);
  cluster.submit(job('run-3', { priority: 2, estimatedRunS: 10, deadlineS: 400 }), cluster.controllers[2], ['run-2', 'run-1']);
  const submitted = cluster.now;
  cluster.run(1);
  for (const node of cluster.controllers) {
    const first = node.controller.clusterState.jobs.get('run-1');
    assert.equal(first?.priority, 2);
    // 400 s, less 10 and 1 of the last and 50 and 1 of the one before, each with its image.
    assert.ok(
      Math.abs((first?.effectiveDeadlineAt ?? 0) - (submitted + 338_000)) < 500,
      `${(first?.effectiveDeadlineAt ?? 0) - submitted}`,
    );
  }
  cluster.cancel('run-3');
  cluster.run(1);
  for (const node of cluster.controllers) {
    assert.equal(node.controller.clusterState.jobs.get('run-1')?.priority, 1);
    assert.equal(node.controller.clusterState.jobs.get('run-1')?.effectiveDeadlineAt, Number.POSITIVE_INFINITY);
  }
});

// Objectives, the wait of the oldest gangs and what is put off count from then, not from the submission.
test('the times of a job count from the end of the last one that it needs, also at a controller that begins again', () => {
  const cluster = smallCluster(4);
  cluster.submit(job('run-first', { estimatedRunS: 40 }));
  cluster.submit(job('run-busy', { team: 'blue', tasks: 7, cpus: 3, memory: 14, estimatedRunS: 300 }));
  cluster.submit(job('run-next', { machineTypes: ['big'] }), undefined, ['run-first']);
  cluster.runUntil('the first is done', () => cluster.queryStatus('run-first') === 'done', 80);
  const ended = cluster.now;
  cluster.run(1);
  cluster.controller('n1').crash();
  cluster.run(20);
  cluster.controller('n1').restart();
  cluster.run(5);
  for (const node of cluster.controllers) {
    const at = node.controller.clusterState.jobs.get('run-next')?.eligibleAt ?? 0;
    assert.ok(Math.abs(at - ended) < 2500, `${node.name}: ${at - ended} ms apart`);
  }
});

test('a blocked job takes no part of a quota, demands no machine and is started when its time comes', () => {
  const cluster = new SimulatedCluster();
  for (let index = 0; index < 2; index++) cluster.addMachine(`g${index}`, 'big', 'east');
  cluster.runUntilSettled();
  cluster.submit(job('run-first', { estimatedRunS: 20 }));
  // Eight accelerators are guaranteed to the team: were this job counted, the next would be beyond them.
  cluster.submit(job('run-waits', { gpus: 8, shape: 'gang' }), cluster.controllers[0], ['run-first']);
  cluster.submit(job('run-now', { gpus: 8, shape: 'gang', estimatedRunS: 300 }));
  cluster.run(3);
  const owner = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-now')));
  const wanted = owner.controller.shardController.shardSummary(shardOf(cluster, 'run-now'), cluster.now).demands;
  assert.deepEqual(wanted, []);
  assert.equal(cluster.runningTasks('run-now'), 1);
  assert.equal(cluster.queryStatus('run-waits'), 'queued');
  cluster.runUntil('started', () => cluster.runningTasks('run-waits') === 1, 60);
});

test('work goes by the inherited priority and the inherited latest start', () => {
  const cluster = new SimulatedCluster(['n0']);
  cluster.addMachine('m0', 'small', 'east');
  cluster.runUntilSettled();
  const whole = { cpus: 4, memory: 16 };
  cluster.submit(job('run-busy', { ...whole, priority: 1, estimatedRunS: 500 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-busy') === 1, 10);
  // Both are of the lowest rank by themselves, and both are needed by urgent work; the later one sooner.
  for (const [name, deadlineS] of [
    ['relaxed', 300],
    ['pressed', 100],
  ] as const) {
    cluster.submit(job(`run-${name}`, { ...whole, priority: 0, estimatedRunS: 8 }));
    cluster.submit(job(`run-${name}-last`, { ...whole, priority: 2, deadlineS }), undefined, [`run-${name}`]);
  }
  cluster.runUntil('all is done', () => cluster.allTasksDone('run-relaxed-last') && cluster.allTasksDone('run-pressed-last'), 60);
  const started = (id: string) => cluster.trace.findIndex((line) => line.includes(`starts ${id}/`));
  assert.ok(started('run-pressed') < started('run-relaxed-last'));
  assert.ok(!cluster.allTasksDone('run-busy'), 'standard work gave way to what urgent work needs');
});

test('of two jobs that urgent work needs, the one whose dependent is due first comes first', () => {
  const cluster = new SimulatedCluster(['n0']);
  cluster.addMachine('m0', 'small', 'east');
  cluster.runUntilSettled();
  const whole = { cpus: 4, memory: 16, estimatedRunS: 8 };
  cluster.submit(job('run-busy', { ...whole, priority: 2 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-busy') === 1, 10);
  for (const [name, deadlineS] of [
    ['relaxed', 300],
    ['pressed', 100],
  ] as const) {
    cluster.submit(job(`run-${name}`, { ...whole, priority: 0 }));
    cluster.submit(job(`run-${name}-last`, { ...whole, priority: 2, deadlineS }), undefined, [`run-${name}`]);
  }
  cluster.runUntil(
    'one of them starts',
    () => cluster.machinesRunning('run-relaxed').length + cluster.machinesRunning('run-pressed').length > 0,
    30,
  );
  assert.equal(cluster.machinesRunning('run-pressed').length, 1);
});

test('a blocked job of the highest priority keeps no shard from its preferred holder, and reserves no machine', () => {
  const cluster = smallCluster(4);
  cluster.addMachine('g0', 'big', 'east');
  cluster.runUntilSettled();
  cluster.submit(job('run-first', { estimatedRunS: 300 }));
  cluster.submit(job('run-serve', { shape: 'service', priority: 3, gpus: 8, jobClass: 'serve' }), undefined, ['run-first']);
  cluster.run(2);
  const shard = shardOf(cluster, 'run-serve');
  assert.ok(cluster.controller(holderOf(cluster, shard)).controller.shardController.isSettled(shard));
  for (const node of cluster.controllers) assert.equal(node.controller.clusterState.gpuDemandByType.size, 0);
});

// Counted, it would put the team beyond its guarantee, and what comes after it could not preempt.
test("a blocked job takes nothing of its team's quota from work that can run", () => {
  const cluster = new SimulatedCluster(['n0']);
  for (let index = 0; index < 2; index++) cluster.addMachine(`g${index}`, 'big', 'east');
  cluster.runUntilSettled();
  const training = { shape: 'gang' as const, gpus: 8, cpus: 20, memory: 60, estimatedRunS: 300 };
  cluster.submit(job('run-first', { estimatedRunS: 200 }));
  cluster.submit(job('run-waits', training), undefined, ['run-first']);
  for (const id of ['run-blue0', 'run-blue1']) cluster.submit(job(id, { ...training, team: 'blue' }));
  cluster.runUntil(
    'both machines are taken',
    () => cluster.runningTasks('run-blue0') + cluster.runningTasks('run-blue1') === 2,
    20,
  );
  cluster.submit(job('run-now', training));
  cluster.runUntil('the job beyond its guarantee gave way', () => cluster.runningTasks('run-now') === 1, 30);
});

test('a job cancelled with one that it needs gives nothing to the others that it needed', () => {
  const cluster = smallCluster(4);
  cluster.submit(job('run-x', { priority: 0, estimatedRunS: 300 }));
  cluster.submit(job('run-y', { priority: 0, estimatedRunS: 300 }));
  cluster.submit(job('run-z', { priority: 2, deadlineS: 500 }), undefined, ['run-x', 'run-y']);
  cluster.run(1);
  assert.equal(cluster.controllers[0]?.controller.clusterState.jobs.get('run-x')?.priority, 2);
  cluster.cancel('run-y');
  cluster.run(1);
  for (const node of cluster.controllers) {
    assert.equal(node.controller.clusterState.jobs.get('run-x')?.priority, 0);
    assert.equal(node.controller.clusterState.jobs.get('run-x')?.effectiveDeadlineAt, Number.POSITIVE_INFINITY);
  }
});
