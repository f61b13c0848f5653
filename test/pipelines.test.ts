// Jobs that await others: when they start, how a cancellation reaches them, and what they inherit.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseSubmission } from '@archpost/protocol';
import { type Cluster, holderOf, job, kept, type Node, shareOf, smallCluster } from './stand-ins.js';
import { Walk } from './walk.js';

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

/** Submits at one controller and says how that was answered. */
function told(c: Cluster, id: string, awaits: string[], node = c.nodes[0] as Node): number {
  const spec = job(id);
  c.specs.set(id, spec);
  c.awaits.set(id, awaits);
  let status = 0;
  node.submit(spec, (code) => {
    status = code;
  });
  c.until(`${id} answered`, () => status !== 0, 6);
  return status;
}

function chain(c: Cluster, ids: string[], over: Parameters<typeof job>[1] = {}): void {
  ids.forEach((id, i) => {
    c.submit(job(id, { estimateS: 3, ...over }), c.nodes[i % c.nodes.length], i === 0 ? [] : [ids[i - 1] as string]);
  });
}

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

// too_early: a start before the end of the job awaited is stored. The cluster checks it at each start.
test('a chain runs in its order, over a takeover of each share', () => {
  const c = smallCluster(6);
  chain(c, ['run-1', 'run-2', 'run-3'], { tasks: 3 });
  c.until('the first is done', () => c.allDone('run-1'), 40);
  const owner = holderOf(c, shareOf(c, 'run-2'));
  c.node(owner).crash();
  c.until('the last is done', () => c.allDone('run-3'), 120);
  c.node(owner).restart();
  c.run(15);
  for (const id of ['run-1', 'run-2', 'run-3']) for (const n of c.nodes) assert.equal(c.ask(id, n), 'done');
  kept(c, 'chain-over-a-takeover');
});

test('a job that names itself or one never accepted is refused, after a reading newer than the request', () => {
  const c = smallCluster(4);
  assert.equal(told(c, 'run-self', ['run-self']), 422);
  assert.equal(told(c, 'run-x', ['run-never']), 422);
  // Accepted elsewhere a moment ago, and not read here yet: the reading is waited for.
  const [first, second] = c.nodes as [Node, Node];
  first.lagging = true;
  c.submit(job('run-new'), second);
  let status = 0;
  c.specs.set('run-y', job('run-y'));
  c.awaits.set('run-y', ['run-new']);
  first.submit(job('run-y'), (code) => {
    status = code;
  });
  c.run(0.5);
  assert.equal(status, 0, 'not decided by what is known here');
  first.lagging = false;
  c.run(0.5);
  assert.equal(status, 201);
  // Without a reading nothing is refused: the user is to ask again.
  first.lagging = true;
  assert.equal(told(c, 'run-z', ['run-unread'], first), 503);
});

test('a cancellation reaches all that need the job, at every controller, by one change', () => {
  const c = smallCluster(6);
  chain(
    c,
    Array.from({ length: 40 }, (_, i) => `run-${i}`),
    { estimateS: 300 },
  );
  c.run(2);
  const before = c.changes.get('j') ?? 0;
  c.cancel('run-0');
  c.run(1);
  assert.equal((c.changes.get('j') ?? 0) - before, 1);
  for (const n of c.nodes) for (const id of ['run-1', 'run-20', 'run-39']) assert.equal(c.ask(id, n), 'aborted');
  // A controller that begins again derives the same, and nothing goes back.
  c.node('n1').crash();
  c.node('n1').restart();
  c.run(20);
  assert.equal(c.ask('run-39', c.node('n1')), 'aborted');
  c.cancel('run-39', c.node('n1'));
  assert.equal(c.on('run-39').length, 0);
});

test('a job submitted after the cancellation of one that it needs is accepted, and cancelled', () => {
  const c = smallCluster(4);
  c.submit(job('run-a'));
  c.cancel('run-a');
  assert.equal(told(c, 'run-b', ['run-a'], c.nodes[2]), 201);
  c.run(1);
  assert.equal(c.ask('run-b'), 'aborted');
});

// A cancellation that meets the end of the last task: one record decides, and everything follows it.
test('a cancellation answered with done lets the jobs after it go on; one that comes first stops them', () => {
  const c = smallCluster(6);
  c.submit(job('run-a', { estimateS: 2 }));
  c.submit(job('run-b', { estimateS: 2 }), c.nodes[1], ['run-a']);
  c.until('done', () => c.allDone('run-a'), 40);
  c.until('stored', () => c.ask('run-a') === 'done', 10);
  c.cancel('run-a');
  c.until('the next runs', () => c.allDone('run-b'), 40);
  c.run(2);
  assert.equal(c.ask('run-b'), 'done');
});

