// What users are told while answers, readings and records are slow, lost or unreadable (docs/meetings.md).
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { holderOf, job, type SimulatedCluster, type SimulatedController, shardOf, smallCluster } from './simulation/index.js';

/** What a controller answers to one request, once it does. */
function said(
  cluster: SimulatedCluster,
  ask: (then: (status: number, body: Record<string, unknown>) => void) => void,
): () => string {
  let answer = '';
  ask((status, body) => {
    answer = `${status} ${String(body.status ?? '')}`.trim();
  });
  return () => {
    if (answer === '') cluster.runUntil('answered', () => answer !== '', 6);
    return answer;
  };
}

test('the answer to an acceptance is slow: a job that others have called cancelled by then is not called queued', () => {
  const cluster = smallCluster(4);
  cluster.transactionAnswerMs = (n) => (n === 'n0' ? 1200 : 10);
  const slow = said(cluster, (then) => cluster.controller('n0').submit(job('run-a'), then));
  cluster.specs.set('run-a', job('run-a'));
  cluster.run(0.3);
  assert.equal(cluster.queryStatus('run-a', cluster.controller('n1')), 'running');
  cluster.cancel('run-a', cluster.controller('n1'));
  assert.equal(slow(), '200 aborted');
});

test('only the answer is lost: what was accepted, done or cancelled is never called anything older, by any controller', () => {
  const cluster = smallCluster(6);
  // Each transaction is carried out at once, and every other answer is lost.
  let count = 0;
  cluster.losesTransactionAnswer = (_e, apply) => {
    if (count++ % 2 === 0) return false;
    apply();
    return true;
  };
  for (let index = 0; index < 6; index++) {
    const id = `run-q${index}`;
    const spec = job(id, { estimatedRunS: 2, team: ['red', 'blue', 'green'][index % 3] as string });
    cluster.specs.set(id, spec);
    const at = (i: number) => cluster.controllers[(index + i) % 3] as SimulatedController;
    const first = said(cluster, (then) => at(0).submit(spec, then));
    const again = said(cluster, (then) => at(1).submit(spec, then));
    assert.match(`${first()} ${again()}`, /^(200|201) \w+ (200|201) \w+$/);
    for (const node of cluster.controllers) assert.notEqual(cluster.queryStatus(id, node), '404');
    if (index % 2 === 0) {
      // Everybody asks while it is called off, and right after.
      const told = said(cluster, (then) => at(2).cancel(id, then));
      const answer = told().replace('200 ', '');
      assert.ok(['aborted', 'done'].includes(answer), answer);
      for (const node of cluster.controllers) assert.equal(cluster.queryStatus(id, node), answer);
      for (const node of cluster.controllers) assert.equal(said(cluster, (then) => node.submit(spec, then))(), `200 ${answer}`);
    } else cluster.runUntil('done', () => cluster.queryStatus(id, at(0)) === 'done', 20);
    const final = cluster.queryStatus(id, at(1));
    for (const node of cluster.controllers) assert.equal(cluster.queryStatus(id, node), final);
  }
});

test('a cancellation, a question and a repeated submission meet the end of the last task, at a controller that is behind', () => {
  const cluster = smallCluster(4);
  for (const id of ['run-d', 'run-c']) cluster.submit(job(id, { estimatedRunS: id === 'run-d' ? 6 : 500 }));
  const behind = cluster.controllers.find((node) => node.name !== holderOf(cluster, shardOf(cluster, 'run-d')));
  const told = cluster.controllers.find((node) => node !== behind);
  assert.ok(behind && told);
  cluster.runUntil('running', () => cluster.runningTasks('run-d') === 1 && cluster.runningTasks('run-c') === 1);
  cluster.run(2);
  behind.isWatchLagging = true;
  cluster.runUntil('done', () => cluster.queryStatus('run-d', told) === 'done', 8);
  cluster.cancel('run-c', told);
  const answers = ['run-d', 'run-c'].flatMap((id) => [
    said(cluster, (then) => behind.queryStatus(id, then)),
    said(cluster, (then) => behind.submit(job(id), then)),
    said(cluster, (then) => behind.cancel(id, then)),
  ]);
  cluster.run(0.6);
  behind.isWatchLagging = false;
  assert.deepEqual(
    answers.map((a) => a()),
    ['200 done', '200 done', '200 done', '200 aborted', '200 aborted', '200 aborted'],
  );
});

