// Blocked jobs use no quota and no capacity; a job inherits priority and deadline from the jobs that depend on it.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Controller, encodeJobSpec, type Job } from '@archpost/controller';
import type { JobSpec } from '@archpost/protocol';
import { Random } from './randomized/random.js';
import { holderOf, job, SimulatedCluster, settings, shardOf, smallCluster } from './simulation/index.js';

/** The priority and the deadline that a job has with those of its dependents, computed from the definition alone. */
function effectiveLimits(
  id: string,
  specs: Map<string, JobSpec>,
  awaits: Map<string, string[]>,
): { priority: number; deadlineAt: number } {
  const spec = specs.get(id) as JobSpec;
  let priority = spec.priority;
  let deadlineAt = spec.deadlineS === null ? Number.POSITIVE_INFINITY : spec.deadlineS * 1000;
  for (const [dependentId, dependencyIds] of awaits) {
    if (!dependencyIds.includes(id)) continue;
    const dependent = effectiveLimits(dependentId, specs, awaits);
    const { estimatedRunS: estimateS, imageSizeGb: imageGb } = specs.get(dependentId) as JobSpec;
    priority = Math.max(priority, dependent.priority);
    deadlineAt = Math.min(deadlineAt, dependent.deadlineAt - (estimateS + imageGb) * 1000);
  }
  return { priority, deadlineAt };
}

// Added edges raise the inherited values incrementally, removed edges recompute them: both must agree with the definition.
test('inherited priorities and deadlines match the definition, in any order of arrival and after cancellations', () => {
  for (let seed = 1; seed <= 30; seed++) {
    const random = new Random(seed);
    const specs = new Map<string, JobSpec>();
    const awaits = new Map<string, string[]>();
    for (let index = 0; index < 14; index++) {
      const id = `run-${index}`;
      const deadlineS = random.isUnder(0.4) ? 100 + random.below(900) : null;
      specs.set(id, job(id, { priority: random.below(4), estimatedRunS: 1 + random.below(60), deadlineS }));
      const dependencyIds = Array.from({ length: Math.min(index, random.below(4)) }, () => `run-${random.below(index)}`);
      awaits.set(id, [...new Set(dependencyIds)]);
    }
    const controller = new Controller(settings('n0'), 'boot');
    const order = [...specs.keys()].sort(() => random.next() - 0.5);
    order.forEach((id, index) => {
      controller.replica.set(
        `a/j/${id}`,
        { s: 3, t: 0, sp: encodeJobSpec(specs.get(id) as JobSpec), aw: awaits.get(id) },
        index + 1,
      );
    });
    // Cancels one job that may have dependents, and one that has none.
    for (const [index, cancelledId] of [`run-${random.below(14)}`, 'run-13'].entries())
      controller.replica.set(
        `a/j/${cancelledId}`,
        { s: 2, t: 0, sp: encodeJobSpec(specs.get(cancelledId) as JobSpec) },
        100 + index,
      );
    for (const [id, state] of controller.clusterState.finishedJobs) if (state === 'cancelled') awaits.delete(id);
    for (const id of awaits.keys()) {
      const { priority, effectiveDeadlineAt: deadlineAt } = controller.clusterState.jobs.get(id) as Job;
      assert.deepEqual({ priority, deadlineAt }, effectiveLimits(id, specs, awaits), `seed ${seed}: ${id}`);
    }
  }
});

test('a job inherits the highest priority and the earliest deadline of its dependents, and loses them when the dependent is cancelled', () => {
  const cluster = smallCluster(4);
  cluster.submit(job('run-long', { priority: 0, estimatedRunS: 500, tasks: 9 }));
  cluster.submit(job('run-1', { priority: 0, estimatedRunS: 100 }), cluster.controllers[0], ['run-long']);
  cluster.submit(job('run-2', { priority: 1, estimatedRunS: 50, team: 'blue' }), cluster.controllers[1], ['run-1']);
  cluster.submit(job('run-3', { priority: 2, estimatedRunS: 10, deadlineS: 400 }), cluster.controllers[2], ['run-2', 'run-1']);
  const submittedAt = cluster.now;
  cluster.run(1);
  for (const node of cluster.controllers) {
    const first = node.controller.clusterState.jobs.get('run-1');
    assert.equal(first?.priority, 2);
    // 400 s, less 10 s and 50 s of the two dependents' estimated run times and 1 s for the image of each.
    assert.ok(
      Math.abs((first?.effectiveDeadlineAt ?? 0) - (submittedAt + 338_000)) < 500,
      `${(first?.effectiveDeadlineAt ?? 0) - submittedAt}`,
    );
  }
  cluster.cancel('run-3');
  cluster.run(1);
  for (const node of cluster.controllers) {
    assert.equal(node.controller.clusterState.jobs.get('run-1')?.priority, 1);
    assert.equal(node.controller.clusterState.jobs.get('run-1')?.effectiveDeadlineAt, Number.POSITIVE_INFINITY);
  }
});