test('a cancellation meets the end of the last task at any moment: all that follows agrees with its answer', () => {
  const answers = new Set<string>();
  for (let offset = 0; offset <= 2000; offset += 100) {
    const c = smallCluster(4);
    c.submit(job('run-a', { estimateS: 2 }));
    c.submit(job('run-b', { estimateS: 1, team: 'blue' }), c.nodes[1], ['run-a']);
    c.submit(job('run-c', { estimateS: 1, team: 'green' }), c.nodes[2], ['run-b']);
    c.until('running', () => c.running('run-a') === 1, 10);
    c.run(1.2 + offset / 1000);
    let answer = '';
    c.nodes[2]?.cancel('run-a', (_status, body) => {
      answer = String(body.status);
    });
    c.until('answered', () => answer !== '', 6);
    answers.add(answer);
    c.run(12);
    for (const n of c.nodes) for (const id of ['run-a', 'run-b', 'run-c']) assert.equal(c.ask(id, n), answer);
    assert.equal(c.allDone('run-c'), answer === 'done');
  }
  assert.deepEqual([...answers].sort(), ['aborted', 'done']);
});

// Nobody can read the cancellation meanwhile; nobody may start, or call queued, what it stops.
test('a cancellation just before an outage longer than a cancellation may take reaches all jobs after it', () => {
  const c = smallCluster(4);
  c.submit(job('run-a', { estimateS: 2 }));
  c.submit(job('run-b', { estimateS: 1, team: 'blue' }), undefined, ['run-a']);
  const [first, second] = c.nodes as [Node, Node];
  second.lagging = true;
  c.cancel('run-a', first);
  c.stateDown = true;
  c.run(50);
  assert.equal(c.on('run-b').length, 0);
  c.stateDown = false;
  second.lagging = false;
  c.run(3);
  for (const n of c.nodes) assert.equal(c.ask('run-b', n), 'aborted');
});

test('a diamond: the last job starts after both sides, and is cancelled with either', () => {
  const c = smallCluster(8);
  const diamond = (p: string) => {
    c.submit(job(`run-${p}0`, { estimateS: 2 }));
    c.submit(job(`run-${p}1`, { team: 'blue', estimateS: 3 }), c.nodes[1], [`run-${p}0`]);
    c.submit(job(`run-${p}2`, { team: 'green', estimateS: 9 }), c.nodes[2], [`run-${p}0`]);
    c.submit(job(`run-${p}3`, { estimateS: 2 }), c.nodes[0], [`run-${p}1`, `run-${p}2`]);
  };
  diamond('a');
  c.until('the last is done', () => c.allDone('run-a3'), 60);
  diamond('b');
  c.until('one side is done', () => c.allDone('run-b1'), 40);
  c.run(2);
  c.cancel('run-b2');
  c.run(2);
  assert.equal(c.ask('run-b3'), 'aborted');
  assert.equal(c.ask('run-b1'), 'done');
});

test('a stored list of awaited jobs that can not be read keeps that one job waiting, and harms nothing else', () => {
  const c = smallCluster(4);
  const guards = { type: 'compareAndSwap' as const, id: 0, conditions: [] };
  const sp = (id: string) => {
    c.specs.set(id, job(id));
    return job(id);
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
  for (const [put, value] of records) c.state.txn({ ...guards, writes: [{ put, value }] }, c.now);
  c.until('others run', () => c.allDone('run-new'), 40);
  for (const id of ['run-odd', 'run-odder', 'run-p', 'run-q']) assert.equal(c.ask(id), 'queued');
  c.cancel('run-q');
  c.cancel('run-odd');
  c.run(1);
  for (const id of ['run-odd', 'run-p', 'run-q']) assert.equal(c.ask(id), 'aborted');
});

// Each end and each submission may cost in proportion to its edges, not to all jobs: the time is not bounded
// here, but a cost that grew with their product would not end.
test('a job awaited by thousands, and a chain of hundreds, are released one after another', () => {
  const c = smallCluster(4);
  const first = c.nodes[0] as Node;
  c.submit(job('run-root', { estimateS: 60 }));
  const guards = { type: 'compareAndSwap' as const, id: 0, conditions: [] };
  const writes = Array.from({ length: 3000 }, (_, i) => {
    const id = `run-w${i}`;
    c.specs.set(id, job(id, { rank: i === 2999 ? 2 : 0 }));
    return { put: `a/j/${id}`, value: { s: 3, t: 0, sp: c.specs.get(id), aw: ['run-root'] } };
  });
  const links = Array.from({ length: 500 }, (_, i) => {
    const id = `run-c${i}`;
    c.specs.set(id, job(id));
    return { put: `a/j/${id}`, value: { s: 3, t: 0, sp: c.specs.get(id), aw: [i === 0 ? 'run-w0' : `run-c${i - 1}`] } };
  });
  c.state.txn({ ...guards, writes: [...links, ...writes] }, c.now);
  c.run(1);
  assert.equal(first.core.clusterState.jobs.get('run-root')?.priority, 2);
  assert.equal(first.core.clusterState.jobs.get('run-c499')?.isBlocked, true);
  c.cancel('run-root');
  c.run(1);
  assert.equal(c.ask('run-c499'), 'aborted');
  assert.equal(first.core.clusterState.jobs.size, 0);
});

/** For long by hand: WALKS=500 npm test. */
test('seeded random walks with chains of jobs: none starts too early, none is left of what was cancelled', () => {
  for (let seed = 1; seed <= Number(process.env.WALKS ?? 8); seed++) {
    try {
      new Walk(seed, { pipelines: true }).run(120);
    } catch (e) {
      assert.fail(`seed ${seed}: ${e instanceof Error ? e.message : e}`);
    }
  }
});
