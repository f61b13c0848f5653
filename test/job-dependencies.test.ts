// Dependencies between jobs: when a job may start, and how a cancellation reaches all dependent jobs.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encodeJobSpec } from '@archpost/controller';
import { type JobSpec, parseSubmission } from '@archpost/protocol';
import { RandomizedSimulation } from './randomized/randomized-simulation.js';
import {
  assertGoldenTrace,
  holderOf,
  job,
  type SimulatedCluster,
  type SimulatedController,
  shardOf,
  smallCluster,
} from './simulation/index.js';

const submission = (awaits: unknown) => ({
  ref: 'run-last',
  jobclass: 'batch',
  crew: 'red',
  shape: 'sweep',
  rank: 'standard',
  pieces: 1,
  cores: 1,
  accelerators: 0,
  memory_gb: 1,
  bundle: 'img',
  size_gb: 1,
  one_zone: false,
  spread: false,
  loaners: false,
  guess_s: 5,
  snapshot_s: 0,
  stow_s: 0,
  awaits,
});

test('awaits is a list of job ids without duplicates; absent, null and empty mean the same; an invalid entry is named', () => {
  for (const empty of [undefined, null, []]) {
    const parsed = parseSubmission(submission(empty));
    assert.ok('spec' in parsed);
    assert.deepEqual(parsed.awaits, []);
  }
  const parsed = parseSubmission(submission(['run-a', 'run-b', 'run-a']));
  assert.ok('spec' in parsed);
  assert.deepEqual(parsed.awaits, ['run-a', 'run-b']);
  assert.deepEqual(parseSubmission(submission('run-a')), { field: 'awaits' });
  assert.deepEqual(parseSubmission(submission(['run-a', 'walk-b'])), { field: 'awaits.1' });
  assert.deepEqual(parseSubmission(submission([7])), { field: 'awaits.0' });
});

/** Submits jobs that each depend on the one before. */
function submitChain(cluster: SimulatedCluster, ids: string[], options: Parameters<typeof job>[1] = {}): void {
  ids.forEach((id, index) => {
    cluster.submit(
      job(id, { estimatedRunS: 3, ...options }),
      cluster.controllers[index % cluster.controllers.length],
      index === 0 ? [] : [ids[index - 1] as string],
    );
  });
}

// The simulation rule `too_early` is checked at each start: no job may start before the end of its dependency is stored.
test('a chain of jobs runs in order, also when a holder of one of their shards crashes', () => {
  const cluster = smallCluster(6);
  submitChain(cluster, ['run-1', 'run-2', 'run-3'], { tasks: 3 });
  cluster.runUntil('the first is done', () => cluster.allTasksDone('run-1'), 40);
  const holder = holderOf(cluster, shardOf(cluster, 'run-2'));
  cluster.controller(holder).crash();
  cluster.runUntil('the last is done', () => cluster.allTasksDone('run-3'), 120);
  cluster.controller(holder).restart();
  cluster.run(15);
  for (const id of ['run-1', 'run-2', 'run-3'])
    for (const node of cluster.controllers) assert.equal(cluster.queryStatus(id, node), 'done');
  assertGoldenTrace(cluster, 'chain-over-a-failover');
});

/** Submits a job to one controller and returns the status code of the response. */
function submitTo(
  cluster: SimulatedCluster,
  id: string,
  awaits: string[],
  node = cluster.controllers[0] as SimulatedController,
): number {
  const spec = job(id);
  cluster.specs.set(id, spec);
  cluster.awaits.set(id, awaits);
  let status = 0;
  node.submit(spec, (code) => {
    status = code;
  });
  cluster.runUntil(`${id} answered`, () => status !== 0, 6);
  return status;
}

test('a job that depends on itself or on a job never accepted is refused, based on a read that began after the request', () => {
  const cluster = smallCluster(4);
  assert.equal(submitTo(cluster, 'run-self', ['run-self']), 422);
  assert.equal(submitTo(cluster, 'run-x', ['run-never']), 422);
  // The dependency was just accepted by another controller and isn't in this one's replica: it waits for the read.
  const [first, second] = cluster.controllers as [SimulatedController, SimulatedController];
  first.isWatchLagging = true;
  cluster.submit(job('run-new'), second);
  let status = 0;
  cluster.specs.set('run-y', job('run-y'));
  cluster.awaits.set('run-y', ['run-new']);
  first.submit(job('run-y'), (code) => {
    status = code;
  });
  cluster.run(0.5);
  assert.equal(status, 0, 'not decided by the stale replica');
  first.isWatchLagging = false;
  cluster.run(0.5);
  assert.equal(status, 201);
  // Without a read no job is refused for good: the user has to retry.
  first.isWatchLagging = true;
  assert.equal(submitTo(cluster, 'run-z', ['run-unread'], first), 503);
});