test('one-task jobs come four a second for a minute, a quarter of them called off: all end as their users were told', () => {
  const cluster = smallCluster(8);
  const cancelled = new Set<string>();
  for (let index = 0; index < 240; index++) {
    const id = `run-s${index}`;
    const spec = job(id, { estimatedRunS: 2, team: ['red', 'blue', 'green'][index % 3] as string, imageSizeGb: 0 });
    cluster.specs.set(id, spec);
    const told = said(cluster, (then) => (cluster.controllers[index % 3] as SimulatedController).submit(spec, then));
    cluster.run(0.2);
    assert.equal(told().slice(0, 3), '201');
    if (index % 4 === 3)
      (cluster.controllers[(index + 1) % 3] as SimulatedController).cancel(
        id,
        (_s, body) => body.status === 'aborted' && cancelled.add(id),
      );
  }
  cluster.run(40);
  assert.ok(cancelled.size > 20);
  for (let index = 0; index < 240; index++)
    assert.equal(
      cluster.queryStatus(`run-s${index}`, cluster.controllers[(index + 2) % 3] as SimulatedController),
      cancelled.has(`run-s${index}`) ? 'aborted' : 'done',
    );
  // Queues are empty again: no write waits for ever, and no machine is out of use.
  for (const node of cluster.controllers) assert.equal(node.controller.writer.length, 0);
  assert.deepEqual(
    cluster.workers.filter((w) => w.dead),
    [],
  );
});

test('jobs that can not run or lack a field are never accepted: not in an outage, not refused alone, not repeated', () => {
  const cluster = smallCluster(4);
  const never = [job('run-x0', { cpus: 4000 }), job('run-x1', { team: 'nobody' }), job('run-x2', { zone: 'nowhere' })];
  const answers = (node: SimulatedController) => [
    ...never.map((spec) => said(cluster, (then) => node.submit(spec, then))()),
    said(cluster, (then) => node.submit(job('run-x3'), then, 'pieces'))(),
  ];
  const wrong = ['422', '422', '422', '400'];
  for (const node of cluster.controllers) assert.deepEqual(answers(node), wrong);
  cluster.controller('n1').isRefusedByStateService = true;
  cluster.run(6);
  assert.deepEqual(answers(cluster.controller('n1')), ['503', '503', '503', '400']);
  cluster.controller('n1').isRefusedByStateService = false;
  cluster.isStateServiceDown = true;
  cluster.run(6);
  for (const node of cluster.controllers) assert.deepEqual(answers(node), ['503', '503', '503', '400']);
  cluster.isStateServiceDown = false;
  cluster.run(6);
  for (const node of cluster.controllers) {
    assert.deepEqual(answers(node), wrong);
    assert.equal(said(cluster, (then) => node.cancel('run-x0', then))(), '404');
    assert.equal(cluster.queryStatus('run-x3', node), '404');
  }
  // A cancellation of a job that is done answers so, and its repeats too.
  cluster.submit(job('run-d', { estimatedRunS: 1 }));
  cluster.runUntil('done', () => cluster.queryStatus('run-d') === 'done', 20);
  for (const node of cluster.controllers) assert.equal(said(cluster, (then) => node.cancel('run-d', then))(), '200 done');
});

test('records that can not be read are passed over, and nothing else suffers, also at a restart', () => {
  const cluster = smallCluster(4);
  cluster.submit(job('run-a', { tasks: 2, estimatedRunS: 30 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-a') === 2);
  const conditions = { type: 'compareAndSwap' as const, id: 0, conditions: [] };
  const odd: [string, unknown][] = [
    ['a/j/run-odd', { s: 0, t: 0 }],
    ['a/j/run-null', null],
    ['a/g/odd', 5],
    ['a/h/7', null],
    ['a/s/n1', 'odd'],
    ['a/p/run-a/x', 7],
    ['a/zzz', [1]],
  ];
  for (const [put, value] of odd) cluster.stateService.compareAndSwap({ ...conditions, writes: [{ put, value }] }, cluster.now);
  cluster.run(2);
  const owner = cluster.controller(holderOf(cluster, shardOf(cluster, 'run-a')));
  owner.crash();
  cluster.run(0.2);
  owner.restart();
  cluster.runUntil('done', () => cluster.queryStatus('run-a', owner) === 'done', 60);
  cluster.submit(job('run-b', { estimatedRunS: 2 }), owner);
  cluster.runUntil('done', () => cluster.queryStatus('run-b', owner) === 'done', 30);
});