// Objectives, the wait of the oldest gangs and deferrals count from then, not from the submission.
test('a job becomes eligible when its last dependency ends, also at a controller that restarts', () => {
  const cluster = smallCluster(4);
  cluster.submit(job('run-first', { estimatedRunS: 40 }));
  cluster.submit(job('run-busy', { team: 'blue', tasks: 7, cpus: 3, memory: 14, estimatedRunS: 300 }));
  cluster.submit(job('run-next', { machineTypes: ['big'] }), undefined, ['run-first']);
  cluster.runUntil('the first is done', () => cluster.queryStatus('run-first') === 'done', 80);
  const endedAt = cluster.now;
  cluster.run(1);
  cluster.controller('n1').crash();
  cluster.run(20);
  cluster.controller('n1').restart();
  cluster.run(5);
  for (const node of cluster.controllers) {
    const eligibleAt = node.controller.clusterState.jobs.get('run-next')?.eligibleAt ?? 0;
    assert.ok(Math.abs(eligibleAt - endedAt) < 2500, `${node.name}: ${eligibleAt - endedAt} ms apart`);
  }
});

test('a blocked job uses no quota, demands no machine and starts once its dependency is done', () => {
  const cluster = new SimulatedCluster();
  for (let index = 0; index < 2; index++) cluster.addMachine(`g${index}`, 'big', 'east');
  cluster.runUntilSettled();
  cluster.submit(job('run-first', { estimatedRunS: 20 }));
  // The team's guarantee is eight GPUs: if the blocked job counted, the next job would exceed it.
  cluster.submit(job('run-waits', { gpus: 8, shape: 'gang' }), cluster.controllers[0], ['run-first']);
  cluster.submit(job('run-now', { gpus: 8, shape: 'gang', estimatedRunS: 300 }));
  cluster.run(3);
  const owner = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-now')));
  const demands = owner.controller.shardController.shardSummary(shardOf(cluster, 'run-now'), cluster.now).demands;
  assert.deepEqual(demands, []);
  assert.equal(cluster.runningTasks('run-now'), 1);
  assert.equal(cluster.queryStatus('run-waits'), 'queued');
  cluster.runUntil('started', () => cluster.runningTasks('run-waits') === 1, 60);
});

test('work is ordered by inherited priority and inherited deadline', () => {
  const cluster = new SimulatedCluster(['n0']);
  cluster.addMachine('m0', 'small', 'east');
  cluster.runUntilSettled();
  const wholeMachine = { cpus: 4, memory: 16 };
  cluster.submit(job('run-busy', { ...wholeMachine, priority: 1, estimatedRunS: 500 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-busy') === 1, 10);
  // Both jobs have the lowest priority and an urgent dependent each; the dependent of the second has the earlier deadline.
  for (const [name, deadlineS] of [
    ['relaxed', 300],
    ['pressed', 100],
  ] as const) {
    cluster.submit(job(`run-${name}`, { ...wholeMachine, priority: 0, estimatedRunS: 8 }));
    cluster.submit(job(`run-${name}-last`, { ...wholeMachine, priority: 2, deadlineS }), undefined, [`run-${name}`]);
  }
  cluster.runUntil('all is done', () => cluster.allTasksDone('run-relaxed-last') && cluster.allTasksDone('run-pressed-last'), 60);
  const started = (id: string) => cluster.trace.findIndex((line) => line.includes(`starts ${id}/`));
  assert.ok(started('run-pressed') < started('run-relaxed-last'));
  assert.ok(!cluster.allTasksDone('run-busy'), 'standard work is preempted for a dependency of urgent work');
});

test('of two jobs with urgent dependents, the one whose dependent has the earlier deadline starts first', () => {
  const cluster = new SimulatedCluster(['n0']);
  cluster.addMachine('m0', 'small', 'east');
  cluster.runUntilSettled();
  const wholeMachine = { cpus: 4, memory: 16, estimatedRunS: 8 };
  cluster.submit(job('run-busy', { ...wholeMachine, priority: 2 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-busy') === 1, 10);
  for (const [name, deadlineS] of [
    ['relaxed', 300],
    ['pressed', 100],
  ] as const) {
    cluster.submit(job(`run-${name}`, { ...wholeMachine, priority: 0 }));
    cluster.submit(job(`run-${name}-last`, { ...wholeMachine, priority: 2, deadlineS }), undefined, [`run-${name}`]);
  }
  cluster.runUntil(
    'one of them starts',
    () => cluster.machinesRunning('run-relaxed').length + cluster.machinesRunning('run-pressed').length > 0,
    30,
  );
  assert.equal(cluster.machinesRunning('run-pressed').length, 1);
});

test('a blocked job of the highest priority does not delay the return of its shard to the preferred holder, and reserves no machine', () => {
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

// If the blocked job counted, the team would exceed its guarantee, and its next job could not preempt.
test("a blocked job uses none of its team's quota, so a job that can run preempts within the guarantee", () => {
  const cluster = new SimulatedCluster(['n0']);
  for (let index = 0; index < 2; index++) cluster.addMachine(`g${index}`, 'big', 'east');
  cluster.runUntilSettled();
  const training = { shape: 'gang' as const, gpus: 8, cpus: 20, memory: 60, estimatedRunS: 300 };
  cluster.submit(job('run-first', { estimatedRunS: 200 }));
  cluster.submit(job('run-waits', training), undefined, ['run-first']);
  for (const id of ['run-blue0', 'run-blue1']) cluster.submit(job(id, { ...training, team: 'blue' }));
  cluster.runUntil(
    'both machines are in use',
    () => cluster.runningTasks('run-blue0') + cluster.runningTasks('run-blue1') === 2,
    20,
  );
  cluster.submit(job('run-now', training));
  cluster.runUntil('a job beyond the guarantee is preempted', () => cluster.runningTasks('run-now') === 1, 30);
});

test('a job cancelled with one of its dependencies no longer raises the priority of the other dependencies', () => {
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