test('a cancellation reaches all dependent jobs, at every controller, with one stored change', () => {
  const cluster = smallCluster(6);
  submitChain(
    cluster,
    Array.from({ length: 40 }, (_, index) => `run-${index}`),
    { estimatedRunS: 300 },
  );
  cluster.run(2);
  const changesBefore = cluster.changes.get('j') ?? 0;
  cluster.cancel('run-0');
  cluster.run(1);
  assert.equal((cluster.changes.get('j') ?? 0) - changesBefore, 1);
  for (const node of cluster.controllers)
    for (const id of ['run-1', 'run-20', 'run-39']) assert.equal(cluster.queryStatus(id, node), 'aborted');
  // A controller that restarts derives the same states, and no job returns to an earlier state.
  cluster.controller('n1').crash();
  cluster.controller('n1').restart();
  cluster.run(20);
  assert.equal(cluster.queryStatus('run-39', cluster.controller('n1')), 'aborted');
  cluster.cancel('run-39', cluster.controller('n1'));
  assert.equal(cluster.machinesRunning('run-39').length, 0);
});

test('a job submitted after the cancellation of its dependency is accepted, and cancelled', () => {
  const cluster = smallCluster(4);
  cluster.submit(job('run-a'));
  cluster.cancel('run-a');
  assert.equal(submitTo(cluster, 'run-b', ['run-a'], cluster.controllers[2]), 201);
  cluster.run(1);
  assert.equal(cluster.queryStatus('run-b'), 'aborted');
});

// The cancellation arrives as the last task ends: one stored record decides, and all dependent jobs follow it.
test('a cancellation that is answered with done does not stop dependent jobs', () => {
  const cluster = smallCluster(6);
  cluster.submit(job('run-a', { estimatedRunS: 2 }));
  cluster.submit(job('run-b', { estimatedRunS: 2 }), cluster.controllers[1], ['run-a']);
  cluster.runUntil('done', () => cluster.allTasksDone('run-a'), 40);
  cluster.runUntil('its end is stored', () => cluster.queryStatus('run-a') === 'done', 10);
  cluster.cancel('run-a');
  cluster.runUntil('the dependent job is done', () => cluster.allTasksDone('run-b'), 40);
  cluster.run(2);
  assert.equal(cluster.queryStatus('run-b'), 'done');
});

test('a cancellation arrives at any moment around the end of the last task: all dependent jobs agree with its response', () => {
  const answers = new Set<string>();
  for (let offset = 0; offset <= 2000; offset += 100) {
    const cluster = smallCluster(4);
    cluster.submit(job('run-a', { estimatedRunS: 2 }));
    cluster.submit(job('run-b', { estimatedRunS: 1, team: 'blue' }), cluster.controllers[1], ['run-a']);
    cluster.submit(job('run-c', { estimatedRunS: 1, team: 'green' }), cluster.controllers[2], ['run-b']);
    cluster.runUntil('running', () => cluster.runningTasks('run-a') === 1, 10);
    cluster.run(1.2 + offset / 1000);
    let answer = '';
    cluster.controllers[2]?.cancel('run-a', (_status, body) => {
      answer = String(body.status);
    });
    cluster.runUntil('answered', () => answer !== '', 6);
    answers.add(answer);
    cluster.run(12);
    for (const node of cluster.controllers)
      for (const id of ['run-a', 'run-b', 'run-c']) assert.equal(cluster.queryStatus(id, node), answer);
    assert.equal(cluster.allTasksDone('run-c'), answer === 'done');
  }
  assert.deepEqual([...answers].sort(), ['aborted', 'done']);
});

// No controller can read the cancellation meanwhile, and none may start a job that it stops or report it as queued.
test('a cancellation just before an outage that is longer than the cancellation limit reaches all dependent jobs', () => {
  const cluster = smallCluster(4);
  cluster.submit(job('run-a', { estimatedRunS: 2 }));
  cluster.submit(job('run-b', { estimatedRunS: 1, team: 'blue' }), undefined, ['run-a']);
  const [first, second] = cluster.controllers as [SimulatedController, SimulatedController];
  second.isWatchLagging = true;
  cluster.cancel('run-a', first);
  cluster.isStateServiceDown = true;
  cluster.run(50);
  assert.equal(cluster.machinesRunning('run-b').length, 0);
  cluster.isStateServiceDown = false;
  second.isWatchLagging = false;
  cluster.run(3);
  for (const node of cluster.controllers) assert.equal(cluster.queryStatus('run-b', node), 'aborted');
});

