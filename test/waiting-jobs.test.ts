// What a waiting job takes, and what it has from the jobs that need it: priority, deadline, and the times that count.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Cluster, holderOf, job, shareOf, smallCluster } from './stand-ins.js';

test('a job takes the highest priority and the earliest latest start of those that need it, and gives them back', () => {
  const c = smallCluster(4);
  c.submit(job('run-long', { rank: 0, estimateS: 500, tasks: 9 }));
  c.submit(job('run-1', { rank: 0, estimateS: 100 }), c.nodes[0], ['run-long']);
  c.submit(job('run-2', { rank: 1, estimateS: 50, team: 'blue' }), c.nodes[1], ['run-1']);
  c.submit(job('run-3', { rank: 2, estimateS: 10, deadlineS: 400 }), c.nodes[2], ['run-2', 'run-1']);
  const submitted = c.now;
  c.run(1);
  for (const n of c.nodes) {
    const first = n.core.clusterState.jobs.get('run-1');
    assert.equal(first?.priority, 2);
    // 400 s, less 10 and 1 of the last and 50 and 1 of the one before, each with its image.
    assert.ok(
      Math.abs((first?.effectiveDeadlineAt ?? 0) - (submitted + 338_000)) < 500,
      `${(first?.effectiveDeadlineAt ?? 0) - submitted}`,
    );
  }
  c.cancel('run-3');
  c.run(1);
  for (const n of c.nodes) {
    assert.equal(n.core.clusterState.jobs.get('run-1')?.priority, 1);
    assert.equal(n.core.clusterState.jobs.get('run-1')?.effectiveDeadlineAt, Number.POSITIVE_INFINITY);
  }
});

// Objectives, the wait of the oldest gangs and what is put off count from then, not from the submission.
test('the times of a job count from the end of the last one that it needs, also at a controller that begins again', () => {
  const c = smallCluster(4);
  c.submit(job('run-first', { estimateS: 40 }));
  c.submit(job('run-busy', { team: 'blue', tasks: 7, cpus: 3, memory: 14, estimateS: 300 }));
  c.submit(job('run-next', { types: ['big'] }), undefined, ['run-first']);
  c.until('the first is done', () => c.ask('run-first') === 'done', 80);
  const ended = c.now;
  c.run(1);
  c.node('n1').crash();
  c.run(20);
  c.node('n1').restart();
  c.run(5);
  for (const n of c.nodes) {
    const at = n.core.clusterState.jobs.get('run-next')?.arrivedAt ?? 0;
    assert.ok(Math.abs(at - ended) < 2500, `${n.name}: ${at - ended} ms apart`);
  }
});

test('a waiting job takes no part of a guarantee, asks for no machine and is started when its time comes', () => {
  const c = new Cluster();
  for (let i = 0; i < 2; i++) c.machine(`g${i}`, 'big', 'east');
  c.settle();
  c.submit(job('run-first', { estimateS: 20 }));
  // Eight accelerators are guaranteed to the team: were this job counted, the next would be beyond them.
  c.submit(job('run-waits', { gpus: 8, shape: 'gang' }), c.nodes[0], ['run-first']);
  c.submit(job('run-now', { gpus: 8, shape: 'gang', estimateS: 300 }));
  c.run(3);
  const owner = c.node(holderOf(c, shareOf(c, 'run-now')));
  const wanted = owner.core.shardController.shardSummary(shareOf(c, 'run-now'), c.now).demands;
  assert.deepEqual(wanted, []);
  assert.equal(c.running('run-now'), 1);
  assert.equal(c.ask('run-waits'), 'queued');
  c.until('started', () => c.running('run-waits') === 1, 60);
});

