// Dependencies between jobs: when a job may start, and how a cancellation reaches all that need it.

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

test('awaits: a list of job ids, each taken once; absent, null and empty are alike; what is wrong is named', () => {
  for (const none of [undefined, null, []]) {
    const parsed = parseSubmission(submission(none));
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

function chain(cluster: SimulatedCluster, ids: string[], over: Parameters<typeof job>[1] = {}): void {
  ids.forEach((id, index) => {
    cluster.submit(
      job(id, { estimatedRunS: 3, ...over }),
      cluster.controllers[index % cluster.controllers.length],
      index === 0 ? [] : [ids[index - 1] as string],
    );
  });
}

// too_early: a start before the end of the job awaited is stored. The cluster checks it at each start.
test('a chain runs in its order, over a failover of each shard', () => {
  const cluster = smallCluster(6);
  chain(cluster, ['run-1', 'run-2', 'run-3'], { tasks: 3 });
  cluster.runUntil('the first is done', () => cluster.allTasksDone('run-1'), 40);
  const holder = holderOf(cluster, shardOf(cluster, 'run-2'));
  cluster.controller(holder).crash();
  cluster.runUntil('the last is done', () => cluster.allTasksDone('run-3'), 120);
  cluster.controller(holder).restart();
  cluster.run(15);
  for (const id of ['run-1', 'run-2', 'run-3'])
    for (const node of cluster.controllers) assert.equal(cluster.queryStatus(id, node), 'done');
  assertGoldenTrace(cluster, 'chain-over-a-takeover');
});

/** Submits at one controller and says how that was answered. */
function told(
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

test('a job that names itself or one never accepted is refused, after a reading newer than the request', () => {
  const cluster = smallCluster(4);
  assert.equal(told(cluster, 'run-self', ['run-self']), 422);
  assert.equal(told(cluster, 'run-x', ['run-never']), 422);
  // Accepted elsewhere a moment ago, and not read here yet: the reading is waited for.
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
  assert.equal(status, 0, 'not decided by what is known here');
  first.isWatchLagging = false;
  cluster.run(0.5);
  assert.equal(status, 201);
  // Without a reading nothing is refused: the user is to ask again.
  first.isWatchLagging = true;
  assert.equal(told(cluster, 'run-z', ['run-unread'], first), 503);
});

test('a cancellation reaches all that need the job, at every controller, by one change', () => {
  const cluster = smallCluster(6);
  chain(
    cluster,
    Array.from({ length: 40 }, (_, index) => `run-${index}`),
    { estimatedRunS: 300 },
  );
  cluster.run(2);
  const before = cluster.changes.get('j') ?? 0;
  cluster.cancel('run-0');
  cluster.run(1);
  assert.equal((cluster.changes.get('j') ?? 0) - before, 1);
  for (const node of cluster.controllers)
    for (const id of ['run-1', 'run-20', 'run-39']) assert.equal(cluster.queryStatus(id, node), 'aborted');
  // A controller that begins again derives the same, and nothing goes back.
  cluster.controller('n1').crash();
  cluster.controller('n1').restart();
  cluster.run(20);
  assert.equal(cluster.queryStatus('run-39', cluster.controller('n1')), 'aborted');
  cluster.cancel('run-39', cluster.controller('n1'));
  assert.equal(cluster.machinesRunning('run-39').length, 0);
});

test('a job submitted after the cancellation of one that it needs is accepted, and cancelled', () => {
  const cluster = smallCluster(4);
  cluster.submit(job('run-a'));
  cluster.cancel('run-a');
  assert.equal(told(cluster, 'run-b', ['run-a'], cluster.controllers[2]), 201);
  cluster.run(1);
  assert.equal(cluster.queryStatus('run-b'), 'aborted');
});

// A cancellation that meets the end of the last task: one record decides, and everything follows it.
test('a cancellation answered with done lets the jobs after it go on; one that comes first stops them', () => {
  const cluster = smallCluster(6);
  cluster.submit(job('run-a', { estimatedRunS: 2 }));
  cluster.submit(job('run-b', { estimatedRunS: 2 }), cluster.controllers[1], ['run-a']);
  cluster.runUntil('done', () => cluster.allTasksDone('run-a'), 40);
  cluster.runUntil('stored', () => cluster.queryStatus('run-a') === 'done', 10);
  cluster.cancel('run-a');
  cluster.runUntil('the next runs', () => cluster.allTasksDone('run-b'), 40);
  cluster.run(2);
  assert.equal(cluster.queryStatus('run-b'), 'done');
});

test('a cancellation meets the end of the last task at any moment: all that follows agrees with its answer', () => {
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

// Nobody can read the cancellation meanwhile; nobody may start, or call queued, what it stops.
test('a cancellation just before an outage longer than a cancellation may take reaches all jobs after it', () => {
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

test('a diamond: the last job starts after both sides, and is cancelled with either', () => {
  const cluster = smallCluster(8);
  const diamond = (p: string) => {
    cluster.submit(job(`run-${p}0`, { estimatedRunS: 2 }));
    cluster.submit(job(`run-${p}1`, { team: 'blue', estimatedRunS: 3 }), cluster.controllers[1], [`run-${p}0`]);
    cluster.submit(job(`run-${p}2`, { team: 'green', estimatedRunS: 9 }), cluster.controllers[2], [`run-${p}0`]);
    cluster.submit(job(`run-${p}3`, { estimatedRunS: 2 }), cluster.controllers[0], [`run-${p}1`, `run-${p}2`]);
  };
  diamond('a');
  cluster.runUntil('the last is done', () => cluster.allTasksDone('run-a3'), 60);
  diamond('b');
  cluster.runUntil('one side is done', () => cluster.allTasksDone('run-b1'), 40);
  cluster.run(2);
  cluster.cancel('run-b2');
  cluster.run(2);
  assert.equal(cluster.queryStatus('run-b3'), 'aborted');
  assert.equal(cluster.queryStatus('run-b1'), 'done');
});

test('a stored list of awaited jobs that can not be read keeps that one job waiting, and harms nothing else', () => {
  const cluster = smallCluster(4);
  const conditions = { type: 'compareAndSwap' as const, id: 0, conditions: [] };
  const sp = (id: string) => {
    cluster.specs.set(id, job(id));
    return encodeJobSpec(job(id));
  };
  const records: [string, unknown][] = [
    ['a/j/run-odd', { s: 3, t: 0, sp: sp('run-odd'), aw: 'run-a' }],
    ['a/j/run-odder', { s: 3, t: 0, sp: sp('run-odder'), aw: [], x: { k: 5 } }],
    // Of a cycle, which no user can make.
    ['a/j/run-p', { s: 3, t: 0, sp: sp('run-p'), aw: ['run-q'] }],
    ['a/j/run-q', { s: 3, t: 0, sp: { ...sp('run-q'), rank: 2, deadlineS: 9 }, aw: ['run-p'] }],
    // Of a version that knows more.
    ['a/j/run-new', { s: 0, t: 0, sp: { ...sp('run-new'), colour: 'red' }, future: true }],
  ];
  for (const [put, value] of records)
    cluster.stateService.compareAndSwap({ ...conditions, writes: [{ put, value }] }, cluster.now);
  cluster.runUntil('others run', () => cluster.allTasksDone('run-new'), 40);
  for (const id of ['run-odd', 'run-odder', 'run-p', 'run-q']) assert.equal(cluster.queryStatus(id), 'queued');
  cluster.cancel('run-q');
  cluster.cancel('run-odd');
  cluster.run(1);
  for (const id of ['run-odd', 'run-p', 'run-q']) assert.equal(cluster.queryStatus(id), 'aborted');
});

// Each end and each submission may cost in proportion to its edges, not to all jobs: the time is not bounded
// here, but a cost that grew with their product would not end.
test('a job awaited by thousands, and a chain of hundreds, are released one after another', () => {
  const cluster = smallCluster(4);
  const first = cluster.controllers[0] as SimulatedController;
  cluster.submit(job('run-root', { estimatedRunS: 60 }));
  const conditions = { type: 'compareAndSwap' as const, id: 0, conditions: [] };
  const writes = Array.from({ length: 3000 }, (_, index) => {
    const id = `run-w${index}`;
    cluster.specs.set(id, job(id, { priority: index === 2999 ? 2 : 0 }));
    return { put: `a/j/${id}`, value: { s: 3, t: 0, sp: encodeJobSpec(cluster.specs.get(id) as JobSpec), aw: ['run-root'] } };
  });
  const links = Array.from({ length: 500 }, (_, index) => {
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
  cluster.stateService.compareAndSwap({ ...conditions, writes: [...links, ...writes] }, cluster.now);
  cluster.run(1);
  assert.equal(first.controller.clusterState.jobs.get('run-root')?.priority, 2);
  assert.equal(first.controller.clusterState.jobs.get('run-c499')?.isBlocked, true);
  cluster.cancel('run-root');
  cluster.run(1);
  assert.equal(cluster.queryStatus('run-c499'), 'aborted');
  assert.equal(first.controller.clusterState.jobs.size, 0);
});

/** For long by hand: WALKS=500 npm test. */
test('seeded random simulations with chains of jobs: none starts too early, none is left of what was cancelled', () => {
  for (let seed = 1; seed <= Number(process.env.WALKS ?? 8); seed++) {
    try {
      new RandomizedSimulation(seed, { pipelines: true }).run(120);
    } catch (e) {
      assert.fail(`seed ${seed}: ${e instanceof Error ? e.message : e}`);
    }
  }
});