test('the last job of a diamond of dependencies starts after both sides, and is cancelled with either', () => {
  const cluster = smallCluster(8);
  const submitDiamond = (prefix: string) => {
    cluster.submit(job(`run-${prefix}0`, { estimatedRunS: 2 }));
    cluster.submit(job(`run-${prefix}1`, { team: 'blue', estimatedRunS: 3 }), cluster.controllers[1], [`run-${prefix}0`]);
    cluster.submit(job(`run-${prefix}2`, { team: 'green', estimatedRunS: 9 }), cluster.controllers[2], [`run-${prefix}0`]);
    cluster.submit(job(`run-${prefix}3`, { estimatedRunS: 2 }), cluster.controllers[0], [`run-${prefix}1`, `run-${prefix}2`]);
  };
  submitDiamond('a');
  cluster.runUntil('the last is done', () => cluster.allTasksDone('run-a3'), 60);
  submitDiamond('b');
  cluster.runUntil('one side is done', () => cluster.allTasksDone('run-b1'), 40);
  cluster.run(2);
  cluster.cancel('run-b2');
  cluster.run(2);
  assert.equal(cluster.queryStatus('run-b3'), 'aborted');
  assert.equal(cluster.queryStatus('run-b1'), 'done');
});

test('a stored dependency list that cannot be read blocks only its own job', () => {
  const cluster = smallCluster(4);
  const conditions = { type: 'compareAndSwap' as const, id: 0, conditions: [] };
  const encodedSpec = (id: string) => {
    cluster.specs.set(id, job(id));
    return encodeJobSpec(job(id));
  };
  const records: [string, unknown][] = [
    ['a/j/run-odd', { s: 3, t: 0, sp: encodedSpec('run-odd'), aw: 'run-a' }],
    ['a/j/run-odder', { s: 3, t: 0, sp: encodedSpec('run-odder'), aw: [], x: { k: 5 } }],
    // Two jobs of a cycle, which no submission can create.
    ['a/j/run-p', { s: 3, t: 0, sp: encodedSpec('run-p'), aw: ['run-q'] }],
    ['a/j/run-q', { s: 3, t: 0, sp: { ...encodedSpec('run-q'), rank: 2, deadlineS: 9 }, aw: ['run-p'] }],
    // A record of a later version, with additional fields.
    ['a/j/run-new', { s: 0, t: 0, sp: { ...encodedSpec('run-new'), colour: 'red' }, future: true }],
  ];
  for (const [put, value] of records)
    cluster.stateService.compareAndSwap({ ...conditions, writes: [{ put, value }] }, cluster.now);
  cluster.runUntil('another job runs', () => cluster.allTasksDone('run-new'), 40);
  for (const id of ['run-odd', 'run-odder', 'run-p', 'run-q']) assert.equal(cluster.queryStatus(id), 'queued');
  cluster.cancel('run-q');
  cluster.cancel('run-odd');
  cluster.run(1);
  for (const id of ['run-odd', 'run-p', 'run-q']) assert.equal(cluster.queryStatus(id), 'aborted');
});

// The end of a job and a submission may cost time in proportion to their edges, not to the number of jobs. The test sets no time
// limit, but with a cost that grew with the product of both it would not end.
test('3,000 jobs that depend on one job, and a chain of 500 behind one of them, are blocked and then cancelled with it', () => {
  const cluster = smallCluster(4);
  const first = cluster.controllers[0] as SimulatedController;
  cluster.submit(job('run-root', { estimatedRunS: 60 }));
  const conditions = { type: 'compareAndSwap' as const, id: 0, conditions: [] };
  const dependents = Array.from({ length: 3000 }, (_, index) => {
    const id = `run-w${index}`;
    cluster.specs.set(id, job(id, { priority: index === 2999 ? 2 : 0 }));
    return { put: `a/j/${id}`, value: { s: 3, t: 0, sp: encodeJobSpec(cluster.specs.get(id) as JobSpec), aw: ['run-root'] } };
  });
  const chain = Array.from({ length: 500 }, (_, index) => {
    const id = `run-c${index}`;
    cluster.specs.set(id, job(id));
    return {
      put: `a/j/${id}`,
      value: {
        s: 3,
        t: 0,
        sp: encodeJobSpec(cluster.specs.get(id) as JobSpec),
        aw: [index === 0 ? 'run-w0' : `run-c${index - 1}`],
      },
    };
  });
  cluster.stateService.compareAndSwap({ ...conditions, writes: [...chain, ...dependents] }, cluster.now);
  cluster.run(1);
  assert.equal(first.controller.clusterState.jobs.get('run-root')?.priority, 2);
  assert.equal(first.controller.clusterState.jobs.get('run-c499')?.isBlocked, true);
  cluster.cancel('run-root');
  cluster.run(1);
  assert.equal(cluster.queryStatus('run-c499'), 'aborted');
  assert.equal(first.controller.clusterState.jobs.size, 0);
});

/** A longer run by hand: WALKS=500 npm test. */
test('seeded random simulations with chains of jobs: no job starts too early, and no task of a cancelled job is left', () => {
  for (let seed = 1; seed <= Number(process.env.WALKS ?? 8); seed++) {
    try {
      new RandomizedSimulation(seed, { pipelines: true }).run(120);
    } catch (e) {
      assert.fail(`seed ${seed}: ${e instanceof Error ? e.message : e}`);
    }
  }
});