test('work goes by the inherited priority and the inherited latest start', () => {
  const c = new Cluster(['n0']);
  c.machine('m0', 'small', 'east');
  c.settle();
  const whole = { cpus: 4, memory: 16 };
  c.submit(job('run-busy', { ...whole, rank: 1, estimateS: 500 }));
  c.until('running', () => c.running('run-busy') === 1, 10);
  // Both are of the lowest rank by themselves, and both are needed by urgent work; the later one sooner.
  for (const [name, deadlineS] of [
    ['relaxed', 300],
    ['pressed', 100],
  ] as const) {
    c.submit(job(`run-${name}`, { ...whole, rank: 0, estimateS: 8 }));
    c.submit(job(`run-${name}-last`, { ...whole, rank: 2, deadlineS }), undefined, [`run-${name}`]);
  }
  c.until('all is done', () => c.allDone('run-relaxed-last') && c.allDone('run-pressed-last'), 60);
  const started = (id: string) => c.trace.findIndex((line) => line.includes(`starts ${id}/`));
  assert.ok(started('run-pressed') < started('run-relaxed-last'));
  assert.ok(!c.allDone('run-busy'), 'standard work gave way to what urgent work needs');
});

test('of two jobs that urgent work needs, the one whose dependent is due first comes first', () => {
  const c = new Cluster(['n0']);
  c.machine('m0', 'small', 'east');
  c.settle();
  const whole = { cpus: 4, memory: 16, estimateS: 8 };
  c.submit(job('run-busy', { ...whole, rank: 2 }));
  c.until('running', () => c.running('run-busy') === 1, 10);
  for (const [name, deadlineS] of [
    ['relaxed', 300],
    ['pressed', 100],
  ] as const) {
    c.submit(job(`run-${name}`, { ...whole, rank: 0 }));
    c.submit(job(`run-${name}-last`, { ...whole, rank: 2, deadlineS }), undefined, [`run-${name}`]);
  }
  c.until('one of them starts', () => c.on('run-relaxed').length + c.on('run-pressed').length > 0, 30);
  assert.equal(c.on('run-pressed').length, 1);
});

test('a waiting job of the highest rank keeps no share from going home, and no machine for its kind', () => {
  const c = smallCluster(4);
  c.machine('g0', 'big', 'east');
  c.settle();
  c.submit(job('run-first', { estimateS: 300 }));
  c.submit(job('run-serve', { shape: 'service', rank: 3, gpus: 8, cls: 'serve' }), undefined, ['run-first']);
  c.run(2);
  const share = shareOf(c, 'run-serve');
  assert.ok(c.node(holderOf(c, share)).core.isShardSettled(share));
  for (const n of c.nodes) assert.equal(n.core.clusterState.gpuDemandByType.size, 0);
});

// Counted, it would put the team beyond its guarantee, and what comes after it could not preempt.
test('a waiting job takes nothing of its team s guarantee from work that can run', () => {
  const c = new Cluster(['n0']);
  for (let i = 0; i < 2; i++) c.machine(`g${i}`, 'big', 'east');
  c.settle();
  const training = { shape: 'gang' as const, gpus: 8, cpus: 20, memory: 60, estimateS: 300 };
  c.submit(job('run-first', { estimateS: 200 }));
  c.submit(job('run-waits', training), undefined, ['run-first']);
  for (const id of ['run-blue0', 'run-blue1']) c.submit(job(id, { ...training, team: 'blue' }));
  c.until('both machines are taken', () => c.running('run-blue0') + c.running('run-blue1') === 2, 20);
  c.submit(job('run-now', training));
  c.until('the job beyond its guarantee gave way', () => c.running('run-now') === 1, 30);
});

test('a job cancelled with one that it needs gives nothing to the others that it needed', () => {
  const c = smallCluster(4);
  c.submit(job('run-x', { rank: 0, estimateS: 300 }));
  c.submit(job('run-y', { rank: 0, estimateS: 300 }));
  c.submit(job('run-z', { rank: 2, deadlineS: 500 }), undefined, ['run-x', 'run-y']);
  c.run(1);
  assert.equal(c.nodes[0]?.core.clusterState.jobs.get('run-x')?.priority, 2);
  c.cancel('run-y');
  c.run(1);
  for (const n of c.nodes) {
    assert.equal(n.core.clusterState.jobs.get('run-x')?.priority, 0);
    assert.equal(n.core.clusterState.jobs.get('run-x')?.effectiveDeadlineAt, Number.POSITIVE_INFINITY);
  }
});
